"""A region's queue over model engines, in virtual time, against refusing.

The product's own picker with exact counts. With `queued` false it assigns or
refuses each request when it arrives, as for services that are not scheduled.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import defopt

from benchmarks.route_pattern import ADDRESS
from benchmarks.sheet_engine import Job, Sheet, SheetEngine
from godwitshunt.configuration.revision import Revision
from godwitshunt.manifest import (
    Engine,
    Manifest,
    Organisation,
    Region,
    RequestClass,
    Route,
    RouteKind,
    Service,
    ServiceKind,
    WeightedService,
)
from godwitshunt.organisations import LimitPool
from godwitshunt.picking.choices import SendHere
from godwitshunt.picking.destinations import Assignment, DestinationRequest
from godwitshunt.picking.grant_gate import GrantGate, never
from godwitshunt.picking.handover_loads import HandoverLoads
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.picker import Picker, PickingContext, route_for
from godwitshunt.picking.region_queue import RegionQueue
from godwitshunt.picking.routes import RouteTable
from godwitshunt.picking.scheduled import ScheduledPicker
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import Load, RegistryView, UpstreamSeen
from godwitshunt.registry.ledger import LoadLedger
from godwitshunt.registry.prefixes import PrefixTable
from godwitshunt.registry.records import UpstreamAnnounced
from godwitshunt.routing.cold_budget import ColdBounds, ColdBudget
from godwitshunt.routing.selection import Demand

Event = Callable[[], None]

SHEET = Sheet(24, 328_740, 0.00561, 0.00003, 54_600.0)
SERVICE = Service(
    name='llm',
    kind=ServiceKind.model,
    engine=Engine(slots=SHEET.slots, memory_tokens=SHEET.memory_tokens),
)
LONG_OBJECTIVE_S = 2.063
SHORT_OBJECTIVE_S = 0.823
SHORT_TIMEOUT_S = 5.1
HOST = 'a.example'
LONG_PATH, SHORT_PATH = '/long/', '/short/'
# Delay between an end at an engine and the next arrival there: a report to the
# picker, and the answer to the entry VM that waits.
TURN_S = 0.008


@dataclass(frozen=True)
class QueuePattern:
    """A pattern of load of one region.

    Parameters
    ----------
    load : float
        Multiple of what the engines serve. One is 25 short and 1.65 long
        requests a second at each engine.
    organisations : mapping
        Share of the requests by organisation.
    """

    load: float = 1.7
    queued: bool = True
    engines: int = 4
    seconds: float = 8.0
    seed: int = 1
    organisations: dict[str, float] = field(default_factory=lambda: {'': 1.0})


@dataclass
class Arrival:
    """A request of a caller."""

    job: Job
    organisation: str
    objective_s: float
    refused: str = ''

    @property
    def is_long(self) -> bool:
        """Whether it has a long prompt, which is less urgent."""
        return self.job.demand.has_affinity

    @property
    def on_time(self) -> bool:
        """Whether its first event was within the objective."""
        job = self.job
        return job.first_s is not None and (
            job.first_s - job.asked_s <= self.objective_s
        )


@dataclass
class Sent:
    """A request at an engine."""

    engine: str
    job: Job
    unread: int
    predicted_s: float
    sent_s: float
    is_read: bool = False

    @property
    def first_s(self) -> float:
        """Seconds from its sending to its first event."""
        return self.job.first_s - self.sent_s


class QueueLoad:
    """One run of one pattern."""

    def __init__(self, pattern: QueuePattern) -> None:
        self.pattern = pattern
        self.random = Random(pattern.seed)
        self.now_s = 0.0
        self.events: list[tuple[float, int, Event]] = []
        self.order = itertools.count()
        self.engines = {
            f'i-{number}': SheetEngine.from_sheet(f'i-{number}', SHEET)
            for number in range(pattern.engines)
        }
        self.ledger = LoadLedger()
        self.upstreams = Upstreams()
        neighbours = Neighbours('p', 'r')
        self.picker = Picker(
            region='r',
            upstreams=self.upstreams,
            neighbours=neighbours,
            ledger=self.ledger,
            prefixes=PrefixTable(),
            cold=ColdBudget(ColdBounds(1.0, 0.0), 0.0),
            handovers=HandoverLoads(lambda region: 0.0, lambda region: 0.0),
            random=Random(pattern.seed),
            limits=LimitPool(),
            gate=GrantGate.from_config(
                neighbours, self.upstreams, 'p', never, 0.0
            ),
        )
        queue = RegionQueue(self.picker.random.uniform)
        self.scheduled = ScheduledPicker(self.picker, queue)
        revision = make_revision(pattern)
        self.context = PickingContext(
            RegistryView(
                upstreams={name: engine_seen(name) for name in self.engines},
                loads=self.ledger.totals,
            ),
            revision,
            RouteTable.from_manifest(revision.manifest),
        )
        self.waiting: dict[int, Arrival] = {}
        self.stepping: set[str] = set()
        self.arrivals: list[Arrival] = []

    def at(self, when_s: float, event: Event) -> None:
        """Let something happen later."""
        heapq.heappush(self.events, (when_s, next(self.order), event))

    def run(self) -> None:
        """Let callers ask, and wait until all have their answers."""
        for is_long in (True, False):
            self.ask_next(is_long=is_long)
        self.tick()
        while self.events:
            when_s, _, event = heapq.heappop(self.events)
            self.now_s = when_s
            event()

    def tick(self) -> None:
        """Refuse late requests, and place others."""
        self.place_queued()
        if self.now_s < self.pattern.seconds + SHORT_TIMEOUT_S:
            self.at(self.now_s + 0.02, self.tick)

    def ask_next(self, *, is_long: bool) -> None:
        """Let one caller ask and arrange for the next one."""
        pattern = self.pattern
        if self.now_s > pattern.seconds:
            return
        per_engine = 1.65 if is_long else 25.0
        total = sum(pattern.organisations.values())
        rate = per_engine * pattern.engines * pattern.load * total
        gap_s = self.random.expovariate(rate)
        self.at(self.now_s + gap_s, lambda: self.ask_next(is_long=is_long))
        name = self.random.choices(
            list(pattern.organisations), pattern.organisations.values()
        )[0]
        self.arrive(self.make_arrival(name, is_long=is_long))

    def make_arrival(self, name: str, *, is_long: bool) -> Arrival:
        """Return a request."""
        if is_long:
            own = int(self.random.lognormvariate(7.9, 0.8))
            shared, key = 13_300, self.random.randrange(12)
            demand = Demand(
                shared + own, shared, key + 1, objective_s=LONG_OBJECTIVE_S
            )
            job = Job(demand, 20 * 6, self.now_s)
            return Arrival(job, name, LONG_OBJECTIVE_S)
        # Engines get all requests of a scheduled service with one urgency.
        urgent = not self.pattern.queued
        demand = Demand(383, 92, 10_000, urgent, SHORT_OBJECTIVE_S)
        return Arrival(Job(demand, 48, self.now_s), name, SHORT_OBJECTIVE_S)

    def arrive(self, arrival: Arrival) -> None:
        """Assign, queue or refuse a request."""
        self.arrivals.append(arrival)
        query = self.query_of(arrival)
        if not self.pattern.queued:
            assignment = self.picker.assign(query, self.context, self.now_s)
            self.apply(arrival, assignment, 'full')
            return
        route = route_for(query, self.context.routes)
        ticket = self.scheduled.assign(
            query, route, SERVICE, self.context, self.now_s
        )
        if ticket.assignment is None:
            self.waiting[ticket.request.ticket] = arrival
        else:
            self.apply(arrival, ticket.assignment, ticket.reason)

    def query_of(self, arrival: Arrival) -> DestinationRequest:
        """Return the question of an entry VM."""
        return DestinationRequest(
            entry='e',
            request='q',
            host=HOST,
            path_prefix=LONG_PATH if arrival.is_long else SHORT_PATH,
            service=SERVICE.name,
            demand=arrival.job.demand,
            remaining_s=SHORT_TIMEOUT_S,
            organisation=arrival.organisation,
            waited_s=0.0,
        )

    def place_queued(self) -> None:
        """Place the first of the queue while an engine has room."""
        decided = [
            *self.scheduled.queue.refuse_late(self.now_s),
            *self.scheduled.place_waiting(
                self.context, self.now_s, elsewhere=False
            ),
        ]
        self.scheduled.queue.collect('e')
        for ticket in decided:
            assignment = self.scheduled.deliver(ticket, self.now_s)
            arrival = self.waiting.pop(ticket.request.ticket)
            self.apply(arrival, assignment, ticket.reason)

    def apply(
        self, arrival: Arrival, assignment: Assignment, reason: str
    ) -> None:
        """Send a request to its engine, or refuse it."""
        choice = assignment.choice
        if not isinstance(choice, SendHere):
            arrival.refused = reason
            return
        sent = Sent(
            choice.upstream.announcement.incarnation,
            arrival.job,
            choice.unread_tokens,
            choice.predicted_s,
            self.now_s,
        )
        self.at(self.now_s + TURN_S, lambda: self.submit(sent))

    def submit(self, sent: Sent) -> None:
        """Let an engine have a request."""
        name = sent.engine
        self.engines[name].submit(sent.job)
        self.follow(sent)
        if name not in self.stepping:
            self.stepping.add(name)
            self.step(name)

    def step(self, name: str) -> None:
        """Let an engine make one step, and the next one after it."""
        engine = self.engines[name]
        if not engine.busy:
            self.stepping.discard(name)
            return
        self.at(self.now_s + engine.step(self.now_s), lambda: self.step(name))

    def follow(self, sent: Sent) -> None:
        """Note a request's first event and its end."""
        name, job = sent.engine, sent.job
        if job.first_s is not None and not sent.is_read:
            sent.is_read = True
            self.ledger.subtract(name, Load(0, sent.unread))
        if job.ended_s is None:
            self.at(self.now_s + 0.01, lambda: self.follow(sent))
            return
        if self.ledger.total(name).in_flight < SHEET.slots:
            speed = self.upstreams.learned_speed(SERVICE)
            speed.record_answer(sent.first_s, job.ended_s - sent.sent_s)
        self.upstreams.health_of(name).record_response_time(
            sent.first_s, sent.predicted_s, self.now_s
        )
        self.ledger.subtract(name, Load(1, 0))
        self.place_queued()

    def share_on_time(
        self, *, is_long: bool | None = None, organisation: str | None = None
    ) -> float:
        """Return the share of some requests with a first event on time."""
        chosen = [
            arrival.on_time
            for arrival in self.arrivals
            if is_long in {None, arrival.is_long}
            and organisation in {None, arrival.organisation}
        ]
        return sum(chosen) / max(1, len(chosen))


