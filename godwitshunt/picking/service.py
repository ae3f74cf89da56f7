"""The control side: one process of a region gives places to its entry VMs."""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Self

from godwitshunt.configuration.revision import Revision
from godwitshunt.organisations import LimitPool
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.picking.attempt_recorder import AttemptRecorder
from godwitshunt.picking.attempt_reports import shown_from_wire
from godwitshunt.picking.choices import (
    HandOver,
    Limited,
    NoPlace,
    SendHere,
    describe_candidate,
)
from godwitshunt.picking.handover_loads import HandedLoads
from godwitshunt.picking.limits import PickerLimits
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.picker import (
    DestinationRequest,
    Given,
    Known,
    Picker,
    Unable,
    service_of,
)
from godwitshunt.picking.routes import RouteTable
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.picking.wire import given_to_wire, question_from_wire
from godwitshunt.registry import RegistryService
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.ledger import Report
from godwitshunt.routing.cold_budget import ColdBounds, ColdBudget
from godwitshunt.routing.selection import Demand
from godwitshunt.settings import BoundSettings
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Subscription, Timer

# A picker that has just started hears of what runs with the entry VMs' first
# reports, which come within their poll's period. Places given before that
# would go to upstreams that look free and are full.
LEARNS_S = 0.7
TICK_S = 0.25


