"""Attribution of bytes from upstreams to requests.

An upstream may answer a request twice, the second time when another request
uses the connection. An answer belongs to the request whose id it repeats, and
not to the one that happens to wait. Bytes that belong to no waiting request
are stray; an upstream that sent some gets one request on each connection for a
while, so that what comes late reaches nobody.
"""

import asyncio
import re
from collections import deque
from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from enum import Enum

from godwitshunt.exchange.problems import Headers
from godwitshunt.exchange.upstream_messages import BrokenAnswerError, Place
from godwitshunt.telemetry import Metrics, log_change

# Lines of each kind that are logged at most within a second; the counter counts
# all.
LINES_PER_S = 20
LINE_WINDOW_S = 1.0
# An upstream that sent stray bytes gets one request on each connection for
# this long.
SINGLE_USE_S = 30.0
# The same for one that sent an answer without length and chunks. The next one
# may come much later, and would be refused on a shared connection.
UNFRAMED_SINGLE_USE_S = 600.0
STATUS_LINE = re.compile(rb'HTTP/1\.[01] [1-5]\d\d[ \r]')
STATUS_LINE_START = b'HTTP/1.'
# The head of an answer up to the end of what was received, cut short or not.
FINAL_HEAD = re.compile(
    rb'HTTP/1\.[01] [1-5]\d\d[^\r\n]*\r\n'
    rb'(?:[!-9;-~]+:[^\r\n]*\r\n)*'
    rb'(?:[!-9;-~]*(?::[^\r\n]*)?\r?|\r\n)\Z'
)


# The head of an answer with its empty line.
WHOLE_HEAD = re.compile(
    rb'HTTP/1\.[01] [1-5]\d\d[^\r\n]*\r\n'
    rb'(?:[!-9;-~]+:[^\r\n]*\r\n){0,64}\r\n'
)


class StrayKind(Enum):
    """What bytes that belong to no waiting request are.

    ``idle``: bytes on a connection without a request. ``surplus``: bytes
    beyond the end of an answer. ``skipped``: an answer to another request that
    was read past. ``foreign``: one that was not. ``unnamed``: an answer without
    an id on a connection that other requests have used. ``unframed``: an answer
    on such a connection that ends where the connection ends. ``embedded``: the
    head of another answer within a body or a stream. ``out_of_turn``: an event
    that is not the next one of its stream. ``malformed``: bytes that are no
    part of an answer, on a connection that other requests have used.
    """

    idle = 'idle'
    surplus = 'surplus'
    skipped = 'skipped'
    foreign = 'foreign'
    unnamed = 'unnamed'
    unframed = 'unframed'
    embedded = 'embedded'
    out_of_turn = 'out_of_turn'
    malformed = 'malformed'


