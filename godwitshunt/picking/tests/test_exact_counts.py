"""Many entry VMs of a region query one picker.

If they chose by themselves, on totals that are half a second old, all of them
would send to the engine that was free half a second ago. It would refuse most
requests while other engines are idle.
"""

from collections import Counter

import pytest

from godwitshunt.picking.choices import HandOver, NoPlace, SendHere
from godwitshunt.picking.client import REPORT_DELAY_S, START_REPORT_DELAY_S
from godwitshunt.picking.tests.region import (
    LONG,
    SHORT,
    SLOTS,
    PickedRegion,
    engine,
)

ENGINES = 6


async def start_region(vms: int = 2, engines: int = ENGINES, **changes):
    """Start a region with engines, and its entry VMs."""
    region = PickedRegion()
    for number in range(engines):
        region.announce(1, engine(f'i-{number}', **changes))
    entries = [region.start_entry(100 + each) for each in range(vms)]
    await region.settle(*entries)
    return region, entries


def destination(choice: SendHere) -> str:
    """Return the incarnation to which a request is sent."""
    return choice.upstream.announcement.incarnation


@pytest.mark.parametrize('vms', [3, 30])
async def test_simultaneous_requests_are_spread_evenly(vms):
    """All entry VMs get a request in the same millisecond."""
    _, entries = await start_region(vms)
    choices = [await entry.request_destination() for entry in entries]
    assert all(choice.chosen_by_picker for choice in choices)
    sent = Counter(map(destination, choices))
    assert max(sent.values()) <= -(-vms // ENGINES)


async def test_a_released_slot_is_available_to_all_vms_at_once():
    """All slots are in use, and the requests of one entry VM end."""
    region, (first_vm, second_vm) = await start_region(engines=1)
    sent_numbers = []
    choice = await first_vm.request_destination()
    while isinstance(choice, SendHere):
        sent_numbers.append(
            first_vm.begin(destination(choice), SHORT.prompt_tokens)
        )
        choice = await first_vm.request_destination()
    assert len(sent_numbers) >= SLOTS
    assert isinstance(await second_vm.request_destination(), NoPlace)
    for sent in sent_numbers:
        first_vm.end('i-0', sent, SHORT.prompt_tokens)
    region.timer.advance(REPORT_DELAY_S)
    assert destination(await second_vm.request_destination()) == 'i-0'


async def test_a_placed_request_counts_once_until_and_after_its_report():
    """The start of a placed request is reported later than other changes.

    Until then it counts by its assignment. A late report would let the
    assignment expire, and a double count would leave slots unused.
    """
    region, (vm,) = await start_region(1, engines=1)
    ledger = region.pickers[1].picker.ledger
    choice = await vm.request_destination()
    vm.begin_placed(destination(choice), SHORT.prompt_tokens)
    assert ledger.total('i-0').in_flight == 1
    for _ in range(10):
        region.timer.advance(START_REPORT_DELAY_S)
        ledger.tick(region.timer.now())
        assert ledger.total('i-0').in_flight == 1


async def test_a_question_replaces_a_scheduled_report():
    """A request ends just before the next question, which tells its end.

    The end must reach the picker with the question and not be sent again.
    """
    region, (vm,) = await start_region(1, engines=1)
    choice = await vm.request_destination()
    number = vm.begin(destination(choice), SHORT.prompt_tokens)
    vm.end('i-0', number, SHORT.prompt_tokens)
    await vm.request_destination()
    told = vm.reports.number
    assert region.pickers[1].picker.ledger.total('i-0').in_flight == 1
    region.timer.advance(REPORT_DELAY_S)
    assert vm.reports.number == told


async def test_requests_with_the_same_prompt_go_to_the_same_engine():
    """Two entry VMs get requests with a long shared prompt at the same time.

    The prefill at the first engine is not complete. A second engine would
    repeat it and delay all of its other requests.
    """
    _, (first_vm, second_vm) = await start_region()
    first = await first_vm.request_destination(LONG)
    assert not first.is_cached
    second = await second_vm.request_destination(LONG)
    assert destination(second) == destination(first)
    assert second.is_cached


async def test_handovers_count_until_their_region_reports_them():
    """The own region is full, and the other region's engines look idle.

    Its next report arrives a quarter of a second later. If the picker used the
    last one alone, all requests until then would go to the same engine.
    """
    region, (first_vm, _) = await start_region(engines=0)
    for number in (7, 8):
        region.announce(3, engine(f'j-{number}', 'b'))
    remote_vm = region.start_entry(200, 'b')
    await region.settle(first_vm, remote_vm)
    await region.exchange()
    for _ in range(6):
        assert isinstance(await first_vm.request_destination(LONG), HandOver)
    handovers = region.pickers[1].picker.handovers.totals
    assert sum(load.in_flight for load in handovers.values()) == 6
    assert max(load.in_flight for load in handovers.values()) < 6
    region.timer.advance(0.3)
    await region.exchange()
    region.pickers[1].picker.handovers.remove_reported(region.timer.now())
    assert not region.pickers[1].picker.handovers.totals
