"""Upstreams that fail or lag far behind their peers get no work for a while.

A fast failure looks like a free upstream to any policy that prefers short
queues: it draws all requests and fails them. Ejecting it stops that. But a
fault of the network or of a model shows on many upstreams at once, and
ejecting most of them would overload the rest, so only a part may be ejected.
Ejected ones are probed with single requests before they return.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from statistics import median

MEMORY = 0.2
MIN_SAMPLES = 5
FAILURE_SHARE = 0.5
SLOW_RATIO = 3.0
SHORTEST_PREDICTION_S = 0.05
MAX_EJECTED_SHARE = 0.34
FIRST_EJECTION_S = 5.0
LONGEST_EJECTION_S = 60.0
PROBES_NEEDED = 2


@dataclass(frozen=True)
class Answered:
    """The upstream answered.

    Parameters
    ----------
    took_s, predicted_s : float
        Seconds to the first token, real and predicted. Their ratio leaves
        load out, which the prediction already holds.
    """

    took_s: float
    predicted_s: float


@dataclass(frozen=True)
class Failed:
    """The upstream refused the connection, broke off or answered wrongly."""


AttemptOutcome = Answered | Failed


@dataclass
class Health:
    """What attempts at one upstream came to.

    Parameters
    ----------
    failures, slowness : float
        Moving averages: share that failed, and real over predicted seconds.
    ejected_until_s : float or None
        Set while ejected; later than this, single requests probe it.
    ejection_s : float
        How long the last ejection was.
    """

    samples: int = 0
    failure_share: float = 0.0
    slowness: float = 1.0
    ejected_until_s: float | None = None
    ejection_s: float = 0.0
    probes: int = 0
    probing: bool = False

    def record(self, outcome: AttemptOutcome) -> None:
        """Count one attempt."""
        self.samples += 1
        failed = 0.0
        match outcome:
            case Answered(took_s, predicted_s):
                ratio = took_s / max(predicted_s, SHORTEST_PREDICTION_S)
                self.slowness += MEMORY * (ratio - self.slowness)
            case Failed():
                failed = 1.0
        self.failure_share += MEMORY * (failed - self.failure_share)

    def eject(
        self,
        now: float,
        first_s: float = FIRST_EJECTION_S,
        longest_s: float = LONGEST_EJECTION_S,
    ) -> None:
        """Give no work for a time that doubles with each ejection."""
        doubled = max(first_s, 2 * self.ejection_s)
        self.ejection_s = min(longest_s, doubled)
        self.ejected_until_s = now + self.ejection_s
        self.probes = 0
        self.probing = False

    def readmit(self) -> None:
        """Give work again; only the ejection's length is remembered."""
        self.ejected_until_s = None
        self.samples = 0
        self.failure_share = 0.0
        self.slowness = 1.0


@dataclass
class OutlierDetector:
    """Health of the upstreams of one service, as one VM sees it.

    Parameters
    ----------
    first_ejection_s, longest_ejection_s : float
        Seconds of a first ejection, and of one after many.
    """

    states: dict[str, Health] = field(default_factory=dict)
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
            Who was tried.
        outcome : Answered or Failed
            What came of it; a caller that goes away says nothing.
        present : collection of str
            Upstreams that serve the same now, for the floor.
        now : float
            The timer's time.
        """
        state = self.states.setdefault(upstream, Health())
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
        state: Health,
        outcome: AttemptOutcome,
        now: float,
    ) -> None:
        """Take the outcome of a probe, or of a request sent before."""
        # Also before its time is over: where only ejected upstreams are left
        # they get requests, and a probe that is never settled would keep the
        # upstream out for ever.
        state.probing = False
        if now < state.ejected_until_s:
            return
        slow = isinstance(outcome, Failed) or state_is_slow(state, outcome)
        if slow:
            state.eject(
                now,
                self.first_ejection_s,
                self.longest_ejection_s,
            )
            return
        state.probes += 1
        if state.probes >= PROBES_NEEDED:
            state.readmit()

    def is_outlier(self, state: Health, present: Collection[str]) -> bool:
        """Return whether an upstream is far worse than the median one."""
        if state.samples < MIN_SAMPLES:
            return False
        peers = [
            self.states[name]
            for name in present
            if name in self.states and self.states[name].samples
        ]
        common = median(peer.slowness for peer in peers) if peers else 1.0
        slow = state.slowness > SLOW_RATIO * max(1.0, common)
        return slow or state.failure_share > FAILURE_SHARE

    def may_eject(self, present: Collection[str]) -> bool:
        """Return whether one more ejection leaves enough upstreams."""
        ejected = sum(1 for name in present if self.is_ejected(name))
        return ejected + 1 <= MAX_EJECTED_SHARE * len(present)

    def is_ejected(self, upstream: str) -> bool:
        """Return whether an upstream is ejected or being probed."""
        state = self.states.get(upstream)
        return state is not None and state.ejected_until_s is not None

    def excluded(self, now: float) -> frozenset[str]:
        """Return upstreams that get no work now, for `RouteRequest.excluded`.

        One whose time is over is left in until `record_sent` names it, so that
        one request probes it.
        """
        return frozenset(
            name
            for name, state in self.states.items()
            if state.ejected_until_s is not None
            and (now < state.ejected_until_s or state.probing)
        )

    def record_sent(self, upstream: str) -> None:
        """Note that a request goes to an upstream; it may be its probe."""
        state = self.states.get(upstream)
        if state is not None and state.ejected_until_s is not None:
            state.probing = True

    def is_probing(self, upstream: str) -> bool:
        """Return whether a probe's outcome is waited for."""
        state = self.states.get(upstream)
        return state is not None and state.probing

    def remove_absent(self, present: Collection[str]) -> None:
        """Drop upstreams that are gone."""
        for name in tuple(self.states):
            if name not in present:
                self.states.pop(name)


def state_is_slow(state: Health, outcome: Answered) -> bool:
    """Return whether a probe was answered far later than predicted."""
    predicted_s = max(outcome.predicted_s, SHORTEST_PREDICTION_S)
    return outcome.took_s > SLOW_RATIO * predicted_s
