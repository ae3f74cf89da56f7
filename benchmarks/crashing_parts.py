"""Which parts of prompts are kept back while upstreams crash, in virtual time.

Requests of two routes share parts of their prompts. Some come with a part that
crashes each upstream that begins to answer it. The product's own quarantine
decides, with the verdicts of the product or of another way; what a VM sees is
known to all a set time later. Printed for each kind of day and each way: the
crashes under each bad part, the sound requests turned away, and of those with
the same first part the share served from 3 s after the third crash on.

    python -m benchmarks.crashing_parts --seeds 10
"""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count
from random import Random

import defopt

from godwitshunt.quarantine import (
    Fingerprint,
    Loss,
    LostRequest,
    Quarantine,
    QuarantineStatus,
    SuspectPart,
    SuspectRecord,
    find_confirmed,
)
from godwitshunt.quarantine.verdicts import (
    CONFIRMED_CRASH_TIMES,
    CONFIRMED_CRASHES,
    UNEXPLAINED_CRASH_TIMES,
)
from godwitshunt.telemetry import Metrics

UPSTREAMS = 18
RUN_S = 0.6
BACK_AFTER_S = 2.0
CRASHES_AFTER_S = 0.1
FIRST_PARTS = 8
SECOND_PARTS = 800
SETTLED_S = 3.0
BAD_FROM_S = 10.0
VM = 'north/vm'

Judge = Callable[[Iterable[SuspectRecord]], dict[Fingerprint, int]]
Prompt = tuple[int, ...]


def most_crashes_first(
    records: Iterable[SuspectRecord],
) -> dict[Fingerprint, int]:
    """Judge parts like contents of requests, by their crashes alone."""
    confirmed: dict[Fingerprint, int] = {}
    explained: set[str] = set()
    for record in sorted(records, key=crashes_then_exposure):
        losses = record.counted_losses()
        is_cause = (
            len(losses) >= CONFIRMED_CRASHES
            and record.count_crash_times() >= CONFIRMED_CRASH_TIMES
            and record.count_crash_times(explained) >= UNEXPLAINED_CRASH_TIMES
        )
        if is_cause:
            confirmed[record.fingerprint] = len(losses)
            explained.update(loss.incarnation for loss in losses)
    return confirmed


def crashes_then_exposure(record: SuspectRecord) -> tuple[int, float, bytes]:
    """Return a sort key that puts the most crashes first."""
    digest = record.fingerprint.digest
    return (-len(record.counted_losses()), record.total_exposure_s(), digest)


@dataclass(frozen=True)
class Way:
    """One way to find the bad part.

    Parameters
    ----------
    proves : bool
        True where answers before the first loss count.
    """

    name: str
    judge: Judge
    proves: bool


WAYS = (
    Way('most crashes first, later answers', most_crashes_first, proves=False),
    Way('most crashes first, all answers', most_crashes_first, proves=True),
    Way('later parts first, later answers', find_confirmed, proves=False),
    Way('later parts first, all answers', find_confirmed, proves=True),
)


@dataclass(frozen=True)
class Day:
    """What happens on one kind of day.

    Parameters
    ----------
    bad : tuple of tuple of int
        Prompts of the bad requests; the bad part of each is negative.
    bad_period_s : float
        Seconds between requests of each bad prompt.
    sound_per_s : float
        Sound requests a second.
    sound_from_s : float
        When they begin.
    mass_s : float
        Seconds between failures of a third of the upstreams; 0 for none.
    single_s : float
        Seconds between crashes of one upstream; 0 for none.
    sticks : bool
        True where requests of one first part choose equal upstreams.
    news_s : float
        Seconds until a loss, or an answer, is known to all.
    """

    name: str
    bad: tuple[Prompt, ...] = ()
    bad_period_s: float = 0.3
    sound_per_s: float = 150.0
    sound_from_s: float = 0.0
    mass_s: float = 0.0
    single_s: float = 0.0
    sticks: bool = False
    news_s: float = 0.2
    length_s: float = 60.0