class StrayBytesError(BrokenAnswerError):
    """An answer that contains, or may contain, bytes of another one.

    Parameters
    ----------
    kind : StrayKind
        What the bytes are.
    reason : str
        For logs.
    """

    def __init__(self, kind: StrayKind, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind


@dataclass(frozen=True)
class StrayBytes:
    """Bytes that belong to no waiting request.

    Parameters
    ----------
    kind : StrayKind
        What they are.
    place : Place
        Upstream that sent them.
    request : str
        Id of the request that uses the connection, or used it last.
    named : bytes
        Id that the bytes repeat; empty where they repeat none.
    size : int
        Number of bytes, as far as they are known.
    connection_age_s : float
        Seconds since the connection was made.
    connection_requests : int
        Requests that were sent on it.
    """

    kind: StrayKind
    place: Place
    request: str
    named: bytes
    size: int
    connection_age_s: float
    connection_requests: int


@dataclass
class StrayLog:
    """Counts stray bytes, and logs a bounded number of them."""

    metrics: Metrics
    logged_s: dict[StrayKind, deque[float]] = field(default_factory=dict)

    def record(self, stray: StrayBytes) -> None:
        """Count and log stray bytes."""
        self.metrics.count('upstream_stray_bytes_total', kind=stray.kind.value)
        now_s = asyncio.get_running_loop().time()
        logged_s = self.logged_s.setdefault(
            stray.kind, deque(maxlen=LINES_PER_S)
        )
        is_full = len(logged_s) == LINES_PER_S
        if is_full and now_s - logged_s[0] < LINE_WINDOW_S:
            return
        logged_s.append(now_s)
        log_change(
            'exchange:stray_bytes',
            kind=stray.kind.value,
            instance=stray.place.origin or str(stray.place.address),
            request=stray.request,
            named=stray.named.decode('latin-1'),
            bytes=stray.size,
            connection_age_s=round(stray.connection_age_s, 4),
            connection_requests=stray.connection_requests,
        )


@dataclass
class SingleUseTable:
    """Places that get one request on each connection for a while.

    Parameters
    ----------
    until_s : dict
        Until when, in seconds of the event loop.
    """

    until_s: dict[Place, float] = field(default_factory=dict)

    def record(self, place: Place, now_s: float, for_s: float) -> None:
        """Add a place, or extend its time."""
        if not self.has(place, now_s):
            log_change(
                'exchange:single_use_began',
                instance=place.origin or str(place.address),
                for_s=for_s,
            )
        until_s = now_s + for_s
        self.until_s[place] = max(until_s, self.until_s.get(place, until_s))

    def has(self, place: Place, now_s: float) -> bool:
        """Tell whether a place is in the table."""
        if place not in self.until_s:
            return False
        if now_s < self.until_s[place]:
            return True
        self.until_s.pop(place)
        return False

    def remove_absent(self, present: Container[str]) -> None:
        """Remove the places of upstreams that are not present."""
        for place in tuple(self.until_s):
            if place.origin and place.origin not in present:
                self.until_s.pop(place)


def named_id(received: bytes, id_header: bytes) -> bytes:
    r"""Return the first id that bytes repeat; empty where they repeat none.

    Examples
    --------
    >>> named_id(b'HTTP/1.1 200 OK\r\nRequest: r-1\r\n\r\n', b'request')
    b'r-1'
    """
    found = header_line(id_header).search(received)
    return b'' if found is None else found.group('content')


def embeds_answer(
    body: bytes, names: Iterable[bytes], *, any_head: bool = False
) -> bool:
    r"""Tell whether a body contains the head of another answer.

    A body that ends with a head, or within one, has no room for the headers
    that a whole answer would have.

    Parameters
    ----------
    body : bytes
        A body that may contain what does not belong to it.
    names : iterable of bytes
        Headers of which an upstream's answer has at least one.
    any_head : bool
        True to find whole heads without any of them, too; a body that quotes
        one is then taken for mixed.

    Examples
    --------
    >>> embeds_answer(b'..HTTP/1.1 200 OK\r\nRequest: r-1\r\n', [b'request'])
    True
    >>> embeds_answer(b'..HTTP/1.1 200 OK\r\nDa', [b'request'])
    True
    >>> embeds_answer(b'..HTTP/1.1 200 OK\r\n\r\nok', [b'request'])
    False
    """
    status = STATUS_LINE.search(body)
    if status is None:
        return False
    if FINAL_HEAD.match(body, body.rfind(STATUS_LINE_START)):
        return True
    if any_head and WHOLE_HEAD.search(body):
        return True
    return any(header_line(name).search(body, status.end()) for name in names)


def head_embeds_answer(headers: Headers) -> bool:
    """Tell whether an answer's head goes on as that of another one.

    Examples
    --------
    >>> head_embeds_answer(((b'signature', b'sHTTP/1.1 200 OK'),))
    True
    >>> head_embeds_answer(((b'via', b'HTTP/1.1 gateway'),))
    False
    """
    lines = b''.join(b'%s\r' % content for _, content in headers)
    return STATUS_LINE.search(lines) is not None


def header_line(name: bytes) -> re.Pattern[bytes]:
    """Return the pattern of a header's line within an answer's head."""
    pattern = rb'\n%s[ \t]*:[ \t]*(?P<content>[^\r\n]{0,64})' % re.escape(name)
    return re.compile(pattern, re.IGNORECASE)


def begins_answer(surplus: bytes) -> bool:
    """Tell whether bytes begin with an answer's head, as far as they go."""
    return STATUS_LINE_START.startswith(surplus[: len(STATUS_LINE_START)])
