"""What is sent to upstreams and other VMs, and what answers must show."""

import re
from dataclasses import dataclass

from godwitshunt.exchange.problems import Headers
from godwitshunt.exchange.requests import BODYLESS
from godwitshunt.settings import Address

CONNECT_TIMEOUT_S = 1.0
# An upstream that does not tell its idle time-out may close the connection
# after a few seconds; the pool learns it from the first such close.
IDLE_LIMIT_S = 10.0
# Longest time for which a connection is kept where an upstream tells a longer
# idle time-out.
TOLD_IDLE_LIMIT_S = 60.0
REQUEST_ID = b'godwitshunt-request'
IDLE_MARGIN_S = 1.0
KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout=(\d{1,6})')


@dataclass(frozen=True)
class ConnectFailed:
    """No connection came about: the request cannot have run there."""

    reason: str


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of an upstream's answer."""

    status: int
    headers: Headers


@dataclass(frozen=True)
class OutgoingRequest:
    """A request to an upstream or another VM.

    Parameters
    ----------
    method, target : str
        The request line.
    headers : tuple of (bytes, bytes)
        Without length and host, which are added.
    body : bytes
        The whole body.
    request_id : str
        An upstream that repeats it in its answer proves which request the
        answer is for.
    fresh : bool
        True where only a new connection will do. On a reused one the upstream
        may close just as the request goes out, and then nobody knows whether
        it ran; on a new one a failed connect proves that it did not.
    longest_idle_s : float
        Connections that were idle for longer are not reused for it, unless
        their upstream is known to be live.
    longest_live_idle_s : float
        Limit for connections whose upstream is known to be live.
    connect_timeout_s : float
        Seconds that a new connection may take.
    host : bytes or None
        Content of the ``Host`` header; None sends the address.
    id_header : bytes
        Header that carries `request_id`.
    until_close : bool
        True where an answer without a length counts as whole if the upstream
        ended its connection cleanly after it.
    repeats_id : bool
        True where the upstream repeats `request_id` in all its answers: one
        with another id is read past, and one without belongs to nobody on a
        connection that other requests have used.
    origin : str
        Who is expected at the address. A connection that was made to another
        one there is not reused: it may be silent for good, and what is sent
        on it would be lost.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    request_id: str
    fresh: bool = False
    longest_idle_s: float = IDLE_LIMIT_S
    longest_live_idle_s: float = 0.0
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    host: bytes | None = None
    id_header: bytes = REQUEST_ID
    until_close: bool = False
    repeats_id: bool = False
    origin: str = ''


@dataclass(frozen=True)
class Place:
    """Who answers at an address."""

    address: Address
    origin: str = ''


class BrokenAnswerError(Exception):
    """An answer that ended otherwise than its head promised."""


def check_answer(head: AnswerHead, request: OutgoingRequest) -> None:
    """Refuse an answer whose end or whose request cannot be known.

    An answer without a length ends where the connection ends, and then a
    crash in its midst looks like its end.
    """
    if is_of_another(head, request):
        raise BrokenAnswerError('an answer to another request')
    if not (states_end(head, request) or request.until_close):
        raise BrokenAnswerError('an answer without a length')


def states_end(head: AnswerHead, request: OutgoingRequest) -> bool:
    """Tell whether an answer's end can be told from its connection's."""
    fields = dict(head.headers)
    sized = b'content-length' in fields or b'transfer-encoding' in fields
    return sized or request.method == 'HEAD' or head.status in BODYLESS


def is_of_another(head: AnswerHead, request: OutgoingRequest) -> bool:
    """Tell whether an answer repeats the id of another request."""
    told = named_request(head, request)
    return told is not None and told != request.request_id.encode()


def named_request(head: AnswerHead, request: OutgoingRequest) -> bytes | None:
    """Return the id that an answer repeats; None where it repeats none."""
    return dict(head.headers).get(request.id_header)


def told_idle_limit_s(headers: Headers) -> float:
    """Return for how long an upstream keeps the connection, less a margin.

    It closes at its own time-out; a request that crosses the close is reset,
    and nobody knows whether it ran.

    Examples
    --------
    >>> told_idle_limit_s(((b'keep-alive', b'timeout=5, max=100'),))
    4.0
    >>> told_idle_limit_s(())
    10.0
    """
    for name, content in headers:
        if name == b'keep-alive':
            found = KEEP_ALIVE_TIMEOUT.search(content)
            if found is not None:
                told_s = min(int(found.group(1)), TOLD_IDLE_LIMIT_S)
                return max(0.0, told_s - IDLE_MARGIN_S)
    return IDLE_LIMIT_S
