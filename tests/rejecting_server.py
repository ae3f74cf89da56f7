"""Servers that reject a part of their requests, and a world of them."""

import asyncio
import secrets
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from tests.limited_server import LimitedServer, LimitedWorld
from tests.platform_client import Answer, KeptConnection
from tests.platform_server import FULL, refusal

OK = 200
CALLERS = 12
TIMED_OUT = Answer(0, {}, b'', complete=False)
# Window of the retry budget, and its bounds as the settings state them.
RETRY_WINDOW_S = 10.0
RETRY_SHARE = 0.2
RETRY_ALLOWANCE = 52


@dataclass
class RejectingServer(LimitedServer):
    """A server that rejects some requests at random, whatever its load.

    Parameters
    ----------
    rejected_share : float
        Probability that it rejects a request as not run.
    received : list of (float, str)
        When requests reached it, by the loop's clock, and their ids.
    rejected : int
        Requests that it rejected.
    running, most_running : int
        Requests that it has at once, now and at most.
    """

    rejected_share: float = 0.0
    received: list[tuple[float, str]] = field(default_factory=list)
    rejected: int = 0
    running: int = 0
    most_running: int = 0
    random: Random = field(default_factory=Random)

    async def answer(self, reader, writer, head, fields, body):
        """Answer or reject a request."""
        if fields.get('expect-instance') == self.instance:
            now_s = asyncio.get_running_loop().time()
            self.received.append((now_s, fields['attempt-id']))
            if self.random.random() < self.rejected_share:
                self.rejected += 1
                writer.write(refusal(FULL, fields))
                return
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await super().answer(reader, writer, head, fields, body)
        finally:
            self.running -= 1


class RejectingWorld(LimitedWorld):
    """Three entry VMs and six servers in two regions."""

    def __init__(self, folder, hosts):
        super().__init__(folder, hosts)
        self.server_type = RejectingServer

    async def start(self):
        """Start everything, with another server of each service."""
        await super().start()
        for name, number, service, zone in (
            ('north-app-2', 105, 'app', 'zone-a'),
            ('south-llm', 106, 'llm', 'zone-b'),
        ):
            host = f'{self.network}.{number}'
            self.servers[name] = self.server_type(host, service, zone)
            await self.servers[name].start()
            await self.announce(name)

    def reject(self, share, names=None, seed=1):
        """Let some servers reject a share of their requests; others none."""
        for number, (name, server) in enumerate(self.servers.items()):
            is_rejecting = names is None or name in names
            server.rejected_share = share if is_rejecting else 0.0
            server.random = Random(seed * len(self.servers) + number)
            server.rejected = 0
            server.most_running = 0


async def ask_for(entries, paths, seconds, seed=1):
    """Send requests of some callers for some seconds; return the answers."""
    answers = []
    end_s = asyncio.get_running_loop().time() + seconds
    async with asyncio.TaskGroup() as tasks:
        for number in range(CALLERS):
            entry = entries[number % len(entries)]
            draw = Random(seed * CALLERS + number)
            tasks.create_task(be_caller(entry, paths, end_s, draw, answers))
    return answers


async def be_caller(entry, paths, end_s, draw, answers):
    """Send one request after the other on a kept connection."""
    kept = KeptConnection(entry)
    while asyncio.get_running_loop().time() < end_s:
        answer = TIMED_OUT
        with suppress(OSError, ValueError):
            answer = await kept.ask(draw.choice(paths), secrets.token_hex(8))
        answers.append(answer)
    kept.close()


def served_share(answers):
    """Return the share of the requests that were served."""
    served = [one.status == OK and one.complete for one in answers]
    return sum(served) / max(1, len(served))


def excess_retries(servers):
    """Return by how many retries a window exceeds the budget, at most.

    The first arrival of a request at any server is no retry. Requests count
    that came before any were rejected, as they do in the budget's window.
    """
    arrivals = sorted(one for server in servers for one in server.received)
    known = set()
    times = []
    for at_s, attempt in arrivals:
        times.append((at_s, attempt in known))
        known.add(attempt)
    excess = []
    first = 0
    for place, (at_s, _) in enumerate(times):
        while at_s - times[first][0] >= RETRY_WINDOW_S:
            first += 1
        window = [is_retry for _, is_retry in times[first : place + 1]]
        first_tries = len(window) - sum(window)
        allowed = RETRY_SHARE * first_tries + RETRY_ALLOWANCE
        excess.append(sum(window) - allowed)
    return max(excess, default=0.0)
