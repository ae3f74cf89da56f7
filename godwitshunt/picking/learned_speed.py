"""Speed of a service's upstreams, estimated from their answers; no I/O.

Services differ: plain ones work for 5 to 200 ms, engines prefill 20 to 200
prompt tokens per millisecond. An estimate uses the requests that found no other
prompt waiting at their upstream.
"""

from dataclasses import dataclass

from godwitshunt.routing.selection import ServiceSpeed

# Initial estimates. Plain upstreams work 20 to 90 ms; engines prefill 51 to
# 112 tokens per millisecond and send the first event 31 to 47 ms after that.
PLAIN_FIRST_S = 0.03
ENGINE_FIRST_S = 0.055
ENGINE_RUN_S = 0.5
ENGINE_TOKEN_S = 1 / 50_000
# Weight of a new answer in the exponential moving average.
EWMA_WEIGHT = 0.05
# Prompts with fewer unread tokens than SHORT_TOKENS update the time to the
# first event; those with at least LONG_TOKENS update the prefill speed.
SHORT_TOKENS = 1000
LONG_TOKENS = 2000
# An engine that was busy with requests of other VMs looks slower than it is by
# any factor; it seldom looks faster. So an estimate changes by a fixed share
# of itself per sample, whatever the difference, with unequal steps so that
# about a third of the samples are faster than the estimate. In a plain moving
# average, the engine would look too slow even if only one in five answers had
# waited.
MAX_DECREASE_SHARE = 0.08
MAX_INCREASE_SHARE = 0.05
# Lower bound of the time to the first event; an estimate of zero could not
# increase again.
MIN_FIRST_S = 0.002
# Plausible range of an engine's prefill time per token.
MIN_TOKEN_S = 1 / 1_000_000
MAX_TOKEN_S = 1 / 4_000


@dataclass
class LearnedSpeed:
    """Moving averages of the durations of a service's requests.

    Parameters
    ----------
    first_s : float
        Seconds to an answer, or to the first event of a stream, excluding the
        prefill of the prompt.
    run_s : float
        Seconds that a request occupies a slot.
    token_s : float
        Seconds that an engine needs to prefill a token; 0 for a plain
        service.

    Examples
    --------
    >>> speed = LearnedSpeed.for_engine()
    >>> for _ in range(40):
    ...     speed.record_first_event(0.04 + 5000 / 112_000, unread_tokens=5000)
    ...     speed.record_first_event(0.04 + 300 / 112_000, unread_tokens=300)
    >>> 100_000 < speed.service_speed().tokens_per_s < 125_000
    True
    """

    first_s: float
    run_s: float
    token_s: float = 0.0

    @classmethod
    def for_plain(cls) -> 'LearnedSpeed':
        """Return the initial estimate for a plain service."""
        return cls(PLAIN_FIRST_S, PLAIN_FIRST_S)

    @classmethod
    def for_engine(cls) -> 'LearnedSpeed':
        """Return the initial estimate for a service of engines."""
        return cls(ENGINE_FIRST_S, ENGINE_RUN_S, ENGINE_TOKEN_S)

    def record_answer(self, first_s: float, run_s: float) -> None:
        """Update from a request that an upstream with a free slot answered."""
        self.run_s += EWMA_WEIGHT * (run_s - self.run_s)
        if not self.token_s:
            self.first_s += EWMA_WEIGHT * (first_s - self.first_s)

    def record_first_event(self, first_s: float, unread_tokens: int) -> None:
        """Update from a first event that waited for no other prompt.

        Parameters
        ----------
        first_s : float
            Seconds to the first event.
        unread_tokens : int
            Prefill cost of the uncached part, in tokens of a short prompt.
        """
        if unread_tokens < SHORT_TOKENS:
            sample_s = first_s - unread_tokens * self.token_s
            sample_s = max(MIN_FIRST_S, sample_s)
            self.first_s = step_towards(self.first_s, sample_s)
        elif unread_tokens >= LONG_TOKENS:
            sample_s = (first_s - self.first_s) / unread_tokens
            bounded_s = min(MAX_TOKEN_S, max(MIN_TOKEN_S, sample_s))
            self.token_s = step_towards(self.token_s, bounded_s)

    def decrease(self) -> None:
        """Lower the time to an answer by the largest step of a sample."""
        lower_s = self.first_s * (1 - MAX_DECREASE_SHARE)
        self.first_s = max(MIN_FIRST_S, lower_s)

    def service_speed(self) -> ServiceSpeed:
        """Return the speed in the form that predictions use."""
        tokens_per_s = 1 / self.token_s if self.token_s else 0.0
        return ServiceSpeed(self.first_s, tokens_per_s, self.run_s)


def step_towards(estimate_s: float, sample_s: float) -> float:
    """Return an estimate moved towards a sample by one bounded step.

    Examples
    --------
    >>> step_towards(1.0, 30.0), step_towards(1.0, 0.0), step_towards(1.0, 0.99)
    (1.05, 0.92, 0.99)
    """
    if sample_s < estimate_s:
        return max(sample_s, estimate_s * (1 - MAX_DECREASE_SHARE))
    return min(sample_s, estimate_s * (1 + MAX_INCREASE_SHARE))
