"""An upstream that goes on to announce itself to another control VM."""

from godwitshunt.registry.table import EXPIRED_AFTER_S
from godwitshunt.registry.tests.test_table import announced
from godwitshunt.registry.tests.test_update_latency import Region

STEP_S = 0.7


async def announce_to(region: Region, number: int, seconds: float, start: int):
    """Announce the upstream to one control VM for a time."""
    count = int(seconds / STEP_S)
    for sequence in range(start, start + count):
        announcement = announced('i-1', sequence=sequence)
        region.deployment.controls[number].announce(announcement)
        await region.wait(STEP_S)
        for control in region.deployment.controls.values():
            control.tick()
    return start + count


def is_known(region: Region) -> bool:
    """Return whether the entry VM may use the upstream."""
    region.watch.refresh(region.deployment.timer.now())
    seen = region.watch.view().upstreams.get('i-1')
    return seen is not None and not seen.silent


async def test_upstream_stays_known_where_it_announces_itself():
    """The control VM that it left took it for ended a minute later.

    No VM sent it requests then, for two minutes.
    """
    region = await Region().start()
    await announce_to(region, 2, EXPIRED_AFTER_S + 10, start=2)
    assert is_known(region)


async def test_upstream_may_return_to_a_control_vm_that_it_left():
    """The control VM that it left refused its announcements."""
    region = await Region().start()
    following = await announce_to(region, 2, EXPIRED_AFTER_S + 10, start=2)
    await announce_to(region, 1, 10.0, start=following)
    assert 'i-1' in region.deployment.controls[1].upstreams.entries
    assert is_known(region)


async def test_silent_upstream_is_removed_everywhere():
    """An upstream that nobody hears must not stay a candidate for ever."""
    region = await Region().start()
    for _ in range(int((EXPIRED_AFTER_S + 10) / STEP_S)):
        await region.wait(STEP_S)
        for control in region.deployment.controls.values():
            control.tick()
    region.watch.refresh(region.deployment.timer.now())
    assert not region.watch.view().upstreams
