"""A region's picker stands still, is cut off, or starts anew.

A request must not wait for it, and nobody may be sent where there is no room
because a new picker does not know yet what runs.
"""

from collections import Counter

import pytest

from godwitshunt.picking.choices import SendHere
from godwitshunt.picking.picker import PRIMARY_SHARE
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
from godwitshunt.registry.tests.deployment import address


async def started(control=None, vms: int = 2):
    """Return a region with two engines, and its entry VMs."""
    region = PickedRegion(control)
    for number in range(2):
        region.announce(1, engine(f'i-{number}'))
    entries = [region.start_entry(100 + each) for each in range(vms)]
    await region.settle(*entries)
    return region, entries


async def test_all_entry_vms_ask_the_same_one():
    """Two control VMs of the region would each know a part of what runs."""
    region, entries = await started(vms=5)
    assert {region.picker_of(entry) for entry in entries} == {address(1)}


async def test_a_vm_chooses_by_itself_while_the_picker_is_silent():
    """The picker's VM stands still, and no other one is near."""
    region, (entry, _) = await started({1: 'a', 3: 'b'})
    region.network.frozen.add(address(1))
    assert await entry.ask() is None
    asked = len(entry.watch.links.calls)
    assert await entry.ask() is None
    assert len(entry.watch.links.calls) == asked


async def test_the_next_picker_knows_what_the_first_one_gave():
    """The first picker dies while every slot that it gave is taken.

    A new picker that took the engines for free would send all requests there
    once more, and have them turned away.
    """
    region, entries = await started()
    for entry in entries:
        for _ in range(SLOTS):
            choice = await entry.ask()
            instance = choice.upstream.announcement.incarnation
            entry.begin(instance, SHORT.prompt_tokens)
    await region.exchange()
    region.network.frozen.add(address(1))
    for entry in entries:
        await entry.ask()
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


async def test_a_picker_that_has_just_started_gives_nothing_yet():
    """It hears what runs with the entry VMs' first reports only."""
    region, (entry, _) = await started({1: 'a', 3: 'b'})
    choice = await entry.ask()
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
    """For a moment each of two VMs believes in another picker."""
    region, (one, other) = await started()
    region.network.split(address(1), address(100))
    await one.ask()
    await region.poll(one.watch)
    pickers = [region.picker_of(entry) for entry in (one, other)]
    assert pickers == [address(2), address(1)]
    region.network.heal()
    region.timer.advance(PROBE_PERIOD_S)
    await region.poll(one.watch)
    assert region.picker_of(one) == address(1)


async def test_a_picker_without_the_route_lets_the_vm_choose():
    """The picker's configuration is older than the entry VM's."""
    region, (entry, _) = await started()
    region.revision = None
    assert await entry.ask() is None
    region.revision = revision(2)
    assert isinstance(await entry.ask(), SendHere)


@pytest.mark.parametrize('seed', range(5))
async def test_two_pickers_together_give_a_cold_engine_what_it_bears(seed):
    """Half of the entry VMs ask one picker and half another one.

    An engine that has just started is slow, and more than it bears crashes it.
    """
    region, entries = await started(vms=6)
    for number in range(2):
        cold = engine(f'i-{number}', sequence=2, cold_s=30.0)
        region.announce(1, cold)
    region.timer.advance(4.0)
    await region.settle(*entries)
    for entry in entries[:3]:
        region.network.split(address(1), entry.watch.links.own)
    for entry in entries[:3]:
        await entry.ask()
        await region.poll(entry.watch)
    for picker in region.pickers.values():
        picker.tick()
    assignment = [await one.ask() for _ in range(10) for one in entries]
    sent_to = Counter(
        choice.upstream.announcement.incarnation
        for choice in assignment
        if isinstance(choice, SendHere)
    )
    asked = {region.picker_of(one) for one in entries}
    assert asked == {address(1), address(2)}
    bound = 3.6 * 1.5 + 3
    for name in ('i-0', 'i-1'):
        assert bound * PRIMARY_SHARE - 1 < sent_to[name] <= bound
