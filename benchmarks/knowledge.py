"""What each VM knows during a run: late reports, own sends, summaries."""

from collections import deque
from dataclasses import dataclass, field, replace

from benchmarks.engines import Engine, Job
from godwitshunt.membership.views import (
    RegionSummary,
    RegionView,
    UpstreamView,
)
from godwitshunt.replay.deployments import Deployment
from godwitshunt.routing import RouteRequest
from godwitshunt.routing.prediction import RequestWork, open_slots
from godwitshunt.settings import Address

ROUND_TRIP_S = 0.04
ISOLATION_LEASE_S = 3.0
UPSTREAM_LEASE_S = 2.5
ENDS = 64
VMS_PER_REGION = 2
EMPTY = RequestWork(prompt_tokens=0, output_tokens=0, allowed_s=0.0)
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
    ends: dict[str, deque] = field(default_factory=dict)

    def note_end(self, engine: str, job: Job, now_s: float) -> None:
        """Note that a request has ended."""
        sent_s = self.sends.get(engine, {}).pop(job, None)
        if sent_s is not None:
            ends = self.ends.setdefault(engine, deque(maxlen=ENDS))
            ends.append((sent_s, now_s))


class Knowledge:
    """Views of all VMs over one run."""

    def __init__(self, setting: Setting, engines: list[Engine]) -> None:
        self.setting = setting
        self.engines = engines
        self.vms = [
            Vm(f'{region.name}-vm-{number}', region.name)
            for region in setting.deployment.regions
            for number in range(VMS_PER_REGION)
        ]
        self.silent_s: dict[str, float] = {}

    def share_summaries(self, now_s: float) -> None:
        """Make every region's summary and give it to the others."""
        for teller in self.vms[::VMS_PER_REGION]:
            told = self.summary_of(teller, now_s)
            for vm in self.vms:
                if vm.region == teller.region:
                    continue
                if not self.is_cut(vm, teller.region, now_s):
                    others = tuple(
                        summary
                        for summary in vm.summaries
                        if summary.region != teller.region
                    )
                    vm.summaries = others + told

    def is_cut(self, vm: Vm, region: str, now_s: float) -> bool:
        """Return whether a VM and a region cannot reach each other."""
        return any(
            change.cut in {vm.region, region}
            for change in self.setting.changes
            if change.cut and change.from_s <= now_s < change.until_s
        )

    def summary_of(
        self,
        vm: Vm,
        now_s: float,
    ) -> tuple[RegionSummary, ...]:
        """Return a region's summary as one of its VMs sees it."""
        vms = tuple(
            (other.name, ADDRESS)
            for other in self.vms
            if other.region == vm.region
        )
        groups: dict[str, list[UpstreamView]] = {}
        for upstream in self.upstreams_of(vm, now_s):
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
                age_s=now_s,
                vms=vms,
            )
            for service, group in groups.items()
        )

    def view(self, vm: Vm, now_s: float) -> RegionView:
        """Return what a VM knows now."""
        summaries = tuple(
            replace(summary, age_s=now_s - summary.age_s)
            for summary in vm.summaries
        )
        isolated = any(
            change.cut == vm.region
            and change.from_s + ISOLATION_LEASE_S <= now_s < change.until_s
            for change in self.setting.changes
        )
        return RegionView(
            vm.region, self.upstreams_of(vm, now_s), summaries, isolated
        )

    def upstreams_of(self, vm: Vm, now_s: float) -> tuple[UpstreamView, ...]:
        """Return the upstreams whose lease a VM holds for valid."""
        return tuple(
            self.upstream_view(vm, engine, now_s)
            for engine in self.engines
            if engine.region == vm.region and self.is_leased(engine, now_s)
        )

    def is_leased(self, engine: Engine, now_s: float) -> bool:
        """Return whether a lost engine still seems to be there."""
        if engine.up:
            return True
        silent_s = now_s - self.silent_s.get(engine.name, 0.0)
        return silent_s < UPSTREAM_LEASE_S

    def upstream_view(
        self, vm: Vm, engine: Engine, now_s: float
    ) -> UpstreamView:
        """Return an engine as a VM sees it."""
        exact = self.setting.exact
        load = engine.measure(now_s) if exact else engine.visible
        sends = {} if exact else vm.sends.get(engine.name, {})
        unreported = [
            job.noted_tokens
            for job, sent_s in sends.items()
            if sent_s >= load.measured_s
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
            report_age_s=now_s - load.measured_s,
            sent_since=len(unreported),
            finished_since=sum(
                sent_s < load.measured_s <= end_s
                for sent_s, end_s in vm.ends.get(engine.name, ())
            ),
            sent_tokens_since=sum(unreported),
            price=engine.price,
            cached_prefixes=load.cached,
        )


def service_of(deployment: Deployment, *, plain: bool) -> str:
    """Return the service that an engine serves."""
    return deployment.plain_service if plain else 'chat'


def route_request(job: Job, now_s: float) -> RouteRequest:
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
        deadline_s=job.deadline_s - now_s,
        waited_s=now_s - request.arrival_s,
        priority=job.priority,
        slot_share=job.slot_share,
        regions_visited=job.visited,
        excluded=job.excluded,
        restricted=len(job.allowed) == 1,
    )
