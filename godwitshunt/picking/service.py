"""Picker service of a control VM: answers queries of the entry VMs."""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Self

from godwitshunt.backpressure import picker_share
from godwitshunt.configuration.revision import Revision
from godwitshunt.organisations import LimitPool
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.picking.attempt_recorder import AttemptRecorder, Reporter
from godwitshunt.picking.attempt_reports import attempts_from_wire
from godwitshunt.picking.choices import (
    HandOver,
    Limited,
    NoPlace,
    Queued,
    SendHere,
    describe_candidate,
)
from godwitshunt.picking.destinations import (
    Assignment,
    DestinationRequest,
    Unable,
)
from godwitshunt.picking.grant_exchange import GrantExchange
from godwitshunt.picking.handover_loads import HandoverLoads
from godwitshunt.picking.limits import PickerLimits
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.picker import (
    Picker,
    PickingContext,
    route_for,
    service_of,
)
from godwitshunt.picking.queue_service import QueueService
from godwitshunt.picking.routes import RouteTable
from godwitshunt.picking.upstream_notices import NoticeCollector
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.picking.wire import assignment_to_wire, query_from_wire
from godwitshunt.registry import RegistryService
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.ledger import Report
from godwitshunt.routing.cold_budget import ColdBounds, ColdBudget
from godwitshunt.routing.selection import Demand
from godwitshunt.settings import BoundSettings, SchedulingSettings
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Subscription, Timer

# A picker that has just started learns the loads from the entry VMs' first
# reports, which arrive within one poll period. Assignments before that would
# go to upstreams that seem to be free but are full.
WARM_UP_S = 0.7
TICK_S = 0.25
NOT_SCHEDULED = SchedulingSettings()


