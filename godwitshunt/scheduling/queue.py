"""Queue of one service's requests in a region, in order; no I/O.

Answers a load above what a region's engines do, with urgent and less urgent
routes, large and small prompts, and organisations of different sizes: which
request starts next, and which one cannot start in time any more.
"""

import heapq
from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from operator import attrgetter, itemgetter

from godwitshunt.scheduling.fairness import ShareMeter, VirtualTime
from godwitshunt.scheduling.forecast import NO_WORK, Level, StartRates, Work

Rank = tuple[int, int]


@dataclass(frozen=True)
class QueuedRequest:
    """A request that waits for an upstream.

    Parameters
    ----------
    ticket : int
        Identifies it; later ones are larger.
    rank : tuple of int
        Rank of the organisation and of the route; smaller ones start first.
    organisation : str
        Shares the capacity with the others of the same rank.
    weight : float
        Relative share of the organisation.
    tokens : float
        Prompt tokens that an upstream must process.
    arrived_s : float
        When an entry VM first asked for a destination.
    deadline_s : float
        Latest start at which the first event is within the objective.
    returned : bool
        True if the same request was refused shortly before.
    aged : bool
        True if large prompts of its route have started too seldom.
    """

    ticket: int
    rank: Rank
    organisation: str
    weight: float
    tokens: float
    arrived_s: float
    deadline_s: float
    returned: bool = False
    aged: bool = False

    @property
    def order(self) -> tuple[bool, bool, float, int]:
        """Position among the requests of its rank and organisation."""
        return (
            not self.returned,
            not self.aged,
            self.deadline_s,
            self.ticket,
        )

    @property
    def work(self) -> Work:
        """Work that it causes."""
        return Work(1.0, self.tokens)


ORDER = attrgetter('order')


