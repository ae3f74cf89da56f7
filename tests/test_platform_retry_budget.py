"""The retry limit over all entry processes, and over their restarts."""

import signal
from collections import defaultdict
from time import monotonic
from typing import ClassVar

from godwitshunt.routing.retry_window import RetryBounds
from tests.platform_client import ask
from tests.platform_documents import ADDRESS_PREFIX
from tests.platform_server import Server
from tests.platform_world import World, until
from trials.retry_windows import ServiceTimes

NETWORK = f'{ADDRESS_PREFIX}.23'
CONTROL_HOSTS = tuple(f'{NETWORK}.{number}' for number in (1, 2, 3))
ENTRY_ZONES = {f'{NETWORK}.11': 'zone-a', f'{NETWORK}.21': 'zone-b'}
# As the settings of the tests' processes state them.
BOUNDS = RetryBounds(share=0.2, allowance=52, window_s=10)
FAILING = '/engines/fails'
ROUNDS = 4
REQUESTS_EACH = 25
START_LIMIT_S = 20.0
OK = 200


class TimingServer(Server):
    """A server that notes when each request arrives."""

    arrivals: ClassVar[dict] = defaultdict(list)

    async def answer(self, reader, writer, head, fields, body):
        """Note the time, then answer."""
        self.arrivals[fields['attempt-id']].append(monotonic())
        await super().answer(reader, writer, head, fields, body)


def make_world(folder):
    """Return a deployment with addresses of its own."""
    TimingServer.arrivals.clear()
    return World(
        folder,
        control_hosts=CONTROL_HOSTS,
        entry_zones=ENTRY_ZONES,
        network=NETWORK,
        server_type=TimingServer,
    )


async def restart_entries(world):
    """Kill all entry processes at once, and wait until they serve again."""
    for entry in ENTRY_ZONES:
        world.processes[entry].send_signal(signal.SIGKILL)
    for entry, zone in ENTRY_ZONES.items():
        await world.processes[entry].wait()
        await world.start_process(entry, zone, control=False, bootstrap=False)

    async def serves():
        try:
            answers = [await ask(entry, '/engines/x') for entry in ENTRY_ZONES]
        except OSError:
            return False
        return all(answer.status == OK for _, answer in answers)

    await until(serves, START_LIMIT_S)


async def send_failing(sent):
    """Send requests that every upstream answers with a failure."""
    for _ in range(REQUESTS_EACH):
        for entry in ENTRY_ZONES:
            sent.append(monotonic())
            await ask(entry, FAILING)


async def test_retries_stay_within_the_limit_over_restarts(tmp_path):
    """A restarted process spends an allowance that the one before spent."""
    world = make_world(tmp_path)
    sent = []
    try:
        await world.start()
        for _ in range(ROUNDS):
            await send_failing(sent)
            await restart_entries(world)
        await send_failing(sent)
    finally:
        await world.close()
    repeats = [
        at_s
        for arrivals in TimingServer.arrivals.values()
        for at_s in arrivals[1:]
    ]
    closest = ServiceTimes(sent, repeats).closest(BOUNDS)
    assert closest is not None
    assert closest.use <= 1, closest
