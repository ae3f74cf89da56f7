"""A region's queue over model engines, in virtual time, against refusing.

One picker with exact counts and the product's own choice of an engine. With
`queued` false it assigns or refuses each request when it arrives, as for
services that are not scheduled.
"""

import heapq
import itertools
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace

import defopt

from benchmarks.route_pattern import ADDRESS
from benchmarks.sheet_engine import Job, Sheet, SheetEngine
from godwitshunt.picking.choices import ChoiceRequest, SendHere
from godwitshunt.picking.chooser import Chooser
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import Load, RegistryView, UpstreamSeen
from godwitshunt.registry.prefixes import CachedPrefix, PrefixTable
from godwitshunt.registry.records import UpstreamAnnounced
from godwitshunt.routing.selection import Demand
from godwitshunt.scheduling.forecast import StartRates, Work
from godwitshunt.scheduling.queue import QueuedRequest, ServiceQueue

Event = Callable[[], None]

SHEET = Sheet(24, 328_740, 0.00561, 0.00003, 54_600.0)
SERVICE = SimpleNamespace(name='llm', engine=True, cold_start=None)
REVISION = SimpleNamespace(evacuated=frozenset())
LONG_OBJECTIVE_S = 2.063
SHORT_OBJECTIVE_S = 0.823
LONG_TIMEOUT_S = 10.3
SHORT_TIMEOUT_S = 5.1
# Delay between an end at an engine and the next arrival there: a report to the
# picker, and the answer to the entry VM that waits.
TURN_S = 0.008
FIRST_TRIED = 4
EXTRA = 3
ENGINE_WAIT_S = 0.06
LAST_S = 0.05
NONE: frozenset[str] = frozenset()


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
        self.upstreams = Upstreams()
        self.chooser = Chooser(
            'r',
            self.upstreams,
            Neighbours('p', 'r'),
            Random(pattern.seed),
            near_best_s=0.0,
        )
        self.prefixes = PrefixTable()
        self.view = RegistryView(
            upstreams={name: engine_seen(name) for name in self.engines},
            loads=defaultdict(Load),
        )
        rates = Work(pattern.engines * 40.0, pattern.engines * 30_000.0)
        self.queue = ServiceQueue(StartRates(rates))
        self.reserved: Counter[str] = Counter()
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
        """Place, queue or refuse a request."""
        self.arrivals.append(arrival)
        if not self.pattern.queued:
            if not self.place(arrival):
                arrival.refused = 'full'
            return
        request = self.queued_request(arrival)
        self.queue.record_arrival(request, self.now_s)
        if self.queue.is_first(request) and self.place(arrival):
            self.queue.record_start(request, self.now_s)
            return
        wait_s = self.queue.forecast_s(request, self.now_s)
        if self.now_s + wait_s > request.deadline_s:
            arrival.refused = 'forecast'
            return
        self.queue.push(request, self.now_s)
        self.waiting[request.ticket] = arrival

    def queued_request(self, arrival: Arrival) -> QueuedRequest:
        """Return a request as the queue has it."""
        demand = arrival.job.demand
        unread = demand.unread_tokens(cached=bool(self.holders(demand)))
        speed = self.upstreams.speed(SERVICE)
        own_s = speed.first_s + speed.prefill_s(unread)
        return QueuedRequest(
            next(self.order),
            (0, int(arrival.is_long)),
            arrival.organisation,
            1.0,
            unread,
            arrival.job.asked_s,
            arrival.job.asked_s + 0.85 * arrival.objective_s - own_s,
        )

    def holders(self, demand: Demand) -> frozenset[str]:
        """Return the engines that have the shared parts cached."""
        return self.prefixes.holders(demand.shared_key, self.now_s)

    def place_queued(self) -> None:
        """Place the first of the queue while an engine has room."""
        for late in self.queue.expired(self.now_s):
            self.waiting.pop(late.ticket).refused = 'deadline'
        placed = True
        while placed and self.queue.requests:
            placed = False
            first = itertools.islice(self.queue.in_order(), FIRST_TRIED)
            for request in tuple(first):
                if self.place(self.waiting[request.ticket]):
                    self.queue.record_start(request, self.now_s)
                    self.queue.remove(request.ticket, self.now_s)
                    self.waiting.pop(request.ticket)
                    placed = True
                    break

    def place(self, arrival: Arrival) -> bool:
        """Send a request to an engine if one has room."""
        demand = arrival.job.demand
        waited_s = self.now_s - arrival.job.asked_s
        queued = self.pattern.queued
        left_s = arrival.objective_s - waited_s
        request = ChoiceRequest(
            route=SimpleNamespace(homes=(), objective_s=arrival.objective_s),
            service=SERVICE,
            demand=demand,
            remaining_s=self.most_s(arrival, left_s) if queued else 5.0,
            now_s=self.now_s,
            excluded=self.without_memory(arrival.job) if queued else NONE,
            local=True,
            holders=self.holders(demand),
            max_per_slot=1.0 if queued else 2.0,
            extra_in_flight=EXTRA if queued else 0,
        )
        choice = self.chooser.choose(request, self.view, REVISION)
        if not isinstance(choice, SendHere):
            return False
        self.send(choice, arrival.job)
        return True

    def most_s(self, arrival: Arrival, left_s: float) -> float:
        """Return the longest time to a first event that is accepted."""
        demand = arrival.job.demand
        unread = demand.unread_tokens(cached=bool(self.holders(demand)))
        speed = self.upstreams.speed(SERVICE)
        own_s = speed.first_s + speed.prefill_s(unread)
        wait_s = ENGINE_WAIT_S
        if left_s - 0.15 * arrival.objective_s - own_s < LAST_S:
            wait_s = arrival.objective_s
        return max(min(left_s, own_s + wait_s), own_s)

    def without_memory(self, job: Job) -> frozenset[str]:
        """Return the engines whose requests leave no memory for another."""
        room = SHEET.memory_tokens - memory_of(job)
        return frozenset(
            name for name in self.engines if self.reserved[name] > room
        )

    def send(self, choice: SendHere, job: Job) -> None:
        """Count a request at an engine; it arrives there a little later."""
        name = choice.upstream.announcement.incarnation
        unread = choice.unread_tokens
        self.view.loads[name] += Load(1, unread)
        self.reserved[name] += memory_of(job)
        if job.demand.has_affinity:
            key = job.demand.shared_key
            self.prefixes.record(CachedPrefix(key, name, self.now_s))
        sent = Sent(name, job, unread, choice.predicted_s, self.now_s)
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
        loads, name, job = self.view.loads, sent.engine, sent.job
        if job.first_s is not None and not sent.is_read:
            sent.is_read = True
            loads[name] -= Load(0, sent.unread)
        if job.ended_s is None:
            self.at(self.now_s + 0.01, lambda: self.follow(sent))
            return
        if loads[name].in_flight < SHEET.slots:
            speed = self.upstreams.learned_speed(SERVICE)
            speed.record_answer(sent.first_s, job.ended_s - sent.sent_s)
        self.upstreams.health_of(name).record_response_time(
            sent.first_s, sent.predicted_s, self.now_s
        )
        loads[name] -= Load(1, 0)
        self.reserved[name] -= memory_of(job)
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


def memory_of(job: Job) -> int:
    """Return the tokens of memory that a request needs until its end."""
    return job.demand.prompt_tokens + job.output_tokens


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