class PickerService:
    """Answers the entry VMs of a region that ask for places.

    Parameters
    ----------
    registry : RegistryService
        Upstreams, entry VMs and their requests.
    revision : callable
        Returns the newest committed revision; None before the first.
    bounds : BoundSettings
        What all VMs together may do.
    links : PeerLinks
        Carry the questions.
    timer : Timer
        Monotonic time.
    metrics : Metrics
        Counts places.
    """

    def __init__(
        self,
        registry: RegistryService,
        revision: Callable[[], Revision | None],
        bounds: BoundSettings,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> None:
        self.registry = registry
        self.revision = revision
        self.links = links
        self.timer = timer
        self.metrics = metrics
        self.started_s = timer.now()
        self.subscription: Subscription | None = None
        self.reported: dict[str, frozenset[str]] = {}
        self.of_revision: Revision | None = None
        self.routes = RouteTable()
        region = registry.location.region
        tables = registry.tables
        neighbours = Neighbours(str(registry.location.address), region)
        self.picker = Picker(
            region=region,
            upstreams=Upstreams(),
            neighbours=neighbours,
            ledger=registry.ledger,
            prefixes=registry.prefixes,
            cold=ColdBudget(
                ColdBounds(bounds.cold_factor, bounds.cold_allowance),
                timer.now(),
            ),
            handed=HandedLoads(
                told_s=tables.region_loads_asof_s,
                way_s=lambda other: neighbours.round_trip_s(other) / 2,
            ),
            random=Random(),
            limits=LimitPool(),
        )
        self.limits = PickerLimits(
            self.picker.limits,
            tables,
            bounds.limit_allowance,
        )
        registry.admitted = self.picker.limits.admitted
        self.attempt_recorder = AttemptRecorder(
            self.picker.upstreams,
            registry.view,
            registry.mark_replaced,
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
    ) -> Self:
        """Make the picker of a control VM."""
        return cls(registry, revision, bounds, links, timer, metrics)

    def start(self) -> None:
        """Answer entry VMs, once what runs is known."""
        self.started_s = self.timer.now()
        self.links.subscribe(MessageKind.place_ask, self.on_ask)
        self.links.subscribe(MessageKind.load_report, self.on_report)
        self.registry.subscribe(self.record)
        self.subscription = self.timer.every(TICK_S, self.tick)
        self.timer.after(LEARNS_S, partial(self.begin, 'what runs is known'))

    def close(self) -> None:
        """Give no more places; entry VMs ask another picker, or none."""
        if self.subscription is not None:
            self.subscription.cancel()
        self.registry.picker_active = False

    def begin(self, reason: str) -> None:
        """Give places from now on."""
        self.registry.picker_active = True
        log_change('picking:began', reason=reason)

    def tick(self) -> None:
        """Follow which upstreams, regions and pickers there are."""
        now_s = self.timer.now()
        tables = self.registry.tables
        view = self.registry.view()
        self.follow_revision(now_s)
        self.forget_absent()
        self.picker.upstreams.remove_absent(view.upstreams)
        self.picker.cold.remove_absent(frozenset(view.upstreams))
        own = str(self.registry.location.address)
        self.picker.rank_among(
            own, tables.controls_in_region(self.picker.region)
        )
        self.picker.handed.forget(now_s)
        # Heard with questions only, what others admit while this region asks
        # for nothing would look admitted through a silence of theirs.
        self.limits.standing(now_s)
        self.limits.forget(now_s)
        for region in set(self.registry.location.regions.values()):
            round_trip_s = tables.round_trip_s(region)
            if round_trip_s is not None:
                trips = self.picker.neighbours.round_trips
                trips[region] = round_trip_s

    async def on_ask(self, sender: str, body: bytes) -> bytes:
        """Answer an entry VM that asks for a place."""
        asked = decode(ttypes.PlaceAsked, body)
        question = question_from_wire(asked)
        self.registry.apply_report(question.entry, asked.report)
        now_s = self.timer.now()
        holders = self.holders(question.demand, now_s)
        given = self.give(question, now_s)
        self.note(question, given, holders)
        return encode(given_to_wire(given, self.registry.source, now_s))

    async def on_report(self, sender: str, body: bytes) -> None:
        """Take an entry VM's requests, and what its attempts showed."""
        self.registry.apply_report(sender, decode(ttypes.LoadReport, body))

    def record(
        self,
        name: str,
        told: ttypes.LoadReport,
        report: Report,
    ) -> None:
        """Learn of upstreams from a report."""
        self.note_waits(name, report)
        now_s = self.timer.now()
        self.limits.hear_vm(report.session, told.admitted, now_s)
        revision = self.revision()
        for made in shown_from_wire(told.shown):
            service = revision and service_of(revision, made.service)
            if service:
                self.attempt_recorder.record(made, service, now_s)

    def note_waits(self, name: str, report: Report) -> None:
        """Note which upstreams have shown an entry VM nothing for how long."""
        before = self.reported.get(name, frozenset())
        for instance in before - report.loads.keys():
            self.picker.upstreams.health_of(instance).record_report(
                name, None, None
            )
        for instance, one in report.loads.items():
            health = self.picker.upstreams.health_of(instance)
            health.record_report(name, one.oldest_s, one.last_received_s)
        self.reported[name] = frozenset(report.loads)

    def forget_absent(self) -> None:
        """Wait no more for what entry VMs that are gone had sent."""
        for name in self.reported.keys() - self.registry.ledger.entries.keys():
            for instance in self.reported.pop(name):
                health = self.picker.upstreams.health_of(instance)
                health.record_report(name, None, None)

    def give(
        self, question: DestinationRequest, now_s: float
    ) -> Given | Unable:
        """Return where a request goes."""
        if not self.registry.picker_active:
            return Unable('what runs is not known yet')
        revision = self.follow_revision(now_s)
        if revision is None:
            return Unable('no revision is known')
        known = Known(
            self.registry.view(),
            revision,
            self.routes,
            self.limits.standing(now_s),
        )
        return self.picker.give(question, known, now_s)

    def follow_revision(self, now_s: float) -> Revision | None:
        """Return the newest revision, its routes and limits taken."""
        revision = self.revision()
        if revision is not None and revision is not self.of_revision:
            self.of_revision = revision
            self.routes = RouteTable.from_manifest(revision.manifest)
            self.limits.configure(revision.manifest, now_s)
        return revision

    def holders(self, demand: Demand, now_s: float) -> frozenset[str]:
        """Return the upstreams that keep a prompt's shared parts."""
        if not demand.has_affinity:
            return frozenset()
        return self.picker.prefixes.holders(demand.shared_key, now_s)

    def note(
        self,
        question: DestinationRequest,
        given: Given | Unable,
        holders: frozenset[str],
    ) -> None:
        """Log and count what an entry VM was given, and why."""
        self.metrics.count('picking_places_total', kind=kind_of(given))
        log_change(
            'picking:place',
            request=question.request,
            entry=question.entry,
            place=place_of(given),
            organisation=question.organisation,
            cost=question.cost,
            number=given.number if isinstance(given, Given) else 0,
            among=reasons_of(given),
            excluded=sorted(question.excluded),
            holders=sorted(holders),
        )


def place_of(given: Given | Unable) -> str:
    """Return where a request goes, for logs."""
    match given:
        case Unable(reason):
            return f'unable: {reason}'
        case Given(choice=SendHere(upstream=upstream)):
            return upstream.announcement.incarnation
        case Given(choice=HandOver(entry=entry)):
            return f'{entry.region}/{entry.name}'
        case Given(choice=NoPlace(overloaded=True)):
            return 'overloaded'
        case Given(choice=Limited(wait_s)):
            return f'limited: {wait_s:.3f}s'
    return 'no upstream'


def reasons_of(given: Given | Unable) -> list[str]:
    """Return what a choice was made of, for logs."""
    if isinstance(given, Unable):
        return []
    if isinstance(given.choice, NoPlace) and given.choice.exclusions:
        return list(given.choice.exclusions)
    return [describe_candidate(one) for one in given.choice.ranked]


def kind_of(given: Given | Unable) -> str:
    """Return what was given, for counters."""
    made = given.choice if isinstance(given, Given) else given
    return type(made).__name__
