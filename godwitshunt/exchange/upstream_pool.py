"""Connections to upstreams and to other VMs, reused only after a clean end."""

import asyncio
import ssl
from collections import defaultdict
from collections.abc import Container
from dataclasses import dataclass, field
from functools import partial
from math import inf

import h11
from result import Err, Ok, Result

from godwitshunt.exchange.attribution import StrayBytes, StrayKind, StrayLog
from godwitshunt.exchange.channel import Channel
from godwitshunt.exchange.deadline import deadline
from godwitshunt.exchange.liveness import acknowledged_s
from godwitshunt.exchange.requests import SLICE_BYTES
from godwitshunt.exchange.upstream_messages import (
    IDLE_LIMIT_S,
    REQUEST_ID,
    AnswerHead,
    BrokenAnswerError,
    ConnectFailed,
    OutgoingRequest,
    Place,
    check_answer,
    is_of_another,
    named_request,
    states_end,
    told_idle_limit_s,
)
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics

IDLE_EACH = 256
# An upstream is known to be live if it has sent bytes on any connection, or
# acknowledged a probe on this one, within these times. The kernel probes each
# second.
LIVE_HEARD_S = 0.5
LIVE_ACKNOWLEDGED_S = 1.2
# An upstream that closed a connection after some idle time closes others after
# the same time; they are used until this long before.
CLOSE_MARGIN_S = 0.5
HEAD_BYTES = 64 * 1024
BODYLESS_METHODS = frozenset(('GET', 'HEAD', 'DELETE'))


@dataclass
class ConnectionUse:
    """How a connection has been used.

    Parameters
    ----------
    made_s : float
        When it was made, in seconds of the event loop.
    requests : int
        Requests that were sent on it.
    last_request : str
        Id of the last one.
    """

    made_s: float = 0.0
    requests: int = 0
    last_request: str = ''

    def record(self, request_id: str) -> None:
        """Record a request."""
        self.requests += 1
        self.last_request = request_id

    @property
    def is_shared(self) -> bool:
        """True where other requests used it before the last one."""
        return self.requests > 1


@dataclass(eq=False)
class IdleConnection:
    """A connection that waits for its next request."""

    channel: Channel
    connection: h11.Connection
    since_s: float
    use: ConnectionUse
    idle_limit_s: float = IDLE_LIMIT_S


