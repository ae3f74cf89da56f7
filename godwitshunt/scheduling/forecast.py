"""Forecast of the wait for a slot, by work queued and learned rates; no I/O.

Answers a load above what a region's engines do: a request that would be late
is refused when it arrives and not after it has waited for its whole objective.
"""

from dataclasses import dataclass, field
from math import exp

# Rank of the organisation, whether it bursts, and rank of the route.
Level = tuple[int, bool, int]

# Older starts count less by this time constant. Peaks move from region to
# region within seconds.
RATE_MEMORY_S = 1.0
# Seconds of saturation for which the initial estimate counts.
PRIOR_S = 0.2
# Least share of the starts that is expected for a rank when more urgent ones
# have taken all of them recently.
MIN_RATE_SHARE = 0.02


@dataclass(frozen=True)
class Work:
    """An amount of work: requests and the tokens of their prompts.

    Examples
    --------
    >>> Work(1, 300.0) + Work(2, 50.0)
    Work(requests=3, tokens=350.0)
    """

    requests: float = 0.0
    tokens: float = 0.0

    def __add__(self, other: 'Work') -> 'Work':
        return Work(self.requests + other.requests, self.tokens + other.tokens)

    def scaled(self, factor: float) -> 'Work':
        """Return a multiple of this work."""
        return Work(self.requests * factor, self.tokens * factor)


NO_WORK = Work()


@dataclass
class StartRates:
    """Rates at which slots and memory come free while requests wait.

    Parameters
    ----------
    prior : Work
        Initial estimate of the work that starts in a second.
    busy_s : float
        Decayed seconds in which requests waited.
    started : dict
        Decayed work that started in that time, by level.

    Examples
    --------
    >>> rates = StartRates(Work(100.0, 1e6))
    >>> rates.wait_s(Work(50.0, 1e5), (0, False, 0))
    0.5
    """

    prior: Work
    busy_s: float = 0.0
    started: dict[Level, Work] = field(default_factory=dict)
    updated_s: float = 0.0

    def advance(self, now_s: float, *, is_busy: bool) -> None:
        """Advance the time; `is_busy` if requests have waited since."""
        past_s = max(0.0, now_s - self.updated_s)
        self.updated_s = now_s
        if not is_busy or not past_s:
            return
        decay = exp(-past_s / RATE_MEMORY_S)
        self.busy_s = self.busy_s * decay + past_s
        self.started = {
            level: work.scaled(decay) for level, work in self.started.items()
        }

    def record(self, level: Level, work: Work) -> None:
        """Record a start while requests wait."""
        self.started[level] = self.started.get(level, NO_WORK) + work

    def wait_s(self, ahead: Work, level: Level) -> float:
        """Return the seconds until the work ahead of a request has started.

        More urgent requests that arrive meanwhile start first, so the rate at
        which they have started recently is not available.
        """
        total = sum(self.started.values(), start=self.prior.scaled(PRIOR_S))
        urgent = sum(
            (work for key, work in self.started.items() if key < level),
            start=NO_WORK,
        )
        seconds = self.busy_s + PRIOR_S
        return max(
            share_s(ahead.requests, total.requests, urgent.requests, seconds),
            share_s(ahead.tokens, total.tokens, urgent.tokens, seconds),
        )


def share_s(ahead: float, total: float, urgent: float, seconds: float) -> float:
    """Return the seconds for an amount at the rate left by urgent work."""
    if not ahead:
        return 0.0
    available = max(total * MIN_RATE_SHARE, total - urgent)
    return ahead * seconds / available if available else float('inf')
