"""Many entry VMs of a region ask one picker for places.

Choosing by themselves, on sums that are half a second old, all of them send
to the engine that was free half a second ago. It turns most of them away, and
their callers wait or come back while other engines stand idle.
"""

from collections import Counter

import pytest

from godwitshunt.picking.choices import HandOver, NoPlace, SendHere
from godwitshunt.picking.client import REPORT_DELAY_S
from godwitshunt.picking.tests.region import (
    LONG,
    SHORT,
    SLOTS,
    PickedRegion,
    engine,
)

ENGINES = 6


async def started(vms: int = 2, engines: int = ENGINES, **changes):
    """Return a region with engines, and its entry VMs."""
    region = PickedRegion()
    for number in range(engines):
        region.announce(1, engine(f'i-{number}', **changes))
    entries = [region.start_entry(100 + each) for each in range(vms)]
    await region.settle(*entries)
    return region, entries


def place(choice: SendHere) -> str:
    """Return where a request goes."""
    return choice.upstream.announcement.incarnation


@pytest.mark.parametrize('vms', [3, 30])
async def test_no_engine_gets_more_than_its_share_at_once(vms):
    """All entry VMs get a request in the same millisecond."""
    _, entries = await started(vms)
    assignment = [await entry.ask() for entry in entries]
    assert all(one.chosen_by_picker for one in assignment)
    sent = Counter(map(place, assignment))
    assert max(sent.values()) <= -(-vms // ENGINES)


async def test_a_slot_is_free_again_as_soon_as_it_is():
    """Every slot is taken, and one request ends at another entry VM."""
    region, (one, other) = await started(engines=1)
    begun = []
    choice = await one.ask()
    while isinstance(choice, SendHere):
        begun.append(one.begin(place(choice), SHORT.prompt_tokens))
        choice = await one.ask()
    assert len(begun) >= SLOTS
    assert isinstance(await other.ask(), NoPlace)
    for sent in begun:
        one.end('i-0', sent, SHORT.prompt_tokens)
    region.timer.advance(REPORT_DELAY_S)
    assert place(await other.ask()) == 'i-0'


async def test_the_next_request_with_a_prompt_follows_the_first_at_once():
    """Two entry VMs get requests that share a long prompt, a moment apart.

    The first engine is still reading. Sent to another one, the prompt would
    be read twice, and all that runs there would wait for it.
    """
    _, (one, other) = await started()
    first = await one.ask(LONG)
    assert not first.is_cached
    second = await other.ask(LONG)
    assert place(second) == place(first)
    assert second.is_cached


async def test_what_went_to_another_region_counts_until_that_tells_of_it():
    """The own region is full, the other one's engines were told as idle.

    Its next news is a quarter of a second away. Chosen by the last, every
    request of that time would go to the same engine there.
    """
    region, (one, _) = await started(engines=0)
    for number in (7, 8):
        region.announce(3, engine(f'j-{number}', 'b'))
    far = region.start_entry(200, 'b')
    await region.settle(one, far)
    await region.exchange()
    for _ in range(6):
        assert isinstance(await one.ask(LONG), HandOver)
    handovers = region.pickers[1].picker.handovers.totals
    assert sum(load.in_flight for load in handovers.values()) == 6
    assert max(load.in_flight for load in handovers.values()) < 6
    region.timer.advance(0.3)
    await region.exchange()
    region.pickers[1].picker.handovers.remove_reported(region.timer.now())
    assert not region.pickers[1].picker.handovers.totals