class PickerService:
    """Answers the destination requests of a region's entry VMs.

    Parameters
    ----------
    registry : RegistryService
        Upstreams, entry VMs and their requests.
    revision : callable
        Returns the newest committed revision; None before the first.
    bounds : BoundSettings
        Bounds that all VMs share.
    links : PeerLinks
        Deliver the requests.
    timer : Timer
        Monotonic time.
    metrics : Metrics
        Counts assignments.
    scheduling : SchedulingSettings
        Services whose requests wait in a queue and are handed over within
        grants only.
    """

    def __init__(
        self,
        registry: RegistryService,
        revision: Callable[[], Revision | None],
        bounds: BoundSettings,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
        scheduling: SchedulingSettings = NOT_SCHEDULED,
    ) -> None:
        self.registry = registry
        self.revision = revision
        self.links = links
        self.timer = timer
        self.metrics = metrics
        self.started_s = timer.now()
        self.subscription: Subscription | None = None
        self.reported_instances: dict[str, frozenset[str]] = {}
        self.applied_revision: Revision | None = None
        self.routes = RouteTable()
        region = registry.location.region
        tables = registry.tables
        neighbours = Neighbours(str(registry.location.address), region)
        upstreams = Upstreams()
        self.grant_exchange = GrantExchange.from_config(
            registry,
            neighbours,
            upstreams,
            scheduling,
            revision,
            timer,
            metrics,
        )
        self.picker = Picker(
            region=region,
            upstreams=upstreams,
            neighbours=neighbours,
            ledger=registry.ledger,
            prefixes=registry.prefixes,
            cold=ColdBudget(
                ColdBounds(bounds.cold_factor, bounds.cold_allowance),
                timer.now(),
            ),
            handovers=HandoverLoads(
                reported_s=tables.region_loads_asof_s,
                one_way_s=neighbours.one_way_s,
            ),
            random=Random(),
            limits=LimitPool(),
            gate=self.grant_exchange.gate,
            is_memory_bound=scheduling.limits_admission,
            reserves_urgent=scheduling.limits_admission,
        )
        self.picker.chooser.filter.has_slot = registry.free_slots.has_slot
        self.limits = PickerLimits(
            self.picker.limits,
            tables,
            bounds.limit_allowance,
        )
        registry.admitted = self.picker.limits.admitted
        self.notices = NoticeCollector(
            upstreams, lambda: tuple(registry.ledger.entries), links, metrics
        )
        registry.make_notices = self.notices.make_notices
        self.scheduling = scheduling
        self.queue = QueueService(
            registry, self.picker, self.make_context, timer, metrics
        )
        self.attempt_recorder = AttemptRecorder(
            self.picker.upstreams,
            registry.view,
            registry.mark_replaced,
            metrics,
        )

    @classmethod
    def from_config(
        cls,
        registry: RegistryService,
        revision: Callable[[], Revision | None],
        bounds: BoundSettings,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
        scheduling: SchedulingSettings,
    ) -> Self:
        """Create the picker service of a control VM."""
        return cls(
            registry, revision, bounds, links, timer, metrics, scheduling
        )

    def start(self) -> None:
        """Subscribe to messages, and assign after the warm-up period."""
        self.started_s = self.timer.now()
        self.links.subscribe(MessageKind.place_ask, self.handle_query)
        self.links.subscribe(MessageKind.load_report, self.handle_report)
        self.links.subscribe(MessageKind.place_wait, self.queue.handle_wait)
        self.registry.subscribe(self.apply_report)
        self.grant_exchange.start()
        self.subscription = self.timer.every(TICK_S, self.tick)
        self.timer.after(WARM_UP_S, partial(self.activate, 'warm-up is over'))

    def close(self) -> None:
        """Stop assigning; entry VMs query another picker or none."""
        if self.subscription is not None:
            self.subscription.cancel()
        self.registry.picker_active = False
        self.queue.close()

    def activate(self, reason: str) -> None:
        """Assign requests from now on."""
        self.registry.picker_active = True
        log_change('picking:began', reason=reason)

    def tick(self) -> None:
        """Update the known upstreams, regions, pickers and limits."""
        now_s = self.timer.now()
        tables = self.registry.tables
        view = self.registry.view()
        self.follow_revision(now_s)
        self.remove_absent_entries()
        self.picker.upstreams.remove_absent(view.upstreams)
        self.picker.cold.remove_absent(frozenset(view.upstreams))
        own = str(self.registry.location.address)
        pickers = tables.controls_in_region(self.picker.region)
        self.picker.set_cold_share(own, pickers)
        limiter = self.picker.upstreams.rate_limiter
        limiter.remove_absent(view.upstreams, now_s)
        departures = self.picker.upstreams.departures
        departures.remove_absent(view.upstreams, now_s)
        limiter.share = picker_share(own, pickers, tables.count_unlocated())
        self.picker.handovers.remove_reported(now_s)
        # Applies the peers' totals at each tick. If they were applied with
        # queries only, units admitted while this region has no requests would
        # look as if the peers had been unreachable meanwhile.
        self.limits.admission_share(now_s)
        self.limits.expire(now_s)
        for region in set(self.registry.location.regions.values()):
            round_trip_s = tables.round_trip_s(region)
            if round_trip_s is not None:
                trips = self.picker.neighbours.round_trips
                trips[region] = round_trip_s

    async def handle_query(self, sender: str, body: bytes) -> bytes:
        """Answer a destination request of an entry VM."""
        message = decode(ttypes.PlaceAsked, body)
        query = query_from_wire(message)
        self.registry.apply_report(query.entry, message.report)
        now_s = self.timer.now()
        holders = self.holders(query.demand, now_s)
        assignment = self.assign(query, now_s)
        self.log_assignment(query, assignment, holders)
        return encode(
            assignment_to_wire(
                assignment,
                self.registry.source,
                now_s,
                is_scheduled=self.is_scheduled(query.service),
            )
        )

    def is_scheduled(self, name: str) -> bool:
        """Return whether the requests to a service are queued."""
        revision = self.applied_revision
        service = revision and service_of(revision, name)
        return service is not None and self.scheduling.applies_to(service)

    async def handle_report(self, sender: str, body: bytes) -> None:
        """Apply an entry VM's load report."""
        self.registry.apply_report(sender, decode(ttypes.LoadReport, body))

    def apply_report(
        self,
        name: str,
        load_report: ttypes.LoadReport,
        report: Report,
    ) -> None:
        """Update limits and upstream statistics from an entry VM's report.

        Parameters
        ----------
        name : str
            The entry VM.
        load_report : LoadReport
            The message.
        report : Report
            The loads in it.
        """
        self.record_waits(name, report)
        now_s = self.timer.now()
        self.limits.apply_vm_report(report.session, load_report.admitted, now_s)
        attempts = attempts_from_wire(load_report.shown)
        self.notices.apply_report(name, load_report, attempts, now_s)
        revision = self.revision()
        reporter = Reporter(name, len(self.registry.ledger.entries))
        for attempt in attempts:
            service = revision and service_of(revision, attempt.service)
            if service:
                self.attempt_recorder.record(attempt, service, now_s, reporter)
        self.queue.record_report(name, report)

    def record_waits(self, name: str, report: Report) -> None:
        """Record how long an entry VM has waited for each upstream."""
        before = self.reported_instances.get(name, frozenset())
        for instance in before - report.loads.keys():
            self.picker.upstreams.health_of(instance).record_report(
                name, None, None
            )
        for instance, load in report.loads.items():
            health = self.picker.upstreams.health_of(instance)
            health.record_report(name, load.oldest_s, load.last_received_s)
        self.reported_instances[name] = frozenset(report.loads)

    def remove_absent_entries(self) -> None:
        """Remove the waiting requests of entry VMs that are absent."""
        for name in (
            self.reported_instances.keys() - self.registry.ledger.entries.keys()
        ):
            self.queue.reported.pop(name, None)
            for instance in self.reported_instances.pop(name):
                health = self.picker.upstreams.health_of(instance)
                health.record_report(name, None, None)

    def assign(
        self, query: DestinationRequest, now_s: float
    ) -> Assignment | Unable:
        """Choose the destination of a request."""
        if not self.registry.picker_active:
            return Unable('the picker is warming up')
        context = self.make_context(now_s)
        if context is None:
            return Unable('no revision is known')
        service = service_of(context.revision, query.service)
        route = route_for(query, context.routes)
        if service is None or route is None:
            return Unable('the active revision has no such route or service')
        if self.scheduling.applies_to(service):
            return self.queue.assign(query, route, service, context, now_s)
        return self.picker.assign(query, context, now_s)

    def make_context(self, now_s: float) -> PickingContext | None:
        """Return the state that a choice uses; None without a revision."""
        revision = self.follow_revision(now_s)
        if revision is None:
            return None
        return PickingContext(
            self.registry.view(),
            revision,
            self.routes,
            self.limits.admission_share(now_s),
        )

    def follow_revision(self, now_s: float) -> Revision | None:
        """Apply the routes and limits of the newest revision; return it."""
        revision = self.revision()
        if revision is not None and revision is not self.applied_revision:
            self.applied_revision = revision
            self.routes = RouteTable.from_manifest(revision.manifest)
            self.limits.configure(revision.manifest, now_s)
        return revision

    def holders(self, demand: Demand, now_s: float) -> frozenset[str]:
        """Return the upstreams that have a prompt's shared parts cached."""
        if not demand.has_affinity:
            return frozenset()
        return self.picker.prefixes.holders(demand.shared_key, now_s)

    def log_assignment(
        self,
        query: DestinationRequest,
        assignment: Assignment | Unable,
        holders: frozenset[str],
    ) -> None:
        """Log and count an assignment with its reasons."""
        self.metrics.count(
            'picking_places_total', kind=assignment_kind(assignment)
        )
        if isinstance(assignment, Assignment) and assignment.redemption:
            self.metrics.count(
                'picking_grant_redemptions_total',
                outcome=assignment.redemption.value,
            )
        log_change(
            'picking:place',
            request=query.request,
            entry=query.entry,
            place=destination_name(assignment),
            organisation=query.organisation,
            cost=query.cost,
            number=assignment.number
            if isinstance(assignment, Assignment)
            else 0,
            among=assignment_reasons(assignment),
            excluded=sorted(query.excluded),
            holders=sorted(holders),
            grant=grant_of(query, assignment),
        )


