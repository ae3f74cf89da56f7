"""Which requests are kept back while upstreams crash, in virtual time.

Upstreams end one by one or many at once, with and without requests that crash
them. Bystanders repeat what they lost. The product's own table decides; what a
VM sees is known to all a set time later. Printed for each kind of day:
bystanders turned away, ends until each cause was known, and ends in all.

    python -m benchmarks.crashing_requests --seeds 20
"""

import heapq
from dataclasses import dataclass, field
from itertools import count
from random import Random

import defopt

from godwitshunt.quarantine import Fingerprint, Loss, LostRequest, SuspectTable

UPSTREAMS = 18
REQUESTS_PER_S = 150.0
RUN_S = 0.6
BACK_AFTER_S = 2.0
CRASHES_AFTER_S = 0.1


@dataclass(frozen=True)
class Day:
    """What happens on one kind of day.

    Parameters
    ----------
    single_s, mass_s : float
        Seconds between the ends of one upstream, and of a third of them, by
        chance; 0 for none.
    causes : int
        Requests that crash upstreams, each sent every `repeat_s`.
    retries : int
        Times that a bystander sends again what it lost.
    bodies : int
        Contents that bystanders share; 0 gives each its own.
    copies : int
        Times that a cause is sent at once.
    news_s : float
        Seconds until a loss, or a whole answer, is known to all.
    """

    name: str
    single_s: float = 0.0
    mass_s: float = 0.0
    causes: int = 0
    repeat_s: float = 0.25
    copies: int = 1
    retries: int = 1
    bodies: int = 0
    news_s: float = 0.5
    length_s: float = 100.0


DAYS = (
    Day('one ends each second, no cause', single_s=1.0),
    Day('a third end each 5 s, no cause', mass_s=5.0),
    Day('both, bystanders send again 5 times', 1.0, 5.0, retries=5),
    Day('both, 50 contents for all', 1.0, 5.0, retries=5, bodies=50),
    Day('one cause', causes=1),
    Day('one cause, news after 1 s', causes=1, news_s=1.0),
    Day('two causes', causes=2),
    Day('one cause, 4 copies each 3 s', causes=1, repeat_s=3.0, copies=4),
    Day('one cause, 4 copies each 6 s', causes=1, repeat_s=6.0, copies=4),
    Day('one cause, all of the above', 1.0, 5.0, causes=1, retries=5),
    Day('three causes, all of the above', 1.0, 5.0, causes=3, retries=5),
)


@dataclass
class Upstream:
    """One upstream, and what it runs."""

    number: int
    start: int = 0
    is_up: bool = True
    running: dict[int, tuple['Asked', float]] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """Names this start of it."""
        return f'i-{self.number}~{self.start}'


@dataclass(frozen=True)
class Asked:
    """One sending of a request."""

    content: int
    is_cause: bool
    left: int

    @property
    def fingerprint(self) -> Fingerprint:
        """What its repeats have in common."""
        return Fingerprint(self.content.to_bytes(16, 'big'))


@dataclass
class Played:
    """What came of a day.

    Parameters
    ----------
    turned_away : int
        Bystanders that were refused.
    ends : dict
        Ends under each cause, by its content.
    """

    sent: int = 0
    turned_away: int = 0
    all_ends: int = 0
    ends: dict[int, int] = field(default_factory=dict)


