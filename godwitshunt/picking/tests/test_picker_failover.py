"""A region's picker freezes, is partitioned, or restarts.

Requests must not wait for it, and a new picker that does not know the loads
yet must not assign requests to full upstreams.
"""

from collections import Counter

import pytest

from godwitshunt.picking.choices import SendHere
from godwitshunt.picking.picker import PRIMARY_COLD_SHARE
from godwitshunt.picking.service import WARM_UP_S
from godwitshunt.picking.tests.region import (
    SHORT,
    SLOTS,
    PickedRegion,
    engine,
    revision,
)
from godwitshunt.registry.contacts import PROBE_PERIOD_S
from godwitshunt.registry.control_tables import LOCAL_LOADS_TTL_S
from godwitshunt.registry.ledger import REPORT_TTL_S, RESERVATION_TTL_S
from godwitshunt.registry.tests.deployment import address


async def start_region(control=None, vms: int = 2):
    """Return a region with two engines, and its entry VMs."""
    region = PickedRegion(control)
    for number in range(2):
        region.announce(1, engine(f'i-{number}'))
    entries = [region.start_entry(100 + each) for each in range(vms)]
    await region.settle(*entries)
    return region, entries


async def test_all_entry_vms_query_the_same_picker():
    """Otherwise each of two control VMs would know only some of the loads."""
    region, entries = await start_region(vms=5)
    assert {region.picker_of(entry) for entry in entries} == {address(1)}


async def test_a_vm_chooses_by_itself_while_the_picker_is_unresponsive():
    """The picker's VM is frozen, and the region has no other control VM."""
    region, (entry, _) = await start_region({1: 'a', 3: 'b'})
    region.network.frozen.add(address(1))
    assert await entry.request_destination() is None
    queried = len(entry.watch.links.calls)
    assert await entry.request_destination() is None
    assert len(entry.watch.links.calls) == queried


async def test_the_next_picker_knows_the_assignments_of_the_first():
    """The first picker fails while all slots that it assigned are in use.

    A new picker that saw the engines as free would assign their slots again,
    and the engines would refuse these requests.
    """
    region, entries = await start_region()
    for entry in entries:
        for _ in range(SLOTS):
            choice = await entry.request_destination()
            instance = choice.upstream.announcement.incarnation
            entry.begin(instance, SHORT.prompt_tokens)
    await region.exchange()
    region.network.frozen.add(address(1))
    for entry in entries:
        await entry.request_destination()
        await region.poll(entry.watch)
        assert region.picker_of(entry) == address(2)
    picker = region.pickers[2]
    early = picker.registry.view()
    at_once = [early.loads.get(f'i-{number}').in_flight for number in range(2)]
    assert sum(at_once) >= 2 * SLOTS
    region.timer.advance(LOCAL_LOADS_TTL_S + 0.1)
    view = picker.registry.view()
    known = [view.loads.get(f'i-{number}').in_flight for number in range(2)]
    assert sum(known) == 2 * SLOTS


async def test_a_picker_that_has_just_started_does_not_assign_yet():
    """It learns the loads from the entry VMs' first reports."""
    region, (entry, _) = await start_region({1: 'a', 3: 'b'})
    choice = await entry.request_destination()
    entry.begin(choice.upstream.announcement.incarnation, SHORT.prompt_tokens)
    region.restart(1)
    await region.poll(entry.watch, 1)
    assert region.picker_of(entry) is None
    region.timer.advance(WARM_UP_S)
    await region.poll(entry.watch, 1)
    assert region.picker_of(entry) == address(1)
    view = region.pickers[1].registry.view()
    assert (
        view.loads.get(choice.upstream.announcement.incarnation).in_flight == 1
    )


async def test_a_vm_goes_back_to_the_first_picker_when_it_answers_again():
    """For a short time, two VMs use different pickers."""
    region, (first_vm, second_vm) = await start_region()
    region.network.split(address(1), address(100))
    await first_vm.request_destination()
    await region.poll(first_vm.watch)
    pickers = [region.picker_of(entry) for entry in (first_vm, second_vm)]
    assert pickers == [address(2), address(1)]
    region.network.heal()
    region.timer.advance(PROBE_PERIOD_S)
    await region.poll(first_vm.watch)
    assert region.picker_of(first_vm) == address(1)


async def test_a_picker_without_the_route_lets_the_vm_choose():
    """The picker's revision is older than that of the entry VM."""
    region, (entry, _) = await start_region()
    region.revision = None
    assert await entry.request_destination() is None
    region.revision = revision(2)
    assert isinstance(await entry.request_destination(), SendHere)


@pytest.mark.parametrize('seed', range(5))
async def test_two_pickers_together_respect_the_cold_budget(seed):
    """Half of the entry VMs query one picker and half another one.

    An engine that has just started is slow, and crashes if it gets more
    requests than its budget.
    """
    region, entries = await start_region(vms=6)
    for number in range(2):
        cold = engine(f'i-{number}', sequence=2, cold_s=30.0)
        region.announce(1, cold)
    region.timer.advance(4.0)
    await region.settle(*entries)
    for entry in entries[:3]:
        region.network.split(address(1), entry.watch.links.own)
    for entry in entries[:3]:
        await entry.request_destination()
        await region.poll(entry.watch)
    for picker in region.pickers.values():
        picker.tick()
    choices = [
        await vm.request_destination() for _ in range(10) for vm in entries
    ]
    sent_to = Counter(
        choice.upstream.announcement.incarnation
        for choice in choices
        if isinstance(choice, SendHere)
    )
    queried = {region.picker_of(vm) for vm in entries}
    assert queried == {address(1), address(2)}
    bound = 3.6 * 1.5 + 3
    for name in ('i-0', 'i-1'):
        assert bound * PRIMARY_COLD_SHARE - 1 < sent_to[name] <= bound


async def visit_next_picker(region, entry):
    """Let an entry VM query the second picker once, and return to the first.

    Returns
    -------
    int
        Its requests at upstreams.
    """
    for number in range(SLOTS):
        entry.begin(f'i-{number % 2}', SHORT.prompt_tokens)
    await entry.request_destination()
    region.network.frozen.add(address(1))
    assert await entry.request_destination() is None
    assert region.picker_of(entry) == address(2)
    await entry.request_destination()
    region.network.heal()
    await region.poll(entry.watch, 1)
    assert region.picker_of(entry) == address(1)
    return SLOTS


def counted(region, number: int = 1) -> int:
    """Return the requests that a picker counts at all upstreams."""
    loads = region.controls[number].view().loads
    return sum(loads[instance].in_flight for instance in loads)


async def test_requests_count_once_after_a_visit_to_the_next_picker():
    """A picker that was queried for a moment counts those requests for good.

    Their slots are never assigned again, and callers are refused.
    """
    region, (entry, _) = await start_region()
    requests = await visit_next_picker(region, entry)
    await entry.request_destination()
    await region.exchange()
    region.timer.advance(RESERVATION_TTL_S + 0.1)
    for control in region.controls.values():
        control.tick()
    await region.poll(entry.watch, 1)
    await region.exchange()
    assert counted(region) == requests


async def test_requests_of_a_vm_that_stopped_reporting_are_not_counted():
    """The withdrawal is lost, and the next picker keeps the old report."""
    region, (entry, _) = await start_region()
    requests = await visit_next_picker(region, entry)
    region.network.split(address(2), entry.watch.links.own)
    await entry.request_destination()
    region.timer.advance(REPORT_TTL_S + 0.1)
    await region.poll(entry.watch, 1)
    for control in region.controls.values():
        control.tick()
    await region.exchange()
    assert counted(region) == requests
