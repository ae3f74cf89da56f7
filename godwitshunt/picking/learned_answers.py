"""Lengths of answers, learned by route from completed answers; no I/O.

An engine's memory holds a request's answer beside its prompt. Callers state a
maximum that most answers don't come near, so a reservation of the maximum
would leave memory unused.
"""

from dataclasses import dataclass, field
from math import ceil

# Reserved for the first answers of a route whose requests state no maximum.
DEFAULT_ANSWER_TOKENS = 256
# The steps are as 9 to 1, so that about one answer in ten is longer than the
# estimate. With the mean, half of the answers would take memory that was not
# reserved for them.
MAX_INCREASE_SHARE = 0.18
MAX_DECREASE_SHARE = 0.02


@dataclass
class LearnedAnswers:
    """Length that nine in ten answers of a route do not exceed.

    Examples
    --------
    >>> answers = LearnedAnswers()
    >>> answers.expected_tokens('chat', stated=4000)
    4000
    >>> answers.record('chat', 320)
    >>> answers.expected_tokens('chat', stated=4000)
    320
    >>> answers.expected_tokens('chat', stated=100)
    100
    """

    tokens: dict[str, float] = field(default_factory=dict)

    def record(self, route: str, tokens: int) -> None:
        """Record the length of a complete answer."""
        known = self.tokens.get(route, tokens)
        if tokens < known:
            known = max(tokens, known * (1 - MAX_DECREASE_SHARE))
        else:
            known = min(tokens, known * (1 + MAX_INCREASE_SHARE))
        self.tokens[route] = max(1.0, known)

    def expected_tokens(self, route: str, stated: int) -> int:
        """Return the length to reserve for an answer.

        Parameters
        ----------
        stated : int
            Maximum that the request states; 0 if it states none.
        """
        known = self.tokens.get(route)
        if known is None:
            return stated or DEFAULT_ANSWER_TOKENS
        expected = ceil(known)
        return min(expected, stated) if stated else expected
