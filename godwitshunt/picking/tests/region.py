"""Simulated pickers and entry VMs of a region; tests deliver the messages."""

from dataclasses import dataclass

from godwitshunt.configuration.revision import Revision
from godwitshunt.manifest import (
    ColdStart,
    Engine,
    Manifest,
    RequestClass,
    Route,
    RouteKind,
    Service,
    ServiceKind,
    WeightedService,
)
from godwitshunt.manifest import (
    Region as DeclaredRegion,
)
from godwitshunt.picking.client import PickerClient
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.picker import DestinationRequest
from godwitshunt.picking.reports import ReportBuilder
from godwitshunt.picking.service import NOT_SCHEDULED, WARM_UP_S, PickerService
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry.records import MemoryClaim, UpstreamAnnounced
from godwitshunt.registry.tests.deployment import Deployment
from godwitshunt.registry.watch import OwnState, RegistryWatch
from godwitshunt.routing.selection import Demand
from godwitshunt.settings import Address, BoundSettings, SchedulingSettings
from godwitshunt.telemetry import Metrics

SLOTS = 4
MEMORY = Engine(slots=SLOTS, memory_tokens=300_000)
NO_CLAIM = MemoryClaim()
HOST, PREFIX = 'a.example', '/q/'
LONG = Demand(17_020, 13_300, 0x5C1E)
SHORT = Demand(383, 92, 0x91BD)
BOUNDS = BoundSettings(cold_factor=1.5, cold_allowance=3)


def revision(
    number: int = 1,
    memory: Engine = MEMORY,
    **changes,
) -> Revision:
    """Return a revision with one route to one service of engines."""
    service = Service(
        name='llm',
        kind=ServiceKind.plain,
        cold_start=ColdStart(duration_s=3.0, requests_per_s=3.6),
        engine=memory,
    )
    route = Route(
        name='r',
        host=HOST,
        path_prefix=PREFIX,
        kind=RouteKind.stream,
        services=(WeightedService(service='llm'),),
        timeout_s=5,
        objective_s=0.8,
    )
    manifest = Manifest(
        number=number,
        deployment='d',
        regions=(
            DeclaredRegion(name='kochi', failure_domains=('a',)),
            DeclaredRegion(name='tvm', failure_domains=('b',)),
        ),
        services=(service,),
        classes=(RequestClass(name='c'),),
        routes=(route,),
    )
    return Revision(number, 'digest', manifest, **changes)


def engine(name: str, domain: str = 'a', **changes) -> UpstreamAnnounced:
    """Return the announcement of an engine."""
    fields = {
        'instance': name,
        'service': 'llm',
        'address': Address(host='10.9.0.1', port=80 + hash(name) % 9000),
        'failure_domain': domain,
        'slots': SLOTS,
        'draining': False,
        'cold_s': 0.0,
        'sequence': 1,
    }
    return UpstreamAnnounced(**{**fields, **changes})


@dataclass
class Entry:
    """An entry VM with its picker client and its requests at upstreams."""

    watch: RegistryWatch
    reports: ReportBuilder
    client: PickerClient
    sent: int = 0

    async def request_destination(self, demand: Demand = SHORT, **changes):
        """Request a destination from the picker."""
        query = DestinationRequest(
            entry=self.reports.session,
            request='q-1',
            host=HOST,
            path_prefix=PREFIX,
            service='llm',
            demand=demand,
            remaining_s=4.0,
            **changes,
        )
        return await self.client.request_destination(query)

    def begin(
        self, instance: str, tokens: int = 0, claim: MemoryClaim = NO_CLAIM
    ) -> int:
        """Record a request sent to an upstream; return its number."""
        self.sent += 1
        health = self.reports.upstreams.health_of(instance)
        health.begin(self.sent, tokens, self.client.timer.now(), claim)
        self.client.schedule_report()
        return self.sent

    def begin_placed(self, instance: str, tokens: int = 0) -> None:
        """Record the start of a request that the picker placed."""
        self.sent += 1
        health = self.reports.upstreams.health_of(instance)
        health.begin(self.sent, tokens, self.client.timer.now())
        self.client.schedule_start_report()

    def end(self, instance: str, number: int, tokens: int = 0) -> None:
        """Record the end of a request."""
        self.reports.upstreams.health_of(instance).end(number, tokens)
        self.client.schedule_report()


class PickedRegion(Deployment):
    """A region with pickers on its control VMs, and a second region."""

    def __init__(
        self,
        control: dict[int, str] | None = None,
        scheduling: SchedulingSettings = NOT_SCHEDULED,
    ) -> None:
        super().__init__(control or {1: 'a', 2: 'a', 3: 'b'})
        self.scheduling = scheduling
        self.revision = revision()
        self.pickers = {
            number: self.start_picker(number) for number in self.controls
        }
        self.timer.advance(WARM_UP_S)

    def start_picker(self, number: int) -> PickerService:
        """Start the picker of a control VM."""
        registry = self.controls[number]
        picker = PickerService(
            registry,
            lambda: self.revision,
            BOUNDS,
            registry.links,
            self.timer,
            Metrics(),
            self.scheduling,
        )
        picker.start()
        return picker

    def restart(self, number: int):
        """Restart the process of a control VM."""
        service = super().restart(number)
        self.pickers[number] = self.start_picker(number)
        return service

    def announce(self, number: int, announcement: UpstreamAnnounced) -> None:
        """Announce an upstream to a control VM."""
        self.controls[number].announce(announcement)

    def start_entry(self, number: int, domain: str = 'a') -> Entry:
        """Start an entry VM that queries the picker."""
        watch = self.entry(number, domain)
        name = f'e-{number}'
        reports = ReportBuilder(
            name,
            Upstreams(),
            watch.own_prefixes,
            self.timer.now,
        )
        record = watch.own_state().record
        watch.own_state = lambda: OwnState(record, reports.make)
        client = PickerClient(
            Neighbours(name, watch.region),
            reports,
            watch,
            watch.links,
            self.timer,
            Metrics(),
        )
        client.start()
        return Entry(watch, reports, client)

    async def settle(self, *entries: Entry) -> None:
        """Exchange tables until all VMs are up to date."""
        await self.exchange()
        await self.exchange()
        for entry in entries:
            await self.poll_controls(entry.watch)

    def picker_of(self, entry: Entry) -> Address | None:
        """Return the picker that an entry VM uses."""
        return entry.watch.picker()
