"""Hand-overs of scheduled services within grants of other regions.

Guards against hand-overs to regions that have no room, capacity that is
granted and then taken by the granting region, and refusals of one hand-over
that exclude a whole region for all requests.
"""

from types import SimpleNamespace

import pytest

from godwitshunt.grants import Redemption
from godwitshunt.grants.link_budget import PACE_S
from godwitshunt.ingress.feedback import AttemptFeedback
from godwitshunt.ingress.outcomes import NO_ATTEMPT, NotRun
from godwitshunt.picking.choices import (
    MAX_REQUESTS_PER_SLOT,
    ChoiceRequest,
    HandOver,
    NoPlace,
    SendHere,
)
from godwitshunt.picking.grant_gate import grant_query
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.tests.region import SHORT, SLOTS, PickedRegion, engine
from godwitshunt.registry.control_tables import PEER_POLL_PERIOD_S
from godwitshunt.registry.tests.deployment import address

REMOTE_ENGINES = 3
# Time in which an entry VM polls a second control VM and relays its table.
RELAY_S = 0.02
ATTEMPT = SimpleNamespace(connected=True, closed_by_peer=False)


def number_of(control: str) -> int:
    """Return the number of a control VM."""
    return int(control.partition(':')[0].rpartition('.')[-1])


class ScheduledRegion(PickedRegion):
    """A region without engines; the other region has some.

    The services are scheduled.
    """

    def __init__(self) -> None:
        super().__init__({1: 'a', 3: 'b'})
        for picker in self.pickers.values():
            picker.grant_exchange.gate.is_scheduled = bool
        for number in range(REMOTE_ENGINES):
            self.announce(3, engine(f'j-{number}', 'b'))
        self.local_vm = self.start_entry(100)
        self.remote_vm = self.start_entry(200, 'b')

    async def advance(self, periods: int) -> None:
        """Advance the time with the usual polls of all VMs."""
        for _ in range(periods):
            self.timer.advance(PEER_POLL_PERIOD_S)
            await self.exchange()
            for entry in (self.local_vm, self.remote_vm):
                await self.poll(entry.watch)
                await self.relay_grants(entry.watch)

    async def relay_grants(self, watch) -> None:
        """Let an entry VM relay grants, if it is asked to."""
        due = watch.due_for_grants(self.timer.now())
        numbers = [each for each in self.controls if str(address(each)) in due]
        if numbers:
            await self.poll(watch, *numbers)
            self.timer.advance(RELAY_S)
            await self.poll(watch, number_of(watch.preferred()))

    @property
    def remote_grants(self):
        """Grants of the other region's picker."""
        return self.pickers[3].grant_exchange.grants

    async def serve(self, **changes) -> bool:
        """Start a request in the other region; return whether it has room."""
        choice = await self.remote_vm.request_destination(**changes)
        if not isinstance(choice, SendHere):
            return False
        self.remote_vm.begin(choice.upstream.announcement.incarnation)
        return True

    async def hand_over(self):
        """Return the choices until no grant is left."""
        choices = []
        choice = await self.local_vm.request_destination()
        while isinstance(choice, HandOver):
            choices.append(choice)
            choice = await self.local_vm.request_destination()
        assert isinstance(choice, NoPlace)
        return choices


async def start_region() -> ScheduledRegion:
    """Start both regions; the first one's requests find no room."""
    region = ScheduledRegion()
    await region.settle(region.local_vm, region.remote_vm)
    await region.advance(8)
    for _ in range(SLOTS):
        await region.local_vm.request_destination()
    await region.advance(2)
    return region


async def test_handovers_are_within_grants_and_find_room():
    """Each hand-over names another slot of a grant and is honoured."""
    region = await start_region()
    choices = await region.hand_over()
    uses = [choice.grant for choice in choices]
    assert uses
    assert len(set(uses)) == len(uses)
    assert len(uses) <= REMOTE_ENGINES * SLOTS
    for use in uses:
        assert await region.serve(local=True, grant=use)
    issued = region.remote_grants.issuer.issued.values()
    assert sum(len(grant.used) for grant in issued) == len(uses)


