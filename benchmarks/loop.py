"""A small event loop over the pure decision and the engine model.

Three regions of two entry VMs each; every VM sees late load reports and its
own sends, and other regions as summaries that are made once a second.
"""

import heapq
import itertools
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial
from random import Random

from benchmarks.baselines import Choose
from benchmarks.engines import Engine, Job, Load, prompt_blocks
from benchmarks.knowledge import (
    ROUND_TRIP_S,
    Change,
    Knowledge,
    Setting,
    Vm,
    route_request,
)
from godwitshunt.manifest import Objective
from godwitshunt.replay.deployments import Deployment
from godwitshunt.replay.generator import caller_name, is_restricted
from godwitshunt.replay.traces import TraceRequest
from godwitshunt.routing import Forward, Refuse, Serve, Wait

Event = Callable[[], None]

HOP_S = 0.001
REPORT_PERIOD_S = 0.5
SUMMARY_PERIOD_S = 1.0
CONNECT_TIMEOUT_S = 1.0
EVENT_GAP = 0.05
MAX_ATTEMPTS = 4


class Loop:
    """One run of one policy over one trace."""

    def __init__(self, setting: Setting, choose: Choose) -> None:
        self.setting = setting
        self.choose = choose
        self.random = Random(setting.seed)
        self.now_s = 0.0
        self.events: list[tuple[float, int, Event]] = []
        self.order = itertools.count()
        deployment = setting.deployment
        self.engines = [
            engine
            for region in deployment.regions
            for engine in region_engines(deployment, region.name)
        ]
        self.knowledge = Knowledge(setting, self.engines)
        self.objective = Objective(
            latency=deployment.latency,
            cost=deployment.cost,
            share_away=deployment.share_away,
        )
        self.works = {work.request_class: work for work in deployment.works}

    def at(self, when_s: float, event: Event) -> None:
        """Queue an event."""
        heapq.heappush(self.events, (when_s, next(self.order), event))

    def run(self, trace: Iterable[TraceRequest]) -> list[Job]:
        """Return every request of a trace with what became of it."""
        jobs = [self.make_job(request) for request in trace]
        for job in jobs:
            self.at(job.request.arrival_s, partial(self.arrive, job))
        for change in self.setting.changes:
            self.at(change.from_s, partial(self.lose, change))
            self.at(change.until_s, partial(self.restore, change))
        end_s = jobs[-1].request.arrival_s
        self.tick_reports(end_s)
        self.tick_summaries(end_s)
        while self.events:
            when_s, _, event = heapq.heappop(self.events)
            self.now_s = when_s
            event()
        return jobs

    def make_job(self, request: TraceRequest) -> Job:
        """Return the job of a request."""
        deployment = self.setting.deployment
        work = self.works[request.request_class]
        bound = {
            caller_name(request.home, number)
            for number in range(deployment.callers)
            if is_restricted(deployment, number)
        }
        names = frozenset(region.name for region in deployment.regions)
        allowed = frozenset((request.home,))
        return Job(
            request=request,
            priority=work.priority,
            slot_share=work.slot_share,
            allowed=allowed if request.caller in bound else names,
            deadline_s=request.arrival_s + request.deadline_s,
            blocks=prompt_blocks(request),
        )

    def tick_reports(self, end_s: float) -> None:
        """Measure every engine, seen a lag later."""
        for engine in self.engines:
            load = engine.measure(self.now_s)
            kept = [
                block
                for block in sorted(load.cached)
                if self.random.random() >= EVENT_GAP
            ]
            seen = replace(load, cached=frozenset(kept))
            self.at(
                self.now_s + self.setting.lag_s,
                partial(self.show, engine, seen),
            )
        if self.now_s <= end_s:
            self.at(
                self.now_s + REPORT_PERIOD_S,
                partial(self.tick_reports, end_s),
            )

    def show(self, engine: Engine, load: Load) -> None:
        """Let VMs see a report."""
        if engine.up:
            engine.visible = load

    def tick_summaries(self, end_s: float) -> None:
        """Let regions tell each other of themselves."""
        self.knowledge.share_summaries(self.now_s)
        if self.now_s <= end_s:
            self.at(
                self.now_s + SUMMARY_PERIOD_S,
                partial(self.tick_summaries, end_s),
            )

    def arrive(self, job: Job) -> None:
        """Let a request come to one of its home region's VMs."""
        self.at(job.deadline_s, partial(self.give_up, job))
        local = [
            vm for vm in self.knowledge.vms if vm.region == job.request.home
        ]
        self.decide(job, self.random.choice(local))

    def decide(self, job: Job, vm: Vm) -> None:
        """Carry out one decision."""
        if job.gone:
            return
        decision = self.choose(
            self.knowledge.view(vm, self.now_s),
            route_request(job, self.now_s),
            self.objective,
            self.random,
        )
        match decision:
            case Serve(upstream):
                job.noted_tokens = decision.uncached_tokens
                self.send(job, vm, upstream.name)
            case Wait(delay_s):
                self.at(self.now_s + delay_s, partial(self.decide, job, vm))
            case Forward(vm=name):
                self.forward(job, vm, name)
            case Refuse():
                job.refused = True
                job.gone = True

    def forward(self, job: Job, vm: Vm, name: str) -> None:
        """Send a request to a VM of another region."""
        other = next(each for each in self.knowledge.vms if each.name == name)
        if self.knowledge.is_cut(vm, other.region, self.now_s):
            self.fail(job, vm, name, CONNECT_TIMEOUT_S)
            return
        job.visited = (*job.visited, vm.region)
        arrival_s = self.now_s + ROUND_TRIP_S / 2
        self.at(arrival_s, partial(self.decide, job, other))

    def send(self, job: Job, vm: Vm, name: str) -> None:
        """Send a request to an engine."""
        engine = next(each for each in self.engines if each.name == name)
        if not engine.up:
            self.fail(job, vm, name, HOP_S)
            return
        vm.sends.setdefault(name, {})[job] = self.now_s
        job.sender = vm
        job.served_by = engine
        engine.queue.append(job)
        self.start_jobs(engine)

    def start_jobs(self, engine: Engine) -> None:
        """Start what has a free slot and queue its end."""
        for job, first_s, end_s in engine.start_next(self.now_s):
            incarnation = engine.incarnation
            self.at(
                first_s,
                partial(self.first_token, job, engine, incarnation),
            )
            self.at(
                end_s,
                partial(self.finish, job, engine, incarnation),
            )

    def first_token(self, job: Job, engine: Engine, incarnation: int) -> None:
        """Note the first token, as the caller sees it."""
        if job.gone or engine.incarnation != incarnation:
            return
        engine.backlog.pop(job, None)
        network_s = ROUND_TRIP_S / 2 if job.visited else 0.0
        job.first_token_s = self.now_s + network_s

    def finish(self, job: Job, engine: Engine, incarnation: int) -> None:
        """Note the end and free the slot."""
        if job.gone or engine.incarnation != incarnation:
            return
        job.end_s = self.now_s
        job.gone = True
        self.release(job)

    def release(self, job: Job) -> None:
        """Free what a job holds."""
        engine = job.served_by
        if engine is None:
            return
        job.sender.note_end(engine.name, job, self.now_s)
        engine.leave(job)
        self.start_jobs(engine)

    def give_up(self, job: Job) -> None:
        """Cancel a request whose deadline has passed."""
        if not job.gone:
            job.gone = True
            self.release(job)

    def fail(self, job: Job, vm: Vm, name: str, after_s: float) -> None:
        """Try a request elsewhere."""
        job.excluded = job.excluded | {name}
        job.served_by = None
        if len(job.excluded) >= MAX_ATTEMPTS:
            job.gone = True
            job.refused = True
            return
        self.at(self.now_s + after_s, partial(self.decide, job, vm))

    def lose(self, change: Change) -> None:
        """Stop engines; what ran there is tried elsewhere."""
        for engine in self.engines:
            if engine.name in change.lost:
                engine.up = False
                engine.incarnation += 1
                self.knowledge.silent_s[engine.name] = self.now_s
                for job in engine.lose_all():
                    job.sender.sends[engine.name].pop(job, None)
                    job.first_token_s = None
                    self.fail(job, job.sender, engine.name, HOP_S)

    def restore(self, change: Change) -> None:
        """Start engines with empty caches."""
        for engine in self.engines:
            if engine.name in change.lost:
                engine.up = True
                engine.visible = Load(measured_s=self.now_s)


def region_engines(deployment: Deployment, region: str) -> list[Engine]:
    """Return a region's engines and its plain service."""
    profile = next(each for each in deployment.regions if each.name == region)
    engines = [
        Engine(f'{region}-{number}', region, profile.price, deployment.engine)
        for number in range(profile.model_servers)
    ]
    plain = replace(deployment.engine, slots=32)
    return [*engines, Engine(f'{region}-plain', region, 0.0, plain)]
