"""What operators ask of quarantined requests over HTTP."""

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
    """A request that may be sent again.

    Parameters
    ----------
    fingerprint : str
        As log lines name it: 32 hexadecimal digits.
    """

    fingerprint: str = Field(pattern='^[0-9a-f]{32}$')


class QuarantineApi:
    """The routes for quarantined requests, to be added to the operators' API.

    Parameters
    ----------
    quarantine : Quarantine
        Of this control VM; others and entry VMs hear of what changes here.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self.quarantine = quarantine

    async def show(self, request: OperatorRequest) -> OperatorAnswer:
        """Tell which requests are suspected or quarantined, and why."""
        return answer({'requests': self.quarantine.describe()})

    async def release(self, request: OperatorRequest) -> OperatorAnswer:
        """Hold nothing against a request from now on."""
        try:
            asked = parse_document(
                BODY,
                request.body,
                ReleaseRequest,
                DocumentError,
            )
        except DocumentError as invalid:
            return refusal(invalid_document(invalid))
        fingerprint = Fingerprint(bytes.fromhex(asked.fingerprint))
        if self.quarantine.clear(fingerprint):
            return answer({'outcome': 'released'})
        told = 'nothing is held against this request here'
        return refusal(OperatorProblem('not-found', 404, told))
