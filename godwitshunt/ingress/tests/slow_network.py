"""A listener, an upstream and callers that read slowly, on loopback."""

import asyncio
import socket
import sys
from contextlib import asynccontextmanager, suppress
from pathlib import Path

from godwitshunt.exchange.held_bytes import make_budget
from godwitshunt.exchange.listener import Listener, ListenerOptions
from godwitshunt.exchange.requests import AnswerWriter, HttpRequest
from godwitshunt.exchange.upstream_messages import OutgoingRequest
from godwitshunt.exchange.upstream_pool import UpstreamPool
from godwitshunt.ingress import HeaderNames
from godwitshunt.ingress.attempt import Attempt, ResponseTimeouts
from godwitshunt.ingress.events import NumberedEvents
from godwitshunt.ingress.outcomes import Answered, Streamed
from godwitshunt.settings import Address, LimitSettings
from godwitshunt.telemetry import Metrics

HOST = '127.0.0.1'
NAMES = HeaderNames()
# Small buffers in the kernel: what a slow caller does not read is held by the
# process after a few kilobytes.
KERNEL_BYTES = 4096
EVENT_BYTES = 1000
# An upstream ends an answer that stays unread for this long.
UNREAD_S = 2.0


def event(number: int) -> bytes:
    """Return one event of a stream."""
    head = b'id: %d\ndata: ' % number
    return b'%s\n\n' % head.ljust(EVENT_BYTES - 2, b'x')


def bound_kernel(connection: socket.socket) -> None:
    """Let the kernel buffer little for a connection."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BYTES)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BYTES)


class Upstream:
    """Answers requests with streams, or reads nothing of them.

    The target of a request states the number of events, or ``stop`` to stop
    reading within the body.
    """

    def __init__(self) -> None:
        self.completed = 0
        self.unread = 0
        self.writers = []
        self.tasks = set()

    async def start(self) -> Address:
        """Listen; return the address."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BYTES)
        listening.bind((HOST, 0))
        self.server = await asyncio.start_server(
            self.accept, sock=listening, limit=KERNEL_BYTES, backlog=2000
        )
        host, port = listening.getsockname()
        return Address(host=host, port=port)

    def close(self) -> None:
        """Close all connections."""
        self.server.close()
        for task in self.tasks:
            task.cancel()
        for writer in self.writers:
            writer.transport.abort()

    def accept(self, reader, writer) -> None:
        """Serve a new connection."""
        task = asyncio.create_task(self.serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, reader, writer) -> None:
        """Answer the requests of one connection."""
        self.writers.append(writer)
        bound_kernel(writer.get_extra_info('socket'))
        with suppress(EOFError, OSError):
            while True:
                await self.answer(reader, writer)
        writer.transport.abort()

    async def answer(self, reader, writer) -> None:
        """Answer one request."""
        head = await reader.readuntil(b'\r\n\r\n')
        target = head.split(b' ')[1].strip(b'/')
        if target == b'stop':
            await asyncio.sleep(60)
        length = head.lower().partition(b'content-length: ')[2]
        await reader.readexactly(int(length.split(b'\r\n')[0]))
        kind, _, count = target.partition(b'-')
        if kind == b'whole':
            body = b'x' * EVENT_BYTES * int(count)
            head = b'HTTP/1.1 200 OK\r\n%s: u\r\ncontent-length: %d\r\n\r\n'
            writer.write(head % (NAMES.signature, len(body)) + body)
            return await self.drain(writer)
        writer.write(
            b'HTTP/1.1 200 OK\r\n%s: u\r\ncontent-type: text/event-stream\r\n'
            b'transfer-encoding: chunked\r\n\r\n' % NAMES.signature
        )
        for number in range(1, int(count) + 1):
            writer.write(b'%x\r\n%s\r\n' % (EVENT_BYTES, event(number)))
            await self.drain(writer)
        writer.write(b'0\r\n\r\n')
        await self.drain(writer)
        self.completed += 1

    async def drain(self, writer) -> None:
        """Wait until the answer is read; end it if it stays unread."""
        try:
            async with asyncio.timeout(UNREAD_S):
                await writer.drain()
        except TimeoutError:
            self.unread += 1
            raise ConnectionResetError('unread') from None


