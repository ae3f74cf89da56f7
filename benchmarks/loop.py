"""A small event loop over the pure decision and the engine model.

Three regions of two entry VMs each; every VM sees late load reports and its
own sends, and other regions as summaries that are made once a second.
"""

import heapq
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from random import Random

from benchmarks.baselines import Choose
from benchmarks.engines import Engine, Job, Load, prompt_blocks
from godwitshunt.manifest import Objective
from godwitshunt.membership.views import (
    RegionSummary,
    RegionView,
    UpstreamView,
)
from godwitshunt.replay.deployments import Deployment
from godwitshunt.replay.generator import caller_name, is_restricted
from godwitshunt.replay.traces import TraceRequest
from godwitshunt.routing import Forward, Refuse, RouteRequest, Serve, Wait
from godwitshunt.routing.prediction import Work, open_slots
from godwitshunt.settings import Address

HOP_S = 0.001
ROUND_TRIP_S = 0.04
REPORT_PERIOD_S = 0.5
SUMMARY_PERIOD_S = 1.0
ISOLATION_LEASE_S = 3.0
UPSTREAM_LEASE_S = 2.5
CONNECT_TIMEOUT_S = 1.0
EVENT_GAP = 0.05
MAX_ATTEMPTS = 4
VMS_PER_REGION = 2
EMPTY = Work(prompt_tokens=0, output_tokens=0, deadline_s=0.0)
ADDRESS = Address(host='127.0.0.1', port=1)


@dataclass(frozen=True)
class Change:
    """What happens to a region during a run.

    Parameters
    ----------
    lost : tuple of str
        Engines that stop at `from_s` and start anew at `until_s`.
    cut : str or None
        A region that is cut off from the others meanwhile.
    """

    from_s: float
    until_s: float
    lost: tuple[str, ...] = ()
    cut: str | None = None


@dataclass(frozen=True)
class Setting:
    """What a run is made under.

    Parameters
    ----------
    lag_s : float
        Seconds until a load report is seen.
    exact : bool
        True where every VM sees every engine as it is now.
    """

    deployment: Deployment
    lag_s: float = 0.1
    exact: bool = False
    changes: tuple[Change, ...] = ()
    seed: int = 1


@dataclass(eq=False)
class Vm:
    """An entry VM: its region and what it has sent."""

    name: str
    region: str
    sends: dict[str, dict[Job, float]] = field(default_factory=dict)
    summaries: tuple[RegionSummary, ...] = ()


