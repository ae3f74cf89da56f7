"""Processor time of a region's choices among upstreams of all regions."""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from random import Random
from types import SimpleNamespace

from godwitshunt.configuration.revision import Revision
from godwitshunt.manifest import (
    Engine,
    Manifest,
    Region,
    RequestClass,
    Route,
    RouteKind,
    Service,
    ServiceKind,
    WeightedService,
)
from godwitshunt.organisations import LimitPool
from godwitshunt.picking.choices import Choice, ChoiceRequest
from godwitshunt.picking.handover_loads import HandoverLoads
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.picker import (
    DestinationRequest,
    Picker,
    PickingContext,
)
from godwitshunt.picking.routes import RouteTable
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import EntryRecord, Load, RegistryView, UpstreamSeen
from godwitshunt.registry.ledger import LoadLedger, Report, ReportedLoad
from godwitshunt.registry.prefixes import CachedPrefix, PrefixTable
from godwitshunt.registry.records import UpstreamAnnounced
from godwitshunt.routing.cold_budget import ColdBounds, ColdBudget
from godwitshunt.routing.selection import Demand
from godwitshunt.settings import Address

MICROSECONDS = 1_000_000
ADDRESS = Address(host='127.0.0.1', port=1)
REGIONS = ('kochi', 'tvm', 'kozhikode')
REGION_SHARES = (25, 18, 12)
ENTRIES_PER_REGION = 27
SLOTS = 12
OBJECTIVE_S = 1.2
ROUND_TRIP_S = 0.11
REMAINING_S = 5.0
# Prompt prefixes that engines have cached.
PREFIXES = 600
SHORT = Demand(383, 92, 1, urgent=True)
LONG_TOKENS = 17_020
SHARED_TOKENS = 13_300
# Mean requests in flight for each slot.
USUAL_LOAD = 0.7
FULL_LOAD = 2.0
LATE_TOKENS = 200_000


@dataclass
class PickedRegion:
    """The picker of a region and the state that it uses.

    Parameters
    ----------
    size : int
        Upstreams of all regions.
    load : float
        Requests in flight for each slot.
    pending_tokens : int
        Largest number of prompt tokens that wait at an upstream.
    """

    size: int
    load: float = USUAL_LOAD
    pending_tokens: int = 3000
    now_s: float = 1000.0
    random: Random = field(default_factory=lambda: Random(1))

    def __post_init__(self) -> None:
        self.ledger = LoadLedger()
        self.upstreams = Upstreams()
        self.prefixes = PrefixTable()
        neighbours = Neighbours(REGIONS[0], REGIONS[0])
        neighbours.round_trips.update(dict.fromkeys(REGIONS, ROUND_TRIP_S))
        self.picker = Picker(
            region=REGIONS[0],
            upstreams=self.upstreams,
            neighbours=neighbours,
            ledger=self.ledger,
            prefixes=self.prefixes,
            cold=ColdBudget(ColdBounds(), 0),
            handovers=HandoverLoads(
                lambda region: self.now_s, lambda region: ROUND_TRIP_S / 2
            ),
            random=self.random,
            limits=LimitPool(),
        )
        upstreams = [self.make_upstream(number) for number in range(self.size)]
        self.view = RegistryView(
            upstreams={
                upstream.announcement.incarnation: upstream
                for upstream in upstreams
            },
            entry_points={region: entries_of(region) for region in REGIONS},
            loads=self.ledger.totals,
        )
        self.names = list(self.view.upstreams)
        self.report_number = 0
        self.report_loads()
        for prefix in range(PREFIXES):
            instance = self.random.choice(self.names)
            self.prefixes.record(CachedPrefix(prefix, instance, self.now_s))
        for name in self.names:
            self.upstreams.health_of(name).record_response_time(
                1 + self.random.uniform(-0.2, 0.2), 1, self.now_s
            )
        manifest = make_manifest()
        self.context = PickingContext(
            self.view,
            Revision(1, '', manifest),
            RouteTable.from_manifest(manifest),
        )

    def make_upstream(self, number: int) -> UpstreamSeen:
        """Return an engine of one of the regions."""
        announcement = UpstreamAnnounced(
            f'engine-{number}',
            'llm',
            ADDRESS,
            'a',
            SLOTS,
            False,
            0.0,
            1,
            born_ms=1_700_000_000_000,
        )
        region = self.random.choices(REGIONS, REGION_SHARES)[0]
        return UpstreamSeen(announcement, region, 0.0, None, silent=False)

    def random_load(self) -> ReportedLoad:
        """Return the load of one upstream."""
        in_flight = round(SLOTS * self.load)
        if self.load < FULL_LOAD:
            in_flight = self.random.randint(0, 2 * in_flight)
        tokens = self.random.randint(
            self.pending_tokens // 2, self.pending_tokens
        )
        return ReportedLoad(Load(in_flight, tokens))

    def report_loads(self) -> None:
        """Report new loads of all upstreams."""
        self.report_number += 1
        loads = {name: self.random_load() for name in self.names}
        report = Report('s', self.report_number, loads)
        self.ledger.apply_report('others', report)

    def report_some(self, count: int) -> None:
        """Report new loads of a few upstreams."""
        self.report_number += 1
        loads = dict(self.ledger.entries['others'].loads)
        for name in self.random.sample(self.names, count):
            loads[name] = self.random_load()
        report = Report('s', self.report_number, loads)
        self.ledger.apply_report('others', report)

    def choose(self, demand: Demand) -> Choice:
        """Choose an upstream without counting the request."""
        request = ChoiceRequest(
            self.context.revision.manifest.routes[0],
            self.context.revision.manifest.services[0],
            replace(demand, objective_s=OBJECTIVE_S),
            REMAINING_S,
            self.now_s,
            holders=self.prefixes.holders(demand.shared_key, self.now_s),
            entry='e-1',
        )
        revision = self.context.revision
        return self.picker.chooser.choose(request, self.view, revision)

    def assign(self, demand: Demand) -> object:
        """Assign a request, as for the question of an entry VM."""
        query = DestinationRequest(
            'e-1', 'q', 'a.example', '/q/', 'llm', demand, REMAINING_S
        )
        return self.picker.assign(query, self.context, self.now_s)

    def advance(self) -> None:
        """Let time pass; reservations expire and a few loads change."""
        self.now_s += 0.002
        self.ledger.tick(self.now_s)
        self.report_some(3)


