"""Requests wait in a region's queue, against the real processes."""

import asyncio
import signal
from dataclasses import dataclass

import pytest
import pytest_asyncio

from tests.limited_server import Hosts, LimitedServer, LimitedWorld
from tests.platform_client import ask
from tests.platform_documents import ADDRESS_PREFIX
from tests.platform_world import until

pytestmark = pytest.mark.asyncio(loop_scope='module')

HOSTS = Hosts(f'{ADDRESS_PREFIX}.13')
NORTH, NORTH_2, _ = HOSTS.entries
OK = 200
# Two engines end at most 120 a second: each works for 0.15 s.
PER_S = 166
SLOTS = 8
# An eighth of the slots, and at least one.
MOST = SLOTS + 1
ENGINES = ('north-llm', 'north-llm-2', 'south-llm')


@dataclass
class CountingServer(LimitedServer):
    """A server that counts the requests that it has at once."""

    running: int = 0
    most: int = 0

    async def answer(self, reader, writer, head, fields, body):
        """Answer a request and count it meanwhile."""
        self.running += 1
        self.most = max(self.most, self.running)
        try:
            await super().answer(reader, writer, head, fields, body)
        finally:
            self.running -= 1


class QueueWorld(LimitedWorld):
    """A world of servers that count their requests."""

    def __init__(self, folder, hosts):
        super().__init__(folder, hosts)
        self.server_type = CountingServer
        self.scheduling = {'admission_max_slots': 32, 'queue_max_slots': 32}


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def world(tmp_path_factory):
    """Return a deployment with engines of few slots."""
    deployment = QueueWorld(tmp_path_factory.mktemp('queue'), HOSTS)
    try:
        await deployment.start()
        yield deployment
    finally:
        await deployment.close()


def engines_of(deployment):
    """Return the servers that are engines."""
    return [
        server for name, server in deployment.servers.items() if name in ENGINES
    ]


async def ask_often(count):
    """Send requests to two entry VMs; return the answers."""
    entries = (NORTH, NORTH_2)
    asking = []
    for number in range(count):
        request = ask(entries[number % 2], '/once/x')
        asking.append(asyncio.create_task(request))
        await asyncio.sleep(1 / PER_S)
    return await asyncio.gather(*asking)


async def test_requests_wait_for_a_slot_and_are_served(world):
    """More requests come than end, for a third of a second.

    Assigned at once, they would wait in engines, or be refused beyond twice
    the slots.
    """
    await ask_often(8)
    for engine in engines_of(world):
        engine.most = 0
    answers = await ask_often(60)
    assert {answer.status for _, answer in answers} == {OK}
    assert max(engine.most for engine in engines_of(world)) <= MOST
    queued = [
        line
        for host in HOSTS.control
        for line in world.logged(host, 'picking:queued')
    ]
    assert queued


async def test_queued_requests_outlive_their_picker(world):
    """The picker is frozen while requests wait in its queue.

    Callers must get an answer, or a refusal of a request that did not run.
    """
    ran = sum(len(engine.ran) for engine in engines_of(world))
    asking = asyncio.create_task(ask_often(60))
    await asyncio.sleep(0.1)
    picker = world.processes[HOSTS.control[0]]
    picker.send_signal(signal.SIGSTOP)
    try:
        answers = await asyncio.wait_for(asking, 5.0)
    finally:
        picker.send_signal(signal.SIGCONT)
    served = sum(answer.status == OK for _, answer in answers)
    refused = [answer for _, answer in answers if answer.status != OK]
    assert served > len(refused)
    assert all(b'not-run' in answer.body for answer in refused)
    # Streams of this route are not repeatable: none may run twice.
    await until(lambda: is_idle(world), 5.0)
    runs = sum(len(engine.ran) for engine in engines_of(world)) - ran
    assert runs == served


async def is_idle(deployment):
    """Tell whether no engine has a request."""
    return not any(engine.running for engine in engines_of(deployment))
