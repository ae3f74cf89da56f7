"""An HTTP/1.1 listener (h11) that bounds everything that it reads."""

import asyncio
import ssl
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

import h11

from godwitshunt.exchange.buffer_budget import BufferBudget
from godwitshunt.exchange.channel import Channel
from godwitshunt.exchange.held_bytes import HeldBytes, count_body
from godwitshunt.exchange.liveness import INCOMING, probe
from godwitshunt.exchange.problems import (
    Headers,
    Problem,
    ProblemKind,
    render_problem,
)
from godwitshunt.exchange.requests import AnswerWriter, HttpRequest
from godwitshunt.settings import Address, LimitSettings
from godwitshunt.telemetry import Metrics, log_change

RequestHandler = Callable[[HttpRequest, AnswerWriter], Awaitable[None]]

IDLE_TIMEOUT_S = 75.0
BODY_TIMEOUTS = 6
LINGER_S = 0.2
BACKLOG = 1024
EMPTY_LINES = b'\r\n'
LINE_BREAKS = (b'\r', b'\n')


class RefusedInput(Exception):
    """Input that ends the connection after one typed answer.

    Parameters
    ----------
    kind : ProblemKind
        Type of the answer.
    detail : str
        What was wrong.
    request_id : tuple of bytes or None
        Header that the answer repeats.
    """

    def __init__(
        self,
        kind: ProblemKind,
        detail: str,
        request_id: tuple[bytes, bytes] | None = None,
    ) -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail
        self.request_id = request_id


@dataclass(frozen=True)
class ListenerOptions:
    """Where a listener listens and what it bounds.

    Parameters
    ----------
    address : Address
        Where to listen.
    limits : LimitSettings
        Bounds in bytes, seconds and connections.
    tls : ssl.SSLContext or None
        None talks plain TCP.
    idle_timeout_s : float
        Seconds that a connection without a request is kept.
    budget : BufferBudget or None
        Bounds what is held for callers; None for no bound.
    """

    address: Address
    limits: LimitSettings
    tls: ssl.SSLContext | None = None
    idle_timeout_s: float = IDLE_TIMEOUT_S
    budget: BufferBudget | None = None


