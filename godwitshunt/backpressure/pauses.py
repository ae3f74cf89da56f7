"""Pauses that upstreams have asked one VM for when they refused a request."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass
class PauseTable:
    """Upstreams that have asked this VM for a pause.

    A pause binds the VM that was refused. Others may send to the upstream.

    Examples
    --------
    >>> pauses = PauseTable()
    >>> pauses.record('i-1', 3.0, now_s=5.0)
    True
    >>> pauses.remaining_s('i-1', now_s=7.5)
    0.5
    >>> pauses.record('i-1', 0.1, now_s=7.5)
    False
    """

    until_s: dict[str, float] = field(default_factory=dict)

    def record(self, incarnation: str, pause_s: float, now_s: float) -> bool:
        """Record a pause from now on; return whether it ends later than known.

        An earlier refusal may have asked for a longer pause, which holds.
        """
        until_s = now_s + pause_s
        if until_s <= self.until_s.get(incarnation, now_s):
            return False
        self.until_s[incarnation] = until_s
        return True

    def remaining_s(self, incarnation: str, now_s: float) -> float:
        """Return the seconds until the pause of an upstream ends, or zero."""
        return max(0.0, self.until_s.get(incarnation, now_s) - now_s)

    def active(self, now_s: float) -> Mapping[str, float]:
        """Return the remaining seconds of all pauses, by incarnation."""
        return {
            incarnation: until_s - now_s
            for incarnation, until_s in self.until_s.items()
            if until_s > now_s
        }

    def expire(self, now_s: float) -> None:
        """Remove the pauses that have ended."""
        for incarnation, until_s in tuple(self.until_s.items()):
            if until_s <= now_s:
                self.until_s.pop(incarnation)
