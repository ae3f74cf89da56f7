"""A region's picker: assigns requests to upstreams with exact counts.

Entry VMs that choose independently all use the same load totals, which are
half a second old. With 195 entry VMs, some engines refused a third of their
requests while others were idle. A single process of the region that assigns
all requests knows to the millisecond what it has assigned and what has ended.
An assignment is no guarantee: the upstream may still refuse the request. An
entry VM whose picker does not answer chooses by itself.

No I/O: each call gets the time and the known state.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, replace
from random import Random

from godwitshunt.configuration.revision import Revision
from godwitshunt.grants import Redemption
from godwitshunt.manifest import Route, Service
from godwitshunt.organisations import AdmissionShare, LimitPool
from godwitshunt.picking.choices import (
    LESS_URGENT_WAIT_SHARE,
    MAX_WAIT_SHARE,
    Choice,
    ChoiceRequest,
    HandOver,
    Limited,
    NoPlace,
    SendHere,
)
from godwitshunt.picking.chooser import Chooser
from godwitshunt.picking.destinations import (
    Assignment,
    DestinationRequest,
    Unable,
)
from godwitshunt.picking.grant_gate import GrantGate
from godwitshunt.picking.handover_loads import HandoverLoads
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.routes import RouteTable
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import RegistryView, UpstreamSeen
from godwitshunt.registry.ledger import LoadLedger, SummedLoads
from godwitshunt.registry.prefixes import CachedPrefix, PrefixTable
from godwitshunt.routing.cold_budget import ColdBudget
from godwitshunt.routing.engine_memory import memory_claim, unshared_tokens
from godwitshunt.routing.selection import MIN_SHARED_TOKENS, Demand

# Share of the budget for cold upstreams that the region's first picker by name
# gets. The region's other pickers divide the rest, because during a fail-over
# some entry VMs query one picker and some another.
PRIMARY_COLD_SHARE = 0.7
NO_PEERS = AdmissionShare()


def never(service: Service) -> bool:
    """Apply a rule to no service."""
    return False


@dataclass(frozen=True)
class PickingContext:
    """State that a picker uses for a choice.

    Parameters
    ----------
    view : RegistryView
        Upstreams and entry VMs, with the loads of all VMs.
    revision : Revision
        The active revision.
    routes : RouteTable
        Routes of that revision.
    admission_share : AdmissionShare
        Share of the organisations' limits that may be admitted here.
    """

    view: RegistryView
    revision: Revision
    routes: RouteTable
    admission_share: AdmissionShare = NO_PEERS


@dataclass
class Picker:
    """Assigns the requests of a region to upstreams and other regions.

    Parameters
    ----------
    region : str
        The region that this picker serves.
    upstreams : Upstreams
        Statistics from the region's requests.
    neighbours : Neighbours
        Round trips to other regions.
    ledger : LoadLedger
        Requests in flight of the region.
    prefixes : PrefixTable
        Which upstreams have which prompt prefixes cached.
    cold : ColdBudget
        Requests that this picker may send to cold upstreams.
    handovers : HandoverLoads
        Requests handed over to other regions.
    limits : LimitPool
        Units admitted per organisation.
    gate : GrantGate
        Capacity granted between regions.
    cold_share : float
        This picker's share of the budget for cold upstreams.
    is_memory_bound : callable
        Returns whether the engines of a service get no request beyond their
        memory.
    reserves_urgent : callable
        Returns whether less urgent requests to a service leave capacity for
        urgent ones.
    """

    region: str
    upstreams: Upstreams
    neighbours: Neighbours
    ledger: LoadLedger
    prefixes: PrefixTable
    cold: ColdBudget
    handovers: HandoverLoads
    random: Random
    limits: LimitPool
    gate: GrantGate
    cold_share: float = PRIMARY_COLD_SHARE
    is_memory_bound: Callable[[Service], bool] = never
    reserves_urgent: Callable[[Service], bool] = never

    def __post_init__(self) -> None:
        self.chooser = Chooser(
            self.region,
            self.upstreams,
            self.neighbours,
            self.random,
            near_best_s=0.0,
            restrict=self.gate.restrict,
        )
        self.chooser.filter.has_cold_capacity = self.has_cold_capacity
        self.view: RegistryView | None = None
        self.summed_view = RegistryView()

    def set_cold_share(self, own: str, pickers: Collection[str]) -> None:
        """Set this picker's share of the budget for cold upstreams.

        Parameters
        ----------
        own : str
            This picker's name.
        pickers : collection of str
            All pickers that entry VMs of the region may query.
        """
        is_first = own == min(pickers, default=own)
        others = max(1, len(pickers) - 1)
        rest = (1 - PRIMARY_COLD_SHARE) / others
        self.cold_share = PRIMARY_COLD_SHARE if is_first else rest

    def assign(
        self,
        query: DestinationRequest,
        context: PickingContext,
        now_s: float,
    ) -> Assignment | Unable:
        """Choose the destination of a request and count it."""
        route = route_for(query, context.routes)
        service = service_of(context.revision, query.service)
        if route is None or service is None:
            return Unable('the active revision has no such route or service')
        wait_s = self.limit_wait_s(query, context.admission_share, now_s)
        if wait_s:
            return Assignment(Limited(self.chooser.jitter(wait_s)))
        request = self.make_request(query, route, service, context, now_s)
        redemption = self.gate.redeem(query.grant, service, query.demand, now_s)
        if redemption is Redemption.honoured:
            request = replace(request, is_granted=True)
        assignment = self.place(query, request, context)
        if isinstance(assignment.choice, NoPlace):
            self.gate.record(assignment.choice, request)
        return replace(assignment, redemption=redemption)

    def place(
        self,
        query: DestinationRequest,
        request: ChoiceRequest,
        context: PickingContext,
    ) -> Assignment:
        """Choose the destination of a request within limits; count it.

        A request that waits is tried several times, so the caller records
        that there is no destination.
        """
        now_s = request.now_s
        self.handovers.remove_reported(now_s)
        view = self.view_with_handovers(context.view)
        choice = self.chooser.choose(request, view, context.revision)
        if not isinstance(choice, NoPlace):
            choice = self.gate.record(choice, request)
        if isinstance(choice, SendHere):
            self.charge_cold(choice, request)
            self.upstreams.rate_limiter.spend(
                choice.upstream.announcement.incarnation, now_s
            )
        if not isinstance(choice, NoPlace):
            self.charge_limit(query, now_s)
        known = replace(query, demand=request.demand)
        return self.record_choice(known, request.service, choice, now_s)

    def view_with_handovers(self, view: RegistryView) -> RegistryView:
        """Return a view whose loads include pending hand-overs.

        The result is the same object for the same view, so that the chooser
        applies only the loads that have changed.
        """
        if view is not self.view:
            self.view = view
            loads = SummedLoads((view.loads, self.handovers.totals))
            self.summed_view = replace(view, loads=loads)
        return self.summed_view

    def limit_wait_s(
        self,
        query: DestinationRequest,
        admission_share: AdmissionShare,
        now_s: float,
    ) -> float:
        """Return the seconds until a request is within its limit.

        A request that was handed over was charged in the region it came from,
        and has no cost here.
        """
        if not query.organisation:
            return 0.0
        name, cost = query.organisation, query.cost
        return self.limits.wait_s(name, cost, admission_share, now_s)

    def charge_limit(self, query: DestinationRequest, now_s: float) -> None:
        """Charge a request with a destination to its organisation's limit."""
        if query.organisation:
            self.limits.charge(query.organisation, query.cost, now_s)

    def make_request(
        self,
        query: DestinationRequest,
        route: Route,
        service: Service,
        context: PickingContext,
        now_s: float,
    ) -> ChoiceRequest:
        """Return the input of the chooser."""
        demand = replace(
            query.demand,
            urgent=not route.rank,
            objective_s=route.objective_s,
            reserved_tokens=self.upstreams.reserved_tokens(
                service, route.name, query.demand, query.output_tokens
            ),
        )
        low_urgency = context.routes.low_urgency.get(
            (service.name, route.rank), frozenset()
        )
        return ChoiceRequest(
            route=route,
            service=service,
            demand=demand,
            remaining_s=query.remaining_s,
            now_s=now_s,
            excluded=query.excluded,
            local=query.local,
            low_urgency_regions=low_urgency,
            holders=self.prefixes.holders(demand.shared_key, now_s),
            entry=query.entry,
            pauses=query.pauses,
            memory_bound=self.is_memory_bound(service),
            sharing=frozenset(self.ledger.sharing.get(demand.shared_key, ())),
            body_bytes=query.body_bytes,
            wait_share=self.wait_share(route, service),
        )

    def wait_share(self, route: Route, service: Service) -> float:
        """Return the longest wait of a route's requests at an upstream.

        Load that this answers: long prompts of a less urgent route and short
        ones of an urgent route, more than a region's engines serve. With one
        bound for both, long prompts filled each engine with a second of
        prefill, and a quarter of the urgent requests was refused.
        """
        if route.rank and self.reserves_urgent(service):
            return LESS_URGENT_WAIT_SHARE
        return MAX_WAIT_SHARE

    def has_cold_capacity(
        self, upstream: UpstreamSeen, request: ChoiceRequest
    ) -> bool:
        """Return whether a cold upstream may get one more request."""
        cold = request.service.cold_start
        return cold is None or self.cold.has_room(
            upstream.announcement.incarnation,
            cold.requests_per_s,
            self.cold_share,
            request.now_s,
        )

    def charge_cold(self, choice: SendHere, request: ChoiceRequest) -> None:
        """Charge a request to the budget of its upstream, if this is cold."""
        cold = request.service.cold_start
        if choice.is_cold and cold is not None:
            self.cold.spend(
                choice.upstream.announcement.incarnation,
                cold.requests_per_s,
                self.cold_share,
                request.now_s,
            )

    def record_choice(
        self,
        query: DestinationRequest,
        service: Service,
        choice: Choice,
        now_s: float,
    ) -> Assignment:
        """Count a choice and return it with its ledger number."""
        match choice:
            case SendHere(upstream=upstream, unread_tokens=tokens):
                instance = upstream.announcement.incarnation
                self.record_prompt(query.demand, instance, now_s)
                number = self.ledger.reserve(
                    query.entry,
                    instance,
                    tokens,
                    now_s,
                    memory_claim(query.demand),
                )
                return Assignment(choice, number)
            case HandOver(expected=expected):
                self.handovers.add(
                    expected.candidate.instance,
                    expected.candidate.region,
                    expected.unread_tokens,
                    self.upstreams.speed(service).run_s,
                    now_s,
                    unshared_tokens(query.demand),
                )
        return Assignment(choice)

    def record_prompt(
        self, demand: Demand, instance: str, now_s: float
    ) -> None:
        """Record an upstream as holder of a prompt before its prefill.

        The next request with the same shared parts may come while they are
        still in prefill. Another upstream would process them a second time.
        """
        if demand.shared_tokens >= MIN_SHARED_TOKENS:
            prefix = CachedPrefix(demand.shared_key, instance, now_s)
            self.prefixes.record(prefix)


def route_for(query: DestinationRequest, routes: RouteTable) -> Route | None:
    """Return the route of a query with its organisation's rules applied."""
    route = routes.find(query.host, query.path_prefix)
    if route is None or not query.organisation:
        return route
    organisation = routes.keys.by_name.get(query.organisation)
    return organisation and routes.bind(route, organisation)


def service_of(revision: Revision, name: str) -> Service | None:
    """Return a service of the active revision."""
    for service in revision.manifest.services:
        if service.name == name:
            return service
    return None
