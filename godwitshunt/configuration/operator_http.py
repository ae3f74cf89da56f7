"""Operators' requests and answers, on the listener of the exchange slice."""

from dataclasses import dataclass

from godwitshunt.exchange.problems import WholeAnswer
from godwitshunt.exchange.requests import HttpRequest

BEARER = 'Bearer '


@dataclass(frozen=True)
class OperatorRequest:
    """One whole request.

    Parameters
    ----------
    token : str
        From the ``Authorization`` header; empty without one.
    """

    method: str
    path: str
    token: str
    body: bytes


@dataclass(frozen=True)
class OperatorAnswer:
    """One whole answer."""

    status: int
    body: bytes
    content_type: str = 'application/json'


def read_request(request: HttpRequest) -> OperatorRequest:
    """Return what an operator asks."""
    credentials = request.header(b'authorization') or ''
    return OperatorRequest(
        method=request.method,
        path=request.path,
        token=credentials.removeprefix(BEARER),
        body=request.body,
    )


def whole_answer(answer: OperatorAnswer) -> WholeAnswer:
    """Return an answer for the listener."""
    headers = ((b'content-type', answer.content_type.encode()),)
    return WholeAnswer(answer.status, headers, answer.body)