async def test_granted_capacity_is_kept_from_the_granting_region():
    """Own requests of the granting region fill it up to what is granted."""
    region = await start_region()
    choices = await region.hand_over()
    assert choices
    own = 0
    while await region.serve():
        own += 1
    limit = MAX_REQUESTS_PER_SLOT * SLOTS * REMOTE_ENGINES
    assert 0 < own < limit
    for handover in choices:
        assert await region.serve(local=True, grant=handover.grant)
    assert not await region.serve(local=True)


async def test_repeated_use_of_a_grant_is_not_honoured():
    """The note of a hand-over is used for a second request."""
    region = await start_region()
    handover = (await region.hand_over())[0]
    service = region.revision.manifest.services[0]
    gate = region.pickers[3].grant_exchange.gate
    now_s = region.timer.now()
    demand = SimpleNamespace()
    redeem = (handover.grant, service, demand, now_s)
    assert gate.redeem(*redeem) is Redemption.honoured
    assert gate.redeem(*redeem) is Redemption.used


async def test_cut_in_one_direction_ends_the_grants():
    """The granting region no longer hears of the other one."""
    region = await start_region()
    region.network.cut.add((address(1), address(3)))
    region.network.cut.add((address(100), address(3)))
    await region.advance(8)
    assert not await region.hand_over()


async def test_restarted_picker_grants_nothing_at_first():
    """Grants of the previous process may still be spent."""
    region = await start_region()
    region.restart(3)
    region.pickers[3].grant_exchange.gate.is_scheduled = bool
    region.pickers[3].activate('test')
    region.announce(3, engine('j-0', 'b'))
    await region.advance(2)
    assert not region.remote_grants.issuer.issued


async def test_other_services_need_no_grant():
    """Deployments without scheduled services hand over as before."""
    region = await start_region()
    for picker in region.pickers.values():
        picker.grant_exchange.gate.is_scheduled = lambda service: False
    choice = await region.local_vm.request_destination()
    assert isinstance(choice, HandOver)
    assert choice.grant is None
    await region.advance(1)
    assert region.controls[3].make_grants(region.timer.now()) is None


async def test_bound_requests_are_left_room_at_home():
    """Both regions have engines; requests of one route are bound to the first.

    Those that are not bound took the last slots of the home region, and the
    bound ones were refused while the other region was idle.
    """
    region = ScheduledRegion()
    region.announce(1, engine('i-0'))
    region.announce(1, engine('i-1'))
    await region.settle(region.local_vm, region.remote_vm)
    await region.advance(8)
    route = region.revision.manifest.routes[0]
    bound = route.model_copy(update={'name': 'b', 'homes': ('kochi',)})
    gate = region.pickers[1].grant_exchange.gate
    for _ in range(2 * SLOTS):
        request = request_of(region, bound)
        gate.record_start(request, grant_query(request.service, SHORT))
    kept = gate.grants.bound_need('llm', region.timer.now())
    assert kept >= 2 * SLOTS
    regions = frozenset(('kochi', 'tvm'))
    unbound = request_of(region, route)
    view = region.controls[1].view()
    assert gate.restrict(regions, unbound, view) == regions
    limit = int(MAX_REQUESTS_PER_SLOT * 2 * SLOTS)
    for number in range(limit - kept):
        region.local_vm.begin(f'i-{number % 2}')
    region.local_vm.client.send_report()
    view = region.controls[1].view()
    assert gate.restrict(regions, unbound, view) == {'tvm'}
    at_home = frozenset(('kochi',))
    assert gate.restrict(at_home, request_of(region, bound), view) == at_home


def request_of(region, route) -> ChoiceRequest:
    """Return a request of a route."""
    service = region.revision.manifest.services[0]
    return ChoiceRequest(route, service, SHORT, 4.0, region.timer.now())


