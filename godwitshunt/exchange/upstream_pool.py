"""Connections to upstreams and to other VMs, reused only after a clean end."""

import asyncio
import ssl
from collections import defaultdict
from dataclasses import dataclass, field

import h11
from result import Err, Ok, Result

from godwitshunt.exchange.channel import Channel
from godwitshunt.exchange.problems import Headers
from godwitshunt.exchange.requests import BODYLESS
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics

CONNECT_TIMEOUT_S = 1.0
IDLE_LIMIT_S = 10.0
IDLE_EACH = 256
HEAD_BYTES = 64 * 1024
REQUEST_ID = b'godwitshunt-request'


@dataclass(frozen=True)
class ConnectFailed:
    """No connection came about: the request cannot have run there."""

    reason: str


@dataclass(frozen=True)
class AnswerBroken:
    """The request went out, at least in part, and no whole answer came."""

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
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    request_id: str
    fresh: bool = False


class BrokenAnswerError(Exception):
    """An answer that ended otherwise than its head promised."""


@dataclass
class IdleConnection:
    """A connection that waits for its next request."""

    channel: Channel
    connection: h11.Connection
    since_s: float


@dataclass
class UpstreamCall:
    """One request on one connection, and its answer."""

    pool: 'UpstreamPool'
    address: Address
    channel: Channel
    connection: h11.Connection
    method: str
    released: bool = False
    whole: bool = False

    async def send(self, request: OutgoingRequest) -> None:
        """Write the whole request."""
        headers = [
            (b'host', str(self.address).encode()),
            *request.headers,
            (REQUEST_ID, request.request_id.encode()),
            (b'content-length', str(len(request.body)).encode()),
        ]
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=headers,
        )
        parts = [self.connection.send(head)]
        if request.body:
            parts.append(self.connection.send(h11.Data(data=request.body)))
        parts.append(self.connection.send(h11.EndOfMessage()))
        self.channel.write(b''.join(parts))
        await self.channel.drain()

    async def head(
        self,
        request_id: str,
        silence_s: float | None = None,
    ) -> AnswerHead:
        """Return the answer's head; raise where it is none or not ours.

        Parameters
        ----------
        request_id : str
            What an answer that repeats one has to repeat.
        silence_s : float or None
            Seconds without a sign of life, such as ``102 Processing``, after
            which the other side counts as gone; None waits on.
        """
        event = await self.sign_of_life(silence_s)
        while isinstance(event, h11.InformationalResponse):
            event = await self.sign_of_life(silence_s)
        if not isinstance(event, h11.Response):
            raise BrokenAnswerError('ended before an answer')
        head = AnswerHead(event.status_code, tuple(event.headers))
        check_answer(head, self.method, request_id)
        return head

    async def sign_of_life(self, silence_s: float | None) -> object:
        """Return the next event; raise where none comes in time."""
        try:
            async with asyncio.timeout(silence_s):
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
        if not received and self.connection.their_state is h11.SEND_RESPONSE:
            raise BrokenAnswerError('ended before an answer')
        self.connection.receive_data(received)

    def release(self) -> bool:
        """Give the connection back; False where more than the answer came."""
        self.released = True
        self.channel.resume()
        surplus = self.connection.trailing_data[0] or self.channel.received
        states = (self.connection.our_state, self.connection.their_state)
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
    """Idle connections by address.

    Parameters
    ----------
    metrics : Metrics
        Counts connections made, reused and discarded.
    tls : ssl.SSLContext or None
        None talks plain TCP.
    source : str or None
        The own IP address to connect from; None lets the system choose.
    """

    metrics: Metrics
    tls: ssl.SSLContext | None = None
    source: str | None = None
    idle: dict[Address, list[IdleConnection]] = field(
        default_factory=lambda: defaultdict(list),
    )

    async def open(
        self,
        address: Address,
        request: OutgoingRequest,
    ) -> Result[UpstreamCall, ConnectFailed]:
        """Return a call on an idle or a new connection."""
        if not request.fresh:
            kept = self.take(address)
            if kept is not None:
                return Ok(self.call(address, kept, request))
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
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
        made = IdleConnection(channel, connection, loop.time())
        return Ok(self.call(address, made, request))

    def call(
        self,
        address: Address,
        kept: IdleConnection,
        request: OutgoingRequest,
    ) -> UpstreamCall:
        """Return a call on a connection."""
        return UpstreamCall(
            self,
            address,
            kept.channel,
            kept.connection,
            request.method,
        )

    def take(self, address: Address) -> IdleConnection | None:
        """Return an idle connection on which nothing came since its end."""
        now = asyncio.get_running_loop().time()
        waiting = self.idle.get(address)
        while waiting:
            kept = waiting.pop()
            silent = not (kept.channel.ended or kept.channel.received)
            if silent and now - kept.since_s < IDLE_LIMIT_S:
                self.metrics.count('upstream_connections_reused_total')
                return kept
            # Bytes on an idle connection belong to no request of ours: a
            # doubled or late answer would go to the next caller.
            self.metrics.count('upstream_connections_discarded_total')
            kept.channel.abort()
        return None

    def keep(self, call: UpstreamCall) -> None:
        """Keep a connection whose answer ended cleanly."""
        waiting = self.idle[call.address]
        if len(waiting) >= IDLE_EACH:
            call.channel.close()
            return
        call.connection.start_next_cycle()
        now = asyncio.get_running_loop().time()
        waiting.append(IdleConnection(call.channel, call.connection, now))

    def close(self) -> None:
        """Close every idle connection."""
        for waiting in self.idle.values():
            for kept in waiting:
                kept.channel.close()
        self.idle.clear()


def check_answer(head: AnswerHead, method: str, request_id: str) -> None:
    """Refuse an answer whose end or whose request cannot be known.

    An answer without a length ends where the connection ends, and then a
    crash in its midst looks like its end.
    """
    fields = dict(head.headers)
    told = fields.get(REQUEST_ID)
    if told is not None and told != request_id.encode():
        raise BrokenAnswerError('an answer to another request')
    sized = b'content-length' in fields or b'transfer-encoding' in fields
    if not (sized or method == 'HEAD' or head.status in BODYLESS):
        raise BrokenAnswerError('an answer without a length')
