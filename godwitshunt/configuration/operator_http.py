"""Requests and answers of the operator API on the HTTP listener."""

from dataclasses import dataclass

from godwitshunt.exchange.problems import WholeAnswer
from godwitshunt.exchange.requests import HttpRequest
from godwitshunt.exchange.waiting_caller import WaitingCaller

BEARER = 'Bearer '
# Late copies are harmless: manifests have a number and orders a name, under
# which each is accepted once; the last one is a question with a body.
REPEATABLE = frozenset(('/v1/manifest', '/v1/orders', '/v1/explain'))


@dataclass(frozen=True)
class OperatorRequest:
    """One complete request.

    Parameters
    ----------
    token : str
        Bearer token of the ``Authorization`` header, empty without one.
    caller : WaitingCaller or None
        Who sent it; None where another replica relays it.
    based_on : int or None
        Revision of the replica that read it, at a time at which the caller
        still waited; None for the newest of the replica that handles it.
    """

    method: str
    path: str
    token: str
    body: bytes
    caller: WaitingCaller | None = None
    based_on: int | None = None

    @property
    def may_undo_newer(self) -> bool:
        """Whether a late copy of it may undo a newer change."""
        return self.method != 'GET' and self.path not in REPEATABLE


@dataclass(frozen=True)
class OperatorAnswer:
    """One complete answer."""

    status: int
    body: bytes
    content_type: str = 'application/json'


def read_request(
    request: HttpRequest,
    caller: WaitingCaller | None = None,
) -> OperatorRequest:
    """Return the operator request of an HTTP request."""
    credentials = request.header(b'authorization') or ''
    return OperatorRequest(
        method=request.method,
        path=request.path,
        token=credentials.removeprefix(BEARER),
        body=request.body,
        caller=caller,
    )


def whole_answer(answer: OperatorAnswer) -> WholeAnswer:
    """Return an answer in the form that the listener sends."""
    headers = ((b'content-type', answer.content_type.encode()),)
    return WholeAnswer(answer.status, headers, answer.body)
