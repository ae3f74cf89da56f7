"""Outlier detection: temporary ejection of failing or slow upstreams.

An upstream that fails fast looks idle to any policy that prefers short queues,
so it attracts requests and fails them. Ejection prevents that. But a fault of
the network or of a model affects many upstreams at once, and ejecting most of
them would overload the rest, so only a share may be ejected. Ejected upstreams
are probed with single requests before they are readmitted.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from statistics import median

# Weight of one more outcome in the moving averages.
EWMA_WEIGHT = 0.2
MIN_SAMPLES = 5
FAILURE_SHARE = 0.5
SLOW_RATIO = 3.0
SHORTEST_PREDICTION_S = 0.05
MAX_EJECTED_SHARE = 0.34
FIRST_EJECTION_S = 5.0
LONGEST_EJECTION_S = 60.0
PROBES_TO_READMIT = 2


@dataclass(frozen=True)
class Answered:
    """The upstream answered.

    Parameters
    ----------
    took_s, predicted_s : float
        Seconds to the first token, measured and predicted. Their ratio does
        not depend on load, which the prediction already includes.
    """

    took_s: float
    predicted_s: float


@dataclass(frozen=True)
class Failed:
    """The upstream refused the connection, aborted or answered wrongly."""


AttemptOutcome = Answered | Failed


@dataclass
class OutlierState:
    """Outcomes of attempts at one upstream.

    Parameters
    ----------
    samples : int
        Attempts counted since the upstream was first used or readmitted.
    failure_share, slowdown : float
        Moving averages: share of failed attempts, and measured over predicted
        seconds.
    ejected_until_s : float or None
        Set while ejected; after this time single requests probe it.
    ejection_s : float
        Duration of the last ejection.
    successful_probes : int
        Successful probes since the ejection ended.
    probing : bool
        Whether the outcome of a probe is pending.
    """

    samples: int = 0
    failure_share: float = 0.0
    slowdown: float = 1.0
    ejected_until_s: float | None = None
    ejection_s: float = 0.0
    successful_probes: int = 0
    probing: bool = False

    def record(self, outcome: AttemptOutcome) -> None:
        """Count one attempt."""
        self.samples += 1
        failed = 0.0
        match outcome:
            case Answered(took_s, predicted_s):
                ratio = took_s / max(predicted_s, SHORTEST_PREDICTION_S)
                self.slowdown += EWMA_WEIGHT * (ratio - self.slowdown)
            case Failed():
                failed = 1.0
        self.failure_share += EWMA_WEIGHT * (failed - self.failure_share)

    def eject(
        self,
        now: float,
        first_s: float = FIRST_EJECTION_S,
        longest_s: float = LONGEST_EJECTION_S,
    ) -> None:
        """Eject for a duration that doubles with each ejection."""
        doubled = max(first_s, 2 * self.ejection_s)
        self.ejection_s = min(longest_s, doubled)
        self.ejected_until_s = now + self.ejection_s
        self.successful_probes = 0
        self.probing = False

    def readmit(self) -> None:
        """End the ejection; only its duration is retained."""
        self.ejected_until_s = None
        self.samples = 0
        self.failure_share = 0.0
        self.slowdown = 1.0


@dataclass
class OutlierDetector:
    """Health of the upstreams of one service, as observed by one VM.

    Parameters
    ----------
    first_ejection_s, longest_ejection_s : float
        Duration of the first ejection, and the maximum duration.
    """

    states: dict[str, OutlierState] = field(default_factory=dict)
    first_ejection_s: float = FIRST_EJECTION_S
    longest_ejection_s: float = LONGEST_EJECTION_S

    def record(
        self,
        upstream: str,
        outcome: AttemptOutcome,
        present: Collection[str],
        now: float,
    ) -> None:
        """Count an attempt, and eject or readmit its upstream.

        Parameters
        ----------
        upstream : str
            Upstream of the attempt.
        outcome : Answered or Failed
            Its outcome; an attempt that the caller cancelled has none.
        present : collection of str
            Upstreams that serve the same service now; they limit ejections.
        now : float
            Current time on the timer's clock.
        """
        state = self.states.setdefault(upstream, OutlierState())
        state.record(outcome)
        if state.ejected_until_s is not None:
            self.record_probe(state, outcome, now)
        elif self.is_outlier(state, present) and self.may_eject(present):
            state.eject(
                now,
                self.first_ejection_s,
                self.longest_ejection_s,
            )

    def record_probe(
        self,
        state: OutlierState,
        outcome: AttemptOutcome,
        now: float,
    ) -> None:
        """Count the outcome of a request to an ejected upstream."""
        # Reset even before the ejection ends: ejected upstreams get requests if
        # no others are left, and a probe without an outcome would keep the
        # upstream ejected forever.
        state.probing = False
        if now < state.ejected_until_s:
            return
        slow = isinstance(outcome, Failed) or probe_is_slow(state, outcome)
        if slow:
            state.eject(
                now,
                self.first_ejection_s,
                self.longest_ejection_s,
            )
            return
        state.successful_probes += 1
        if state.successful_probes >= PROBES_TO_READMIT:
            state.readmit()

    def is_outlier(self, state: OutlierState, present: Collection[str]) -> bool:
        """Return whether an upstream fails often or is unusually slow."""
        if state.samples < MIN_SAMPLES:
            return False
        if state.failure_share > FAILURE_SHARE:
            return True
        # The median of the peers is seldom needed.
        if state.slowdown <= SLOW_RATIO:
            return False
        peers = [
            self.states[name]
            for name in present
            if name in self.states and self.states[name].samples
        ]
        typical = median(peer.slowdown for peer in peers) if peers else 1.0
        return state.slowdown > SLOW_RATIO * max(1.0, typical)

    def may_eject(self, present: Collection[str]) -> bool:
        """Return whether one more ejection leaves enough upstreams."""
        ejected = sum(1 for name in present if self.is_ejected(name))
        return ejected + 1 <= MAX_EJECTED_SHARE * len(present)

    def is_ejected(self, upstream: str) -> bool:
        """Return whether an upstream is ejected or being probed."""
        state = self.states.get(upstream)
        return state is not None and state.ejected_until_s is not None

    def excluded(self, now: float) -> frozenset[str]:
        """Return upstreams to exclude now, for `RouteRequest.excluded`.

        An upstream whose ejection has ended is not excluded until
        `record_sent` is called for it, so that one request probes it.
        """
        return frozenset(
            name
            for name, state in self.states.items()
            if state.ejected_until_s is not None
            and (now < state.ejected_until_s or state.probing)
        )

    def record_sent(self, upstream: str) -> None:
        """Record a request sent to an upstream, which may be its probe."""
        state = self.states.get(upstream)
        if state is not None and state.ejected_until_s is not None:
            state.probing = True

    def is_probing(self, upstream: str) -> bool:
        """Return whether a probe's outcome is pending."""
        state = self.states.get(upstream)
        return state is not None and state.probing

    def remove_absent(self, present: Collection[str]) -> None:
        """Remove upstreams that are not present."""
        for name in tuple(self.states):
            if name not in present:
                self.states.pop(name)


def probe_is_slow(state: OutlierState, outcome: Answered) -> bool:
    """Return whether a probe was answered much later than predicted."""
    predicted_s = max(outcome.predicted_s, SHORTEST_PREDICTION_S)
    return outcome.took_s > SLOW_RATIO * predicted_s
