"""A region's peak is served by another one: through which of its entry VMs.

Each hand-over to another VM than the last ones needs a new connection, and
with it one more round trip between regions: a seventh of a second, a fifth of
what a short request has.
"""

from godwitshunt.picking.choices import HandOver
from godwitshunt.picking.chooser import PREFERRED_ENTRIES
from godwitshunt.picking.tests.region import SHORT, PickedRegion, engine

ASKERS = 6
DOORS = 8


async def full_region():
    """Return a region whose upstreams are all in another one."""
    region = PickedRegion()
    for name in ('j-0', 'j-1'):
        region.announce(3, engine(name, 'b', slots=256))
    askers = [region.start_entry(100 + one) for one in range(ASKERS)]
    doors = [region.start_entry(200 + one, 'b') for one in range(DOORS)]
    await region.settle(*askers, *doors)
    await region.exchange()
    region.pickers[1].tick()
    return askers


async def handed_to(entry, times=12, **changes):
    """Return the entry VMs that one's requests are handed over to."""
    choices = [await entry.ask(SHORT, **changes) for _ in range(times)]
    assert all(isinstance(one, HandOver) for one in choices)
    return {one.entry.name for one in choices}


async def test_an_entry_vm_hands_over_to_few_others():
    """Its connections to those are open already."""
    askers = await full_region()
    for entry in askers:
        assert len(await handed_to(entry)) <= PREFERRED_ENTRIES


async def test_entry_vms_hand_over_to_different_ones():
    """With the same few for all of them those would be overrun."""
    askers = await full_region()
    named = [await handed_to(entry) for entry in askers]
    assert len(set().union(*named)) > PREFERRED_ENTRIES


async def test_one_that_failed_gives_way_to_the_next():
    """A usual one is lost; the request goes to another one at once."""
    askers = await full_region()
    usual = await handed_to(askers[0])
    next_ones = await handed_to(askers[0], excluded=frozenset(usual))
    assert next_ones
    assert not next_ones & usual