class Gateway:
    """Passes requests on to the upstream and answers back.

    A request's header ``rank`` is its rank.
    """

    def __init__(self, upstream: Address, buffer_bytes: int | None) -> None:
        self.upstream = upstream
        self.metrics = Metrics()
        self.budget = make_budget(buffer_bytes, self.metrics)
        self.pool = UpstreamPool(Metrics())
        self.peak_bytes = 0
        self.outcomes = []
        self.settled = asyncio.Semaphore(0)

    async def start(self) -> Address:
        """Listen; return the address."""
        with socket.socket() as free:
            free.bind((HOST, 0))
            address = Address(host=HOST, port=free.getsockname()[1])
        limits = LimitSettings(connections=4000)
        options = ListenerOptions(address, limits, budget=self.budget)
        self.listener = Listener(options, Metrics(), self.serve)
        await self.listener.start()
        return address

    async def serve(self, http: HttpRequest, writer: AnswerWriter) -> None:
        """Serve one request; it ends with its caller's connection."""
        channel = writer.channel
        bound_kernel(channel.transport.get_extra_info('socket'))
        if channel.held is not None:
            rank = int(http.header(b'rank') or 0)
            channel.held.begin_request(http.path, rank)
        task = asyncio.current_task()
        channel.on_lost = task.cancel
        try:
            outcome = await self.attempt(http).run(self.pool, writer)
        except asyncio.CancelledError:
            task.uncancel()
            raise ConnectionResetError('the caller is gone') from None
        finally:
            channel.on_lost = None
            self.settled.release()
        self.outcomes.append(outcome)
        match outcome:
            case Streamed():
                await writer.finish()
            case Answered(answer):
                await writer.whole(answer)
            case _:
                writer.break_off()
                raise ConnectionResetError('broken off')

    def attempt(self, http: HttpRequest) -> Attempt:
        """Return an attempt at the upstream."""
        outgoing = OutgoingRequest(
            http.method, http.target, (), http.body, 'r-1', until_close=True
        )
        return Attempt(
            NAMES,
            self.upstream,
            outgoing,
            NumberedEvents(),
            ResponseTimeouts(),
            8 * 1024 * 1024,
            self.measure,
            lambda: None,
            lambda stage: None,
            lambda head: None,
        )

    def measure(self) -> None:
        """Update the peak of what is held, from the send buffers."""
        holdings = () if self.budget is None else self.budget.holdings
        held_bytes = sum(
            holding.body_bytes + holding.unsent_bytes() for holding in holdings
        )
        self.peak_bytes = max(self.peak_bytes, held_bytes)

    def ended(self, rank: int) -> int:
        """Return how many requests of a rank the budget has ended."""
        line = f'exchange_held_ended_total{{rank="{rank}"}} '.encode()
        _, found, rest = self.metrics.render().partition(line)
        return int(float(rest.split(b'\n')[0])) if found else 0


class Caller:
    """A caller that sends one request and reads when it is told to."""

    async def connect(self, address: Address) -> 'Caller':
        """Connect with small buffers in the kernel."""
        connection = socket.socket()
        bound_kernel(connection)
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, (address.host, address.port))
        self.connection = connection
        return self

    async def send(
        self, target: str, body: bytes = b'x', rank: int = 0
    ) -> 'Caller':
        """Send a request; read nothing of its answer."""
        head = (
            f'POST /{target} HTTP/1.1\r\nhost: x\r\nrank: {rank}\r\n'
            f'content-length: {len(body)}\r\n\r\n'
        )
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self.connection, head.encode() + body)
        return self

    async def read(self, count: int = 65536) -> bytes:
        """Return the next bytes; empty at the end or after a reset."""
        loop = asyncio.get_running_loop()
        try:
            return await loop.sock_recv(self.connection, count)
        except ConnectionError:
            return b''

    async def read_answer(self, end: bytes = b'\r\n0\r\n\r\n') -> bool:
        """Read the whole answer; return whether it was complete."""
        tail = b''
        while not tail.endswith(end):
            chunk = await self.read()
            if not chunk:
                return False
            tail = (tail + chunk)[-16:]
        return True

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()


@asynccontextmanager
async def network(buffer_bytes: int | None):
    """Yield a gateway, its upstream and a function that makes callers."""
    upstream = Upstream()
    gateway = Gateway(await upstream.start(), buffer_bytes)
    address = await gateway.start()
    callers = []

    async def make_caller() -> Caller:
        """Return a new caller that is connected."""
        callers.append(await Caller().connect(address))
        return callers[-1]

    try:
        yield gateway, upstream, make_caller
    finally:
        await close_all(gateway, upstream, callers)


async def close_all(gateway, upstream, callers) -> None:
    """Close all connections and end their tasks."""
    for caller in callers:
        caller.close()
    upstream.server.close()
    gateway.pool.close()
    gateway.listener.stop_accepting()
    tasks = (*gateway.listener.tasks, *upstream.tasks)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for writer in upstream.writers:
        writer.transport.abort()


def peak_memory_bytes() -> int:
    """Return the largest resident memory of this process so far."""
    status = Path('/proc/self/status').read_text()
    return int(status.partition('VmHWM:')[2].split()[0]) * 1024


async def run_gateway(
    upstream_port: int, buffer_bytes: int, requests: int
) -> None:
    """Run a gateway until standard input ends; print what it needed.

    Parameters
    ----------
    requests : int
        What it needed is printed once this many answers were read to their end
        or were ended.
    """
    upstream = Address(host=HOST, port=upstream_port)
    gateway = Gateway(upstream, buffer_bytes)
    address = await gateway.start()
    report(address.port, peak_memory_bytes())
    for _ in range(requests):
        await gateway.settled.acquire()
    report(peak_memory_bytes(), gateway.peak_bytes, gateway.ended(1))
    await asyncio.to_thread(sys.stdin.read)


def report(*figures: int) -> None:
    """Print figures on one line."""
    line = ' '.join(map(str, figures))
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    asyncio.run(run_gateway(*map(int, sys.argv[1:])))
