"""The upstreams of an entry VM: what control tells, and what requests show."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from math import isfinite

from godwitshunt.manifest import Service
from godwitshunt.picking.learned_speed import LearnedSpeed
from godwitshunt.registry import RegistryView, UpstreamSeen
from godwitshunt.registry.ledger import ReportedLoad
from godwitshunt.routing.outliers import (
    Answered,
    AttemptOutcome,
    OutlierDetector,
)
from godwitshunt.routing.selection import ServiceSpeed
from godwitshunt.routing.upstream_health import UpstreamHealth

# Routes' requests are many, so a probe soon shows that an upstream is well; a
# longer ejection would leave its load to the others for nothing.
FIRST_EJECTION_S = 1.5
LONGEST_EJECTION_S = 6.0


@dataclass
class Upstreams:
    """Health, load and speed of every upstream, by incarnation."""

    health: dict[str, UpstreamHealth] = field(default_factory=dict)
    speeds: dict[str, LearnedSpeed] = field(default_factory=dict)
    outliers: dict[str, OutlierDetector] = field(default_factory=dict)

    def health_of(self, instance: str) -> UpstreamHealth:
        """Return what requests have shown of an incarnation."""
        known = self.health.get(instance)
        if known is None:
            known = UpstreamHealth()
            self.health[instance] = known
        return known

    def speed(self, service: Service) -> ServiceSpeed:
        """Return what upstreams of a service take when nothing waits."""
        return self.learned_speed(service).service_speed()

    def learned_speed(self, service: Service) -> LearnedSpeed:
        """Return a service's moving averages."""
        known = self.speeds.get(service.name)
        if known is None:
            known = LearnedSpeed.of_engine()
            if service.engine is None:
                known = LearnedSpeed.of_plain()
            self.speeds[service.name] = known
        return known

    def record_outcome(
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
            detector.record(instance, outcome, tuple(present), now_s)
            return False
        before = detector.excluded(now_s)
        detector.record(instance, outcome, tuple(present), now_s)
        return instance in detector.excluded(now_s) - before

    def ejected(self, service: str, now_s: float) -> frozenset[str]:
        """Return upstreams of a service that get no work now."""
        detector = self.outliers.get(service)
        return frozenset() if detector is None else detector.excluded(now_s)

    def record_sent(self, service: str, instance: str) -> None:
        """Note that a request goes to an upstream; it may be a probe."""
        detector = self.outliers.get(service)
        if detector is not None:
            detector.record_sent(instance)

    def load_reports(self) -> Mapping[str, ReportedLoad]:
        """Return this VM's own requests, as they are reported."""
        return {
            instance: ReportedLoad(
                health.load,
                health.oldest_sent_s(),
                health.last_seen_s if isfinite(health.last_seen_s) else None,
            )
            for instance, health in self.health.items()
            if health.in_flight
        }

    def remove_absent(self, present: Mapping[str, UpstreamSeen]) -> None:
        """Drop upstreams that are gone and have no request of ours."""
        for instance, health in tuple(self.health.items()):
            if instance not in present and not health.in_flight:
                self.health.pop(instance)
        for detector in self.outliers.values():
            detector.remove_absent(present.keys())


def of_service(view: RegistryView, service: str) -> Iterator[UpstreamSeen]:
    """Give the incarnations that serve a service."""
    for upstream in view.upstreams.values():
        if upstream.announcement.service == service:
            yield upstream
