"""Servers that crash under one part of a prompt, and a world of them."""

import asyncio
import itertools
import secrets
from contextlib import suppress
from dataclasses import dataclass, field

from tests.crashing_server import CrashingServer, CrashingWorld
from tests.partition_world import OK, PartitionWorld
from tests.platform_client import Answer, ask
from tests.platform_server import MISDIRECTED, SEAL, chunk, refusal
from tests.platform_world import World

BAD_PREFIX = 'bad'
SHARED_PARTS = 3
PART_TOKENS = 60
BACK_AFTER_S = 2.0
CRASHES_AFTER_S = 0.05
EVENT_PERIOD_S = 0.03
EVENTS = 8
REQUESTS_PER_S = 25
BAD_PERIOD_S = 0.3
# Last numbers of the addresses of engines beside a world's usual two.
ADDED_ENGINES = {105: 'zone-a', 106: 'zone-a', 107: 'zone-b', 108: 'zone-b'}
TIMED_OUT = Answer(0, {}, b'', complete=False)


@dataclass
class PartServer(CrashingServer):
    """A server that crashes soon after the head of an answer to a bad part.

    Parameters
    ----------
    is_sized : bool
        False to answer with neither a length nor chunks.
    answered : list of str
        Ids of the requests that were answered whole.
    """

    is_sized: bool = True
    back_after_s: float = BACK_AFTER_S
    crashes_after_s: float = CRASHES_AFTER_S
    answered: list[str] = field(default_factory=list)

    async def answer(self, reader, writer, head, fields, body):
        """Answer a request; crash under a bad part."""
        if fields.get('expect-instance') != self.instance:
            writer.write(refusal(MISDIRECTED, fields))
            return
        started = self.instance
        is_bad = is_bad_prompt(fields.get('prefix-hash', ''))
        if is_bad:
            self.arrived_s.append(asyncio.get_running_loop().time())
        self.ran.append(fields['attempt-id'])
        path = head.split(b' ', 2)[1].decode()
        is_stream = path.startswith(('/once', '/resumed'))
        writer.write(self.answer_head(fields['attempt-id'], is_stream).encode())
        first = int(fields.get('last-event-id', 0)) + 1
        for number in range(first, EVENTS + 1):
            self.write_event(writer, number, is_stream=is_stream)
            if is_bad:
                await asyncio.sleep(self.crashes_after_s)
                if self.instance == started:
                    self.crash()
                return
            await asyncio.sleep(EVENT_PERIOD_S)
            if not self.is_up or self.instance != started:
                return
        if self.is_sized:
            writer.write(b'0\r\n\r\n')
        else:
            writer.close()
        self.answered.append(fields['attempt-id'])

    def answer_head(self, attempt, is_stream):
        """Return the head of an answer."""
        kind = 'text/event-stream' if is_stream else 'text/plain'
        framing = 'Transfer-Encoding: chunked\r\n'
        if not self.is_sized:
            framing = 'Connection: close\r\n'
        return (
            f'HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\n'
            f'attempt-id: {attempt}\r\n{SEAL}\r\n{framing}\r\n'
        )

    def write_event(self, writer, number, *, is_stream):
        """Write one event of a stream, or one line of another answer."""
        content = b'line %d\n' % number
        if is_stream:
            content = b'id: %d\ndata: x%d\n\n' % (number, number)
        writer.write(chunk(content) if self.is_sized else content)


def is_bad_prompt(header):
    """Tell whether a prompt has a bad part, other than as its last one."""
    parts = header.split(',')[:-1]
    return any(part.startswith(BAD_PREFIX) for part in parts)


def new_parts():
    """Return names of parts that no prompt had before."""
    return [f'a{secrets.token_hex(4)}' for _ in range(SHARED_PARTS)]


def new_bad_part():
    """Return the name of a bad part that no prompt had before."""
    return f'{BAD_PREFIX}{secrets.token_hex(4)}'


