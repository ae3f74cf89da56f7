"""Regions in which a request of a scheduled service may be served.

Answers the load of a region's peak that moves to another region: an upstream
of another region is a candidate only within a grant, and capacity that is
granted to others is kept for them. No I/O.
"""

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field, replace
from math import inf
from typing import Self

from godwitshunt.configuration.revision import Revision
from godwitshunt.grants import (
    Capacity,
    Crossing,
    GrantQuery,
    GrantUse,
    LinkBudget,
    Redemption,
    RegionGrants,
)
from godwitshunt.manifest import Service
from godwitshunt.picking.choices import (
    Choice,
    ChoiceRequest,
    HandOver,
    NoPlace,
    SendHere,
)
from godwitshunt.picking.filters import ends_soon
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.upstreams import Upstreams, of_service
from godwitshunt.registry import Load, RegistryView, UpstreamSeen
from godwitshunt.routing.selection import Demand


def never(service: Service) -> bool:
    """Schedule no service."""
    return False


@dataclass
class GrantGate:
    """Applies a picker's grants to its choices.

    Parameters
    ----------
    region : str
        The picker's region.
    upstreams : Upstreams
        Statistics of the upstreams.
    grants : RegionGrants
        Grants to other regions and of other regions.
    is_scheduled : callable
        Returns whether a service is scheduled.
    links : dict
        Bytes that requests may carry to each other region.
    evacuated : collection of str
        Evacuated failure domains, as of the last grants.
    """

    region: str
    upstreams: Upstreams
    grants: RegionGrants
    is_scheduled: Callable[[Service], bool] = field(default=never)
    links: dict[str, LinkBudget] = field(default_factory=dict)
    evacuated: Collection[str] = ()

    @classmethod
    def from_config(
        cls,
        neighbours: Neighbours,
        upstreams: Upstreams,
        source: str,
        is_scheduled: Callable[[Service], bool],
        now_s: float,
    ) -> Self:
        """Create the gate of a picker that starts now.

        Parameters
        ----------
        neighbours : Neighbours
            Name and region of the picker, and delays to other regions.
        source : str
            The picker's process.
        """
        grants = RegionGrants.from_config(
            neighbours.name,
            neighbours.region,
            source,
            neighbours.one_way_s,
            now_s,
        )
        return cls(neighbours.region, upstreams, grants, is_scheduled)

    def restrict(
        self,
        regions: frozenset[str],
        request: ChoiceRequest,
        view: RegistryView,
    ) -> frozenset[str]:
        """Return those of some regions in which a request may be served."""
        if not self.is_scheduled(request.service):
            return regions
        query = grant_query(request.service, request.demand, request.excluded)
        allowed = {
            region
            for region in regions
            if region != self.region
            and self.grants.may_hand_over(region, query, request.now_s)
            and self.link(region).admits(crossing_of(request), request.now_s)
        }
        bound_need = 0
        if allowed:
            bound_need = self.grants.bound_need(query.service, request.now_s)
        if self.region in regions and (
            request.is_granted or self.has_unheld(request, view, bound_need)
        ):
            allowed.add(self.region)
        return frozenset(allowed)

    def link(self, region: str) -> LinkBudget:
        """Return the budget of bytes to another region."""
        return self.links.setdefault(region, LinkBudget())

    def has_unheld(
        self, request: ChoiceRequest, view: RegistryView, bound_need: int
    ) -> bool:
        """Return whether a request may take capacity of the own region.

        What grants hold is kept for the regions that received them.

        Parameters
        ----------
        bound_need : int
            Slots to keep for requests that no other region may serve.
        """
        service = request.service.name
        held = bound_need + self.grants.held_slots(service, request.now_s)
        if not held:
            return True
        free = 0.0
        for upstream in self.own_upstreams(service, view, request.now_s):
            limit = request.max_per_slot * upstream.announcement.slots
            limit += request.extra_in_flight
            free += max(0.0, limit - in_flight(upstream, view))
            if free > held:
                return True
        return False

    def room(
        self,
        service: Service,
        view: RegistryView,
        revision: Revision,
        now_s: float,
    ) -> Capacity:
        """Return the free slots of the own region's upstreams.

        Only slots are granted, not the requests beyond them that an upstream
        accepts: those would wait there.
        """
        self.evacuated = revision.evacuated
        free = 0
        for upstream in self.own_upstreams(service.name, view, now_s):
            slots = upstream.announcement.slots - in_flight(upstream, view)
            free += max(0, slots)
        return Capacity(free, inf if free else 0.0)

    def own_upstreams(
        self, service: str, view: RegistryView, now_s: float
    ) -> Iterator[UpstreamSeen]:
        """Yield the upstreams of the own region that accept requests.

        Cold upstreams have a budget of their own and are not granted.
        """
        ejected = self.upstreams.ejected(service, now_s)
        for upstream in of_service(view, service):
            incarnation = upstream.announcement.incarnation
            if upstream.region != self.region or incarnation in ejected:
                continue
            if upstream.announcement.failure_domain in self.evacuated:
                continue
            health = self.upstreams.health_of(incarnation)
            closed_until_s = max(health.down_until_s, health.full_until_s)
            if now_s >= closed_until_s and is_lasting(upstream, now_s):
                yield upstream

    def redeem(
        self,
        use: GrantUse | None,
        service: Service,
        demand: Demand,
        now_s: float,
    ) -> Redemption | None:
        """Honour the grant that a hand-over names; None if it names none."""
        if use is None or not self.is_scheduled(service):
            return None
        return self.grants.redeem(use, grant_query(service, demand), now_s)

    def record(self, choice: Choice, request: ChoiceRequest) -> Choice:
        """Record a choice; return it with the grant that it uses."""
        if request.local or not self.is_scheduled(request.service):
            return choice
        query = grant_query(request.service, request.demand, request.excluded)
        now_s = request.now_s
        match choice:
            case SendHere():
                self.record_start(request, query)
            case HandOver(entry=entry):
                self.grants.record_overflow(query.service, query.tokens, now_s)
                link = self.link(entry.region)
                link.want(crossing_of(request), now_s)
                link.spend(crossing_of(request), now_s)
                choice = replace(
                    choice, grant=self.grants.spend(entry.region, query, now_s)
                )
            case NoPlace():
                self.record_refusal(request, query)
        return choice

    def record_start(self, request: ChoiceRequest, query: GrantQuery) -> None:
        """Record a request that is served in the own region."""
        amount = Capacity(1, query.tokens)
        meters = [self.grants.meter(query.service)]
        if self.is_bound(request):
            meters.append(self.grants.bound_meter(query.service))
        for meter in meters:
            meter.starts.add(amount, request.now_s)

    def record_refusal(self, request: ChoiceRequest, query: GrantQuery) -> None:
        """Record a request without a destination.

        No other region is asked for what only this one may serve.
        """
        if self.is_bound(request):
            meter = self.grants.bound_meter(query.service)
            meter.overflow.add(Capacity(1, query.tokens), request.now_s)
            return
        self.grants.record_overflow(query.service, query.tokens, request.now_s)
        for link in self.links.values():
            link.want(crossing_of(request), request.now_s)

    def is_bound(self, request: ChoiceRequest) -> bool:
        """Return whether only the own region may serve a request."""
        return set(request.route.homes) == {self.region}


def is_lasting(upstream: UpstreamSeen, now_s: float) -> bool:
    """Return whether an upstream is warm, heard of, and not leaving."""
    is_warm = not upstream.silent and upstream.cold_until_s <= now_s
    is_leaving = upstream.announcement.draining or ends_soon(upstream, now_s)
    return is_warm and not is_leaving


def crossing_of(request: ChoiceRequest) -> Crossing:
    """Return what a request's hand-over carries to another region."""
    route = request.route
    return Crossing.from_route(
        request.body_bytes, route.rank, route.objective_s
    )


def grant_query(
    service: Service, demand: Demand, excluded: Collection[str] = ()
) -> GrantQuery:
    """Return what a request needs of a grant."""
    return GrantQuery(service.name, tokens_of(demand), excluded)


def tokens_of(demand: Demand) -> float:
    """Return the engine memory that a request needs.

    Memory is not counted by upstream yet, so grants do not limit it either.
    """
    return 0.0


def in_flight(upstream: UpstreamSeen, view: RegistryView) -> int:
    """Return the requests at an upstream."""
    load = view.loads.get(upstream.announcement.incarnation, Load())
    return load.in_flight