def destination_name(assignment: Assignment | Unable) -> str:
    """Return the destination of a request, for logs."""
    match assignment:
        case Unable(reason):
            return f'unable: {reason}'
        case Assignment(choice=SendHere(upstream=upstream)):
            return upstream.announcement.incarnation
        case Assignment(choice=HandOver(entry=entry)):
            return f'{entry.region}/{entry.name}'
        case Assignment(choice=NoPlace(overloaded=True)):
            return 'overloaded'
        case Assignment(choice=Queued(ticket)):
            return f'queued: {ticket}'
        case Assignment(choice=Limited(wait_s)):
            return f'limited: {wait_s:.3f}s'
    return 'no upstream'


def grant_of(query: DestinationRequest, assignment: Assignment | Unable) -> str:
    """Return the grant that is spent, or honoured or not, for logs."""
    match assignment:
        case Assignment(choice=HandOver(grant=use)) if use is not None:
            return f'{use.grant_name} spent'
        case Assignment(redemption=redemption) if redemption is not None:
            return f'{query.grant.grant_name} {redemption}'
    return ''


def assignment_reasons(assignment: Assignment | Unable) -> list[str]:
    """Return the ranked candidates or the exclusions, for logs."""
    if isinstance(assignment, Unable):
        return []
    if isinstance(assignment.choice, NoPlace) and assignment.choice.exclusions:
        return list(assignment.choice.exclusions)
    return [describe_candidate(ranked) for ranked in assignment.choice.ranked]


def assignment_kind(assignment: Assignment | Unable) -> str:
    """Return the kind of an assignment, for counters."""
    choice = (
        assignment.choice if isinstance(assignment, Assignment) else assignment
    )
    return type(choice).__name__
