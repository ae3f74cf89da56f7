"""Requests of a region that wait for an upstream, in its picker.

Holds the queue of each scheduled service and the decisions that entry VMs
have not collected yet. No I/O: each call gets the time and the known state.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count, islice

from godwitshunt.grants import Redemption
from godwitshunt.manifest import OrganisationLimit, Route, Service
from godwitshunt.picking.choices import (
    HandOver,
    NoPlace,
    Queued,
    SendHere,
)
from godwitshunt.picking.destinations import Assignment, DestinationRequest
from godwitshunt.scheduling.ageing import SizeShares
from godwitshunt.scheduling.forecast import StartRates, Work
from godwitshunt.scheduling.queue import QueuedRequest, ServiceQueue
from godwitshunt.scheduling.returns import RefusedRequests

# Waiting requests of all services together.
MAX_WAITING = 4096
# Requests at the head of the order that are tried when an upstream has room. A
# large prompt at the first place may not fit where the next one does.
FIRST_TRIED = 4
# A decision that the entry VM does not collect returns its slot after this, and
# a waiting request whose entry VM does not ask for decisions is removed.
UNCOLLECTED_S = 0.2
# Share of the objective for what the prediction at an engine misses.
MARGIN_SHARE = 0.15
# Retry delay of refused requests. Callers repeat a request once, so the delay
# is spread over this factor.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 3.0
RETRY_SPREAD = 2.0


@dataclass(frozen=True)
class Arrival:
    """A request to a scheduled service, with what the queue needs of it.

    Parameters
    ----------
    route : Route
        With its organisation's rules applied.
    tokens : float
        Prompt tokens that an upstream must process.
    own_s : float
        Seconds to its first event at an upstream that has nothing else to do.
    organisation_rank : int
        Rank of its organisation.
    weight : float
        Relative share of its organisation.
    prior : Work
        Estimate of the work that the service starts in a second.
    redemption : Redemption or None
        Whether the grant that it was handed over by is honoured; None if
        there is none.
    is_home : bool
        Whether this region may serve it.
    """

    query: DestinationRequest
    route: Route
    service: Service
    tokens: float
    own_s: float
    organisation_rank: int
    weight: float
    prior: Work
    redemption: Redemption | None = None
    is_home: bool = True

    @property
    def is_granted(self) -> bool:
        """Whether a grant holds capacity for it."""
        return self.redemption is Redemption.honoured


@dataclass
class Ticket:
    """A request that waits, or whose decision was not collected yet.

    Parameters
    ----------
    asked_s : float
        When this picker was asked.
    assignment : Assignment or None
        The decision; None while it waits.
    reason : str
        Reason of a refusal, for logs and metrics.
    """

    request: QueuedRequest
    arrival: Arrival
    asked_s: float
    assignment: Assignment | None = None
    reason: str = ''
    decided_s: float = 0.0

    @property
    def entry(self) -> str:
        """The entry VM that holds the request."""
        return self.arrival.query.entry

    @property
    def holder(self) -> str:
        """Name under which the ledger holds its slot until collection."""
        return f'ticket {self.request.ticket} of {self.entry}'


# Tries to assign a waiting request now; None if no upstream has room.
Place = Callable[[Ticket], Assignment | None]


@dataclass
class RegionQueue:
    """The queues of a region's scheduled services.

    Parameters
    ----------
    spread : callable
        Returns a random number between its arguments.
    queues : dict
        By service, and whether this region may serve the requests.
    tickets : dict
        Requests that wait, by number.
    decided : dict
        Requests whose decision was not collected, by entry VM and number.
    last_calls : dict
        When each entry VM last asked for decisions.
    """

    spread: Callable[[float, float], float]
    queues: dict[tuple[str, bool], ServiceQueue] = field(default_factory=dict)
    sizes: dict[tuple[str, str], SizeShares] = field(default_factory=dict)
    tickets: dict[int, Ticket] = field(default_factory=dict)
    decided: dict[str, dict[int, Ticket]] = field(default_factory=dict)
    last_calls: dict[str, float] = field(default_factory=dict)
    refused: RefusedRequests = field(default_factory=RefusedRequests)
    numbers: count = field(default_factory=lambda: count(1))

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return sum(map(len, self.queues.values()))

    def queue_of(self, arrival: Arrival) -> ServiceQueue:
        """Return the queue of a service."""
        # What only other regions may serve must not block what waits for an
        # upstream here.
        name = (arrival.service.name, arrival.is_home)
        if name not in self.queues:
            self.queues[name] = ServiceQueue(StartRates(arrival.prior))
        return self.queues[name]

    def sizes_of(self, route: Route) -> SizeShares:
        """Return the sizes of a route's prompts."""
        key = (route.host, route.path_prefix)
        return self.sizes.setdefault(key, SizeShares())

    def make_ticket(self, arrival: Arrival, now_s: float) -> Ticket:
        """Record a request that arrives; return it with its order."""
        query, route = arrival.query, arrival.route
        arrived_s = now_s - (query.waited_s or 0.0)
        sizes = self.sizes_of(route)
        objective_s = (1 - MARGIN_SHARE) * route.objective_s
        request = QueuedRequest(
            ticket=next(self.numbers),
            rank=(arrival.organisation_rank, route.rank),
            organisation=query.organisation,
            weight=arrival.weight,
            tokens=arrival.tokens,
            arrived_s=arrived_s,
            deadline_s=arrived_s + objective_s - arrival.own_s,
            returned=self.refused.is_repeat(query.fingerprint, now_s),
            aged=sizes.is_behind(query.demand.prompt_tokens),
        )
        if not query.waited_s:
            sizes.record_arrival(query.demand.prompt_tokens, now_s)
        self.queue_of(arrival).record_arrival(request, now_s)
        self.last_calls[query.entry] = now_s
        return Ticket(request, arrival, now_s)

    def is_first(self, ticket: Ticket) -> bool:
        """Return whether a request starts before all that wait."""
        return self.queue_of(ticket.arrival).is_first(ticket.request)

    def record_start(self, ticket: Ticket, now_s: float) -> None:
        """Record a request that is assigned."""
        arrival = ticket.arrival
        self.queue_of(arrival).record_start(ticket.request, now_s)
        tokens = arrival.query.demand.prompt_tokens
        self.sizes_of(arrival.route).record_start(tokens, now_s)
        self.refused.forget(arrival.query.fingerprint)

    def admit(self, ticket: Ticket, now_s: float) -> list[Ticket]:
        """Queue a request, or refuse it if it would start too late.

        Returns
        -------
        list of Ticket
            A request that was refused because too many wait.
        """
        queue = self.queue_of(ticket.arrival)
        wait_s = queue.forecast_s(ticket.request, now_s)
        can_wait = ticket.arrival.query.waited_s is not None
        if not can_wait or now_s + wait_s > ticket.request.deadline_s:
            self.refuse(ticket, 'forecast', now_s, wait_s)
            return []
        number = ticket.request.ticket
        queue.push(ticket.request, now_s)
        self.tickets[number] = ticket
        if self.waiting <= MAX_WAITING:
            return []
        last = self.tickets[queue.last().ticket]
        queue.remove(last.request.ticket, now_s)
        self.refuse(last, 'bound', now_s, MAX_RETRY_S)
        if last is not ticket:
            self.settle(last)
        return [last]

    def refuse(
        self, ticket: Ticket, reason: str, now_s: float, wait_s: float
    ) -> None:
        """Refuse a request that is not in the queue.

        Parameters
        ----------
        wait_s : float
            Forecast of the wait that it would have.
        """
        slack_s = max(0.0, ticket.request.deadline_s - now_s)
        retry_s = min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s - slack_s))
        choice = NoPlace(True, self.spread(retry_s, RETRY_SPREAD * retry_s))
        ticket.assignment = Assignment(choice)
        ticket.reason = reason
        ticket.decided_s = now_s
        self.refused.record(ticket.arrival.query.fingerprint, now_s)

    def reply(self, ticket: Ticket) -> Assignment:
        """Return the answer to the request's question."""
        number = ticket.request.ticket
        if ticket.assignment is None:
            return Assignment(Queued(number))
        self.tickets.pop(number, None)
        return ticket.assignment

    def settle(self, ticket: Ticket) -> None:
        """Keep a decision until its entry VM collects it."""
        number = ticket.request.ticket
        self.tickets.pop(number)
        self.decided.setdefault(ticket.entry, {})[number] = ticket

    def refuse_late(self, now_s: float) -> list[Ticket]:
        """Refuse the requests whose deadline has passed; return them."""
        late = []
        for queue in self.queues.values():
            for request in queue.expired(now_s):
                ticket = self.tickets[request.ticket]
                wait_s = queue.forecast_s(request, now_s)
                self.refuse(ticket, 'deadline', now_s, wait_s)
                self.settle(ticket)
                late.append(ticket)
        return late

    def place_first(self, place: Place, now_s: float) -> list[Ticket]:
        """Assign the first requests of each order while there is room."""
        placed: list[Ticket] = []
        for queue in self.queues.values():
            while queue.requests:
                ticket = self.place_one(queue, place, now_s)
                if ticket is None:
                    break
                placed.append(ticket)
        return placed

    def place_one(
        self, queue: ServiceQueue, place: Place, now_s: float
    ) -> Ticket | None:
        """Assign one of the first requests; None if there is no room."""
        for request in tuple(islice(queue.in_order(), FIRST_TRIED)):
            ticket = self.tickets[request.ticket]
            assignment = place(ticket)
            if assignment is None:
                continue
            if isinstance(assignment.choice, (SendHere, HandOver)):
                self.record_start(ticket, now_s)
            queue.remove(request.ticket, now_s)
            ticket.assignment = assignment
            ticket.decided_s = now_s
            self.settle(ticket)
            return ticket
        return None

    def collect(self, entry: str) -> list[Ticket]:
        """Remove and return the decided requests of an entry VM."""
        return list(self.decided.pop(entry, {}).values())

    def unknown(self, entry: str, numbers: Iterable[int]) -> list[int]:
        """Return the tickets that an entry VM does not have here."""
        decided = self.decided.get(entry, {})
        return [
            number
            for number in numbers
            if number not in self.tickets and number not in decided
        ]

    def withdraw(
        self, entry: str, numbers: Iterable[int], now_s: float
    ) -> list[Ticket]:
        """Remove requests that an entry VM no longer has; return them."""
        decided = self.decided.get(entry, {})
        removed = []
        for number in numbers:
            ticket = self.tickets.get(number) or decided.get(number)
            if ticket is not None and ticket.entry == entry:
                self.remove(ticket, now_s)
                removed.append(ticket)
        return removed

    def remove_silent(self, now_s: float) -> list[Ticket]:
        """Remove the requests of entry VMs that do not ask for decisions."""
        oldest_s = now_s - UNCOLLECTED_S
        self.last_calls = {
            entry: called_s
            for entry, called_s in self.last_calls.items()
            if called_s >= oldest_s
        }
        removed = [
            ticket
            for ticket in self.tickets.values()
            if ticket.entry not in self.last_calls
        ]
        removed.extend(
            ticket
            for decided in self.decided.values()
            for ticket in decided.values()
            if ticket.decided_s < oldest_s
        )
        for ticket in removed:
            self.remove(ticket, now_s)
        return removed

    def remove(self, ticket: Ticket, now_s: float) -> None:
        """Remove a request, whether it waits or is decided."""
        number = ticket.request.ticket
        if self.tickets.pop(number, None) is None:
            decided = self.decided[ticket.entry]
            decided.pop(number)
            if not decided:
                self.decided.pop(ticket.entry)
            return
        self.queue_of(ticket.arrival).remove(number, now_s)


def weight_of(
    limit: OrganisationLimit | None, limits: Iterable[OrganisationLimit]
) -> float:
    """Return the share of an organisation relative to the others.

    It is the ratio of its limit to the mean of all limits in the same unit; 1
    without a limit.
    """
    if limit is None:
        return 1.0
    rates = [other.per_s for other in limits if other.unit is limit.unit]
    return limit.per_s * len(rates) / sum(rates)
