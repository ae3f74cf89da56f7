"""Control VMs are cut off from one another, and entry VMs reach all of them.

The picker of a region hears nothing of the other regions. Callers whose
requests only those may serve were refused for as long as the cut lasted,
although every entry VM knew the way there.
"""

import pytest

from godwitshunt.picking.choices import HandOver
from godwitshunt.picking.tests.region import LONG, PickedRegion, engine
from godwitshunt.registry.control_tables import RELAY_POLL_AFTER_S
from godwitshunt.registry.tests.deployment import address
from godwitshunt.registry.views import FRESH_S
from godwitshunt.registry.watch import POLL_PERIOD_S


async def started():
    """Return a region without engines beside one that has some."""
    region = PickedRegion({1: 'a', 2: 'a', 3: 'b'})
    for number in range(2):
        region.announce(3, engine(f'j-{number}', 'b'))
    near = [region.start_entry(100 + each) for each in range(2)]
    far = region.start_entry(200, 'b')
    await region.settle(*near, far)
    await region.settle(*near, far)
    return region, near, far


async def wait(region, entries, seconds: float) -> None:
    """Let time pass while all VMs ask as they do by themselves."""
    for _ in range(round(seconds / POLL_PERIOD_S)):
        region.timer.advance(POLL_PERIOD_S)
        await region.exchange()
        for entry in entries:
            await region.poll(entry.watch)


def split(region) -> None:
    """Cut the other region's control VM off from this region's."""
    for here in (1, 2):
        region.network.split(address(here), address(3))


@pytest.mark.parametrize('is_cut', [False, True])
async def test_requests_go_on_to_the_other_region(is_cut):
    """The cut lasts for longer than what was last heard is believed."""
    region, near, far = await started()
    if is_cut:
        split(region)
    await wait(region, (*near, far), 3 * FRESH_S)
    for entry in near:
        assert isinstance(await entry.ask(LONG), HandOver)


async def test_requests_there_are_known_in_the_cut():
    """One engine of the other region is full, the other one is free."""
    region, near, far = await started()
    split(region)
    await wait(region, (*near, far), FRESH_S)
    for _ in range(4):
        far.begin('j-0', LONG.prompt_tokens)
    await wait(region, (*near, far), 2 * FRESH_S)
    view = region.pickers[1].registry.view()
    assert view.loads.get('j-0').in_flight == 4
    assert view.loads.get('j-1') is None


async def test_without_a_cut_entry_vms_tell_no_tables():
    """In calm each table comes from its control VM alone."""
    region, near, far = await started()
    await wait(region, (*near, far), 4 * RELAY_POLL_AFTER_S)
    for entry in (*near, far):
        for control in region.controls:
            now_s = region.timer.now()
            target = str(address(control))
            assert not entry.watch.make_poll(target, now_s).newer
