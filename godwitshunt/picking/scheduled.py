"""Assignment of requests to scheduled services: at once, queued or refused.

An upstream gets few requests beyond its slots, and only those that it starts
soon. All others wait in the region's queue, which decides the order. No I/O:
each call gets the time and the known state.
"""

from dataclasses import dataclass, replace
from functools import partial

from godwitshunt.manifest import Route, Service
from godwitshunt.picking.choices import (
    ChoiceRequest,
    HandOver,
    Limited,
    NoPlace,
    SendHere,
)
from godwitshunt.picking.destinations import Assignment, DestinationRequest
from godwitshunt.picking.filters import NO_FREE_SLOT
from godwitshunt.picking.picker import Picker, PickingContext
from godwitshunt.picking.region_queue import (
    Arrival,
    RegionQueue,
    Ticket,
    weight_of,
)
from godwitshunt.picking.upstreams import of_service
from godwitshunt.registry import UpstreamSeen
from godwitshunt.registry.ledger import NO_LOAD
from godwitshunt.routing.engine_memory import memory_claim
from godwitshunt.routing.selection import MIN_SHARED_TOKENS
from godwitshunt.scheduling.forecast import Work

# Requests that an upstream gets beyond its slots, as a share of these and at
# least one. They cover the delay between an end and the next start.
EXTRA_SHARE = 1 / 8
# Longest wait for other prompts that an upstream is given, beside the wait for
# the requests beyond its slots. A longer wait delays first events that another
# upstream would send earlier.
ENGINE_WAIT_S = 0.02
# A request that has less time left than this accepts any upstream that has its
# first event ready in time.
LAST_CHANCE_S = 0.05
# A request waits at least this long for an upstream that has the shared parts
# of its prompt cached.
HOLDER_WAIT_S = 0.1
# A request whose forecast is shorter than a round trip to another region waits
# here.
MIN_REMOTE_WAIT_S = 0.12
# Share of the engines' prefill speed that the first forecasts assume.
PREFILL_SHARE = 0.7
# Reasons that pass by themselves, for which a request waits. Rate limits and
# pauses are left to the caller, who is told when they end.
PASSING = frozenset((None, 'cold', 'refused a request as full', NO_FREE_SLOT))


