"""A server that ends under one request, and starts again."""

import asyncio
import itertools
import json
import secrets
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

from tests.platform_client import ask
from tests.platform_server import Server
from tests.platform_world import NORTH, SOUTH, World

LETHAL = b'a body that no engine survives'
BACK_AFTER_S = 1.5
CRASHES_AFTER_S = 0.05
EVENT_PERIOD_S = 0.03
REPEAT_PERIOD_S = 0.25
BYSTANDERS = 4
REFUSED = 503


@dataclass
class CrashingServer(Server):
    """A server that ends, with all that it runs, under a lethal body.

    Parameters
    ----------
    arrived_s : list of float
        When lethal requests came, by the loop's clock.
    ended_s : list of float
        When it ended under one.
    is_up : bool
        False from its end to its next start.
    """

    arrived_s: list[float] = field(default_factory=list)
    ended_s: list[float] = field(default_factory=list)
    is_up: bool = True
    crashes_after_s: float = CRASHES_AFTER_S
    back_after_s: float = BACK_AFTER_S
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    starting: asyncio.Task | None = None

    async def accept(self, reader, writer):
        """Answer requests in turn; know the connection for the end."""
        if not self.is_up:
            # Connected as the process ended.
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            await super().accept(reader, writer)
        finally:
            self.writers.discard(writer)

    async def answer(self, reader, writer, head, fields, body):
        """Answer a request; end under a lethal one."""
        is_mine = fields.get('expect-instance') == self.instance
        if body == LETHAL and is_mine:
            now_s = asyncio.get_running_loop().time()
            self.arrived_s.append(now_s)
            await asyncio.sleep(self.crashes_after_s)
            self.crash()
            return
        await super().answer(reader, writer, head, fields, body)

    async def stream(self, writer, fields, echo, name):
        """Stream an answer; one named *long* takes a third of a second."""
        if name == 'long':
            await asyncio.sleep(8 * EVENT_PERIOD_S)
        await super().stream(writer, fields, echo, name)

    def crash(self):
        """End at once; start again after a while, under another name."""
        if not self.is_up:
            return
        self.is_up = False
        self.ended_s.append(asyncio.get_running_loop().time())
        self.listener.close()
        for writer in self.writers:
            writer.transport.abort()
        self.starting = asyncio.create_task(self.start_again())

    async def start_again(self):
        """Start anew."""
        await asyncio.sleep(self.back_after_s)
        self.instance = secrets.token_hex(4)
        self.sequence = 0
        await self.start()
        self.is_up = True


class CrashingWorld(World):
    """A world whose engines announce themselves only while they are up."""

    async def announce(self, name, place=0, **changes):
        """Send one heartbeat of a server that is up."""
        server = self.servers[name]
        if server.is_up:
            return await super().announce(name, place, **changes)
        return None


async def repeat_lethal(stop, answers, period_s):
    """Send the lethal request again and again, at two machines by turns."""
    sent = []
    for entry in itertools.cycle((NORTH, SOUTH)):
        if stop.is_set():
            break
        sent.append(asyncio.create_task(ask_lethal(entry, answers)))
        await asyncio.sleep(period_s)
    await asyncio.gather(*sent)


async def ask_lethal(entry, answers):
    """Send the lethal request once, with an id of its own."""
    with suppress(OSError, TimeoutError):
        _, answer = await ask(entry, '/once/x', body=LETHAL)
        answers.append(answer)


async def ask_on(stop, number, entry, statuses):
    """Send requests of a bystander, one after the other."""
    for turn in itertools.count():
        if stop.is_set():
            break
        body = f'bystander {number} {turn}'.encode()
        with suppress(OSError, TimeoutError):
            _, answer = await ask(entry, '/once/long', body=body)
            statuses[kind_of(answer)] += 1
        await asyncio.sleep(0.05)


def kind_of(answer):
    """Return an answer's status, 0 where it broke off, or its problem."""
    if answer.status == REFUSED:
        return json.loads(answer.body)['type'].rpartition(':')[2]
    return answer.status if answer.complete else 0


async def play(seconds, period_s=REPEAT_PERIOD_S):
    """Play the lethal request beside bystanders; return what all got."""
    stop = asyncio.Event()
    answers = []
    statuses = Counter()
    lethal = repeat_lethal(stop, answers, period_s)
    tasks = [asyncio.create_task(lethal)]
    for number in range(BYSTANDERS):
        entry = (NORTH, SOUTH)[number % 2]
        asking = ask_on(stop, number, entry, statuses)
        tasks.append(asyncio.create_task(asking))
    await asyncio.sleep(seconds)
    stop.set()
    await asyncio.gather(*tasks)
    return answers, statuses


def lethal_times(world):
    """Return when servers ended, and when lethal requests reached one."""
    servers = world.servers.values()
    ended = sorted(at_s for one in servers for at_s in one.ended_s)
    arrived = sorted(at_s for one in servers for at_s in one.arrived_s)
    return ended, arrived