@dataclass
class RankQueue:
    """Requests of one rank.

    Parameters
    ----------
    flows : dict
        Requests by organisation, each in order.
    work : dict
        Sum of their work by organisation.
    """

    flows: dict[str, list[QueuedRequest]] = field(default_factory=dict)
    work: dict[str, Work] = field(default_factory=dict)
    time: VirtualTime = field(default_factory=VirtualTime)

    def push(self, request: QueuedRequest) -> None:
        """Insert a request."""
        name = request.organisation
        insort(self.flows.setdefault(name, []), request, key=ORDER)
        self.work[name] = self.work.get(name, NO_WORK) + request.work

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request."""
        name = request.organisation
        flow = self.flows[name]
        flow.pop(bisect_left(flow, request.order, key=ORDER))
        self.work[name] += request.work.scaled(-1)
        if not flow:
            self.flows.pop(name)
            self.work.pop(name)

    def in_order(self, names: Iterable[str]) -> Iterator[QueuedRequest]:
        """Yield the requests of organisations in the order of their starts."""
        heads = [(self.time.tag(name), name, 0) for name in names]
        heapq.heapify(heads)
        while heads:
            tag, name, position = heapq.heappop(heads)
            flow = self.flows[name]
            request = flow[position]
            yield request
            if position + 1 < len(flow):
                tag += request.tokens / request.weight
                heapq.heappush(heads, (tag, name, position + 1))

    def work_of(self, names: Iterable[str]) -> Work:
        """Return the work of organisations."""
        return sum((self.work[name] for name in names), start=NO_WORK)

    def work_before(self, request: QueuedRequest, names: Iterable[str]) -> Work:
        """Return the work that starts before a request.

        The request need not be in the queue.

        Parameters
        ----------
        names : iterable of str
            Organisations that share the capacity with its own.
        """
        name = request.organisation
        flow = self.flows.get(name, [])
        own = flow[: bisect_left(flow, request.order, key=ORDER)]
        before = Work(len(own), sum(entry.tokens for entry in own))
        tag = self.time.tag(name) + before.tokens / request.weight
        for other in names:
            if other == name:
                continue
            work = self.work[other]
            weight = self.flows[other][0].weight
            tokens = max(0.0, tag - self.time.tag(other)) * weight
            share = min(1.0, tokens / work.tokens) if work.tokens else 1.0
            before += work.scaled(share)
        return before

    def last(self, names: Iterable[str]) -> QueuedRequest:
        """Return the request of organisations that starts last."""
        return max(
            (self.flows[name][-1] for name in names),
            key=self.start_tag,
        )

    def start_tag(self, request: QueuedRequest) -> tuple[float, int]:
        """Return when the last request of an organisation starts."""
        name = request.organisation
        before = self.work[name].tokens - request.tokens
        tag = self.time.tag(name) + before / request.weight
        return tag, request.ticket


LevelQueue = tuple[RankQueue, list[str]]


@dataclass
class ServiceQueue:
    """Requests that wait for an upstream of one service.

    Parameters
    ----------
    rates : StartRates
        Learned rates at which requests start.
    ranks : dict
        Requests by rank.
    requests : dict
        Requests by ticket.
    deadlines : list
        Heap of deadlines and tickets; may hold removed tickets.
    meter : ShareMeter
        Recent work of the organisations.
    bursting : frozenset of str
        Organisations whose requests come after those of the others.
    """

    rates: StartRates
    ranks: dict[Rank, RankQueue] = field(default_factory=dict)
    requests: dict[int, QueuedRequest] = field(default_factory=dict)
    deadlines: list[tuple[float, int]] = field(default_factory=list)
    meter: ShareMeter = field(default_factory=ShareMeter)
    bursting: frozenset[str] = frozenset()

    def __len__(self) -> int:
        return len(self.requests)

    def level(self, request: QueuedRequest) -> Level:
        """Return the level of a request; smaller ones start first."""
        rank, route_rank = request.rank
        return rank, request.organisation in self.bursting, route_rank

    def rank_queue(self, rank: Rank) -> RankQueue:
        """Return the queue of a rank."""
        queue = self.ranks.get(rank)
        if queue is None:
            queue = RankQueue()
            self.ranks[rank] = queue
        return queue

    def advance(self, now_s: float) -> None:
        """Advance the time of the rates and shares."""
        self.rates.advance(now_s, is_busy=bool(self.requests))
        self.bursting = self.meter.bursting(now_s)

    def record_arrival(self, request: QueuedRequest, now_s: float) -> None:
        """Record a request before it starts, waits or is refused."""
        self.meter.record_arrival(
            request.organisation, request.weight, request.tokens, now_s
        )
        self.advance(now_s)

    def push(self, request: QueuedRequest, now_s: float) -> None:
        """Insert a request."""
        self.advance(now_s)
        self.rank_queue(request.rank).push(request)
        self.requests[request.ticket] = request
        heapq.heappush(self.deadlines, (request.deadline_s, request.ticket))

    def remove(self, ticket: int, now_s: float) -> QueuedRequest | None:
        """Remove a request; None if it is not in the queue."""
        self.advance(now_s)
        request = self.requests.pop(ticket, None)
        if request is not None:
            self.ranks[request.rank].remove(request)
        return request

    def record_start(self, request: QueuedRequest, now_s: float) -> None:
        """Record that a request starts, whether or not it has waited."""
        self.advance(now_s)
        if self.requests:
            self.rates.record(self.level(request), request.work)
        self.meter.record_start(request.organisation, request.tokens, now_s)
        self.rank_queue(request.rank).time.charge(
            request.organisation, request.tokens, request.weight
        )

    def levels(self) -> list[tuple[Level, LevelQueue]]:
        """Return the levels in order, with their organisations."""
        levels: dict[Level, LevelQueue] = {}
        for (rank, route_rank), queue in self.ranks.items():
            for name in queue.flows:
                level = (rank, name in self.bursting, route_rank)
                levels.setdefault(level, (queue, []))[1].append(name)
        return sorted(levels.items(), key=itemgetter(0))

    def in_order(self) -> Iterator[QueuedRequest]:
        """Yield the requests in the order in which they start."""
        for _, (queue, names) in self.levels():
            yield from queue.in_order(names)

    def work_before(self, request: QueuedRequest) -> Work:
        """Return the work that starts before a request."""
        own_level = self.level(request)
        before = NO_WORK
        own = self.rank_queue(request.rank)
        own_names: list[str] = []
        for level, (queue, names) in self.levels():
            if level < own_level:
                before += queue.work_of(names)
            elif level == own_level:
                own_names = names
        return before + own.work_before(request, own_names)

    def forecast_s(self, request: QueuedRequest, now_s: float) -> float:
        """Return the seconds until a request starts if it is queued now."""
        self.advance(now_s)
        ahead = self.work_before(request) + Work(1.0)
        return self.rates.wait_s(ahead, self.level(request))

    def is_first(self, request: QueuedRequest) -> bool:
        """Return whether a request that arrives starts before all others."""
        return not self.requests or not self.work_before(request).requests

    def expired(self, now_s: float) -> list[QueuedRequest]:
        """Remove the requests whose deadline has passed; return them."""
        late = []
        while self.deadlines and self.deadlines[0][0] < now_s:
            _, ticket = heapq.heappop(self.deadlines)
            request = self.remove(ticket, now_s)
            if request is not None:
                late.append(request)
        return late

    def last(self) -> QueuedRequest | None:
        """Return the request that starts last."""
        levels = self.levels()
        if not levels:
            return None
        _, (queue, names) = levels[-1]
        return queue.last(names)