async def test_refused_bound_requests_are_no_demand():
    """Other regions may not serve them; capacity would be held for nobody."""
    region = ScheduledRegion()
    await region.settle(region.local_vm, region.remote_vm)
    route = region.revision.manifest.routes[0]
    bound = route.model_copy(update={'homes': ('kochi',)})
    gate = region.pickers[1].grant_exchange.gate
    for each in (bound, route):
        gate.record(NoPlace(True, 0.1), request_of(region, each))
    now_s = region.timer.now()
    assert gate.grants.meter('llm').overflow.total(now_s).slots == 1
    assert gate.grants.bound_meter('llm').overflow.total(now_s).slots == 1


async def test_long_bodies_do_not_fill_the_link():
    """There are grants for more requests than the link may carry at once."""
    region = await start_region()
    gate = region.pickers[1].grant_exchange.gate
    assert gate.link('tvm').trips
    body_bytes = int(gate.link('tvm').rate * PACE_S)
    first = await region.local_vm.request_destination(body_bytes=body_bytes)
    second = await region.local_vm.request_destination(body_bytes=body_bytes)
    short = await region.local_vm.request_destination(body_bytes=1000)
    assert isinstance(first, HandOver)
    assert isinstance(second, NoPlace)
    assert isinstance(short, HandOver)


@pytest.mark.parametrize('is_granted', [False, True])
async def test_refused_handover_excludes_only_its_grant(is_granted):
    """The region is avoided for all requests only where no grant is used."""
    region = await start_region()
    choice = (await region.hand_over())[0]
    if not is_granted:
        choice = HandOver(choice.entry, choice.predicted_s)
    neighbours = Neighbours('e-100', 'kochi')
    context = SimpleNamespace(timer=region.timer, neighbours=neighbours)
    request = SimpleNamespace(id='r-1', service=SimpleNamespace(name='llm'))
    feedback = AttemptFeedback(context, request)
    excluded = feedback.report_vm(choice, ATTEMPT, NotRun(NO_ATTEMPT), 0.1)
    avoided = neighbours.avoided_for('llm', region.timer.now())
    if is_granted:
        assert excluded == choice.grant.grant_name
        assert not avoided
    else:
        assert excluded == choice.entry.region
        assert avoided == {choice.entry.region}


async def test_excluded_grant_is_not_used_again():
    """A request whose hand-over was refused uses another grant, if any."""
    region = await start_region()
    choice = await region.local_vm.request_destination()
    assert isinstance(choice, HandOver)
    grants = region.pickers[1].grant_exchange.grants
    names = {held.name for held in grants.holder.grants.values()}
    others = names - {choice.grant.grant_name}
    failed = frozenset((choice.grant.grant_name,))
    again = await region.local_vm.request_destination(excluded=failed)
    if others and isinstance(again, HandOver):
        assert again.grant.grant_name in others
    excluded = frozenset(names)
    refused = await region.local_vm.request_destination(excluded=excluded)
    assert isinstance(refused, NoPlace)


async def test_partitioned_control_vms_get_grants_from_entry_vms():
    """The control VMs don't reach each other; entry VMs reach all.

    Without relayed grants no request would leave the region for as long as
    the partition lasts.
    """
    region = await start_region()
    region.network.split(address(1), address(3))
    await region.advance(8)
    found = 0
    for _ in range(10):
        await region.advance(1)
        found += bool(await region.hand_over())
    assert found


async def test_second_picker_of_a_region_grants_nothing_unasked():
    """Entry VMs query the first picker; the second holds nothing back."""
    region = PickedRegion({1: 'a', 2: 'a', 3: 'b'})
    for picker in region.pickers.values():
        picker.grant_exchange.gate.is_scheduled = bool
    region.announce(1, engine('i-0'))
    entries = [region.start_entry(100), region.start_entry(200, 'b')]
    await region.settle(*entries)
    for _ in range(8):
        region.timer.advance(PEER_POLL_PERIOD_S)
        await region.exchange()
        for entry in entries:
            await region.poll(entry.watch)
    now_s = region.timer.now()
    first, second = (
        region.pickers[number].grant_exchange.grants for number in (1, 2)
    )
    assert first.reporters
    assert not second.reporters
    assert not second.issuer.issued
    assert first.active_pickers(now_s) == {first.own}
    assert second.other_regions(now_s) == first.other_regions(now_s)
