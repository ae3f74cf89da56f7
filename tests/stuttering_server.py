"""Servers that repeat answers late on the same connection, and callers."""

import asyncio
import secrets
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from tests.platform_client import Answer, KeptConnection
from tests.platform_server import MISDIRECTED, SEAL, Server, chunk, refusal
from tests.platform_world import World

EVENTS = 8
EVENT_PERIOD_S = 0.004
REPEATED_SHARE = 0.3
LATEST_S = 0.06
CALLERS = 12
LONGEST_S = 60.0
PATHS = ('/safe/x', '/unsafe/x', '/once/x', '/resumed/x', '/south/x')
STREAMS = ('/once', '/resumed')
REPEATABLE = ('/safe', '/resumed', '/south')
TIMED_OUT = Answer(0, {}, b'', complete=False)


@dataclass
class StutteringServer(Server):
    """A server that repeats some answers later on the same connection.

    Every answer names its request in its body, so that a part of another one
    can be told from it.

    Parameters
    ----------
    repeated_share : float
        Share of the answers that are repeated, 1 to 60 ms later.
    unframed_share : float
        Share of the answers with neither a length nor chunks.
    repeats_unframed : bool
        True to repeat an unframed answer before its connection is closed.
    torn_share : float
        Share of the streams that break off within their first event.
    names_repeated : bool
        False to leave the request's id out of repeated answers.
    repeated : int
        Answers that were repeated.
    """

    repeated_share: float = REPEATED_SHARE
    unframed_share: float = 0.0
    repeats_unframed: bool = False
    torn_share: float = 0.0
    names_repeated: bool = True
    repeated: int = 0
    random: Random = field(default_factory=Random)
    repeating: set[asyncio.Task] = field(default_factory=set)

    async def answer(self, reader, writer, head, fields, body):
        """Answer one request; repeat some answers."""
        attempt = fields.get('attempt-id', '')
        echo = f'attempt-id: {attempt}\r\n'
        if fields.get('expect-instance') != self.instance:
            writer.write(refusal(MISDIRECTED, fields))
            return
        self.ran.append(attempt)
        path = head.split(b' ', 2)[1].decode()
        is_framed = self.random.random() >= self.unframed_share
        first = int(fields.get('last-event-id', 0)) + 1
        parts = render_answer(path, attempt, first, is_framed=is_framed)
        if path.startswith(STREAMS) and self.random.random() < self.torn_share:
            await self.tear(writer, parts)
            return
        if not path.startswith(STREAMS):
            parts = [b''.join(parts)]
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(EVENT_PERIOD_S)
        may_repeat = is_framed or self.repeats_unframed
        if may_repeat and self.random.random() < self.repeated_share:
            again = b''.join(parts)
            if not self.names_repeated:
                again = again.replace(echo.encode(), b'')
            await self.repeat(writer, again, is_framed=is_framed)
        if not is_framed:
            writer.close()

    async def tear(self, writer, parts):
        """Break a stream off within its first event."""
        writer.write(parts[0])
        writer.write(parts[1][: len(parts[1]) // 2])
        await writer.drain()
        await asyncio.sleep(EVENT_PERIOD_S)
        writer.transport.abort()

    async def repeat(self, writer, again, *, is_framed):
        """Write an answer again, after the next request if it is framed."""
        self.repeated += 1
        task = asyncio.create_task(
            self.write_later(
                writer, again, self.random.uniform(0.001, LATEST_S)
            )
        )
        self.repeating.add(task)
        task.add_done_callback(self.repeating.discard)
        if not is_framed:
            await task

    async def write_later(self, writer, again, delay_s):
        """Write bytes after a delay, whatever is being written by then."""
        await asyncio.sleep(delay_s)
        if not writer.transport.is_closing():
            writer.write(again)


def render_answer(path, attempt, first, *, is_framed):
    """Return the pieces of an answer as they are written."""
    is_stream = path.startswith(STREAMS)
    kind = 'text/event-stream' if is_stream else 'text/plain'
    framing = 'Connection: close'
    pieces = [plain_body(attempt)]
    if is_stream:
        pieces = [event(attempt, one) for one in range(first, EVENTS + 1)]
    if is_framed and is_stream:
        framing = 'Transfer-Encoding: chunked'
        pieces = [*map(chunk, pieces), b'0\r\n\r\n']
    elif is_framed:
        framing = f'Content-Length: {len(pieces[0])}'
    head = (
        f'HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\n{SEAL}\r\n'
        f'Content-Type: {kind}\r\n{framing}\r\n\r\n'
    )
    return [head.encode(), *pieces]


def event(attempt, number):
    """Return one event of a stream."""
    return b'id: %d\ndata: %s %d\n\n' % (number, attempt.encode(), number)


def plain_body(attempt):
    """Return the body of an answer that is no stream."""
    return f'answer to {attempt}'.encode()


def expected_body(path, attempt):
    """Return the whole body of the answer to a request."""
    if path.startswith(STREAMS):
        return b''.join(event(attempt, one) for one in range(1, EVENTS + 1))
    return plain_body(attempt)


@dataclass(frozen=True)
class Received:
    """One request and the answer that its caller received."""

    path: str
    attempt: str
    answer: Answer

    @property
    def is_success(self):
        """True where the caller takes the answer for whole."""
        return self.answer.status == 200 and self.answer.complete

    @property
    def is_right(self):
        """True where all that the caller received is its own.

        A stream that was broken off holds the first events of the own one.
        """
        if self.answer.status != 200:
            return True
        whole = expected_body(self.path, self.attempt)
        if self.answer.complete:
            is_own = self.answer.fields.get('attempt-id') == self.attempt
            return is_own and self.answer.body == whole
        return whole.startswith(self.answer.body)


async def ask_for(entries, seconds, seed, is_enough, paths=PATHS):
    """Send requests on kept connections for some seconds.

    Parameters
    ----------
    is_enough : callable
        Tells by what was received whether it is enough to tell anything. Until
        then requests go on after the time is over, up to `LONGEST_S`.
    """
    received = []
    loop = asyncio.get_running_loop()
    start_s = loop.time()

    def is_over():
        played_s = loop.time() - start_s
        is_long = played_s >= seconds and is_enough(received)
        return is_long or played_s >= LONGEST_S

    async with asyncio.TaskGroup() as tasks:
        for number in range(CALLERS):
            entry = entries[number % len(entries)]
            draw = Random(seed * CALLERS + number)
            tasks.create_task(be_caller(entry, is_over, draw, paths, received))
    return received


async def be_caller(entry, is_over, draw, paths, received):
    """Send one request after the other on a kept connection."""
    kept = KeptConnection(entry)
    while not is_over():
        path = draw.choice(paths)
        attempt = secrets.token_hex(8)
        answer = TIMED_OUT
        with suppress(OSError, ValueError):
            answer = await kept.ask(path, attempt)
        received.append(Received(path, attempt, answer))
    kept.close()


def wrong_answers(received):
    """Return the answers that hold what is not their caller's own."""
    return [one for one in received if not one.is_right]


def served_share(received, paths=PATHS):
    """Return the share of the requests on some paths that were served."""
    wanted = tuple(path.rsplit('/', 1)[0] for path in paths)
    served = [one.is_success for one in received if one.path.startswith(wanted)]
    return sum(served) / max(1, len(served))


def runs_of(servers):
    """Return how often each request ran."""
    return Counter(attempt for server in servers for attempt in server.ran)


class StutteringWorld(World):
    """The usual world, with servers that stutter."""

    def stutter(self, seed, **changes):
        """Change how all servers answer."""
        for number, server in enumerate(self.servers.values()):
            server.random = Random(seed * len(self.servers) + number)
            for name, content in changes.items():
                setattr(server, name, content)
