"""Passing on streams of server-sent events without reading each token."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Protocol

from godwitshunt.exchange.attribution import StrayBytesError
from godwitshunt.exchange.problems import Headers
from godwitshunt.exchange.requests import AnswerWriter
from godwitshunt.exchange.upstream_call import UpstreamCall
from godwitshunt.exchange.upstream_messages import (
    BrokenAnswerError,
)

EVENT_END = b'\n\n'
FINAL_EVENT = b'data: [DONE]\n\n'
EVENT_STREAM = b'text/event-stream'
LAST_CHUNK = b'0\r\n\r\n'
# The timer that sends gathered events is later by this share of the time.
TIMER_SLACK = 0.5
# Bytes that are gathered at most before they are passed on.
GATHERED_BYTES = 16 * 1024
# The start of an event counts as held by its caller from this size on.
COUNTED_EVENT_BYTES = 64 * 1024
# An upstream is slowed this long for a slow caller. It ends an answer that
# stays unread for some seconds; so the answer is then read on and held.
READ_ON_AFTER_S = 1.0


def cut_events(rest: bytearray, chunk: bytes) -> bytes:
    r"""Return the whole events that end in a chunk.

    Each byte is searched once: an event without an end costs no more than its
    length.

    Parameters
    ----------
    rest : bytearray
        The start of an event whose end has not come; updated.

    Examples
    --------
    >>> rest = bytearray(b'data: a\n')
    >>> cut_events(rest, b'\ndata: b'), rest
    (b'data: a\n\n', bytearray(b'data: b'))
    """
    if not rest and chunk.endswith(EVENT_END):
        return chunk
    start = max(0, len(rest) - len(EVENT_END) + 1)
    rest.extend(chunk)
    end = rest.rfind(EVENT_END, start)
    if end < 0:
        return b''
    end += len(EVENT_END)
    whole = bytes(rest[:end])
    del rest[:end]
    return whole


@dataclass
class EventSplitter:
    r"""Cuts a stream into whole events, of which it counts the number only.

    A caller is sent whole events, so that a stream that breaks can go on at
    an event's border. The bytes are passed on as they come: there is one
    search and one count in each chunk, and nothing is parsed.

    Parameters
    ----------
    delivered : int
        Whole events that the caller has, those of earlier attempts included.
    rest : bytearray
        The start of an event whose end has not come.
    finished : bool
        True once the final event has come.

    Examples
    --------
    >>> events = EventSplitter()
    >>> events.take(b'data: a\n\ndata: b')
    b'data: a\n\n'
    >>> events.take(b'c\n\n'), events.delivered
    (b'data: bc\n\n', 2)
    """

    delivered: int = 0
    rest: bytearray = field(default_factory=bytearray)
    finished: bool = False

    def take(self, chunk: bytes) -> bytes:
        """Return the whole events that end in this chunk."""
        whole = cut_events(self.rest, chunk)
        if whole:
            self.delivered += whole.count(EVENT_END)
            self.finished = whole.endswith(FINAL_EVENT)
        return whole

    def fault_at_end(self) -> str | None:
        """Return what is wrong with a stream that ended; None for nothing."""
        if self.finished and not self.rest:
            return None
        return 'ended without its final event'


class WholeEvents(Protocol):
    """Cuts a stream into whole events."""

    rest: bytearray

    def take(self, chunk: bytes) -> bytes:
        """Return the whole events that end in this chunk.

        Raises
        ------
        BrokenAnswerError
            Where the events cannot be of this stream.
        """

    def fault_at_end(self) -> str | None:
        """Return what is wrong with a stream that ended; None for nothing."""


@dataclass
class StreamPipe:
    """Passes a stream on as its bytes come, without waking a task for each.

    A token is sent to its caller within the callback that received it. With
    a task between, each token waited for one more turn of the event loop,
    behind the tokens of every other stream.

    Parameters
    ----------
    call : UpstreamCall
        Where the stream comes from.
    writer : AnswerWriter
        Where it goes.
    status, headers : int, tuple of (bytes, bytes)
        The head that goes out with the first whole event, so that a stream
        which breaks before it can be tried elsewhere.
    events : WholeEvents
        Cuts the stream into whole events.
    longest_event : int
        Bytes of an event that are kept at most.
    on_begun : callable
        Told when the head goes out.
    on_bytes : callable or None
        Told whenever bytes of the stream are passed on.
    gather_s : float
        Events that come within this time of the last send are gathered and
        sent with the first event after it, or half this time later. The
        first event, one after a longer pause and the end of a chunked stream
        are sent at once. Of a stream that is not chunked the end cannot be
        told, so it must be 0.
    done : asyncio.Future
        None where the stream came to its clean end, else why it broke.
    reading_on : bool
        True while the stream is read although its caller is slow.
    counted_bytes : int
        Bytes of an event's start that count as held.
    """

    call: UpstreamCall
    writer: AnswerWriter
    status: int
    headers: Headers
    events: WholeEvents
    longest_event: int
    on_begun: Callable[[], None]
    on_bytes: Callable[[], None] | None = None
    gather_s: float = 0.0
    gathered: bytes = b''
    sent_s: float = -inf
    sending: asyncio.TimerHandle | None = None
    done: asyncio.Future[str | None] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future(),
    )
    reading_on: bool = False
    counted_bytes: int = 0
    patience: asyncio.TimerHandle | None = None

    def open(self) -> None:
        """Start to pass on, beginning with what came behind the head."""
        source = self.call.channel
        pending = source.take_received()
        source.sink = self.take
        self.writer.channel.on_writable = self.catch_up
        self.pass_on()
        if pending:
            self.take(pending)
        if source.ended:
            self.take(b'')

    def close(self) -> None:
        """Pass on what was gathered, and then no more."""
        self.feed_gathered()
        self.call.channel.sink = None
        self.writer.channel.on_writable = None
        self.stop_patience()
        self.count_rest(0)

    def take(self, received: bytes) -> None:
        """Take bytes as they come; empty bytes where the connection ended."""
        if self.done.done():
            # Surplus bytes: the connection must not be used again.
            self.call.channel.received += received
            return
        self.gathered += received
        if not received:
            self.feed_gathered()
            self.feed(b'')
        elif not self.may_gather():
            self.feed_gathered()

    def may_gather(self) -> bool:
        """Tell whether what has come may wait; schedule its sending."""
        if not self.gather_s or not self.writer.begun:
            return False
        is_large = len(self.gathered) > GATHERED_BYTES
        if is_large or self.gathered.endswith(LAST_CHUNK):
            return False
        loop = asyncio.get_running_loop()
        wait_s = self.sent_s + self.gather_s - loop.time()
        if wait_s <= 0:
            return False
        if self.sending is None:
            # The next event usually sends what was gathered, in a wake-up of
            # the process that takes place anyway.
            delay_s = wait_s + self.gather_s * TIMER_SLACK
            self.sending = loop.call_later(delay_s, self.feed_gathered)
        return True

    def feed_gathered(self) -> None:
        """Parse and pass on what was gathered."""
        if self.sending is not None:
            self.sending.cancel()
            self.sending = None
        if self.gathered:
            received = self.gathered
            self.gathered = b''
            self.feed(received)

    def feed(self, received: bytes) -> None:
        """Parse and pass on bytes; empty where the connection ended."""
        if received and self.on_bytes is not None:
            self.on_bytes()
        try:
            self.call.feed(received)
        except BrokenAnswerError as broken:
            self.settle(str(broken))
            return
        self.pass_on()

    def pass_on(self) -> None:
        """Send every whole event that has come."""
        try:
            whole = self.take_events()
        except BrokenAnswerError as broken:
            self.settle(str(broken))
            return
        fault = self.events.fault_at_end() if self.call.whole else None
        if whole and not self.writer.channel.ended:
            self.put(whole, is_last=self.call.whole and fault is None)
        if self.call.whole:
            self.settle(fault)
        elif len(self.events.rest) > self.longest_event:
            self.settle('an event is too long')
        else:
            self.count_rest(len(self.events.rest))

    def count_rest(self, size: int) -> None:
        """Count the start of a long event as held by its caller."""
        counted_bytes = size if size >= COUNTED_EVENT_BYTES else 0
        if counted_bytes == self.counted_bytes:
            return
        self.counted_bytes = counted_bytes
        if self.writer.channel.held is not None:
            self.writer.channel.held.gather_answer(counted_bytes)

    def take_events(self) -> bytes:
        """Return the whole events that have come."""
        received = self.call.available()
        try:
            return self.events.take(received)
        except StrayBytesError as stray:
            self.call.record_stray(stray.kind)
            raise

    def put(self, whole: bytes, *, is_last: bool) -> None:
        """Queue whole events; slow the upstream where the caller is slow."""
        if not self.writer.begun:
            self.on_begun()
            self.writer.put_head(self.status, self.headers)
        self.writer.put(whole, is_last=is_last)
        if self.gather_s:
            self.sent_s = asyncio.get_running_loop().time()
        if self.writer.channel.write_paused:
            self.slow_down()

    def settle(self, fault: str | None) -> None:
        """Set how the stream ended, unless its task was cancelled."""
        if not self.done.done():
            self.done.set_result(fault)

    def slow_down(self) -> None:
        """Read no more for now, unless the answer is read on."""
        held = self.writer.channel.held
        if self.reading_on and held is not None and held.has_room():
            return
        self.call.channel.pause()
        if held is not None and self.patience is None and not self.reading_on:
            loop = asyncio.get_running_loop()
            self.patience = loop.call_later(READ_ON_AFTER_S, self.read_on)

    def read_on(self) -> None:
        """Read on although the caller is slow; the budget bounds it."""
        self.patience = None
        self.reading_on = True
        self.call.channel.resume()

    def catch_up(self) -> None:
        """Read again, since the caller has caught up."""
        self.stop_patience()
        self.reading_on = False
        self.call.channel.resume()

    def stop_patience(self) -> None:
        """Forget that the caller was slow."""
        if self.patience is not None:
            self.patience.cancel()
            self.patience = None
