"""The parts of prompts that were answered whole recently."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from godwitshunt.quarantine.fingerprint import Fingerprint

# Parts that are remembered; the one that was not answered for longest is
# forgotten first.
MAX_ANSWERED = 4096


@dataclass
class AnsweredParts:
    """When this VM last received a whole answer for each part of prompts.

    Parameters
    ----------
    max_parts : int
        Maximum number of parts.
    times : OrderedDict
        By the digest of the part's fingerprint, the oldest first.

    Examples
    --------
    >>> first, second = Fingerprint(bytes(16)), Fingerprint(bytes([1] * 16))
    >>> answered = AnsweredParts(max_parts=1)
    >>> answered.record((first,), now_s=1.0)
    >>> answered.record((second,), now_s=2.0)
    >>> answered.last_s(first), answered.last_s(second)
    (None, 2.0)
    """

    max_parts: int = MAX_ANSWERED
    times: OrderedDict[bytes, float] = field(default_factory=OrderedDict)

    def record(self, parts: Iterable[Fingerprint], now_s: float) -> None:
        """Record that a prompt with some parts was answered whole."""
        for part in parts:
            self.times[part.digest] = now_s
            self.times.move_to_end(part.digest)
        while len(self.times) > self.max_parts:
            self.times.popitem(last=False)

    def last_s(self, part: Fingerprint) -> float | None:
        """Return when a part was last answered; None if not known."""
        return self.times.get(part.digest)
