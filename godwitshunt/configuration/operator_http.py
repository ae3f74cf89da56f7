"""Requests and answers of the operator API on the HTTP listener."""

from dataclasses import dataclass

from godwitshunt.exchange.problems import WholeAnswer
from godwitshunt.exchange.requests import HttpRequest

BEARER = 'Bearer '


@dataclass(frozen=True)
class OperatorRequest:
    """One complete request.

    Parameters
    ----------
    token : str
        Bearer token of the ``Authorization`` header, empty without one.
    """

    method: str
    path: str
    token: str
    body: bytes


@dataclass(frozen=True)
class OperatorAnswer:
    """One complete answer."""

    status: int
    body: bytes
    content_type: str = 'application/json'


def read_request(request: HttpRequest) -> OperatorRequest:
    """Return the operator request of an HTTP request."""
    credentials = request.header(b'authorization') or ''
    return OperatorRequest(
        method=request.method,
        path=request.path,
        token=credentials.removeprefix(BEARER),
        body=request.body,
    )


def whole_answer(answer: OperatorAnswer) -> WholeAnswer:
    """Return an answer in the form that the listener sends."""
    headers = ((b'content-type', answer.content_type.encode()),)
    return WholeAnswer(answer.status, headers, answer.body)