class Simulation:
    """Plays one day.

    Parameters
    ----------
    day : Day
        Its kind.
    seed : int
        Of arrivals, choices and ends.
    """

    def __init__(self, day: Day, seed: int) -> None:
        self.day = day
        self.random = Random(seed)
        self.table = SuspectTable()
        self.upstreams = [Upstream(number) for number in range(UPSTREAMS)]
        self.queue: list = []
        self.order = count()
        self.bodies = count(1000)
        self.played = Played()
        self.now_s = 0.0

    def run(self) -> Played:
        """Play the day to its end."""
        self.plan()
        while self.queue and self.queue[0][0] <= self.day.length_s:
            due_s, _, work, arguments = heapq.heappop(self.queue)
            self.now_s = due_s
            work(*arguments)
        return self.played

    def plan(self) -> None:
        """Queue the first of everything that recurs."""
        self.at(0.0, self.arrive)
        for cause in range(self.day.causes):
            self.played.ends[cause] = 0
            self.at(10.0 + cause, self.repeat_cause, cause)
        if self.day.single_s:
            self.at(self.day.single_s, self.end_some, self.day.single_s, 1)
        if self.day.mass_s:
            third = UPSTREAMS // 3
            self.at(self.day.mass_s, self.end_some, self.day.mass_s, third)

    def at(self, delay_s: float, work, *arguments) -> None:
        """Queue work."""
        due_s = self.now_s + delay_s
        heapq.heappush(self.queue, (due_s, next(self.order), work, arguments))

    def arrive(self) -> None:
        """Let a bystander send a new request."""
        shared = self.day.bodies
        content = next(self.bodies)
        if shared:
            content = 1000 + self.random.randrange(shared)
        self.send(Asked(content, is_cause=False, left=self.day.retries))
        self.at(self.random.expovariate(REQUESTS_PER_S), self.arrive)

    def repeat_cause(self, cause: int) -> None:
        """Send a request that crashes upstreams, again."""
        for _ in range(self.day.copies):
            self.send(Asked(cause, is_cause=True, left=0))
        self.at(self.day.repeat_s, self.repeat_cause, cause)

    def send(self, asked: Asked) -> None:
        """Send a request to an upstream, or refuse it."""
        is_kept_back = asked.fingerprint in self.table.confirmed()
        if not asked.is_cause:
            self.played.sent += 1
            self.played.turned_away += is_kept_back
        up = [one for one in self.upstreams if one.is_up]
        if is_kept_back or not up:
            return
        upstream = self.random.choice(up)
        number = next(self.order)
        upstream.running[number] = (asked, self.now_s)
        if asked.is_cause:
            self.at(CRASHES_AFTER_S, self.crash, upstream, upstream.name, asked)
            return
        took_s = self.random.expovariate(1 / RUN_S)
        self.at(took_s, self.answer, upstream, number)

    def answer(self, upstream: Upstream, number: int) -> None:
        """Answer a request whole, if the upstream still has it."""
        if number in upstream.running:
            asked, _ = upstream.running.pop(number)
            self.at(
                self.day.news_s,
                self.table.clear,
                asked.fingerprint,
                f'a-{number}',
                self.now_s,
            )

    def crash(self, upstream: Upstream, name: str, asked: Asked) -> None:
        """End an upstream under a request, if it has not ended before."""
        if upstream.is_up and upstream.name == name:
            self.played.ends[asked.content] += 1
            self.end(upstream)

    def end_some(self, period_s: float, number: int) -> None:
        """End some upstreams by chance."""
        up = [one for one in self.upstreams if one.is_up]
        for upstream in self.random.sample(up, min(number, len(up))):
            self.end(upstream)
        self.at(period_s, self.end_some, period_s, number)

    def end(self, upstream: Upstream) -> None:
        """End an upstream with all that it runs."""
        self.played.all_ends += 1
        upstream.is_up = False
        for asked, since_s in upstream.running.values():
            loss = Loss(upstream.name, self.now_s, self.now_s - since_s)
            lost = LostRequest(asked.fingerprint, '', 5, loss)
            self.at(self.day.news_s, self.table.record_loss, lost)
            if asked.left:
                again = Asked(asked.content, asked.is_cause, asked.left - 1)
                self.at(0.01, self.send, again)
        upstream.running.clear()
        self.at(BACK_AFTER_S, self.start, upstream)

    def start(self, upstream: Upstream) -> None:
        """Start an upstream anew."""
        upstream.start += 1
        upstream.is_up = True


def main(*, seeds: int = 10) -> None:
    """Play each kind of day and print what came of it.

    :param seeds: days of each kind.
    """
    for day in DAYS:
        runs = [Simulation(day, seed).run() for seed in range(seeds)]
        sent = sum(one.sent for one in runs)
        turned_away = sum(one.turned_away for one in runs)
        ends = sorted(under for one in runs for under in one.ends.values())
        print(
            f'{day.name}: {turned_away} of {sent} bystanders turned away, '
            f'{sum(one.all_ends for one in runs)} ends, '
            f'of them under each cause {ends}',
        )


if __name__ == '__main__':
    defopt.run(main)
