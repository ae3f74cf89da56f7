"""Pauses that upstreams have asked one entry VM for."""

from godwitshunt.picking.choices import HandOver, NoPlace, SendHere
from godwitshunt.picking.chooser import MAX_PAUSE_SPREAD
from godwitshunt.picking.tests.region import PickedRegion, engine

PAUSE_S = 3.0


async def start_region(engines: int = 2):
    """Return a region with engines, and two entry VMs."""
    region = PickedRegion()
    for number in range(engines):
        region.announce(1, engine(f'i-{number}'))
    entries = [region.start_entry(100 + each) for each in range(2)]
    await region.settle(*entries)
    return region, entries


def chosen(choices) -> set[str]:
    """Return the upstreams that were chosen."""
    return {
        choice.upstream.announcement.incarnation
        for choice in choices
        if isinstance(choice, SendHere)
    }


async def test_picker_respects_the_pause_of_the_vm_that_asks():
    """The picker knows of no refusal and assigns the least loaded upstream."""
    _, (paused, other) = await start_region()
    pauses = {'i-0': PAUSE_S}
    choices = [
        await paused.request_destination(pauses=pauses) for _ in range(4)
    ]
    assert chosen(choices) == {'i-1'}
    others = [await other.request_destination() for _ in range(4)]
    assert 'i-0' in chosen(others)


async def test_request_goes_to_another_region_during_a_pause():
    """Callers refused although another region has a free upstream."""
    region, (entry, _) = await start_region(engines=1)
    region.announce(3, engine('k-0', domain='b'))
    remote = region.start_entry(200, 'b')
    for _ in range(2):
        await region.settle(entry, remote)
    choice = await entry.request_destination(pauses={'i-0': PAUSE_S})
    assert isinstance(choice, HandOver)


async def test_refused_callers_are_told_when_the_pause_ends():
    """All upstreams have asked for a pause; callers come back within it."""
    _, (entry, _) = await start_region()
    pauses = {'i-0': PAUSE_S, 'i-1': PAUSE_S + 4}
    choices = [await entry.request_destination(pauses=pauses) for _ in range(8)]
    assert all(isinstance(choice, NoPlace) for choice in choices)
    waits = [choice.retry_after_s for choice in choices]
    assert min(waits) >= PAUSE_S
    assert min(waits) < max(waits) <= PAUSE_S * MAX_PAUSE_SPREAD
