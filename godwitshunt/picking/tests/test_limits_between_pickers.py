"""An organisation's limit, shared by the pickers of two regions."""

import pytest

from godwitshunt.configuration.revision import Revision
from godwitshunt.manifest import Organisation, OrganisationLimit
from godwitshunt.organisations import key_digest
from godwitshunt.picking.choices import Limited
from godwitshunt.picking.tests.region import PickedRegion, engine, revision
from godwitshunt.registry.control_tables import PEER_POLL_PERIOD_S
from godwitshunt.registry.tests.deployment import address

PER_S, BURST = 40.0, 40.0
# Units that operators tolerate in a window: a tenth more than the limit allows.
WINDOW_S = 8.0
BOUND = (PER_S * WINDOW_S + BURST) * 1.1
NAME = 'wards'


def limited_revision() -> Revision:
    """Return a revision with a keyed route and an organisation's limit."""
    unlimited = revision(2)
    organisation = Organisation(
        name=NAME,
        keys_sha256=(key_digest(b'k-1'),),
        limit=OrganisationLimit(per_s=PER_S, burst=BURST),
    )
    route = unlimited.manifest.routes[0].model_copy(update={'keyed': True})
    manifest = unlimited.manifest.model_copy(
        update={'routes': (route,), 'organisations': (organisation,)},
    )
    return Revision(2, 'digest', manifest)


@pytest.fixture
async def region():
    """Start two regions with one picker each, and many engines."""
    region = PickedRegion({1: 'a', 2: 'b'})
    region.revision = limited_revision()
    for number, domain in ((1, 'a'), (2, 'b')):
        for index in range(40):
            name = f'{domain}-{index}'
            region.announce(number, engine(name, domain, slots=48))
    region.entries = [
        region.start_entry(101, 'a'),
        region.start_entry(102, 'b'),
    ]
    await region.settle(*region.entries)
    await advance(region, 2.0)
    return region


async def advance(region, seconds: float) -> None:
    """Advance the time while control VMs exchange their totals."""
    for _ in range(round(seconds / PEER_POLL_PERIOD_S)):
        region.timer.advance(PEER_POLL_PERIOD_S)
        await region.exchange()
        for entry in region.entries:
            await region.poll(entry.watch)


async def request_units(
    entry, requests: int, *, cost: float = 1.0, local: bool = False
) -> int:
    """Send requests at once; return how many were within the limit."""
    choices = [
        await entry.request_destination(
            organisation=NAME, cost=cost, local=local
        )
        for _ in range(requests)
    ]
    assert None not in choices
    return sum(not isinstance(choice, Limited) for choice in choices)


async def request_continuously(region, entries, seconds: float) -> int:
    """Exceed the limit for some time; return the number of admissions."""
    admitted_units = []
    for _ in range(round(seconds / PEER_POLL_PERIOD_S)):
        admitted_units += [await request_units(entry, 20) for entry in entries]
        await advance(region, PEER_POLL_PERIOD_S)
    return sum(admitted_units)


async def test_units_admitted_by_one_picker_are_charged_at_the_other(region):
    """Each of two regions could admit the whole limit.

    The second region has had no requests before.
    """
    local_vm, remote_vm = region.entries
    first = await request_units(local_vm, 100)
    assert BURST / 3 <= first <= BURST
    await advance(region, PEER_POLL_PERIOD_S)
    second = await request_units(remote_vm, 100)
    assert first + second <= BURST + PER_S * PEER_POLL_PERIOD_S * 2


async def test_one_region_alone_gets_nearly_the_whole_limit(region):
    """An organisation whose requests all come to one region.

    If the limit were divided, it would get that region's share only.
    """
    admitted_units = await request_continuously(
        region, region.entries[:1], WINDOW_S
    )
    assert 0.97 * PER_S * WINDOW_S <= admitted_units <= BOUND


@pytest.mark.parametrize('is_partitioned', [False, True])
async def test_both_together_stay_within_the_limit(region, is_partitioned):
    """Each region could admit the other's share besides its own."""
    if is_partitioned:
        region.network.split(address(1), address(2))
    admitted_units = await request_continuously(
        region, region.entries, WINDOW_S
    )
    assert 0.9 * PER_S * WINDOW_S <= admitted_units <= BOUND


@pytest.mark.parametrize(('cost', 'is_charged'), [(1.0, True), (0.0, False)])
async def test_forwarded_requests_are_charged_once(region, cost, is_charged):
    """A VM without paths to upstreams relays what nobody has charged.

    Requests that another region handed over have no cost left.
    """
    local_vm, _ = region.entries
    admitted = await request_units(local_vm, 100, cost=cost, local=True)
    assert (admitted <= BURST) is is_charged


async def test_restarted_picker_admits_no_second_burst(region):
    """The previous process has already admitted the burst."""
    local_vm, _ = region.entries
    first = await request_units(local_vm, 100)
    region.restart(1)
    await advance(region, 1.0)
    second = await request_units(local_vm, 100)
    assert first + second <= BURST + PER_S * (1.0 + PEER_POLL_PERIOD_S)