DAYS = (
    Day('crashes and racks, no bad part', mass_s=5.0, single_s=1.0),
    Day('one bad second part', ((1, -1),)),
    Day('two bad second parts of one first part', ((1, -1), (1, -2))),
    Day('a bad first part, second ones new', ((-1,),)),
    Day('one bad, sound ones rare', ((1, -1),), sound_per_s=1, sticks=True),
    Day(
        'one bad, no sound one before',
        ((1, -1),),
        sound_per_s=8,
        sound_from_s=BAD_FROM_S,
        sticks=True,
    ),
    Day(
        'three bad, no sound one before',
        ((1, -1), (1, -2), (1, -3)),
        sound_per_s=8,
        sound_from_s=BAD_FROM_S,
        sticks=True,
    ),
    Day('one bad, crashes and racks', ((1, -1),), mass_s=5.0, single_s=1.0),
    Day('one bad each 0.1 s', ((1, -1),), bad_period_s=0.1),
    Day('one bad each 1.2 s', ((1, -1),), bad_period_s=1.2),
)


@dataclass(frozen=True)
class Asked:
    """One request.

    Parameters
    ----------
    prompt : tuple of int
        The parts that it shares; negative ones are bad.
    """

    prompt: Prompt
    sent_s: float
    probed: tuple[Fingerprint, ...] = ()

    @property
    def bad_part(self) -> int | None:
        """Its bad part; None for a sound request."""
        return next((part for part in self.prompt if part < 0), None)

    def parts(self) -> dict[Fingerprint, SuspectPart]:
        """Return what its parts are recorded as."""
        return {
            fingerprint_of(part): SuspectPart(str(part), position)
            for position, part in enumerate(self.prompt)
        }


@dataclass
class Upstream:
    """One upstream, and what it runs."""

    number: int
    start: int = 0
    is_up: bool = True
    running: dict[int, Asked] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """Names this start of it."""
        return f'i-{self.number}~{self.start}'


@dataclass
class Played:
    """What came of a day."""

    sent: int = 0
    turned_away: int = 0
    crashes: dict[int, list[float]] = field(default_factory=dict)
    beside: list[tuple[float, bool]] = field(default_factory=list)

    def share_beside(self) -> float:
        """Return the share served of those that share the first part."""
        thirds = [times[2] for times in self.crashes.values() if times[2:]]
        known_s = max(thirds, default=0.0) + SETTLED_S
        served = [is_whole for at_s, is_whole in self.beside if at_s > known_s]
        return sum(served) / max(1, len(served))


