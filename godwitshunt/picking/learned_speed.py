"""What upstreams of a service take, learned from their answers; pure.

Services differ: plain ones work for 5 to 200 ms, engines read 20 to 200 prompt
tokens in a millisecond. Each entry VM learns by its own requests, from those
that met an upstream with nothing to read before them.
"""

from dataclasses import dataclass

from godwitshunt.routing.selection import ServiceSpeed

# What is believed before the first answers. Plain services of the users work
# 20 to 90 ms, their engines read 51 to 112 tokens in a millisecond and show a
# first event 31 to 47 ms after that.
PLAIN_FIRST_S = 0.03
ENGINE_FIRST_S = 0.055
ENGINE_RUN_S = 0.5
ENGINE_TOKEN_S = 1 / 50_000
# Weight of one more answer in a moving average.
MEMORY = 0.05
# Prompts of fewer unread tokens show how soon a first event comes; prompts of
# more show how fast an engine reads.
SHORT_TOKENS = 1000
LONG_TOKENS = 2000
# An engine that was busy with what other VMs sent looks slow, by any factor;
# seldom one looks faster than it is. So an estimate follows in steps of its
# own size, whatever the difference, and lets a third of what it sees be
# faster: with an average of readings the prediction for an engine of 200 tokens
# a millisecond was 0.28 off at the median where one in five answers had waited
# (20 seeds of 60 answers).
FASTER_STEP = 0.08
SLOWER_STEP = 0.05
# No first event comes sooner; an estimate of nothing could not grow again.
LEAST_FIRST_S = 0.002
# Readings outside of these are no engine's, in seconds a token.
FASTEST_TOKEN_S = 1 / 1_000_000
SLOWEST_TOKEN_S = 1 / 4_000


@dataclass
class LearnedSpeed:
    """Moving averages of what a service's requests took.

    Parameters
    ----------
    first_s : float
        Seconds to an answer, or to a stream's first event, without prompt.
    run_s : float
        Seconds that a request holds a slot.
    token_s : float
        Seconds that an engine reads a prompt token; 0 for a plain service.

    Examples
    --------
    >>> speed = LearnedSpeed.of_engine()
    >>> for _ in range(40):
    ...     speed.note_reading(0.04 + 5000 / 112_000, unread_tokens=5000)
    ...     speed.note_reading(0.04 + 300 / 112_000, unread_tokens=300)
    >>> 100_000 < speed.service_speed().tokens_per_s < 125_000
    True
    """

    first_s: float
    run_s: float
    token_s: float = 0.0

    @classmethod
    def of_plain(cls) -> 'LearnedSpeed':
        """Return what is believed of a plain service at first."""
        return cls(PLAIN_FIRST_S, PLAIN_FIRST_S)

    @classmethod
    def of_engine(cls) -> 'LearnedSpeed':
        """Return what is believed of a service of engines at first."""
        return cls(ENGINE_FIRST_S, ENGINE_RUN_S, ENGINE_TOKEN_S)

    def note(self, first_s: float, run_s: float) -> None:
        """Learn from one request that an upstream with free slots answered."""
        self.run_s += MEMORY * (run_s - self.run_s)
        if not self.token_s:
            self.first_s += MEMORY * (first_s - self.first_s)

    def note_reading(self, first_s: float, unread_tokens: int) -> None:
        """Learn from a first event before which nothing else was read."""
        if unread_tokens < SHORT_TOKENS:
            found_s = first_s - unread_tokens * self.token_s
            found_s = max(LEAST_FIRST_S, found_s)
            self.first_s = follow(self.first_s, found_s)
        elif unread_tokens >= LONG_TOKENS:
            found_s = (first_s - self.first_s) / unread_tokens
            bounded_s = min(SLOWEST_TOKEN_S, max(FASTEST_TOKEN_S, found_s))
            self.token_s = follow(self.token_s, bounded_s)

    def service_speed(self) -> ServiceSpeed:
        """Return what a choice reckons with."""
        tokens_per_s = 1 / self.token_s if self.token_s else 0.0
        return ServiceSpeed(self.first_s, tokens_per_s, self.run_s)


def follow(known_s: float, found_s: float) -> float:
    """Return an estimate one step nearer to what was found.

    Examples
    --------
    >>> follow(1.0, 30.0), follow(1.0, 0.0), follow(1.0, 0.99)
    (1.05, 0.92, 0.99)
    """
    if found_s < known_s:
        return max(found_s, known_s * (1 - FASTER_STEP))
    return min(found_s, known_s * (1 + SLOWER_STEP))
