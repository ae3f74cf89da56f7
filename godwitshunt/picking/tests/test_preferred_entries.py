"""Selection of the entry VMs that receive hand-overs from another region.

A hand-over to a VM without an open connection costs one more round trip
between regions: a seventh of a second, a fifth of a short request's objective.
"""

from godwitshunt.picking.choices import HandOver
from godwitshunt.picking.chooser import PREFERRED_ENTRIES
from godwitshunt.picking.tests.region import SHORT, PickedRegion, engine

SENDERS = 6
RECEIVERS = 8


async def full_region():
    """Return the entry VMs of a region without upstreams of its own."""
    region = PickedRegion()
    for name in ('j-0', 'j-1'):
        region.announce(3, engine(name, 'b', slots=256))
    senders = [region.start_entry(100 + number) for number in range(SENDERS)]
    receivers = [
        region.start_entry(200 + number, 'b') for number in range(RECEIVERS)
    ]
    await region.settle(*senders, *receivers)
    await region.exchange()
    region.pickers[1].tick()
    return senders


async def handover_destinations(entry, times=12, **changes):
    """Return the entry VMs to which one VM hands requests over."""
    choices = [
        await entry.request_destination(SHORT, **changes) for _ in range(times)
    ]
    assert all(isinstance(choice, HandOver) for choice in choices)
    return {choice.entry.name for choice in choices}


async def test_an_entry_vm_hands_over_to_few_others():
    """Its connections to these stay open."""
    senders = await full_region()
    for entry in senders:
        assert len(await handover_destinations(entry)) <= PREFERRED_ENTRIES


async def test_entry_vms_hand_over_to_different_ones():
    """The same few receivers for all senders would be overloaded."""
    senders = await full_region()
    destinations = [await handover_destinations(entry) for entry in senders]
    assert len(set().union(*destinations)) > PREFERRED_ENTRIES


async def test_one_that_failed_gives_way_to_the_next():
    """A preferred receiver fails; the request goes to another one at once."""
    senders = await full_region()
    preferred = await handover_destinations(senders[0])
    others = await handover_destinations(
        senders[0], excluded=frozenset(preferred)
    )
    assert others
    assert not others & preferred
