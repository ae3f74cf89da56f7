"""By which way an entry VM hears that an upstream leaves, and how soon.

An upstream says to one control VM that it leaves. Its entry VMs hear of that
from the control VM that they ask, which may be another one, cut off from the
first or standing still. What they send to the upstream 3 s later is lost.
"""

import pytest

from godwitshunt.registry.contacts import STALE_AFTER_S
from godwitshunt.registry.tests.deployment import Deployment, address
from godwitshunt.registry.tests.test_table import announced
from godwitshunt.registry.watch import TICK_S

# Two ticks and the way there and back.
KNOWN_WITHIN_S = STALE_AFTER_S + 2 * TICK_S + 0.1


class Region:
    """An entry VM that asks as it does by itself."""

    def __init__(self) -> None:
        self.deployment = Deployment({1: 'a', 2: 'a', 3: 'b'})
        self.watch = self.deployment.entry(101)
        self.steps = 0

    async def start(self) -> 'Region':
        """Let all VMs hear of one upstream."""
        for control in self.deployment.controls.values():
            control.announce(announced('i-1'))
        await self.wait(2.0)
        return self

    async def wait(self, seconds: float) -> None:
        """Let time pass, and control and entry VMs ask."""
        for _ in range(round(seconds / TICK_S)):
            self.deployment.timer.advance(TICK_S)
            self.steps += 1
            if self.steps % 2:
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
        return seen is None or seen.told.draining


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
    source = region.watch.joined.tables[str(address(3))].source
    assert source == region.deployment.controls[3].source
    await region.watch.poll(address(1))
    assert region.watch.joined.tables[str(address(3))].source == source
    assert region.is_known_to_leave()


async def test_an_older_relay_takes_nothing_back():
    """The entry VM asks another relay, which has heard less than the first."""
    region = await Region().start()
    split(region, (1, 2), (2, 3))
    region.leave(3)
    await region.wait(1.0)
    known = region.watch.joined.tables[str(address(3))].version
    await region.watch.poll(address(2))
    assert region.watch.joined.tables[str(address(3))].version == known
    assert region.is_known_to_leave()


async def test_a_vm_that_moves_to_another_relay_is_told_changes_only():
    """Versions are the control VM's own, whoever tells its table."""
    region = await Region().start()
    await region.watch.poll(address(2))
    held = {one.source: one for one in region.watch.joined.held()}
    assert len(held) == len(region.deployment.controls)
    for control in region.deployment.controls.values():
        message = region.watch.message_to(
            str(control.place.address),
            region.deployment.timer.now(),
        )
        told = control.reply(message).tables
        assert len(told) == len(held)
        assert not any(one.whole or one.upstreams for one in told)
