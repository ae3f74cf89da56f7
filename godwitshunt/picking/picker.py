"""A region's picker: gives places at upstreams, with exact counts.

Entry VMs that choose by themselves choose on sums that are half a second old,
and all alike: on 195 of them engines turned away a third of what came while
others stood idle. One process of the region that gives all places knows what
it has given and what has ended, to the millisecond. Its places are no promise:
an upstream's own refusal stays the last word, and an entry VM that hears
nothing of its picker chooses by itself.

Pure: time and what is known come with each call.
"""

from collections.abc import Collection
from dataclasses import dataclass, replace
from random import Random

from godwitshunt.configuration.revision import Revision
from godwitshunt.manifest import Route, Service
from godwitshunt.organisations import AdmissionShare, LimitPool
from godwitshunt.picking.choices import (
    Choice,
    ChoiceRequest,
    HandOver,
    Limited,
    NoPlace,
    SendHere,
)
from godwitshunt.picking.chooser import Chooser
from godwitshunt.picking.handover_loads import HandedLoads
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.routes import RouteTable
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import RegistryView, UpstreamSeen
from godwitshunt.registry.ledger import LoadLedger, SummedLoads
from godwitshunt.registry.prefixes import CachedPrefix, PrefixTable
from godwitshunt.routing.cold_budget import ColdBudget
from godwitshunt.routing.selection import MIN_SHARED_TOKENS, Demand

# Of the pickers that a region may have, the first by name gives this part of
# what cold upstreams may get, and the others share the rest: for a moment some
# entry VMs may ask one and some another.
FIRST_SHARE = 0.7
ALONE = AdmissionShare()


@dataclass(frozen=True)
class DestinationRequest:
    """What an entry VM asks for.

    Parameters
    ----------
    entry : str
        The entry VM.
    host, path_prefix : str
        Name the route.
    service : str
        The service that was drawn by the route's weights.
    demand : Demand
        What the request asks of an upstream; the objective is the route's.
    excluded : frozenset of str
        Incarnations, VMs and regions that failed this request.
    local : bool
        True where it was handed over, and must be served in this region.
    organisation : str
        Whose request it is; empty for nobody's.
    cost : float
        What it counts for in that organisation's limit.
    """

    entry: str
    request: str
    host: str
    path_prefix: str
    service: str
    demand: Demand
    remaining_s: float
    excluded: frozenset[str] = frozenset()
    local: bool = False
    organisation: str = ''
    cost: float = 0.0


@dataclass(frozen=True)
class Unable:
    """The picker cannot tell; whoever asks chooses by itself.

    Parameters
    ----------
    reason : str
        For logs.
    """

    reason: str


@dataclass(frozen=True)
class Given:
    """A choice, and the number that its place has in the ledger.

    Parameters
    ----------
    number : int
        0 where no place in this region was given.
    """

    choice: Choice
    number: int = 0


@dataclass(frozen=True)
class Known:
    """What a picker knows when it chooses.

    Parameters
    ----------
    view : RegistryView
        Upstreams and entry VMs, with all requests.
    revision : Revision
        In force.
    routes : RouteTable
        Of that revision.
    standing : AdmissionShare
        Which part of organisations' limits may be admitted here.
    """

    view: RegistryView
    revision: Revision
    routes: RouteTable
    standing: AdmissionShare = ALONE