class Listener:
    """Accepts connections and hands whole requests to a handler.

    Parameters
    ----------
    options : ListenerOptions
        Address and bounds.
    metrics : Metrics
        Counts connections and each type of refused input.
    handler : callable
        Answers one request; called one at a time on each connection.
    """

    def __init__(
        self,
        options: ListenerOptions,
        metrics: Metrics,
        handler: RequestHandler,
    ) -> None:
        self.options = options
        self.metrics = metrics
        self.handler = handler
        self.tasks: set[asyncio.Task[None]] = set()
        self.idle: set[Channel] = set()
        self.answering: set[AnswerWriter] = set()
        self.draining = False
        # Answers from now on tell callers to use another connection.
        self.last_answers = False
        self.quiet = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Channel(self.accept),
            self.options.address.host,
            self.options.address.port,
            ssl=self.options.tls,
            backlog=BACKLOG,
        )
        # Accepted connections inherit the options of the listening socket.
        for listening in self.server.sockets:
            probe(listening, INCOMING)

    def stop_accepting(self) -> None:
        """Take no new connections; those that are open go on."""
        if self.server is not None:
            self.server.close()

    def drain(self) -> None:
        """Close idle connections, and each other one after its answer.

        New connections are still taken, so that a caller with an old list of
        entries is told to go elsewhere.
        """
        self.draining = True
        self.close_idle()

    def close_idle(self) -> None:
        """Close connections that wait for a request."""
        for channel in tuple(self.idle):
            channel.close()

    async def close(self) -> None:
        """Wait until every request has its answer, then take no more."""
        self.drain()
        while self.answering:
            self.quiet.clear()
            await self.quiet.wait()
        if self.server is not None:
            self.server.close()
        self.close_idle()
        while self.tasks:
            await asyncio.wait(tuple(self.tasks))

    def accept(self, channel: Channel) -> None:
        """Start the task that owns a new connection."""
        if self.options.budget is not None:
            HeldBytes(self.options.budget, channel)
        task = asyncio.get_running_loop().create_task(self.serve(channel))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, channel: Channel) -> None:
        """Serve one connection until it ends."""
        self.metrics.count('http_connections_total')
        connection = self.new_connection()
        try:
            if len(self.tasks) > self.options.limits.connections:
                raise RefusedInput(ProblemKind.connections, 'connection limit')
            while await self.serve_request(connection, channel):
                connection = self.next_cycle(connection)
        except RefusedInput as refused:
            self.metrics.count('http_refused_total', kind=refused.kind.slug)
            await self.refuse(connection, channel, refused)
        except (ConnectionError, TimeoutError):
            self.metrics.count('http_connections_broken_total')
        finally:
            channel.close()

    async def serve_request(
        self,
        connection: h11.Connection,
        channel: Channel,
    ) -> bool:
        """Read and answer one request; False where no other may follow."""
        if not await self.wait_for_request(connection, channel):
            return False
        request = await self.read_request(connection, channel)
        if channel.ended:
            raise ConnectionResetError('the caller is gone')
        await self.handle(request, AnswerWriter(connection, channel))
        return is_reusable(connection) and not self.draining

    def new_connection(self) -> h11.Connection:
        """Return the parser of a connection without a request."""
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.options.limits.header_bytes,
        )

    def next_cycle(self, connection: h11.Connection) -> h11.Connection:
        """Return the parser for the next request on a connection.

        The parser refuses empty lines before a request (RFC 9112, section
        2.2), and does not give back what it has received.
        """
        received = connection.trailing_data[0]
        if not received.startswith(LINE_BREAKS):
            connection.start_next_cycle()
            return connection
        renewed = self.new_connection()
        following = received.lstrip(EMPTY_LINES)
        if following:
            renewed.receive_data(following)
        return renewed

    async def handle(self, request: HttpRequest, answer: AnswerWriter) -> None:
        """Have one request answered."""
        answer.closing = self.draining or self.last_answers
        answer.bodyless = request.method == 'HEAD'
        answer.channel.requests += 1
        self.answering.add(answer)
        try:
            await self.handler(request, answer)
        except (ConnectionError, TimeoutError):
            raise
        except Exception as fault:
            # A fault of ours must end one request only, and be seen.
            log_change('exchange:request_failed', error=repr(fault))
            raise RefusedInput(
                ProblemKind.internal, 'see the log', answer.request_id
            ) from fault
        finally:
            self.end_answer(answer)

    def end_answer(self, answer: AnswerWriter) -> None:
        """Note that a request has its answer."""
        self.answering.discard(answer)
        answer.ended = True
        if answer.channel.held is not None:
            answer.channel.held.end_request()
        if not self.answering:
            self.quiet.set()

    async def wait_for_request(
        self,
        connection: h11.Connection,
        channel: Channel,
    ) -> bool:
        """Wait for the first byte of a request; False where none comes."""
        if connection.trailing_data[0]:
            return True
        if self.server is not None and not self.server.is_serving():
            return False
        self.idle.add(channel)
        try:
            async with asyncio.timeout(self.options.idle_timeout_s):
                chunk = await read_past_empty_lines(channel)
        except TimeoutError:
            return False
        finally:
            self.idle.discard(channel)
        if chunk:
            connection.receive_data(chunk)
        return bool(chunk)

    async def read_request(
        self,
        connection: h11.Connection,
        channel: Channel,
    ) -> HttpRequest:
        """Read one whole request within the time and size bounds."""
        limits = self.options.limits
        head = parse_event(connection)
        try:
            # Most requests come whole; timers are set for the others only.
            if head is h11.NEED_DATA:
                async with asyncio.timeout(limits.read_timeout_s):
                    head = await next_event(connection, channel)
            headers = self.check(head)
            if connection.they_are_waiting_for_100_continue:
                proceed = h11.InformationalResponse(status_code=100, headers=[])
                channel.write(connection.send(proceed))
            body = await self.read_body(connection, channel, headers)
        except TimeoutError:
            raise RefusedInput(
                ProblemKind.timeout,
                'the request was not whole in time',
            ) from None
        path, _, query = head.target.decode('latin-1').partition('?')
        return HttpRequest(
            method=head.method.decode('latin-1'),
            path=path,
            query=query,
            headers=headers,
            body=body,
        )

    def check(self, head: h11.Request | h11.ConnectionClosed) -> Headers:
        """Refuse a head that is wrong or too long; return its headers.

        Each pass over h11's own headers costs two calls for each of them.
        """
        if isinstance(head, h11.ConnectionClosed):
            raise ConnectionResetError('ended before a request')
        headers = tuple(head.headers)
        check_size(head.target, headers, self.options.limits.header_bytes)
        check_head(head, headers)
        return headers

    async def read_body(
        self,
        connection: h11.Connection,
        channel: Channel,
        headers: Headers,
    ) -> bytes:
        """Read the body; refuse it as soon as it is known to be too long."""
        limit = self.options.limits.body_bytes
        for name, content in headers:
            if name == b'content-length' and int(content) > limit:
                raise too_long(limit)
        body = Body(limit)
        event = parse_event(connection)
        while event is not h11.NEED_DATA:
            if isinstance(event, h11.EndOfMessage):
                count_body(channel, body.size)
                return body.whole()
            body.add(event)
            event = parse_event(connection)
        count_body(channel, body.size, is_receiving=True)
        read_timeout_s = self.options.limits.read_timeout_s
        async with asyncio.timeout(read_timeout_s * BODY_TIMEOUTS):
            while True:
                async with asyncio.timeout(read_timeout_s):
                    event = await next_event(connection, channel)
                if isinstance(event, h11.EndOfMessage):
                    count_body(channel, body.size)
                    return body.whole()
                body.add(event)
                count_body(channel, body.size, is_receiving=True)

    async def refuse(
        self,
        connection: h11.Connection,
        channel: Channel,
        refused: RefusedInput,
    ) -> None:
        """Send one typed answer, then let the connection end.

        Closing while the other side still sends would reset the connection
        and destroy the answer before it is read; so we read on for a moment.
        """
        if connection.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        answer = AnswerWriter(connection, channel)
        answer.closing = True
        answer.request_id = refused.request_id
        # A refused HEAD request takes no body; it just sees the end.
        with suppress(ConnectionError, TimeoutError, h11.LocalProtocolError):
            await answer.whole(
                render_problem(Problem(refused.kind, refused.detail)),
            )
            async with asyncio.timeout(LINGER_S):
                await read_to_end(channel)