class Loop:
    """One run of one policy over one trace."""

    def __init__(self, setting: Setting, choose: Choose) -> None:
        self.setting = setting
        self.choose = choose
        self.random = Random(setting.seed)
        self.now_s = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        deployment = setting.deployment
        self.engines = [
            engine
            for region in deployment.regions
            for engine in region_engines(deployment, region.name)
        ]
        self.vms = [
            Vm(f'{region.name}-vm-{number}', region.name)
            for region in deployment.regions
            for number in range(VMS_PER_REGION)
        ]
        self.objective = Objective(
            latency=deployment.latency,
            cost=deployment.cost,
            share_away=deployment.share_away,
        )
        self.works = {work.request_class: work for work in deployment.works}
        self.reports: dict[str, Load] = {}
        self.silent_s: dict[str, float] = {}

    def at(self, when_s: float, event: Callable[[], None]) -> None:
        """Queue an event."""
        heapq.heappush(self.events, (when_s, next(self.order), event))

    def run(self, trace: Iterable[TraceRequest]) -> list[Job]:
        """Return every request of a trace with what became of it."""
        jobs = [self.make_job(request) for request in trace]
        for job in jobs:
            self.at(job.request.arrival_s, lambda job=job: self.arrive(job))
        for change in self.setting.changes:
            self.at(change.from_s, lambda each=change: self.lose(each))
            self.at(change.until_s, lambda each=change: self.restore(each))
        end_s = jobs[-1].request.arrival_s
        self.tick_reports(end_s)
        self.tick_summaries(end_s)
        while self.events:
            self.now_s, _, event = heapq.heappop(self.events)
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
                lambda each=engine, load=seen: self.show(each, load),
            )
        if self.now_s <= end_s:
            self.at(
                self.now_s + REPORT_PERIOD_S,
                lambda: self.tick_reports(end_s),
            )

    def show(self, engine: Engine, load: Load) -> None:
        """Let VMs see a report."""
        if engine.up:
            engine.visible = load

    def tick_summaries(self, end_s: float) -> None:
        """Make every region's summary and give it to the others."""
        for region in self.setting.deployment.regions:
            teller = next(vm for vm in self.vms if vm.region == region.name)
            told = self.summary_of(teller)
            for vm in self.vms:
                if vm.region != region.name and not self.is_cut(vm, region):
                    others = tuple(
                        summary
                        for summary in vm.summaries
                        if summary.region != region.name
                    )
                    vm.summaries = others + told
        if self.now_s <= end_s:
            self.at(
                self.now_s + SUMMARY_PERIOD_S,
                lambda: self.tick_summaries(end_s),
            )

    def is_cut(self, vm: Vm, region: object) -> bool:
        """Return whether a VM and a region cannot reach each other."""
        name = getattr(region, 'name', region)
        return any(
            change.cut in {vm.region, name}
            for change in self.setting.changes
            if change.cut and change.from_s <= self.now_s < change.until_s
        )

    def summary_of(self, vm: Vm) -> tuple[RegionSummary, ...]:
        """Return a region's summary as one of its VMs sees it."""
        vms = tuple(
            (other.name, ADDRESS)
            for other in self.vms
            if other.region == vm.region
        )
        groups: dict[str, list[UpstreamView]] = {}
        for upstream in self.upstreams_of(vm):
            groups.setdefault(upstream.service, []).append(upstream)
        return tuple(
            RegionSummary(
                region=vm.region,
                service=service,
                model='chat-model' if group[0].models else None,
                free_slots=sum(max(0, open_slots(each, 1)) for each in group),
                slots=sum(each.slots for each in group),
                wait_s=min(EMPTY.first_token_s(each, 0) for each in group),
                price=group[0].price,
                round_trip_s=ROUND_TRIP_S,
                age_s=self.now_s,
                vms=vms,
            )
            for service, group in groups.items()
        )

    def view(self, vm: Vm) -> RegionView:
        """Return what a VM knows now."""
        summaries = tuple(
            replace(summary, age_s=self.now_s - summary.age_s)
            for summary in vm.summaries
        )
        isolated = any(
            change.cut == vm.region
            and change.from_s + ISOLATION_LEASE_S <= self.now_s < change.until_s
            for change in self.setting.changes
        )
        return RegionView(vm.region, self.upstreams_of(vm), summaries, isolated)

    def upstreams_of(self, vm: Vm) -> tuple[UpstreamView, ...]:
        """Return the upstreams whose lease a VM holds for valid."""
        return tuple(
            self.upstream_view(vm, engine)
            for engine in self.engines
            if engine.region == vm.region and self.is_leased(engine)
        )

    def is_leased(self, engine: Engine) -> bool:
        """Return whether a lost engine still seems to be there."""
        if engine.up:
            return True
        silent_s = self.now_s - self.silent_s.get(engine.name, 0.0)
        return silent_s < UPSTREAM_LEASE_S

    def upstream_view(self, vm: Vm, engine: Engine) -> UpstreamView:
        """Return an engine as a VM sees it."""
        load = engine.visible
        if self.setting.exact:
            load = engine.measure(self.now_s)
        sends = vm.sends.get(engine.name, {})
        unreported = [
            job.request.prompt_tokens
            for job, sent_s in sends.items()
            if sent_s >= load.measured_s and not self.setting.exact
        ]
        plain = engine.name.endswith('plain')
        return UpstreamView(
            name=engine.name,
            region=engine.region,
            service=service_of(self.setting.deployment, plain=plain),
            address=ADDRESS,
            incarnation=engine.incarnation,
            models=frozenset() if plain else frozenset(('chat-model',)),
            slots=engine.profile.slots,
            running=load.running,
            queued=load.queued,
            queued_tokens=load.queued_tokens,
            prefill_tokens_per_s=engine.profile.prefill_tokens_per_s,
            decode_tokens_per_s=engine.profile.decode_tokens_per_s,
            report_age_s=self.now_s - load.measured_s,
            sent_since=len(unreported),
            sent_tokens_since=sum(unreported),
            price=engine.price,
            cached_prefixes=load.cached,
        )

    def arrive(self, job: Job) -> None:
        """Let a request come to one of its home region's VMs."""
        self.at(job.deadline_s, lambda: self.give_up(job))
        local = [vm for vm in self.vms if vm.region == job.request.home]
        self.decide(job, self.random.choice(local))

    def decide(self, job: Job, vm: Vm) -> None:
        """Carry out one decision."""
        if job.gone:
            return
        decision = self.choose(
            self.view(vm),
            self.route(job),
            self.objective,
            self.random,
        )
        match decision:
            case Serve(upstream):
                self.send(job, vm, upstream.name)
            case Wait(delay_s):
                self.at(self.now_s + delay_s, lambda: self.decide(job, vm))
            case Forward(vm=name):
                self.forward(job, vm, name)
            case Refuse():
                job.refused = True
                job.gone = True

    def route(self, job: Job) -> RouteRequest:
        """Return what a decision needs to know."""
        request = job.request
        return RouteRequest(
            caller=request.caller,
            request_class=request.request_class,
            service=request.service,
            model=request.model,
            home=request.home,
            allowed=job.allowed,
            prefix_blocks=job.blocks,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            deadline_s=job.deadline_s - self.now_s,
            waited_s=self.now_s - request.arrival_s,
            priority=job.priority,
            slot_share=job.slot_share,
            regions_visited=job.visited,
            excluded=job.excluded,
            restricted=len(job.allowed) == 1,
        )

    def forward(self, job: Job, vm: Vm, name: str) -> None:
        """Send a request to a VM of another region."""
        other = next(each for each in self.vms if each.name == name)
        if self.is_cut(vm, other.region):
            self.fail(job, vm, name, CONNECT_TIMEOUT_S)
            return
        job.visited = (*job.visited, vm.region)
        arrival_s = self.now_s + ROUND_TRIP_S / 2
        self.at(arrival_s, lambda: self.decide(job, other))

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
                lambda job=job: self.first_token(job, engine, incarnation),
            )
            self.at(
                end_s,
                lambda job=job: self.finish(job, engine, incarnation),
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
        job.sender.sends[engine.name].pop(job, None)
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
        self.at(self.now_s + after_s, lambda: self.decide(job, vm))

    def lose(self, change: Change) -> None:
        """Stop engines; what ran there is tried elsewhere."""
        for engine in self.engines:
            if engine.name in change.lost:
                engine.up = False
                engine.incarnation += 1
                self.silent_s[engine.name] = self.now_s
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


def service_of(deployment: Deployment, *, plain: bool) -> str:
    """Return the service that an engine serves."""
    return deployment.plain_service if plain else 'chat'
