"""Statistics of upstreams: health, load, speed and outlier detection."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from math import isfinite

from godwitshunt.backpressure import (
    BrittleTable,
    DepartureTable,
    PauseTable,
    RateLimiter,
    RateLimitTable,
)
from godwitshunt.manifest import Service
from godwitshunt.picking.learned_answers import LearnedAnswers
from godwitshunt.picking.learned_speed import LearnedSpeed
from godwitshunt.registry import RegistryView, UpstreamSeen
from godwitshunt.registry.ledger import ReportedLoad
from godwitshunt.routing.engine_memory import reserved_tokens
from godwitshunt.routing.outliers import (
    Answered,
    AttemptOutcome,
    OutlierDetector,
)
from godwitshunt.routing.selection import Demand, ServiceSpeed
from godwitshunt.routing.upstream_health import (
    FULL_BACKOFF_S,
    UpstreamHealth,
)

# Routes have many requests, so a probe soon shows that an upstream has
# recovered. A longer ejection would only increase the load of the others.
FIRST_EJECTION_S = 1.5
MAX_EJECTION_S = 6.0


@dataclass
class Upstreams:
    """Health, load and speed of the upstreams.

    Parameters
    ----------
    health : dict
        Health and load by incarnation.
    speeds, outliers : dict
        Speed and outlier detection by service.
    rate_limiter : RateLimiter
        Keeps this process within its share of upstreams' rate limits.
    observed_limits : RateLimitTable
        Rate limits that upstreams have stated to this process itself. Only
        these are reported: the age of a limit that processes sent each other
        would lack the network delay each time, and outlast its end.
    brittle : BrittleTable
        Services whose upstreams fail when they reject many requests.
    observed_brittle : BrittleTable
        What of this upstreams have stated to this process itself.
    pauses : PauseTable
        Upstreams that have asked this VM for a pause.
    departures : DepartureTable
        Upstreams that have stated that they are leaving.
    answers : LearnedAnswers
        Lengths of answers by route.
    sharers : int
        Processes that may be rejected by the same upstreams.
    down_until_s : float
        End of the last pause after a failed connection.
    """

    health: dict[str, UpstreamHealth] = field(default_factory=dict)
    speeds: dict[str, LearnedSpeed] = field(default_factory=dict)
    outliers: dict[str, OutlierDetector] = field(default_factory=dict)
    rate_limiter: RateLimiter = field(default_factory=RateLimiter)
    observed_limits: RateLimitTable = field(default_factory=RateLimitTable)
    brittle: BrittleTable = field(default_factory=BrittleTable)
    observed_brittle: BrittleTable = field(default_factory=BrittleTable)
    pauses: PauseTable = field(default_factory=PauseTable)
    departures: DepartureTable = field(default_factory=DepartureTable)
    answers: LearnedAnswers = field(default_factory=LearnedAnswers)
    sharers: int = 1
    down_until_s: float = float('-inf')

    def health_of(self, instance: str) -> UpstreamHealth:
        """Return the health of an incarnation."""
        health = self.health.get(instance)
        if health is None:
            health = UpstreamHealth()
            self.health[instance] = health
        return health

    def full_backoff_s(self, service: str) -> float:
        """Return the pause after an upstream of a service was full."""
        bearable = self.brittle.rejections_per_s(service)
        if bearable is None:
            return FULL_BACKOFF_S
        return max(FULL_BACKOFF_S, self.sharers / max(1.0, bearable))

    def record_connect_failure(self, instance: str, now_s: float) -> None:
        """Record a failed connection."""
        health = self.health_of(instance)
        health.record_connect_failure(now_s)
        self.down_until_s = health.down_until_s

    def clear_connect_failures(self) -> None:
        """Forget failed connections: this process had lost its paths."""
        self.down_until_s = float('-inf')
        for health in self.health.values():
            health.clear_connect_failure()

    def unreachable(self, now_s: float) -> frozenset[str]:
        """Return the upstreams that this process failed to connect to."""
        if now_s >= self.down_until_s:
            return frozenset()
        return frozenset(
            instance
            for instance, health in self.health.items()
            if health.down_until_s > now_s
        )

    def speed(self, service: Service) -> ServiceSpeed:
        """Return the speed of a service's upstreams without a queue."""
        return self.learned_speed(service).service_speed()

    def learned_speed(self, service: Service) -> LearnedSpeed:
        """Return the moving averages of a service."""
        speed = self.speeds.get(service.name)
        if speed is None:
            speed = LearnedSpeed.for_engine()
            if service.engine is None:
                speed = LearnedSpeed.for_plain()
            self.speeds[service.name] = speed
        return speed

    def record_outcome(
        self,
        service: str,
        instance: str,
        outcome: AttemptOutcome,
        present: Iterable[str],
        now_s: float,
    ) -> bool:
        """Record the outcome of an attempt for outlier detection.

        Parameters
        ----------
        present : iterable of str
            All incarnations of the service.

        Returns
        -------
        bool
            True if this outcome ejected the upstream.
        """
        detector = self.outliers.get(service)
        if detector is None:
            detector = OutlierDetector(
                first_ejection_s=FIRST_EJECTION_S,
                longest_ejection_s=MAX_EJECTION_S,
            )
            self.outliers[service] = detector
        if isinstance(outcome, Answered):
            detector.record(instance, outcome, tuple(present), now_s)
            return False
        before = detector.excluded(now_s)
        detector.record(instance, outcome, tuple(present), now_s)
        return instance in detector.excluded(now_s) - before

    def ejected(self, service: str, now_s: float) -> frozenset[str]:
        """Return the upstreams of a service that are ejected now."""
        detector = self.outliers.get(service)
        return frozenset() if detector is None else detector.excluded(now_s)

    def is_ejected(self, service: str, instance: str) -> bool:
        """Return whether an upstream is ejected or being probed."""
        detector = self.outliers.get(service)
        return detector is not None and detector.is_ejected(instance)

    def record_sent(self, service: str, instance: str) -> None:
        """Record that a request, possibly a probe, is sent to an upstream."""
        detector = self.outliers.get(service)
        if detector is not None:
            detector.record_sent(instance)

    def reserved_tokens(
        self, service: Service, route: str, demand: Demand, stated: int
    ) -> int:
        """Return the memory of an engine that a request needs.

        Parameters
        ----------
        stated : int
            Maximum length of the answer that the request states; 0 for none.
        """
        if service.engine is None:
            return 0
        return reserved_tokens(
            demand,
            self.answers.expected_tokens(route, stated),
            service.engine.memory_tokens,
        )

    def sharing(self, key: int | None) -> frozenset[str]:
        """Return the upstreams at which this VM's requests use a prefix."""
        if key is None:
            return frozenset()
        return frozenset(
            instance
            for instance, health in self.health.items()
            if key in health.shared.users
        )

    def load_reports(self) -> Mapping[str, ReportedLoad]:
        """Return this VM's requests in flight by incarnation."""
        return {
            instance: ReportedLoad(
                health.reported_load,
                health.oldest_sent_s(),
                health.last_seen_s if isfinite(health.last_seen_s) else None,
                dict(health.shared.tokens),
            )
            for instance, health in self.health.items()
            if health.in_flight
        }

    def remove_absent(self, present: Mapping[str, UpstreamSeen]) -> None:
        """Remove absent upstreams that have no request of this VM."""
        for instance, health in tuple(self.health.items()):
            if instance not in present and not health.in_flight:
                self.health.pop(instance)
        for detector in self.outliers.values():
            detector.remove_absent(present.keys())


def of_service(view: RegistryView, service: str) -> Iterator[UpstreamSeen]:
    """Yield the incarnations that serve a service."""
    for upstream in view.upstreams.values():
        if upstream.announcement.service == service:
            yield upstream