class Body:
    """Parts of a body, bounded.

    Parameters
    ----------
    limit : int
        Bytes above which it is refused.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.parts: list[bytes] = []
        self.size = 0

    def add(self, event: h11.Data) -> None:
        """Add a part.

        Raises
        ------
        RefusedInput
            Where the body is too long.
        """
        self.size += len(event.data)
        if self.size > self.limit:
            raise too_long(self.limit)
        self.parts.append(bytes(event.data))

    def whole(self) -> bytes:
        """Return the body."""
        return b''.join(self.parts)


def too_long(limit: int) -> RefusedInput:
    """Return the refusal of a body that is too long."""
    return RefusedInput(
        ProblemKind.body_too_large,
        f'more than {limit} bytes',
    )


def is_reusable(connection: h11.Connection) -> bool:
    """Tell whether both sides ended their message cleanly."""
    states = (connection.our_state, connection.their_state)
    return states == (h11.DONE, h11.DONE)


async def next_event(
    connection: h11.Connection,
    channel: Channel,
) -> h11.Request | h11.Data | h11.EndOfMessage:
    """Return the next part of a request, reading where more is needed."""
    event = parse_event(connection)
    while event is h11.NEED_DATA:
        chunk = await channel.read()
        if not chunk:
            raise ConnectionResetError('ended within a request')
        connection.receive_data(chunk)
        event = parse_event(connection)
    if isinstance(event, h11.ConnectionClosed):
        raise ConnectionResetError('ended before a request')
    return event


def parse_event(connection: h11.Connection) -> h11.Event | type[h11.NEED_DATA]:
    """Return the next event; refuse input that is not HTTP/1.1."""
    try:
        return connection.next_event()
    except h11.RemoteProtocolError as wrong:
        raise RefusedInput(kind_of_fault(wrong), str(wrong)) from None


async def read_past_empty_lines(channel: Channel) -> bytes:
    """Return what comes, without empty lines before it; empty at the end."""
    chunk = await channel.read()
    following = chunk.lstrip(EMPTY_LINES)
    while chunk and not following:
        chunk = await channel.read()
        following = chunk.lstrip(EMPTY_LINES)
    return following


async def read_to_end(channel: Channel) -> None:
    """Read and drop what still comes."""
    chunk = await channel.read()
    while chunk:
        chunk = await channel.read()


def kind_of_fault(wrong: h11.RemoteProtocolError) -> ProblemKind:
    """Return the problem type of input that h11 does not accept."""
    if wrong.error_status_hint == ProblemKind.header_too_large.status:
        return ProblemKind.header_too_large
    if 'Content-Length' in str(wrong):
        return ProblemKind.ambiguous_length
    return ProblemKind.malformed


def check_head(head: h11.Request, headers: Headers) -> None:
    """Refuse heads that another server might read in another way.

    Two ways to tell the length let a request hide within another one's body
    where two servers disagree; so a request that has both is never answered.
    An HTTP/1.0 caller could not tell a broken answer from a whole one.
    """
    if head.http_version != b'1.1':
        raise RefusedInput(ProblemKind.http_version, 'HTTP/1.0')
    names = [name for name, _ in headers]
    if b'content-length' in names and b'transfer-encoding' in names:
        raise RefusedInput(
            ProblemKind.ambiguous_length,
            'Content-Length beside Transfer-Encoding',
        )
    if head.method == b'CONNECT' or not head.target.startswith(b'/'):
        raise RefusedInput(ProblemKind.malformed, 'the target is no path')


def check_size(target: bytes, headers: Headers, limit: int) -> None:
    """Refuse a head that is too long.

    The parser bounds a head that comes in parts; one that comes at once is
    bounded here.
    """
    size = sum(len(name) + len(content) for name, content in headers)
    if size + len(target) > limit:
        kind = ProblemKind.header_too_large
        raise RefusedInput(kind, f'more than {limit} bytes')