class PartWorld(PartitionWorld, CrashingWorld):
    """Three entry VMs in the north, one in the south, and six engines."""

    def __init__(self, folder, network):
        PartitionWorld.__init__(self, folder, network)
        self.server_type = PartServer

    async def start(self):
        """Start everything, with four engines in the north and two south."""
        await World.start(self)
        for number, zone in ADDED_ENGINES.items():
            name = f'llm-{number}'
            host = f'{self.network}.{number}'
            self.servers[name] = self.server_type(host, 'llm', zone)
            await self.servers[name].start()
            await self.announce(name)

    def prepare(self, **changes):
        """Change how all servers answer, and forget what they saw."""
        for server in self.servers.values():
            server.arrived_s.clear()
            server.ended_s.clear()
            server.answered.clear()
            for name, content in changes.items():
                setattr(server, name, content)

    def crash_times(self):
        """Return when servers crashed, in order."""
        servers = self.servers.values()
        return sorted(at_s for server in servers for at_s in server.ended_s)

    def arrival_times(self):
        """Return when requests with the bad part reached a server."""
        servers = self.servers.values()
        return sorted(at_s for server in servers for at_s in server.arrived_s)

    async def crash_engines(self, seconds, period_s):
        """Crash one engine after the other, whatever they run."""
        engines = [
            server
            for server in self.servers.values()
            if server.service == 'llm'
        ]
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        for engine in itertools.cycle(engines):
            if loop.time() >= end_s:
                return
            engine.crash()
            await asyncio.sleep(period_s)

    def answered(self):
        """Return the ids of the requests that servers answered whole."""
        servers = self.servers.values()
        return {attempt for server in servers for attempt in server.answered}


@dataclass(frozen=True)
class Sent:
    """One request and its answer."""

    attempt: str
    sent_s: float
    answer: Answer

    @property
    def is_served(self):
        """True where the answer is whole."""
        return self.answer.status == OK and self.answer.complete


@dataclass
class Traffic:
    """Requests with and without the bad part, beside one another.

    Parameters
    ----------
    path : str
        Path of all requests.
    position : int
        Place of the bad part in the prompts that have it.
    parts : list of str
        Parts that all prompts share, but for the bad one's place.
    """

    entries: tuple
    path: str
    position: int
    sound_per_s: float = REQUESTS_PER_S
    bad_period_s: float = BAD_PERIOD_S
    parts: list[str] = field(default_factory=new_parts)
    bad_part: str = field(default_factory=new_bad_part)
    sound: list[Sent] = field(default_factory=list)
    bad: list[Sent] = field(default_factory=list)

    async def run(self, seconds):
        """Send requests for some seconds, and wait for their answers."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(
                self.send(tasks, end_s, self.sound, 1 / self.sound_per_s)
            )
            if self.bad_period_s:
                tasks.create_task(
                    self.send(tasks, end_s, self.bad, self.bad_period_s)
                )

    async def send(self, tasks, end_s, results, period_s):
        """Send requests of one kind to the entry VMs in turn."""
        loop = asyncio.get_running_loop()
        for entry in itertools.cycle(self.entries):
            if loop.time() >= end_s:
                return
            tasks.create_task(self.ask(entry, results))
            await asyncio.sleep(period_s)

    async def ask(self, entry, results):
        """Send one request, with a body and a last part of its own."""
        parts = list(self.parts)
        if results is self.bad:
            parts[self.position] = self.bad_part
        sent_s = asyncio.get_running_loop().time()
        attempt = secrets.token_hex(8)
        answer = TIMED_OUT
        with suppress(OSError, TimeoutError, EOFError):
            _, answer = await ask(
                entry,
                self.path,
                body=secrets.token_bytes(8),
                attempt=attempt,
                prefix_hash=render_prompt(*parts, secrets.token_hex(4)),
                token_count=f'{4 * PART_TOKENS},20',
            )
        results.append(Sent(attempt, sent_s, answer))

    def share_served(self, since_s):
        """Return the share of the sound requests served since a time."""
        served = [one.is_served for one in self.sound if one.sent_s >= since_s]
        return sum(served) / max(1, len(served))


def render_prompt(*parts):
    """Return the header that lists the parts of a prompt."""
    return ','.join(f'{part}:{PART_TOKENS}' for part in parts)