def make_revision(pattern: QueuePattern) -> Revision:
    """Return a revision with a route of long and one of short requests."""
    routes = [
        Route(
            name=path,
            host=HOST,
            path_prefix=path,
            kind=RouteKind.stream,
            services=(WeightedService(service=SERVICE.name),),
            timeout_s=SHORT_TIMEOUT_S,
            objective_s=objective_s,
            rank=rank,
        )
        for path, objective_s, rank in (
            (SHORT_PATH, SHORT_OBJECTIVE_S, 0),
            (LONG_PATH, LONG_OBJECTIVE_S, 1),
        )
    ]
    manifest = Manifest(
        number=1,
        deployment='d',
        regions=(Region(name='r', failure_domains=('d',)),),
        services=(SERVICE,),
        classes=(RequestClass(name='c'),),
        routes=tuple(routes),
        organisations=tuple(
            Organisation(name=name) for name in pattern.organisations if name
        ),
    )
    return Revision(1, 'digest', manifest)


def engine_seen(name: str) -> UpstreamSeen:
    """Return an engine as control tells of it."""
    told = UpstreamAnnounced(
        name, 'llm', ADDRESS, 'd', SHEET.slots, False, 0, 1
    )
    return UpstreamSeen(told, 'r', 0.0, None, silent=False)


def show(*, load: float = 1.7, seconds: float = 8.0, seed: int = 1) -> None:
    """Print what waiting buys.

    :param load: multiple of what the engines serve.
    :param seconds: how long callers ask.
    :param seed: of arrivals and prompts.
    """
    for queued in (False, True):
        play = QueueLoad(QueuePattern(load, queued, 4, seconds, seed))
        play.run()
        refused = Counter(
            (arrival.refused, arrival.is_long) for arrival in play.arrivals
        )
        served = sum(
            arrival.job.ended_s is not None for arrival in play.arrivals
        )
        print(
            f'queued {queued!s:5}: {len(play.arrivals)} asked, {served} ran,'
            f' on time {play.share_on_time():.3f}'
            f' long {play.share_on_time(is_long=True):.3f}'
            f' short {play.share_on_time(is_long=False):.3f}'
            f' {dict(refused)}',
        )


if __name__ == '__main__':
    defopt.run(show)