@dataclass
class UpstreamCall:
    """One request on one connection, and its answer."""

    pool: 'UpstreamPool'
    place: Place
    channel: Channel
    connection: h11.Connection
    method: str
    id_header: bytes = REQUEST_ID
    use: ConnectionUse = field(default_factory=ConnectionUse)
    released: bool = False
    whole: bool = False
    idle_limit_s: float = IDLE_LIMIT_S

    async def send(self, request: OutgoingRequest) -> None:
        """Write the whole request."""
        headers = [
            (b'host', request.host or str(self.place.address).encode()),
            *request.headers,
            (request.id_header, request.request_id.encode()),
        ]
        if request.body or request.method not in BODYLESS_METHODS:
            length = str(len(request.body)).encode()
            headers.append((b'content-length', length))
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=headers,
        )
        parts = [self.connection.send(head)]
        if len(request.body) > SLICE_BYTES:
            self.channel.write(parts.pop())
            await self.send_slices(request.body)
        elif request.body:
            parts.append(self.connection.send(h11.Data(data=request.body)))
        parts.append(self.connection.send(h11.EndOfMessage()))
        self.channel.write(b''.join(parts))
        await self.channel.drain()

    async def send_slices(self, body: bytes) -> None:
        """Write a long body as fast as the upstream reads.

        In one piece it would be copied to the send buffer, and be held twice.
        """
        for start in range(0, len(body), SLICE_BYTES):
            data = body[start : start + SLICE_BYTES]
            self.channel.write(self.connection.send(h11.Data(data=data)))
            await self.channel.drain()

    async def head(
        self,
        request: OutgoingRequest,
        silence_s: float | None = None,
    ) -> AnswerHead:
        """Return the answer's head; raise where it is none or not ours.

        Parameters
        ----------
        request : OutgoingRequest
            Whose id an answer that repeats one has to repeat.
        silence_s : float or None
            Seconds without a sign of life, such as ``102 Processing``, after
            which the other side counts as gone; None waits on.
        """
        head = await self.next_head(silence_s)
        if request.skips_others and is_of_another(head, request):
            self.record_stray(StrayKind.skipped, head)
            await self.skip(request)
            head = await self.next_head(silence_s)
        self.record_doubts(head, request)
        check_answer(head, request)
        self.idle_limit_s = told_idle_limit_s(head.headers)
        self.pool.record_received(self.place)
        return head

    def record_doubts(self, head: AnswerHead, request: OutgoingRequest) -> None:
        """Record what leaves it open whose answer a head begins."""
        if is_of_another(head, request):
            self.record_stray(StrayKind.foreign, head)
            return
        if not (request.skips_others and self.use.is_shared):
            return
        if named_request(head, request) is None:
            self.record_stray(StrayKind.unnamed, head)
        if not states_end(head, request):
            self.record_stray(StrayKind.unframed, head)

    def record_stray(
        self,
        kind: StrayKind,
        head: AnswerHead | None = None,
        size: int = 0,
    ) -> None:
        """Record bytes that belong to no waiting request."""
        named = None if head is None else dict(head.headers).get(self.id_header)
        self.pool.record_stray(
            kind,
            self.place,
            self.use,
            named=(named or b'').decode('latin-1'),
            size=size,
        )

    async def next_head(self, silence_s: float | None) -> AnswerHead:
        """Return the next head that is no sign of life only."""
        event = await self.sign_of_life(silence_s)
        while isinstance(event, h11.InformationalResponse):
            event = await self.sign_of_life(silence_s)
        if not isinstance(event, h11.Response):
            raise BrokenAnswerError('ended before an answer')
        return AnswerHead(event.status_code, tuple(event.headers))

    async def skip(self, request: OutgoingRequest) -> None:
        """Read past an answer to another request, to where ours begins.

        An upstream may answer a request twice, the second time where the
        answer to the next one is due. Given up, a request that may not be
        repeated would be lost although its own answer follows. The parser
        takes one answer to a request; so it is made anew, as after sending.
        """
        chunk = await self.chunk()
        while chunk:
            chunk = await self.chunk()
        surplus, ended = self.connection.trailing_data
        if ended or self.connection.their_state is not h11.DONE:
            raise BrokenAnswerError('an answer to another request')
        self.whole = False
        self.connection = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=HEAD_BYTES,
        )
        sent = h11.Request(
            method=request.method,
            target=request.target,
            headers=[(b'host', b'sent')],
        )
        self.connection.send(sent)
        self.connection.send(h11.EndOfMessage())
        if surplus:
            self.connection.receive_data(surplus)

    async def sign_of_life(self, silence_s: float | None) -> object:
        """Return the next event; raise where none comes in time."""
        if silence_s is None:
            return await self.event()
        try:
            async with deadline(silence_s):
                return await self.event()
        except TimeoutError:
            raise BrokenAnswerError('no sign of life') from None

    async def chunk(self) -> bytes:
        """Return the next bytes of the body; empty at its clean end."""
        while not self.whole:
            content = self.available()
            if content or self.whole:
                return content
            self.feed(await self.channel.read())
        return b''

    def available(self) -> bytes:
        """Return the part of the body that has come; note its clean end."""
        parts = []
        while not self.whole:
            event = self.next_event()
            match event:
                case h11.Data():
                    parts.append(event.data)
                case h11.EndOfMessage():
                    self.whole = True
                case h11.ConnectionClosed():
                    raise BrokenAnswerError('ended within the answer')
                case _:
                    break
        return b''.join(parts)

    async def event(self) -> object:
        """Return the next event, reading where more is needed."""
        event = self.next_event()
        while event is h11.NEED_DATA:
            self.feed(await self.channel.read())
            event = self.next_event()
        return event

    def next_event(self) -> object:
        """Return the next event, or NEED_DATA."""
        try:
            return self.connection.next_event()
        except h11.RemoteProtocolError as wrong:
            raise BrokenAnswerError(str(wrong)) from None

    def feed(self, received: bytes) -> None:
        """Take bytes of the answer; empty where the connection ended."""
        if not received:
            self.check_end()
        self.connection.receive_data(received)

    def check_end(self) -> None:
        """Raise where the connection's end cannot be an answer's end.

        An answer without a length ends where its connection ends; one whose
        connection was reset looks the same to the parser, and the caller
        would take a part for the whole.
        """
        if self.connection.their_state is h11.SEND_RESPONSE:
            raise BrokenAnswerError('ended before an answer')
        if not self.channel.ended_cleanly:
            raise BrokenAnswerError('reset within the answer')

    def release(self) -> bool:
        """Give the connection back; False where more than the answer came."""
        self.released = True
        self.channel.resume()
        surplus = self.connection.trailing_data[0] or self.channel.received
        states = (self.connection.our_state, self.connection.their_state)
        if surplus:
            self.record_stray(StrayKind.surplus, size=len(surplus))
        if surplus or self.channel.ended or states != (h11.DONE, h11.DONE):
            self.channel.abort()
            return not surplus
        self.pool.keep(self)
        return True

    def abandon(self) -> None:
        """Close the connection, unless it was given back.

        Its answer may still come; on a connection that is closed it can
        reach no other caller, and the upstream sees that nobody waits.
        """
        if not self.released:
            self.released = True
            self.channel.abort()