class Simulation:
    """Plays one day in one way."""

    def __init__(self, day: Day, way: Way, seed: int) -> None:
        self.day = day
        self.way = way
        self.random = Random(seed)
        self.now_s = 0.0
        self.quarantine = Quarantine(900.0, self.now, Metrics(), name=VM)
        self.quarantine.table.find_confirmed = way.judge
        self.upstreams = [Upstream(number) for number in range(UPSTREAMS)]
        self.queue: list = []
        self.order = count()
        self.new_parts = count(10_000)
        self.played = Played()

    def now(self) -> float:
        """Return virtual seconds."""
        return self.now_s

    def run(self) -> Played:
        """Play the day to its end."""
        self.after(self.day.sound_from_s, self.arrive)
        for number, prompt in enumerate(self.day.bad):
            delay_s = BAD_FROM_S + number * self.day.bad_period_s / 3
            self.after(delay_s, self.send_bad, prompt)
        if self.day.single_s:
            self.after(self.day.single_s, self.end_some, self.day.single_s, 1)
        if self.day.mass_s:
            third = UPSTREAMS // 3
            self.after(self.day.mass_s, self.end_some, self.day.mass_s, third)
        while self.queue and self.queue[0][0] <= self.day.length_s:
            due_s, _, work, arguments = heapq.heappop(self.queue)
            self.now_s = due_s
            work(*arguments)
        return self.played

    def after(self, delay_s: float, work, *arguments) -> None:
        """Queue work."""
        entry = (self.now_s + delay_s, next(self.order), work, arguments)
        heapq.heappush(self.queue, entry)

    def arrive(self) -> None:
        """Send a sound request of a random prompt."""
        first = self.random.randrange(1, FIRST_PARTS + 1)
        if self.day.sticks:
            first = 1
        second = 100 + int(SECOND_PARTS * self.random.random() ** 2)
        self.send(Asked((first, second), self.now_s))
        delay_s = self.random.expovariate(self.day.sound_per_s)
        self.after(delay_s, self.arrive)

    def send_bad(self, prompt: Prompt) -> None:
        """Send a request with a bad part, and the next one later."""
        if prompt[0] < 0:
            prompt = (*prompt, next(self.new_parts))
        self.send(Asked(prompt, self.now_s))
        self.after(self.day.bad_period_s, self.send_bad, prompt[:2])

    def send(self, asked: Asked) -> None:
        """Send a request to an upstream, or refuse it."""
        parts = asked.parts()
        assessments = self.quarantine.assess_parts(tuple(parts))
        is_sound = asked.bad_part is None
        self.played.sent += is_sound
        if any(
            each.status is QuarantineStatus.quarantined for each in assessments
        ):
            self.played.turned_away += is_sound
            self.finish(asked, is_whole=False)
            return
        probed = tuple(
            each.fingerprint
            for each in assessments
            if each.status is QuarantineStatus.on_probation
        )
        for fingerprint in probed:
            self.quarantine.begin_probe(fingerprint)
        self.place(Asked(asked.prompt, asked.sent_s, probed))

    def place(self, asked: Asked) -> None:
        """Start a request at an upstream that is up."""
        up = [each for each in self.upstreams if each.is_up]
        if not up:
            self.finish(asked, is_whole=False)
            return
        if self.day.sticks:
            up = up[:2]
        upstream = self.random.choice(up)
        number = next(self.order)
        upstream.running[number] = asked
        if asked.bad_part is not None:
            self.after(
                CRASHES_AFTER_S, self.crash, upstream, upstream.name, asked
            )
            return
        took_s = self.random.expovariate(1 / RUN_S)
        self.after(took_s, self.answer, upstream, number)

    def finish(self, asked: Asked, *, is_whole: bool) -> None:
        """Record how a request ended, and end its tries."""
        for fingerprint in asked.probed:
            self.quarantine.end_probe(fingerprint)
        if asked.bad_part is None and asked.prompt[0] == 1:
            self.played.beside.append((asked.sent_s, is_whole))

    def answer(self, upstream: Upstream, number: int) -> None:
        """Answer a request whole, if the upstream still has it."""
        asked = upstream.running.pop(number, None)
        if asked is None:
            return
        self.finish(asked, is_whole=True)
        self.after(self.day.news_s, self.learn_answer, asked, self.now_s)

    def learn_answer(self, asked: Asked, at_s: float) -> None:
        """Learn of a whole answer."""
        parts = tuple(asked.parts())
        if self.way.proves:
            self.quarantine.answered.record(parts, at_s)
        for part in parts:
            record = self.quarantine.table.records.get(part)
            if record is not None and record.counted_losses():
                self.quarantine.add_clearance(record, at_s)

    def crash(self, upstream: Upstream, name: str, asked: Asked) -> None:
        """Crash an upstream under a request, if it has not crashed before."""
        if upstream.is_up and upstream.name == name:
            times = self.played.crashes.setdefault(asked.bad_part, [])
            times.append(self.now_s)
            self.end(upstream)

    def end_some(self, period_s: float, number: int) -> None:
        """Crash some upstreams by chance."""
        up = [each for each in self.upstreams if each.is_up]
        for upstream in self.random.sample(up, min(number, len(up))):
            self.end(upstream)
        self.after(period_s, self.end_some, period_s, number)

    def end(self, upstream: Upstream) -> None:
        """End an upstream with all that it runs."""
        upstream.is_up = False
        losses = []
        for asked in upstream.running.values():
            exposure_s = self.now_s - asked.sent_s
            loss = Loss(upstream.name, self.now_s, exposure_s, observer=VM)
            losses.extend(
                LostRequest(fingerprint, '', 0, loss, part)
                for fingerprint, part in asked.parts().items()
            )
            self.finish(asked, is_whole=False)
        upstream.running.clear()
        self.after(self.day.news_s, self.quarantine.record_losses, losses)
        self.after(BACK_AFTER_S, self.start, upstream)

    def start(self, upstream: Upstream) -> None:
        """Start an upstream anew."""
        upstream.start += 1
        upstream.is_up = True


def fingerprint_of(part: int) -> Fingerprint:
    """Return the fingerprint of a part."""
    return Fingerprint.from_prompt_part('llm', '', part + 1000)


def main(*, seeds: int = 10) -> None:
    """Play each kind of day in each way and print what came of it.

    :param seeds: days of each kind.
    """
    for day in DAYS:
        for way in WAYS:
            runs = [Simulation(day, way, seed).run() for seed in range(seeds)]
            crashes = sorted(
                len(times) for run in runs for times in run.crashes.values()
            )
            shares = sorted(run.share_beside() for run in runs)
            print(
                f'{day.name} | {way.name} | crashes {crashes} | '
                f'{sum(run.turned_away for run in runs)} of '
                f'{sum(run.sent for run in runs)} turned away | '
                f'beside {shares[0]:.2f} to {shares[-1]:.2f}',
                flush=True,
            )


if __name__ == '__main__':
    defopt.run(main)
