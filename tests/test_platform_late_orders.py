"""Orders for evacuations that a frozen control VM reads or relays late."""

import asyncio
import signal
from dataclasses import dataclass

import pytest

from tests.platform_client import Answer, ask, call
from tests.platform_documents import ADDRESS_PREFIX, CONTROL
from tests.platform_world import World

NETWORK = f'{ADDRESS_PREFIX}.33'
CONTROL_HOSTS = tuple(f'{NETWORK}.{number}' for number in (1, 2, 3))
ENTRY_ZONES = {f'{NETWORK}.11': 'zone-a', f'{NETWORK}.21': 'zone-b'}
ZONE = 'zone-a'
ORDER = f'/-/evacuations/{ZONE}'
# An operator moves on after a second, and gives an order up after six.
OPERATOR_WAIT_S = 1.0
ACK_S = 6.0
BACKOFF_S = 0.1
# A late order would be committed and applied within this time.
SETTLE_S = 3.0
ASKED = 20
SUCCESS = range(200, 300)
FOLLOWER, LEADER = 'follower', 'leader'


@dataclass(frozen=True)
class LateOrder:
    """A control VM stands still while an order is on its way.

    Parameters
    ----------
    frozen : str
        Whether a follower or the leader stands still.
    frozen_s : float
        For how long.
    method : str
        The order that is late; its opposite follows.
    is_relayed : bool
        Whether it is sent to another VM, which relays it to the frozen one.
    """

    frozen: str
    frozen_s: float
    method: str
    is_relayed: bool = False

    @property
    def newer(self):
        """The order that is given after the late one."""
        return 'POST' if self.method == 'DELETE' else 'DELETE'


class Operator:
    """Sends an order to one VM after the other until one acknowledges it."""

    def __init__(self, world):
        self.world = world

    async def order(self, method, first):
        """Send an order until it is acknowledged; return who did it."""
        hosts = [first]
        hosts += [host for host in self.world.control_hosts if host != first]
        loop = asyncio.get_running_loop()
        give_up_s = loop.time() + ACK_S
        place = 0
        while loop.time() < give_up_s:
            host = hosts[place % len(hosts)]
            place += 1
            if await self.status_of(host, method) in SUCCESS:
                return host
            await asyncio.sleep(BACKOFF_S * place)
        raise AssertionError(f'{method} was not acknowledged in {ACK_S} s')

    async def status_of(self, host, method):
        """Return the status of one call, 0 without one within a second."""
        try:
            async with asyncio.timeout(OPERATOR_WAIT_S):
                answer = await call(host, CONTROL, method, ORDER)
        except (OSError, TimeoutError):
            answer = Answer(0, {}, b'', complete=False)
        return answer.status


async def count_in_zone(world):
    """Send requests; return how many ran on upstreams of the zone."""
    servers = [one for one in world.servers.values() if one.zone == ZONE]
    before = sum(len(server.ran) for server in servers)
    for _ in range(ASKED):
        for entry in world.entry_zones:
            await ask(entry, '/safe/x')
    return sum(len(server.ran) for server in servers) - before


async def give_orders(world, case):
    """Have a VM read an order only after a newer one was acknowledged."""
    operator = Operator(world)
    leader = world.leader()
    followers = [host for host in world.control_hosts if host != leader]
    frozen = leader if case.frozen == LEADER else followers[0]
    other = followers[-1]
    await operator.order(case.newer, leader)
    process = world.processes[frozen]
    process.send_signal(signal.SIGSTOP)
    loop = asyncio.get_running_loop()
    wakes_s = loop.time() + case.frozen_s
    try:
        first = other if case.is_relayed else frozen
        taker = await operator.order(case.method, first)
        await operator.order(case.newer, taker)
        await asyncio.sleep(max(0.0, wakes_s - loop.time()))
    finally:
        process.send_signal(signal.SIGCONT)
    await asyncio.sleep(SETTLE_S)


@pytest.mark.parametrize(
    'case',
    [
        LateOrder(FOLLOWER, 2.5, 'DELETE'),
        LateOrder(FOLLOWER, 2.5, 'POST'),
        LateOrder(LEADER, 5.0, 'DELETE'),
        LateOrder(LEADER, 5.0, 'DELETE', is_relayed=True),
        LateOrder(LEADER, 5.0, 'POST'),
    ],
    ids=str,
)
async def test_a_late_order_changes_nothing(tmp_path, case):
    """A copy of an order undid the newer one that was acknowledged since."""
    world = World(
        tmp_path,
        control_hosts=CONTROL_HOSTS,
        entry_zones=ENTRY_ZONES,
        network=NETWORK,
    )
    try:
        await world.start()
        await give_orders(world, case)
        is_evacuated = await count_in_zone(world) == 0
        assert is_evacuated == (case.newer == 'POST')
    finally:
        await world.close()
