"""By which way an entry VM hears that an upstream leaves, and how soon.

An upstream says to one control VM that it leaves. Its entry VMs hear of that
from the control VM that they ask, which may be another one, cut off from the
first or standing still. What they send to the upstream 3 s later is lost.
"""

import pytest

from godwitshunt.registry.contacts import STALE_AFTER_S
from godwitshunt.registry.tests.deployment import Deployment, address
from godwitshunt.registry.tests.test_table import announced
from godwitshunt.registry.watch import POLL_PERIOD_S

# What is stated where the age is set, the next look and the way there.
KNOWN_WITHIN_S = STALE_AFTER_S + POLL_PERIOD_S + 0.1


class Region:
    """An entry VM that asks as it does by itself."""

    def __init__(self) -> None:
        self.deployment = Deployment({1: 'a', 2: 'a', 3: 'b'})
        self.watch = self.deployment.entry(101)

    async def start(self) -> 'Region':
        """Let all VMs hear of one upstream."""
        for control in self.deployment.controls.values():
            control.announce(announced('i-1'))
        await self.wait(2.0)
        return self

    async def wait(self, seconds: float) -> None:
        """Let time pass, and control and entry VMs ask."""
        for _ in range(round(seconds / POLL_PERIOD_S)):
            self.deployment.timer.advance(POLL_PERIOD_S)
            await self.deployment.exchange()
            await self.ask_due()

    async def ask_due(self) -> None:
        """Let the entry VM ask the control VMs that it asks by itself."""
        now_s = self.deployment.timer.now()
        known = self.watch.known_control()
        due = self.watch.contacts.to_ask(known, now_s, self.watch.period_s())
        for control in self.deployment.addresses:
            if str(control) in due:
                await self.watch.poll(control)

    def leave(self, number: int) -> None:
        """Let the upstream say to one control VM that it leaves."""
        told = announced('i-1', sequence=2, draining=True)
        self.deployment.controls[number].announce(told)

    def is_known_to_leave(self) -> bool:
        """Tell whether the entry VM knows it."""
        self.watch.refresh(self.deployment.timer.now())
        seen = self.watch.view().upstreams.get('i-1')
        return seen is None or seen.announcement.draining


def split(region: Region, *pairs: tuple[int, int]) -> None:
    """Cut control VMs off from one another."""
    for one, other in pairs:
        region.deployment.network.split(address(one), address(other))


@pytest.mark.parametrize(
    ('pairs', 'frozen', 'told'),
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
async def test_a_leaving_is_known_in_time_in_any_cut(pairs, frozen, told):
    """The control VM that was told is reached by the entry VM, if by nobody."""
    region = await Region().start()
    split(region, *pairs)
    region.deployment.network.frozen.update(map(address, frozen))
    await region.wait(1.0)
    region.leave(told)
    await region.wait(KNOWN_WITHIN_S)
    assert region.is_known_to_leave()


async def test_one_that_asks_a_relay_is_not_told_twice():
    """In calm one control VM is asked for all, and tells changes once."""
    region = await Region().start()
    asked = region.watch.links.calls
    asked.clear()
    await region.wait(7.0)
    assert {target for target, _ in asked} == {address(1)}
    assert len(asked) <= 7.0 / 0.35 + 1


async def test_news_of_a_process_that_ended_changes_nothing():
    """A control VM restarts; another one still tells what it was before.

    Taken for new, the old table would bring an upstream back that has left.
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


async def test_an_older_relay_takes_nothing_back():
    """The entry VM asks another relay, which has heard less than the first."""
    region = await Region().start()
    split(region, (1, 2), (2, 3))
    region.leave(3)
    await region.wait(1.0)
    known = region.watch.merged.tables[str(address(3))].version
    await region.watch.poll(address(2))
    assert region.watch.merged.tables[str(address(3))].version == known
    assert region.is_known_to_leave()


async def test_a_vm_that_moves_to_another_relay_is_told_changes_only():
    """Versions are the control VM's own, whoever tells its table."""
    region = await Region().start()
    region.watch.contacts.for_control(str(address(1))).record_failure()
    await region.watch.poll(address(2))
    now_s = region.deployment.timer.now()
    message = region.watch.make_poll(str(address(2)), now_s)
    told = region.deployment.controls[2].reply(message).tables
    assert len(told) == len(region.deployment.controls)
    assert not any(one.whole or one.upstreams for one in told)


async def test_tables_of_other_regions_are_not_asked_of_their_control_vms():
    """An entry VM starts; it does not know yet where control VMs stand.

    Whole tables from each of them were most of what crossed between regions.
    """
    deployment = Deployment({1: 'a', 2: 'a', 3: 'b'})
    for control in deployment.controls.values():
        control.announce(announced('i-1'))
    watch = deployment.entry(101)
    watch.contacts.near_only_until_s = deployment.timer.now() + 0.3
    await watch.poll(address(3))
    assert not watch.merged.tables
    await watch.poll(address(2))
    assert watch.first() == str(address(2))
    await deployment.exchange()
    await watch.poll(address(2))
    assert len(watch.merged.tables) == len(deployment.controls)


async def test_without_a_control_vm_near_another_region_is_asked():
    """The region's control VMs are dark; its entry VMs must know upstreams."""
    deployment = Deployment({1: 'a', 2: 'a', 3: 'b'})
    deployment.controls[3].announce(announced('i-1'))
    deployment.network.frozen.update(map(address, (1, 2)))
    watch = deployment.entry(101)
    watch.contacts.near_only_until_s = deployment.timer.now() + 0.3
    await watch.poll(address(3))
    deployment.timer.advance(0.4)
    await deployment.poll(watch)
    watch.refresh(deployment.timer.now())
    assert 'i-1' in watch.view().upstreams