def entries_of(region: str) -> tuple[EntryRecord, ...]:
    """Return the entry VMs of a region."""
    return tuple(
        EntryRecord(
            f'{region}-{number}', 's', region, 'a', ADDRESS, ADDRESS, True
        )
        for number in range(ENTRIES_PER_REGION)
    )


def make_manifest() -> Manifest:
    """Return a manifest with one route to one service of engines."""
    service = Service(
        name='llm',
        kind=ServiceKind.plain,
        engine=Engine(slots=SLOTS, memory_tokens=305_617),
    )
    route = Route(
        name='r',
        host='a.example',
        path_prefix='/q/',
        kind=RouteKind.stream,
        services=(WeightedService(service='llm'),),
        timeout_s=REMAINING_S,
        objective_s=OBJECTIVE_S,
    )
    return Manifest(
        number=1,
        deployment='d',
        regions=tuple(
            Region(name=name, failure_domains=(name,)) for name in REGIONS
        ),
        services=(service,),
        classes=(RequestClass(name='c'),),
        routes=(route,),
    )


def cached_prompt(random: Random) -> Demand:
    """Return a long prompt whose shared parts an engine has cached."""
    return Demand(LONG_TOKENS, SHARED_TOKENS, random.randrange(PREFIXES))


def new_prompt(random: Random) -> Demand:
    """Return a long prompt whose shared parts no engine has cached."""
    return Demand(LONG_TOKENS, SHARED_TOKENS, random.getrandbits(64))


def short_prompt(random: Random) -> Demand:
    """Return a short prompt."""
    return SHORT


def time_calls(
    region: PickedRegion,
    call: Callable[[Demand], object],
    make_demand: Callable[[Random], Demand],
    count: int,
) -> float:
    """Return the mean processor time of a call in microseconds.

    A few loads change between the calls, outside the measured time.
    """
    random = Random(2)
    call(make_demand(random))
    spent_s = 0.0
    for _ in range(count):
        region.advance()
        demand = make_demand(random)
        begin_s = time.process_time()
        call(demand)
        spent_s += time.process_time() - begin_s
    return spent_s / count * MICROSECONDS


ROWS = (
    ('short prompt', SimpleNamespace(), short_prompt),
    ('long, cached', SimpleNamespace(), cached_prompt),
    ('long, new', SimpleNamespace(), new_prompt),
    ('all full', SimpleNamespace(load=FULL_LOAD), short_prompt),
    (
        'all late',
        SimpleNamespace(pending_tokens=LATE_TOKENS),
        short_prompt,
    ),
)


def time_assignments(
    size: int, count: int
) -> Iterator[tuple[str, float, float]]:
    """Yield the costs of a choice and an assignment by kind of request."""
    for name, fields, make_demand in ROWS:
        region = PickedRegion(size, **vars(fields))
        choose_us = time_calls(region, region.choose, make_demand, count)
        region = PickedRegion(size, **vars(fields))
        assign_us = time_calls(region, region.assign, make_demand, count)
        yield name, choose_us, assign_us
