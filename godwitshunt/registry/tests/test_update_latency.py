"""How and how soon an entry VM learns of an upstream's departure.

An upstream announces its departure to one control VM. Entry VMs learn of it
from the control VM that they poll, which may be another one, partitioned from
the first or frozen. Requests that they send to the upstream 3 s later are lost.
"""

import pytest

from godwitshunt.registry.contacts import STALE_AFTER_S
from godwitshunt.registry.tests.deployment import Deployment, address
from godwitshunt.registry.tests.test_table import announced
from godwitshunt.registry.watch import POLL_PERIOD_S

# The bound on a table's age, the interval of checks and the network delay.
KNOWN_WITHIN_S = STALE_AFTER_S + POLL_PERIOD_S + 0.1


class Region:
    """Three control VMs and an entry VM that polls when it is due."""

    def __init__(self) -> None:
        self.deployment = Deployment({1: 'a', 2: 'a', 3: 'b'})
        self.watch = self.deployment.entry(101)

    async def start(self) -> 'Region':
        """Announce one upstream to all VMs."""
        for control in self.deployment.controls.values():
            control.announce(announced('i-1'))
        await self.wait(2.0)
        return self

    async def wait(self, seconds: float) -> None:
        """Advance the time while control VMs and the entry VM poll."""
        for _ in range(round(seconds / POLL_PERIOD_S)):
            self.deployment.timer.advance(POLL_PERIOD_S)
            await self.deployment.exchange()
            await self.poll_due()

    async def poll_due(self) -> None:
        """Let the entry VM poll the control VMs that are due."""
        now_s = self.deployment.timer.now()
        known = self.watch.known_controls()
        due = self.watch.contacts.due(known, now_s, self.watch.period_s())
        for control in self.deployment.addresses:
            if str(control) in due:
                await self.watch.poll(control)

    def leave(self, number: int) -> None:
        """Announce to one control VM that the upstream is draining."""
        announcement = announced('i-1', sequence=2, draining=True)
        self.deployment.controls[number].announce(announcement)

    def is_known_to_leave(self) -> bool:
        """Return whether the entry VM knows of the departure."""
        self.watch.refresh(self.deployment.timer.now())
        seen = self.watch.view().upstreams.get('i-1')
        return seen is None or seen.announcement.draining


def split(region: Region, *pairs: tuple[int, int]) -> None:
    """Cut the connections between pairs of control VMs."""
    for first, second in pairs:
        region.deployment.network.split(address(first), address(second))


@pytest.mark.parametrize(
    ('pairs', 'frozen', 'acknowledged_by'),
    [
        ((), (), 1),
        ((), (), 3),
        (((1, 3),), (), 3),
        (((1, 3), (2, 3)), (), 3),
        (((1, 2), (1, 3), (2, 3)), (), 2),
        ((), (1,), 3),
        (((2, 3),), (1,), 3),
        ((), (1, 2), 3),
    ],
)
async def test_departure_is_known_in_time_in_any_partition(
    pairs,
    frozen,
    acknowledged_by,
):
    """Only the entry VM may be able to reach the acknowledging control VM."""
    region = await Region().start()
    split(region, *pairs)
    region.deployment.network.frozen.update(map(address, frozen))
    await region.wait(1.0)
    region.leave(acknowledged_by)
    await region.wait(KNOWN_WITHIN_S)
    assert region.is_known_to_leave()


async def test_only_preferred_control_vm_is_polled_without_failures():
    """It returns all tables, so each change is received once."""
    region = await Region().start()
    calls = region.watch.links.calls
    calls.clear()
    await region.wait(7.0)
    assert {target for target, _ in calls} == {address(1)}
    assert len(calls) <= 7.0 / 0.35 + 1


async def test_update_of_a_previous_process_changes_nothing():
    """A control VM restarts; another one still relays its old table.

    If applied, the old table would restore an upstream that has left.
    """
    region = await Region().start()
    split(region, (1, 3), (2, 3))
    region.deployment.restart(3)
    region.deployment.controls[3].withdraw('i-1')
    await region.wait(3.0)
    assert region.is_known_to_leave()
    source = region.watch.merged.tables[str(address(3))].source
    assert source == region.deployment.controls[3].source
    await region.watch.poll(address(1))
    assert region.watch.merged.tables[str(address(3))].source == source
    assert region.is_known_to_leave()


async def test_outdated_relay_reverts_nothing():
    """The entry VM polls a relay with older tables than the previous one."""
    region = await Region().start()
    split(region, (1, 2), (2, 3))
    region.leave(3)
    await region.wait(1.0)
    known = region.watch.merged.tables[str(address(3))].version
    await region.watch.poll(address(2))
    assert region.watch.merged.tables[str(address(3))].version == known
    assert region.is_known_to_leave()


async def test_new_relay_returns_only_changes():
    """A table's versions are the same, whichever control VM relays it."""
    region = await Region().start()
    region.watch.contacts.for_control(str(address(1))).record_failure()
    await region.watch.poll(address(2))
    now_s = region.deployment.timer.now()
    poll = region.watch.make_poll(str(address(2)), now_s)
    updates = region.deployment.controls[2].reply(poll).tables
    assert len(updates) == len(region.deployment.controls)
    assert not any(update.whole or update.upstreams for update in updates)


async def test_tables_are_not_requested_from_other_regions_at_start():
    """An entry VM that starts does not know the regions of control VMs yet.

    Complete tables from each of them were most of the traffic between regions.
    """
    deployment = Deployment({1: 'a', 2: 'a', 3: 'b'})
    for control in deployment.controls.values():
        control.announce(announced('i-1'))
    watch = deployment.entry(101)
    watch.contacts.local_only_until_s = deployment.timer.now() + 0.3
    await watch.poll(address(3))
    assert not watch.merged.tables
    await watch.poll(address(2))
    assert watch.preferred() == str(address(2))
    await deployment.exchange()
    await watch.poll(address(2))
    assert len(watch.merged.tables) == len(deployment.controls)


async def test_another_region_is_polled_without_a_local_control_vm():
    """The region's control VMs are down; its entry VMs need upstreams."""
    deployment = Deployment({1: 'a', 2: 'a', 3: 'b'})
    deployment.controls[3].announce(announced('i-1'))
    deployment.network.frozen.update(map(address, (1, 2)))
    watch = deployment.entry(101)
    watch.contacts.local_only_until_s = deployment.timer.now() + 0.3
    await watch.poll(address(3))
    deployment.timer.advance(0.4)
    await deployment.poll(watch)
    watch.refresh(deployment.timer.now())
    assert 'i-1' in watch.view().upstreams
