"""Routing decisions that account for failing and cold upstreams.

`choose` is pure and only knows one view. The router retains, from one decision
to the next, which upstreams fail, are slow or have just started, and avoids
them while there are others.
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
    """Router of one VM; its `choose` has the signature of the pure function.

    Parameters
    ----------
    timer : Timer
        Provides the time.
    ramp : ColdRamp
        Limits on upstreams that started recently.
    services : dict of str to OutlierDetector
        Health of the upstreams of each service.
    serving : dict of str to frozenset of str
        Names of the upstreams that serve each service now.
    observed_s : float
        When the upstreams were last observed, on the timer's clock.
    """

    timer: Timer
    ramp: ColdRamp = field(default_factory=ColdRamp)
    services: dict[str, OutlierDetector] = field(default_factory=dict)
    serving: dict[str, frozenset[str]] = field(default_factory=dict)
    observed_s: float = float('-inf')

    @classmethod
    def from_config(cls, timer: Timer, vms: int = 1) -> Self:
        """Return the router of a VM.

        Parameters
        ----------
        vms : int
            Entry VMs of the region; set `ramp.vms` when it changes.
        """
        return cls(timer, ColdRamp(vms))

    def choose(
        self,
        view: RegionView,
        request: RouteRequest,
        objective: Objective,
        random: Random,
    ) -> Decision:
        """Decide like `godwitshunt.routing.choose`, avoiding some upstreams.

        If only avoided upstreams are left, the request waits while its
        deadline permits; after that none are avoided.
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
        """Return upstreams to avoid now if there are others."""
        avoided = self.ramp.throttled(now)
        detector = self.services.get(service)
        return avoided if detector is None else avoided | detector.excluded(now)

    def record_decision(self, decision: Decision) -> Decision:
        """Record a decision if it sends a request to an upstream."""
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
        """Count the outcome of an attempt.

        Call `record_abandoned` instead for an attempt without an outcome.
        """
        service = upstream.service
        detector = self.services.setdefault(service, OutlierDetector())
        present = self.serving.get(service, frozenset())
        detector.record(upstream.name, outcome, present, self.timer.now())

    def record_abandoned(self, upstream: UpstreamView) -> None:
        """Count an attempt that was abandoned before it had an outcome.

        The caller disconnected, or the deadline passed; neither indicates a
        fault of the upstream. But a probe counts as failed: otherwise its
        outcome would stay pending and the upstream would remain ejected.
        """
        detector = self.services.get(upstream.service)
        if detector is not None and detector.is_probing(upstream.name):
            self.record_outcome(upstream, Failed())

    def observe(self, upstreams: Iterable[UpstreamView], now: float) -> None:
        """Observe all upstreams, at most once per `OBSERVE_PERIOD_S`."""
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
