"""Control VMs are partitioned from each other; entry VMs reach all of them.

The picker of a region gets no table directly from other regions. Requests that
only these may serve were refused for the whole partition, although every entry
VM could reach them.
"""

import pytest

from godwitshunt.picking.choices import HandOver
from godwitshunt.picking.tests.region import LONG, PickedRegion, engine
from godwitshunt.registry.control_tables import RELAY_POLL_AFTER_S
from godwitshunt.registry.tests.deployment import address
from godwitshunt.registry.views import FRESH_S
from godwitshunt.registry.watch import POLL_PERIOD_S


async def start_regions():
    """Start a region without engines and one with engines."""
    region = PickedRegion({1: 'a', 2: 'a', 3: 'b'})
    for number in range(2):
        region.announce(3, engine(f'j-{number}', 'b'))
    local_vms = [region.start_entry(100 + each) for each in range(2)]
    remote_vm = region.start_entry(200, 'b')
    await region.settle(*local_vms, remote_vm)
    await region.settle(*local_vms, remote_vm)
    return region, local_vms, remote_vm


async def advance(region, entries, seconds: float) -> None:
    """Advance the time with the usual polls of all VMs."""
    for _ in range(round(seconds / POLL_PERIOD_S)):
        region.timer.advance(POLL_PERIOD_S)
        await region.exchange()
        for entry in entries:
            await region.poll(entry.watch)


def partition(region) -> None:
    """Partition the other region's control VM from this region's."""
    for control in (1, 2):
        region.network.split(address(control), address(3))


@pytest.mark.parametrize('is_partitioned', [False, True])
async def test_requests_are_still_handed_over(is_partitioned):
    """The partition lasts longer than a received table is valid."""
    region, local_vms, remote_vm = await start_regions()
    if is_partitioned:
        partition(region)
    await advance(region, (*local_vms, remote_vm), 3 * FRESH_S)
    for entry in local_vms:
        assert isinstance(await entry.request_destination(LONG), HandOver)


async def test_remote_loads_are_known_during_a_partition():
    """One engine of the other region is full, the other one is free."""
    region, local_vms, remote_vm = await start_regions()
    partition(region)
    await advance(region, (*local_vms, remote_vm), FRESH_S)
    for _ in range(4):
        remote_vm.begin('j-0', LONG.prompt_tokens)
    await advance(region, (*local_vms, remote_vm), 2 * FRESH_S)
    view = region.pickers[1].registry.view()
    assert view.loads.get('j-0').in_flight == 4
    assert view.loads.get('j-1') is None


async def test_without_a_partition_entry_vms_relay_no_tables():
    """Each table then comes from its control VM only."""
    region, local_vms, remote_vm = await start_regions()
    await advance(region, (*local_vms, remote_vm), 4 * RELAY_POLL_AFTER_S)
    for entry in (*local_vms, remote_vm):
        for control in region.controls:
            now_s = region.timer.now()
            target = str(address(control))
            assert not entry.watch.make_poll(target, now_s).newer
