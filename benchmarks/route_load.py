"""The product's choices over model engines, in virtual time.

Every entry VM chooses with the product's own code, by its own requests and by
what it has heard of the others'; news takes as long as polls do.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random
from types import SimpleNamespace

import defopt

from benchmarks.route_pattern import (
    Pattern,
    Tally,
    door,
    engine_places,
    upstream,
)
from benchmarks.sheet_engine import PALLIKKARA, Job, SheetEngine
from godwitshunt.picking.choices import (
    ChoiceRequest,
    HandOver,
    SendHere,
)
from godwitshunt.picking.chooser import (
    Chooser,
)
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import Load, RegistryView
from godwitshunt.registry.prefixes import CachedPrefix, PrefixTable
from godwitshunt.routing.selection import Demand

Event = Callable[[], None]

SERVICE = SimpleNamespace(name='llm', engine=True, cold_start=None)
WAY_S = 0.055
# A read is told with the next poll and heard with the one after.
NEWS_S = 0.35
# Users count a part as read again within so long of its last use.
REUSE_S = 10.0
LONG_OBJECTIVE_S = 1.2
SHORT_OBJECTIVE_S = 0.8
WAITS_S = 5.0


@dataclass
class Vm:
    """An entry VM: what it knows, and who chooses."""

    region: str
    upstreams: Upstreams
    chooser: Chooser
    prefixes: PrefixTable = field(default_factory=PrefixTable)


class RouteLoad:
    """One run of one pattern."""

    def __init__(self, pattern: Pattern) -> None:
        self.pattern = pattern
        self.random = Random(pattern.seed)
        self.now_s = 0.0
        self.events: list[tuple[float, int, Event]] = []
        self.order = itertools.count()
        places = engine_places(pattern)
        self.engines = {
            name: SheetEngine.from_sheet(name, PALLIKKARA) for name in places
        }
        self.view = RegistryView(
            upstreams={
                name: upstream(name, region) for name, region in places.items()
            },
            entry_points={
                region: (door(region),) for region in pattern.engines
            },
        )
        self.vms = [
            self.make_vm(region)
            for region in pattern.engines
            for _ in range(pattern.vms)
        ]
        self.heard: dict[int, dict[str, Load]] = {}
        self.stepping: set[str] = set()
        self.last_read: dict[int, tuple[str, float]] = {}
        self.read_again = 0
        self.long = Tally()
        self.short = Tally()

    def make_vm(self, region: str) -> Vm:
        """Return an entry VM of a region."""
        upstreams = Upstreams()
        chooser = Chooser(
            region,
            upstreams,
            Neighbours(region, region),
            Random(self.random.random()),
        )
        return Vm(region, upstreams, chooser)

    def at(self, when_s: float, event: Event) -> None:
        """Let something happen later."""
        heapq.heappush(self.events, (when_s, next(self.order), event))

    def run(self) -> None:
        """Let callers ask, and wait until all have their answers."""
        self.ask_next(True)
        self.ask_next(False)
        self.share_loads()
        while self.events:
            when_s, _, event = heapq.heappop(self.events)
            self.now_s = when_s
            event()

    def ask_next(self, is_long: bool) -> None:
        """Let one caller ask and arrange for the next one."""
        pattern = self.pattern
        if self.now_s > pattern.seconds:
            return
        weights = [
            pattern.peaks.get(region, 1.0) / len(pattern.engines)
            for region in pattern.engines
        ]
        rate = pattern.long_per_s if is_long else pattern.short_per_s
        gap_s = self.random.expovariate(rate * sum(weights))
        self.at(self.now_s + gap_s, lambda: self.ask_next(is_long))
        region = self.random.choices(list(pattern.engines), weights)[0]
        vm = self.random.choice(
            [one for one in self.vms if one.region == region]
        )
        self.ask(vm, self.make_job(is_long))

    def vm_of(self, region: str) -> Vm:
        """Return one of a region's entry VMs."""
        return self.random.choice(
            [vm for vm in self.vms if vm.region == region],
        )

    def make_job(self, is_long: bool) -> Job:
        """Return a request of the sheet."""
        tally = self.long if is_long else self.short
        tally.asked += 1
        if is_long:
            own = int(self.random.lognormvariate(7.6, 1.1))
            number = self.random.randrange(self.pattern.prompts)
            shared = int(Random(number).lognormvariate(9.25, 0.7))
            demand = Demand(
                shared + own,
                shared,
                number + 1,
                objective_s=LONG_OBJECTIVE_S,
            )
            job = Job(demand, 120, self.now_s)
        else:
            demand = Demand(383, 92, 10_000, urgent=True)
            job = Job(demand, 45, self.now_s)
        tally.jobs.append(job)
        return job

    def ask(self, vm: Vm, job: Job, *, local: bool = False) -> None:
        """Choose at a VM, and send where it says."""
        demand = job.demand
        homes = self.pattern.short_homes
        quiet = frozenset(self.pattern.engines).difference(homes)
        ask = ChoiceRequest(
            route=self.route_of(demand),
            service=SERVICE,
            demand=demand,
            remaining_s=WAITS_S,
            now_s=self.now_s,
            local=local,
            low_urgency_regions=frozenset() if demand.urgent else quiet,
            holders=vm.prefixes.holders(demand.shared_key, self.now_s),
        )
        view = replace(self.view, loads=self.heard.get(id(vm), {}))
        revision = SimpleNamespace(evacuated=frozenset())
        match vm.chooser.choose(ask, view, revision):
            case SendHere(upstream=upstream, unread_tokens=unread):
                self.send(vm, upstream.announcement.incarnation, job, unread)
            case HandOver(entry=entry):
                receiver = self.vm_of(entry.region)
                self.at(
                    self.now_s + WAY_S,
                    lambda: self.ask(receiver, job, local=True),
                )
            case _:
                tally = self.short if demand.urgent else self.long
                tally.refused += 1

    def route_of(self, demand: Demand) -> SimpleNamespace:
        """Return what the product reads of a request's route."""
        if demand.urgent:
            homes, objective_s = self.pattern.short_homes, SHORT_OBJECTIVE_S
        else:
            homes, objective_s = (), LONG_OBJECTIVE_S
        return SimpleNamespace(homes=homes, objective_s=objective_s)

    def send(self, vm: Vm, name: str, job: Job, unread: int) -> None:
        """Send a request to an engine, and follow it."""
        health = vm.upstreams.health_of(name)
        health.begin(id(job), unread, self.now_s)
        self.engines[name].submit(job)
        if job.demand.has_affinity:
            self.note_reading(name, job)
        self.follow(vm, name, job, unread, is_read=False)
        if name not in self.stepping:
            self.stepping.add(name)
            self.step(name)

    def note_reading(self, name: str, job: Job) -> None:
        """Count shared parts that are read where they are not kept."""
        key = job.demand.shared_key
        last = self.last_read.get(key)
        cached = key in self.engines[name].cached
        if last and not cached and self.now_s - last[1] < REUSE_S:
            self.read_again += job.demand.shared_tokens
        self.last_read[key] = (name, self.now_s)

    def step(self, name: str) -> None:
        """Let an engine make one step, and the next one after it."""
        engine = self.engines[name]
        if not engine.busy:
            self.stepping.discard(name)
            return
        self.at(self.now_s + engine.step(self.now_s), lambda: self.step(name))

    def follow(
        self,
        vm: Vm,
        name: str,
        job: Job,
        unread: int,
        *,
        is_read: bool,
    ) -> None:
        """Note a request's first event and its end at its VM."""
        health = vm.upstreams.health_of(name)
        if job.first_s is not None and not is_read:
            is_read = True
            health.record_first_bytes(id(job), unread, self.now_s)
            if job.demand.has_affinity:
                self.tell(
                    vm, CachedPrefix(job.demand.shared_key, name, self.now_s)
                )
        if job.ended_s is not None:
            health.end(id(job), unread)
            return
        self.at(
            self.now_s + 0.02,
            lambda: self.follow(vm, name, job, unread, is_read=is_read),
        )

    def tell(self, vm: Vm, read: CachedPrefix) -> None:
        """Let a VM know of a read, and the others a little later."""
        vm.prefixes.record(read)
        if not self.pattern.told:
            return
        for other in self.vms:
            if other is not vm:
                late_s = 2 * self.random.uniform(0, NEWS_S)
                self.at(
                    self.now_s + late_s, partial(other.prefixes.record, read)
                )

    def share_loads(self) -> None:
        """Let each VM hear the others' requests, as late as polls are."""
        loads = {
            id(vm): {
                name: one.load
                for name, one in vm.upstreams.load_reports().items()
            }
            for vm in self.vms
        }
        for vm in self.vms:
            total: dict[str, Load] = {}
            others = (one for key, one in loads.items() if key != id(vm))
            for name, load in itertools.chain.from_iterable(
                map(dict.items, others)
            ):
                total[name] = total.get(name, Load()) + load
            heard = partial(self.heard.update, {id(vm): total})
            self.at(self.now_s + NEWS_S / 2, heard)
        if self.now_s < self.pattern.seconds + WAITS_S:
            self.at(self.now_s + NEWS_S, self.share_loads)


def show(
    *,
    peak: float = 1.0,
    seconds: float = 12.0,
    seed: int = 1,
) -> None:
    """Print what news of kept prompts buys.

    :param peak: how many times its usual load the first region has.
    :param seconds: how long callers ask.
    :param seed: of arrivals and prompts.
    """
    for told in (False, True):
        pattern = Pattern(
            peaks={'kochi': peak},
            seconds=seconds,
            seed=seed,
            told=told,
        )
        load = RouteLoad(pattern)
        load.run()
        print(
            f'told {told!s:5}: read again {load.read_again:7}, '
            f'long on time {load.long.share_on_time(LONG_OBJECTIVE_S):.3f}, '
            f'short on time {load.short.share_on_time(SHORT_OBJECTIVE_S):.3f}, '
            f'refused {load.long.refused} and {load.short.refused}',
        )


if __name__ == '__main__':
    defopt.run(show)
