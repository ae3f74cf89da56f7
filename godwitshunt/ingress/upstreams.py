"""The upstreams of an entry VM: what control tells, and what requests show."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from godwitshunt.manifest import Service
from godwitshunt.registry import Load, RegistryView, UpstreamSeen
from godwitshunt.routing.outliers import (
    Answered,
    AttemptOutcome,
    OutlierDetector,
)
from godwitshunt.routing.selection import ServiceSpeed
from godwitshunt.routing.upstream_health import UpstreamHealth

# Model engines of the users' sheets read 51 and 61 prompt tokens in a
# millisecond and show the first event 47 ms after that; slower ones are
# learned by their slowness.
ENGINE_TOKENS_PER_S = 50000.0
ENGINE_FIRST_S = 0.055
ENGINE_RUN_S = 0.5
# Plain services of the sheets work 20 to 90 ms; learned from their answers.
PLAIN_FIRST_S = 0.03
SPEED_MEMORY = 0.05
# Routes' requests are many, so a probe soon shows that an upstream is well; a
# longer ejection would leave its load to the others for nothing.
FIRST_EJECTION_S = 1.5
LONGEST_EJECTION_S = 6.0


@dataclass
class LearnedSpeed:
    """Moving averages of what a service's requests took."""

    first_s: float
    run_s: float

    def note(self, first_s: float, run_s: float) -> None:
        """Learn from one request that an idle upstream answered."""
        self.first_s += SPEED_MEMORY * (first_s - self.first_s)
        self.run_s += SPEED_MEMORY * (run_s - self.run_s)


@dataclass
class Upstreams:
    """Health, load and speed of every upstream, by incarnation."""

    health: dict[str, UpstreamHealth] = field(default_factory=dict)
    speeds: dict[str, LearnedSpeed] = field(default_factory=dict)
    outliers: dict[str, OutlierDetector] = field(default_factory=dict)

    def of(self, instance: str) -> UpstreamHealth:
        """Return what requests have shown of an incarnation."""
        known = self.health.get(instance)
        if known is None:
            known = UpstreamHealth()
            self.health[instance] = known
        return known

    def speed(self, service: Service) -> ServiceSpeed:
        """Return what upstreams of a service take when nothing waits."""
        learned = self.learned(service)
        if service.engine is None:
            return ServiceSpeed(learned.first_s, 0, learned.run_s)
        tokens_per_s = ENGINE_TOKENS_PER_S
        return ServiceSpeed(ENGINE_FIRST_S, tokens_per_s, learned.run_s)

    def learned(self, service: Service) -> LearnedSpeed:
        """Return a service's moving averages."""
        known = self.speeds.get(service.name)
        if known is None:
            run_s = PLAIN_FIRST_S if service.engine is None else ENGINE_RUN_S
            known = LearnedSpeed(PLAIN_FIRST_S, run_s)
            self.speeds[service.name] = known
        return known

    def note_outcome(
        self,
        service: str,
        instance: str,
        outcome: AttemptOutcome,
        present: Iterable[str],
        now_s: float,
    ) -> bool:
        """Count what an attempt showed; True where it is left out by that."""
        detector = self.outliers.get(service)
        if detector is None:
            detector = OutlierDetector(
                first_ejection_s=FIRST_EJECTION_S,
                longest_ejection_s=LONGEST_EJECTION_S,
            )
            self.outliers[service] = detector
        if isinstance(outcome, Answered):
            detector.note(instance, outcome, tuple(present), now_s)
            return False
        before = detector.excluded(now_s)
        detector.note(instance, outcome, tuple(present), now_s)
        return instance in detector.excluded(now_s) - before

    def ejected(self, service: str, now_s: float) -> frozenset[str]:
        """Return upstreams of a service that get no work now."""
        detector = self.outliers.get(service)
        return frozenset() if detector is None else detector.excluded(now_s)

    def note_sent(self, service: str, instance: str) -> None:
        """Note that a request goes to an upstream; it may be a probe."""
        detector = self.outliers.get(service)
        if detector is not None:
            detector.note_sent(instance)

    def loads(self) -> Mapping[str, Load]:
        """Return this VM's own requests at each upstream."""
        return {
            instance: health.load
            for instance, health in self.health.items()
            if health.in_flight
        }

    def forget(self, present: Mapping[str, UpstreamSeen]) -> None:
        """Drop upstreams that are gone and have no request of ours."""
        for instance, health in tuple(self.health.items()):
            if instance not in present and not health.in_flight:
                self.health.pop(instance)
        for detector in self.outliers.values():
            detector.forget(present.keys())


def of_service(view: RegistryView, service: str) -> Iterator[UpstreamSeen]:
    """Give the incarnations that serve a service."""
    for seen in view.upstreams.values():
        if seen.told.service == service:
            yield seen
