"""An organisation's limit over the pickers of two regions."""

import pytest

from godwitshunt.configuration.revision import Revision
from godwitshunt.manifest import Organisation, OrganisationLimit
from godwitshunt.organisations import key_digest
from godwitshunt.picking.choices import Limited
from godwitshunt.picking.tests.region import PickedRegion, engine, revision
from godwitshunt.registry.control_tables import PEER_POLL_PERIOD_S
from godwitshunt.registry.tests.deployment import address

PER_S, BURST = 40.0, 40.0
# What operators bear in a window: a tenth more than the limit allows.
WINDOW_S = 8.0
BOUND = (PER_S * WINDOW_S + BURST) * 1.1
NAME = 'wards'


def limited_revision() -> Revision:
    """Return a revision whose route asks for keys of one organisation."""
    made = revision(2)
    organisation = Organisation(
        name=NAME,
        keys_sha256=(key_digest(b'k-1'),),
        limit=OrganisationLimit(per_s=PER_S, burst=BURST),
    )
    route = made.manifest.routes[0].model_copy(update={'keyed': True})
    manifest = made.manifest.model_copy(
        update={'routes': (route,), 'organisations': (organisation,)},
    )
    return Revision(2, 'digest', manifest)


@pytest.fixture
async def region():
    """Return two regions with a picker each, and many engines."""
    made = PickedRegion({1: 'a', 2: 'b'})
    made.revision = limited_revision()
    for number, domain in ((1, 'a'), (2, 'b')):
        for one in range(40):
            name = f'{domain}-{one}'
            made.announce(number, engine(name, domain, slots=48))
    made.entries = [made.start_entry(101, 'a'), made.start_entry(102, 'b')]
    await made.settle(*made.entries)
    await wait(made, 2.0)
    return made


async def wait(region, seconds: float) -> None:
    """Let time pass while control VMs tell one another of their counts."""
    for _ in range(round(seconds / PEER_POLL_PERIOD_S)):
        region.timer.advance(PEER_POLL_PERIOD_S)
        await region.exchange()
        for entry in region.entries:
            await region.poll(entry.watch)


async def admitted(entry, asked: int) -> int:
    """Ask for places as fast as can be; return how many were given."""
    choices = [
        await entry.ask(organisation=NAME, cost=1.0) for _ in range(asked)
    ]
    assert None not in choices
    return sum(not isinstance(choice, Limited) for choice in choices)


async def played(region, entries, seconds: float) -> int:
    """Ask for all that can be had for a while; return what was given."""
    assignment = []
    for _ in range(round(seconds / PEER_POLL_PERIOD_S)):
        assignment += [await admitted(entry, 20) for entry in entries]
        await wait(region, PEER_POLL_PERIOD_S)
    return sum(assignment)


async def test_what_one_picker_admitted_is_gone_at_the_other(region):
    """Two regions that admit the whole of one limit each.

    The second one had been asked for nothing until then.
    """
    near, far = region.entries
    first = await admitted(near, 100)
    assert BURST / 3 <= first <= BURST
    await wait(region, PEER_POLL_PERIOD_S)
    second = await admitted(far, 100)
    assert first + second <= BURST + PER_S * PEER_POLL_PERIOD_S * 2


async def test_one_region_alone_gets_nearly_the_whole_limit(region):
    """A hot organisation of one region, held to that region's share."""
    assignment = await played(region, region.entries[:1], WINDOW_S)
    assert 0.97 * PER_S * WINDOW_S <= assignment <= BOUND


@pytest.mark.parametrize('is_cut', [False, True])
async def test_both_together_stay_within_the_limit(region, is_cut):
    """Each region admits what is its own, and what is the other's, too."""
    if is_cut:
        region.network.split(address(1), address(2))
    assignment = await played(region, region.entries, WINDOW_S)
    assert 0.9 * PER_S * WINDOW_S <= assignment <= BOUND


async def test_picker_that_starts_anew_admits_no_second_burst(region):
    """A burst that the process before has admitted, given once more."""
    near, _ = region.entries
    first = await admitted(near, 100)
    region.restart(1)
    await wait(region, 1.0)
    second = await admitted(near, 100)
    assert first + second <= BURST + PER_S * (1.0 + PEER_POLL_PERIOD_S)
