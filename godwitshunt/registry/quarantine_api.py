"""Operators' HTTP API for quarantined requests."""

from pydantic import Field

from godwitshunt.configuration.operator_api import BODY, answer, refusal
from godwitshunt.configuration.operator_http import (
    OperatorAnswer,
    OperatorRequest,
)
from godwitshunt.configuration.problems import (
    OperatorProblem,
    invalid_document,
)
from godwitshunt.exceptions import DocumentError
from godwitshunt.manifest.base import StrictModel
from godwitshunt.manifest.documents import parse_document
from godwitshunt.quarantine import Fingerprint, Quarantine


class ReleaseRequest(StrictModel):
    """A call to release a quarantined request.

    Parameters
    ----------
    fingerprint : str
        Fingerprint as in log lines: 32 hexadecimal digits.
    """

    fingerprint: str = Field(pattern='^[0-9a-f]{32}$')


class QuarantineApi:
    """Handlers of the quarantine routes of the operators' API.

    Parameters
    ----------
    quarantine : Quarantine
        This control VM's quarantine. Changes are sent to the other VMs.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self.quarantine = quarantine

    async def show(self, request: OperatorRequest) -> OperatorAnswer:
        """List suspected and quarantined requests with their losses."""
        return answer({'requests': self.quarantine.describe()})

    async def release(self, request: OperatorRequest) -> OperatorAnswer:
        """Release a request and clear its losses."""
        try:
            document = parse_document(
                BODY,
                request.body,
                ReleaseRequest,
                DocumentError,
            )
        except DocumentError as invalid:
            return refusal(invalid_document(invalid))
        fingerprint = Fingerprint(bytes.fromhex(document.fingerprint))
        if self.quarantine.clear(fingerprint):
            return answer({'outcome': 'released'})
        detail = 'nothing is held against this request here'
        return refusal(OperatorProblem('not-found', 404, detail))