@dataclass
class ScheduledPicker:
    """Assigns requests to scheduled services.

    Parameters
    ----------
    picker : Picker
        Chooses among upstreams and counts.
    queue : RegionQueue
        Requests that wait.
    """

    picker: Picker
    queue: RegionQueue

    def assign(
        self,
        query: DestinationRequest,
        route: Route,
        service: Service,
        context: PickingContext,
        now_s: float,
    ) -> Ticket:
        """Assign a request at once, queue it or refuse it.

        Capacity that a grant holds is kept for the request that names it, so
        that request does not wait behind others.
        """
        arrival = self.make_arrival(query, route, service, context, now_s)
        ticket = self.queue.make_ticket(arrival, now_s)
        if arrival.is_granted or self.queue.is_first(ticket):
            ticket.assignment = self.place(ticket, context, now_s)
        if ticket.assignment is None or is_refusal(ticket.assignment):
            elsewhere = self.place_elsewhere(ticket, context, now_s)
            ticket.assignment = elsewhere or ticket.assignment
        if ticket.assignment is None:
            request = self.make_request(ticket, context, now_s)
            self.picker.gate.record(NoPlace(True, 0.0), request)
            self.queue.admit(ticket, now_s)
        elif not isinstance(ticket.assignment.choice, (NoPlace, Limited)):
            self.queue.record_start(ticket, now_s)
        return ticket

    def place_waiting(
        self,
        context: PickingContext,
        now_s: float,
        *,
        elsewhere: bool,
    ) -> list[Ticket]:
        """Assign the first waiting requests while there is room.

        Parameters
        ----------
        elsewhere : bool
            Whether upstreams of other regions are tried too.
        """
        place = partial(
            self.place_again, context=context, now_s=now_s, elsewhere=elsewhere
        )
        return self.queue.place_first(place, now_s)

    def place_again(
        self,
        ticket: Ticket,
        context: PickingContext,
        now_s: float,
        *,
        elsewhere: bool,
    ) -> Assignment | None:
        """Assign a waiting request; None if it must wait on."""
        assignment = self.place(ticket, context, now_s)
        if assignment is None and elsewhere:
            return self.place_elsewhere(ticket, context, now_s)
        if assignment and isinstance(assignment.choice, NoPlace):
            # An upstream may come back before the deadline.
            return None
        return assignment

    def place(
        self, ticket: Ticket, context: PickingContext, now_s: float
    ) -> Assignment | None:
        """Assign an upstream of this region; None if none has room."""
        if self.is_full_here(ticket.arrival, context):
            return None
        request = self.make_request(ticket, context, now_s)
        others = frozenset(context.view.entry_points) - {self.picker.region}
        here = replace(request, excluded=request.excluded | others)
        assignment = self.try_place(ticket, here, context)
        is_refused = isinstance(assignment.choice, NoPlace)
        if is_refused and self.may_open(here, context):
            return None
        return assignment

    def place_elsewhere(
        self, ticket: Ticket, context: PickingContext, now_s: float
    ) -> Assignment | None:
        """Assign an upstream of another region; None if none has room."""
        query = ticket.arrival.query
        if query.local or len(context.view.entry_points) < 2:
            return None
        if not self.has_room(ticket, context, elsewhere=True):
            return None
        queue = self.queue.queue_of(ticket.arrival)
        wait_s = queue.forecast_s(ticket.request, now_s)
        is_waiting = ticket.request.ticket in self.queue.tickets
        may_wait_here = not is_waiting and ticket.arrival.is_home
        if may_wait_here and wait_s < MIN_REMOTE_WAIT_S:
            return None
        request = self.make_request(ticket, context, now_s)
        own = frozenset(
            upstream.announcement.incarnation
            for upstream in self.upstreams_here(ticket.arrival, context)
        )
        there = replace(
            request,
            excluded=request.excluded | own,
            remaining_s=self.left_s(ticket, now_s),
        )
        assignment = self.try_place(ticket, there, context)
        is_found = isinstance(assignment.choice, (HandOver, Limited))
        return assignment if is_found else None

    def try_place(
        self, ticket: Ticket, request: ChoiceRequest, context: PickingContext
    ) -> Assignment:
        """Choose within the organisation's limit and count the choice.

        The slot of a request that waits is held under a name of its own until
        the entry VM collects the decision. Otherwise a report that includes a
        later assignment of the same VM would release it.
        """
        query = ticket.arrival.query
        wait_s = self.picker.limit_wait_s(
            query, context.admission_share, request.now_s
        )
        if wait_s:
            return Assignment(Limited(self.picker.chooser.jitter(wait_s)))
        if ticket.request.ticket in self.queue.tickets:
            query = replace(query, entry=ticket.holder)
        return self.picker.place(query, request, context)

    def deliver(self, ticket: Ticket, now_s: float) -> Assignment:
        """Return the decision that an entry VM collects, with its number."""
        assignment = ticket.assignment
        match assignment.choice:
            case SendHere(upstream=upstream, unread_tokens=tokens):
                ledger = self.picker.ledger
                ledger.remove_entry(ticket.holder)
                demand = replace(
                    ticket.arrival.query.demand,
                    reserved_tokens=assignment.choice.reserved_tokens,
                )
                number = ledger.reserve(
                    ticket.entry,
                    upstream.announcement.incarnation,
                    tokens,
                    now_s,
                    memory_claim(demand),
                )
                return replace(assignment, number=number)
        return assignment

    def release(self, ticket: Ticket) -> None:
        """Return the slot of a decision that is not collected."""
        self.picker.ledger.remove_entry(ticket.holder)

    def make_arrival(
        self,
        query: DestinationRequest,
        route: Route,
        service: Service,
        context: PickingContext,
        now_s: float,
    ) -> Arrival:
        """Return what the queue needs of a request."""
        keys = context.routes.keys.by_name
        organisation = keys.get(query.organisation)
        limits = [
            other.limit for other in keys.values() if other.limit is not None
        ]
        rank = 0 if organisation is None else organisation.rank or 0
        speed = self.picker.upstreams.speed(service)
        upstreams = [
            upstream
            for upstream in of_service(context.view, service.name)
            if upstream.region == self.picker.region
        ]
        cached = self.is_cached(query, upstreams, now_s)
        tokens = query.demand.unread_tokens(cached=cached)
        redemption = self.picker.gate.redeem(
            query.grant, service, query.demand, now_s
        )
        slots = sum(upstream.announcement.slots for upstream in upstreams)
        return Arrival(
            query,
            route,
            service,
            max(1, tokens),
            speed.first_s + speed.prefill_s(tokens),
            rank,
            weight_of(organisation and organisation.limit, limits),
            Work(
                max(1, slots) / speed.run_s,
                max(1, len(upstreams)) * PREFILL_SHARE * speed.tokens_per_s,
            ),
            redemption,
            is_home=not route.homes or self.picker.region in route.homes,
        )

    def is_cached(
        self,
        query: DestinationRequest,
        upstreams: list[UpstreamSeen],
        now_s: float,
    ) -> bool:
        """Return whether an upstream here has the shared parts cached."""
        demand = query.demand
        if demand.shared_tokens < MIN_SHARED_TOKENS:
            return False
        holders = self.picker.prefixes.holders(demand.shared_key, now_s)
        return any(
            upstream.announcement.incarnation in holders
            for upstream in upstreams
        )

    def make_request(
        self, ticket: Ticket, context: PickingContext, now_s: float
    ) -> ChoiceRequest:
        """Return the input of the chooser for a scheduled service."""
        arrival = ticket.arrival
        request = self.picker.make_request(
            arrival.query, arrival.route, arrival.service, context, now_s
        )
        slots = arrival.service.engine.slots
        return replace(
            request,
            # Upstreams get all requests of the service with one urgency.
            demand=replace(request.demand, urgent=False),
            remaining_s=self.longest_s(ticket, context, now_s),
            is_granted=arrival.is_granted,
            max_per_slot=1.0,
            extra_in_flight=extra_in_flight(slots),
        )

    def longest_s(
        self, ticket: Ticket, context: PickingContext, now_s: float
    ) -> float:
        """Return the longest predicted time to a first event to accept."""
        arrival = ticket.arrival
        own_s = arrival.own_s
        if now_s - ticket.asked_s > HOLDER_WAIT_S:
            speed = self.picker.upstreams.speed(arrival.service)
            unread = arrival.query.demand.unread_tokens(cached=False)
            own_s = speed.first_s + speed.prefill_s(unread)
        left_s = self.left_s(ticket, now_s)
        if ticket.request.deadline_s - now_s < LAST_CHANCE_S:
            return max(left_s, own_s)
        wait_s = self.engine_wait_s(arrival.service)
        wait_s += self.least_delay_s(arrival, context, now_s)
        return max(own_s, min(left_s, own_s + wait_s))

    def engine_wait_s(self, service: Service) -> float:
        """Return the longest wait for others, also beyond the slots."""
        slots = service.engine.slots
        run_s = self.picker.upstreams.speed(service).run_s
        return ENGINE_WAIT_S + extra_in_flight(slots) * run_s / slots

    def left_s(self, ticket: Ticket, now_s: float) -> float:
        """Return the seconds that a request has left of its objective."""
        waited_s = now_s - ticket.request.arrived_s
        asked_s = now_s - ticket.asked_s
        return min(
            ticket.arrival.route.objective_s - waited_s,
            ticket.arrival.query.remaining_s - asked_s,
        )

    def least_delay_s(
        self, arrival: Arrival, context: PickingContext, now_s: float
    ) -> float:
        """Return by how much all predictions here are too short."""
        delays = [
            self.picker.upstreams.health_of(
                upstream.announcement.incarnation
            ).expected_delay_s(now_s)
            for upstream in self.upstreams_here(arrival, context)
        ]
        return max(0.0, min(delays, default=0.0))

    def upstreams_here(
        self, arrival: Arrival, context: PickingContext
    ) -> list[UpstreamSeen]:
        """Return the upstreams of a service in this region."""
        return [
            upstream
            for upstream in of_service(context.view, arrival.service.name)
            if upstream.region == self.picker.region
        ]

    def may_open(self, request: ChoiceRequest, context: PickingContext) -> bool:
        """Return whether an upstream here may have room later."""
        homes = request.route.homes
        if homes and self.picker.region not in homes:
            return not request.local
        return any(
            upstream.region == self.picker.region
            and upstream.announcement.incarnation not in request.excluded
            and self.picker.chooser.filter.refusal(
                upstream, request, context.revision
            )
            in PASSING
            for upstream in of_service(context.view, request.service.name)
        )

    def is_full_here(self, arrival: Arrival, context: PickingContext) -> bool:
        """Return whether all upstreams here have their most requests.

        This takes a tenth of the time of a choice, and under overload most
        choices would fail. Without upstreams it is false.
        """
        totals = self.picker.ledger.totals
        upstreams = self.upstreams_here(arrival, context)
        extra = extra_in_flight(arrival.service.engine.slots)
        return bool(upstreams) and all(
            upstream.announcement.incarnation in totals
            and totals[upstream.announcement.incarnation].in_flight
            >= upstream.announcement.slots + extra
            for upstream in upstreams
        )

    def has_room(
        self,
        ticket: Ticket,
        context: PickingContext,
        *,
        elsewhere: bool = False,
    ) -> bool:
        """Return whether an allowed upstream has a free slot.

        Parameters
        ----------
        elsewhere : bool
            Whether to disregard upstreams of this region.
        """
        arrival = ticket.arrival
        homes = arrival.route.homes
        return any(
            (not homes or upstream.region in homes)
            and not (elsewhere and upstream.region == self.picker.region)
            and not upstream.announcement.draining
            and context.view.loads.get(
                upstream.announcement.incarnation, NO_LOAD
            ).in_flight
            < upstream.announcement.slots
            for upstream in of_service(context.view, arrival.service.name)
        )


def is_refusal(assignment: Assignment) -> bool:
    """Return whether an assignment has no destination."""
    return isinstance(assignment.choice, NoPlace)


def extra_in_flight(slots: int) -> int:
    """Return the requests that an upstream gets beyond its slots.

    Examples
    --------
    >>> extra_in_flight(24), extra_in_flight(4)
    (3, 1)
    """
    return max(1, int(slots * EXTRA_SHARE))
