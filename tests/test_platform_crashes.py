"""One request under which engines end, against the real processes."""

import asyncio
import itertools
from collections import Counter

import pytest
import pytest_asyncio

from tests.crashing_server import LETHAL, CrashingServer
from tests.platform_world import (
    NORTH,
    SOUTH,
    World,
    ask,
)

pytestmark = pytest.mark.asyncio(loop_scope='module')

PLAYED_S = 16.0
REPEAT_PERIOD_S = 0.25
# The platform's bound: machines in touch know so long after the third end.
CONTACT_S = 5.0
ENDS_KNOWN_BY = 3
# The platform lets so many repeats reach a server after that.
REPEATS_ALLOWED = 3
BYSTANDERS = 4


class CrashingWorld(World):
    """A world whose engines announce themselves only while they are up."""

    async def announce(self, name, place=0, **changes):
        """Send one heartbeat of a server that is up."""
        server = self.servers[name]
        if server.is_up:
            return await super().announce(name, place, **changes)
        return None


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def world(tmp_path_factory):
    """Return a deployment whose engines end under one body."""
    folder = tmp_path_factory.mktemp('crashes')
    started = CrashingWorld(folder, server_type=CrashingServer)
    try:
        await started.start()
        yield started
    finally:
        await started.close()


async def repeat_lethal(stop, answers):
    """Send the lethal request again and again, at two machines by turns."""
    sent = []
    for entry in itertools.cycle((NORTH, SOUTH)):
        if stop.is_set():
            break
        sent.append(asyncio.create_task(ask_lethal(entry, answers)))
        await asyncio.sleep(REPEAT_PERIOD_S)
    await asyncio.gather(*sent)


async def ask_lethal(entry, answers):
    """Send the lethal request once, with an id of its own."""
    _, answer = await ask(entry, '/once/x', body=LETHAL)
    answers.append(answer)


async def ask_on(stop, number, entry, statuses):
    """Send requests of a bystander, one after the other."""
    for turn in itertools.count():
        if stop.is_set():
            break
        body = f'bystander {number} {turn}'.encode()
        _, answer = await ask(entry, '/once/long', body=body)
        statuses[answer.status if answer.complete else 0] += 1
        await asyncio.sleep(0.05)


async def play(seconds):
    """Play the lethal request beside bystanders; return what all got."""
    stop = asyncio.Event()
    answers = []
    statuses = Counter()
    tasks = [asyncio.create_task(repeat_lethal(stop, answers))]
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


async def test_request_that_crashes_upstreams_is_sent_no_more(world):
    """A repeated request that ends each server that runs it, one by one."""
    await play(PLAYED_S)
    ended, arrived = lethal_times(world)
    known_s = ended[ENDS_KNOWN_BY - 1] + CONTACT_S
    late = [at_s for at_s in arrived if at_s > known_s]
    assert len(late) <= REPEATS_ALLOWED, (len(ended), len(late))