@dataclass
class UpstreamPool:
    """Idle connections by who answers at which address.

    Parameters
    ----------
    metrics : Metrics
        Counts connections made, reused and discarded.
    tls : ssl.SSLContext or None
        None talks plain TCP.
    source : str or None
        The own IP address to connect from; None lets the system choose.
    idle_each : int
        Idle connections that are kept at each place.
    heard_s : dict
        When an answer last began at each place.
    closed_after_s : dict
        Shortest idle time after which each place closed a connection.
    """

    metrics: Metrics
    tls: ssl.SSLContext | None = None
    source: str | None = None
    idle_each: int = IDLE_EACH
    idle: dict[Place, list[IdleConnection]] = field(
        default_factory=lambda: defaultdict(list),
    )
    heard_s: dict[Place, float] = field(default_factory=dict)
    closed_after_s: dict[Place, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.strays = StrayLog(self.metrics)

    async def open(
        self,
        address: Address,
        request: OutgoingRequest,
    ) -> Result[UpstreamCall, ConnectFailed]:
        """Return a call on an idle or a new connection."""
        place = Place(address, request.origin)
        if not request.fresh:
            kept = self.take(place, request)
            if kept is not None:
                return Ok(self.call(place, kept, request))
        loop = asyncio.get_running_loop()
        try:
            async with deadline(request.connect_timeout_s):
                _, channel = await loop.create_connection(
                    Channel,
                    address.host,
                    address.port,
                    ssl=self.tls,
                    local_addr=self.source and (self.source, 0),
                )
        except (OSError, TimeoutError) as failed:
            self.metrics.count('upstream_connects_failed_total')
            return Err(ConnectFailed(repr(failed)))
        self.metrics.count('upstream_connects_total')
        connection = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=HEAD_BYTES,
        )
        made_s = loop.time()
        made = IdleConnection(
            channel, connection, made_s, ConnectionUse(made_s)
        )
        return Ok(self.call(place, made, request))

    def call(
        self,
        place: Place,
        kept: IdleConnection,
        request: OutgoingRequest,
    ) -> UpstreamCall:
        """Return a call on a connection."""
        kept.use.record(request.request_id)
        return UpstreamCall(
            self,
            place,
            kept.channel,
            kept.connection,
            request.method,
            request.id_header,
            kept.use,
        )

    def take(
        self,
        place: Place,
        request: OutgoingRequest,
    ) -> IdleConnection | None:
        """Return an idle connection on which nothing came since its end."""
        now = asyncio.get_running_loop().time()
        waiting = self.idle.get(place)
        while waiting:
            kept = waiting[-1]
            silent = not (kept.channel.ended or kept.channel.received)
            if silent and now - kept.since_s < kept.idle_limit_s:
                if not self.may_use(place, kept, request, now):
                    # Those below were idle for longer. Another request, or a
                    # probe's answer, may allow them.
                    return None
                waiting.pop()
                kept.channel.on_lost = None
                self.metrics.count('upstream_connections_reused_total')
                return kept
            # Bytes on an idle connection belong to no request of ours: a
            # doubled or late answer would go to the next caller.
            waiting.pop()
            self.record_idle_bytes(place, kept)
            self.discard(kept)
        return None

    def record_idle_bytes(self, place: Place, kept: IdleConnection) -> None:
        """Record what came on an idle connection, if anything did."""
        size = len(kept.channel.received)
        if size:
            self.record_stray(StrayKind.idle, place, kept.use, size=size)

    def record_stray(
        self,
        kind: StrayKind,
        place: Place,
        use: ConnectionUse,
        *,
        named: str = '',
        size: int = 0,
    ) -> None:
        """Record bytes that belong to no waiting request."""
        self.strays.record(
            StrayBytes(
                kind,
                place.origin or str(place.address),
                use.last_request,
                named,
                size,
                asyncio.get_running_loop().time() - use.made_s,
                use.requests,
            )
        )

    def may_use(
        self,
        place: Place,
        kept: IdleConnection,
        request: OutgoingRequest,
        now: float,
    ) -> bool:
        """Tell whether a request may be sent on a silent connection.

        The upstream's machine may be gone without a word. A new connection to
        it would fail, and the request would be known not to have run.
        """
        idle_s = now - kept.since_s
        if idle_s < request.longest_idle_s:
            return True
        if idle_s >= request.longest_live_idle_s:
            return False
        if now - self.heard_s.get(place, -inf) < LIVE_HEARD_S:
            return True
        return is_live(kept)

    def has_live(self, place: Place) -> bool:
        """Return whether an idle connection is known to be open."""
        return any(
            not kept.channel.ended and is_live(kept)
            for kept in self.idle.get(place, ())
        )

    def has_open(self, place: Place) -> bool:
        """Return whether the other side keeps an idle connection open."""
        return any(not kept.channel.ended for kept in self.idle.get(place, ()))

    def record_received(self, place: Place) -> None:
        """Record that an answer began."""
        self.heard_s[place] = asyncio.get_running_loop().time()

    def keep(self, call: UpstreamCall) -> None:
        """Keep a connection whose answer ended cleanly."""
        waiting = self.idle[call.place]
        if len(waiting) >= self.idle_each:
            call.channel.close()
            return
        call.connection.start_next_cycle()
        now = asyncio.get_running_loop().time()
        closed_after_s = self.closed_after_s.get(call.place, inf)
        limit_s = min(call.idle_limit_s, closed_after_s - CLOSE_MARGIN_S)
        kept = IdleConnection(
            call.channel, call.connection, now, call.use, limit_s
        )
        call.channel.on_lost = partial(self.drop, call.place, kept)
        waiting.append(kept)

    def drop(self, place: Place, kept: IdleConnection) -> None:
        """Drop an idle connection that the upstream closed; learn when."""
        waiting = self.idle.get(place, [])
        if kept not in waiting:
            return
        waiting.remove(kept)
        self.record_idle_bytes(place, kept)
        # A process that starts again at an address without a named origin would
        # be taken for one that closes connections early, and for good.
        if kept.channel.ended_cleanly and place.origin:
            idle_s = asyncio.get_running_loop().time() - kept.since_s
            known_s = self.closed_after_s.get(place, inf)
            self.closed_after_s[place] = min(known_s, idle_s)
        self.discard(kept)

    def discard(self, kept: IdleConnection) -> None:
        """Close a connection that is not used again."""
        kept.channel.on_lost = None
        self.metrics.count('upstream_connections_discarded_total')
        kept.channel.abort()

    def remove_absent(self, present: Container[str]) -> None:
        """Close the idle connections to those who are there no more."""
        for place in tuple(self.idle):
            if place.origin and place.origin not in present:
                for kept in self.idle.pop(place):
                    kept.channel.on_lost = None
                    kept.channel.close()
                self.heard_s.pop(place, None)
                self.closed_after_s.pop(place, None)

    def close(self) -> None:
        """Close every idle connection, at the end of the process."""
        self.close_idle()

    def close_idle(self) -> None:
        """Close every idle connection."""
        for waiting in self.idle.values():
            for kept in waiting:
                kept.channel.on_lost = None
                kept.channel.close()
        self.idle.clear()


def is_live(kept: IdleConnection) -> bool:
    """Return whether the other machine acknowledged a probe just now."""
    age_s = acknowledged_s(kept.channel.transport.get_extra_info('socket'))
    return age_s is not None and age_s < LIVE_ACKNOWLEDGED_S
