"""The decision with what a VM has seen of its upstreams.

`choose` is pure and knows one view. The router keeps, from one decision to
the next, which upstreams fail or lag and which have just started, and leaves
them out while there are others.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Self

from godwitshunt.manifest import Objective
from godwitshunt.membership.views import RegionView, UpstreamView
from godwitshunt.routing.messages import (
    Decision,
    Refuse,
    RouteRequest,
    Serve,
    Wait,
)
from godwitshunt.routing.outliers import (
    AttemptOutcome,
    Failed,
    OutlierDetector,
)
from godwitshunt.routing.policy import choose
from godwitshunt.routing.ramp import ColdRamp
from godwitshunt.timer import Timer

OBSERVE_PERIOD_S = 0.5
AVOIDED_WAIT_S = 0.1


@dataclass
class Router:
    """Decides for one VM; its `choose` stands in for the pure one.

    Parameters
    ----------
    timer : Timer
        Gives the time.
    services : dict of str to OutlierDetector
        Health of the upstreams of each service.
    serving : dict of str to frozenset of str
        Names of the upstreams that serve each service now.
    """

    timer: Timer
    ramp: ColdRamp = field(default_factory=ColdRamp)
    services: dict[str, OutlierDetector] = field(default_factory=dict)
    serving: dict[str, frozenset[str]] = field(default_factory=dict)
    observed_s: float = float('-inf')

    @classmethod
    def from_config(cls, timer: Timer, vms: int = 1) -> Self:
        """Make the router of a VM.

        Parameters
        ----------
        vms : int
            Entry VMs of the region; set `ramp.vms` where it changes.
        """
        return cls(timer, ColdRamp(vms))

    def choose(
        self,
        view: RegionView,
        request: RouteRequest,
        objective: Objective,
        random: Random,
    ) -> Decision:
        """Decide as `godwitshunt.routing.choose` does, but for held upstreams.

        Where only held ones are left the request waits, as long as it can;
        then it is decided as if none were held.
        """
        now = self.timer.now()
        self.observe(view.upstreams, now)
        avoided = self.avoided(request.service, now) - request.excluded
        if not avoided:
            return self.record_decision(
                choose(view, request, objective, random)
            )
        without_avoided = replace(request, excluded=request.excluded | avoided)
        decision = choose(view, without_avoided, objective, random)
        if not isinstance(decision, Refuse):
            return self.record_decision(decision)
        decision = choose(view, request, objective, random)
        can_wait = AVOIDED_WAIT_S + request.waited_s < request.deadline_s
        if isinstance(decision, Serve) and can_wait:
            return Wait(AVOIDED_WAIT_S)
        return self.record_decision(decision)

    def avoided(self, service: str, now: float) -> frozenset[str]:
        """Return upstreams that get nothing now if there are others."""
        avoided = self.ramp.throttled(now)
        detector = self.services.get(service)
        return avoided if detector is None else avoided | detector.excluded(now)

    def record_decision(self, decision: Decision) -> Decision:
        """Count a decision that sends a request to an upstream."""
        match decision:
            case Serve(upstream, uncached_tokens=uncached):
                self.ramp.record_sent(upstream.name, uncached)
                detector = self.services.get(upstream.service)
                if detector is not None:
                    detector.record_sent(upstream.name)
        return decision

    def record_outcome(
        self,
        upstream: UpstreamView,
        outcome: AttemptOutcome,
    ) -> None:
        """Count what came of an attempt.

        An attempt that was given up goes to `record_abandoned` instead.
        """
        service = upstream.service
        detector = self.services.setdefault(service, OutlierDetector())
        present = self.serving.get(service, frozenset())
        detector.record(upstream.name, outcome, present, self.timer.now())

    def record_abandoned(self, upstream: UpstreamView) -> None:
        """Count an attempt that was given up before it came to anything.

        The caller went away, or the deadline passed; that says nothing of an
        upstream. But if it was a probe, the upstream would wait for its
        outcome for ever and never get work again: it counts as failed.
        """
        detector = self.services.get(upstream.service)
        if detector is not None and detector.is_probing(upstream.name):
            self.record_outcome(upstream, Failed())

    def observe(self, upstreams: Iterable[UpstreamView], now: float) -> None:
        """Look at all upstreams, now and then."""
        if now - self.observed_s < OBSERVE_PERIOD_S:
            return
        self.observed_s = now
        self.ramp.observe(upstreams, now)
        serving: dict[str, set[str]] = {}
        for upstream in upstreams:
            if not upstream.leaving:
                serving.setdefault(upstream.service, set()).add(upstream.name)
        self.serving = {
            service: frozenset(names) for service, names in serving.items()
        }
        for service, detector in self.services.items():
            detector.remove_absent(self.serving.get(service, frozenset()))