@dataclass
class Picker:
    """Gives places at the upstreams of a region.

    Parameters
    ----------
    region : str
        Whose.
    upstreams : Upstreams
        What the region's requests have shown.
    neighbours : Neighbours
        How far other regions are.
    ledger : LoadLedger
        The region's requests.
    prefixes : PrefixTable
        Which upstreams keep which prompts.
    cold : ColdBudget
        What cold upstreams may get by this picker.
    handed : HandedLoads
        What was sent to other regions.
    limits : LimitPool
        What organisations were admitted.
    """

    region: str
    upstreams: Upstreams
    neighbours: Neighbours
    ledger: LoadLedger
    prefixes: PrefixTable
    cold: ColdBudget
    handed: HandedLoads
    random: Random
    limits: LimitPool
    cold_share: float = FIRST_SHARE

    def __post_init__(self) -> None:
        self.chooser = Chooser(
            self.region,
            self.upstreams,
            self.neighbours,
            self.random,
            near_s=0.0,
        )
        self.chooser.filter.has_cold_capacity = self.has_cold_capacity

    def rank_among(self, own: str, pickers: Collection[str]) -> None:
        """Take the part of cold upstreams' budgets that is this picker's.

        Parameters
        ----------
        own : str
            This picker's name.
        pickers : collection of str
            Those that entry VMs of the region may ask, this one among them.
        """
        is_first = own == min(pickers, default=own)
        others = max(1, len(pickers) - 1)
        rest = (1 - FIRST_SHARE) / others
        self.cold_share = FIRST_SHARE if is_first else rest

    def give(
        self,
        question: DestinationRequest,
        known: Known,
        now_s: float,
    ) -> Given | Unable:
        """Return where a request goes, its place counted."""
        route = route_for(question, known.routes)
        service = service_of(known.revision, question.service)
        if route is None or service is None:
            return Unable('no such route or service is in force here')
        wait_s = self.limit_wait_s(question, known.standing, now_s)
        if wait_s:
            return Given(Limited(self.chooser.jitter(wait_s)))
        self.handed.forget(now_s)
        loads = SummedLoads((known.view.loads, self.handed.totals))
        view = replace(known.view, loads=loads)
        ask = self.ask(question, route, service, known, now_s)
        choice = self.chooser.choose(ask, view, known.revision)
        if isinstance(choice, SendHere):
            self.spend_cold(choice, ask)
        if not isinstance(choice, NoPlace):
            self.spend_limit(question, now_s)
        return self.count(question, service, choice, now_s)

    def limit_wait_s(
        self,
        question: DestinationRequest,
        standing: AdmissionShare,
        now_s: float,
    ) -> float:
        """Return the seconds until a request is within its limit.

        One that was handed over was counted where it came from.
        """
        if question.local or not question.organisation:
            return 0.0
        name, cost = question.organisation, question.cost
        return self.limits.wait_s(name, cost, standing, now_s)

    def spend_limit(self, question: DestinationRequest, now_s: float) -> None:
        """Count a request that is given a place, here or elsewhere."""
        if question.organisation and not question.local:
            self.limits.charge(question.organisation, question.cost, now_s)

    def ask(
        self,
        question: DestinationRequest,
        route: Route,
        service: Service,
        known: Known,
        now_s: float,
    ) -> ChoiceRequest:
        """Return what is asked of the chooser."""
        demand = replace(
            question.demand,
            urgent=not route.rank,
            objective_s=route.objective_s,
        )
        quiet = known.routes.low_urgency.get(
            (service.name, route.rank), frozenset()
        )
        return ChoiceRequest(
            route=route,
            service=service,
            demand=demand,
            remaining_s=question.remaining_s,
            now_s=now_s,
            excluded=question.excluded,
            local=question.local,
            low_urgency_regions=quiet,
            holders=self.prefixes.holders(demand.shared_key, now_s),
            entry=question.entry,
        )

    def has_cold_capacity(
        self, upstream: UpstreamSeen, ask: ChoiceRequest
    ) -> bool:
        """Tell whether a cold upstream may get one more request."""
        cold = ask.service.cold_start
        return cold is None or self.cold.has_room(
            upstream.announcement.incarnation,
            cold.requests_per_s,
            self.cold_share,
            ask.now_s,
        )

    def spend_cold(self, choice: SendHere, ask: ChoiceRequest) -> None:
        """Take one request from a cold upstream's budget."""
        cold = ask.service.cold_start
        if choice.is_cold and cold is not None:
            self.cold.spend(
                choice.upstream.announcement.incarnation,
                cold.requests_per_s,
                self.cold_share,
                ask.now_s,
            )

    def count(
        self,
        question: DestinationRequest,
        service: Service,
        choice: Choice,
        now_s: float,
    ) -> Given:
        """Count what was given."""
        match choice:
            case SendHere(upstream=upstream, unread_tokens=tokens):
                instance = upstream.announcement.incarnation
                self.note_prompt(question.demand, instance, now_s)
                number = self.ledger.reserve(
                    question.entry,
                    instance,
                    tokens,
                    now_s,
                )
                return Given(choice, number)
            case HandOver(likely=likely):
                self.handed.note(
                    likely.candidate.instance,
                    likely.candidate.region,
                    likely.unread_tokens,
                    self.upstreams.speed(service).run_s,
                    now_s,
                )
        return Given(choice)

    def note_prompt(self, demand: Demand, instance: str, now_s: float) -> None:
        """Expect a prompt's shared parts where it is about to be read.

        The next request with the same parts comes while they are still read;
        sent elsewhere, they would be read twice.
        """
        if demand.shared_tokens >= MIN_SHARED_TOKENS:
            read = CachedPrefix(demand.shared_key, instance, now_s)
            self.prefixes.record(read)


def route_for(question: DestinationRequest, routes: RouteTable) -> Route | None:
    """Return the route of a question, as it holds for its organisation."""
    route = routes.find(question.host, question.path_prefix)
    if route is None or not question.organisation:
        return route
    organisation = routes.keys.by_name.get(question.organisation)
    return organisation and routes.bind(route, organisation)


def service_of(revision: Revision, name: str) -> Service | None:
    """Return a service of the revision in force."""
    for service in revision.manifest.services:
        if service.name == name:
            return service
    return None
