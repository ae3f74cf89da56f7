"""Requests that were refused shortly before; no I/O.

Answers callers that repeat a refused request once: the second refusal is final
for them, so a returning request goes before new ones.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

# A request with the same content is a repeat within this time.
RETURN_WITHIN_S = 10.0
MAX_REFUSED = 8192


@dataclass
class RefusedRequests:
    """Fingerprints of requests that were refused lately.

    Examples
    --------
    >>> refused = RefusedRequests()
    >>> refused.record(b'a', 1.0)
    >>> refused.is_repeat(b'a', 5.0), refused.is_repeat(b'a', 12.0)
    (True, False)
    """

    times: OrderedDict[bytes, float] = field(default_factory=OrderedDict)

    def record(self, fingerprint: bytes, now_s: float) -> None:
        """Record a refusal."""
        if not fingerprint:
            return
        self.times[fingerprint] = now_s
        self.times.move_to_end(fingerprint)
        while len(self.times) > MAX_REFUSED:
            self.times.popitem(last=False)

    def forget(self, fingerprint: bytes) -> None:
        """Forget a request that has started."""
        self.times.pop(fingerprint, None)

    def is_repeat(self, fingerprint: bytes, now_s: float) -> bool:
        """Return whether a request was refused lately."""
        refused_s = self.times.get(fingerprint)
        return refused_s is not None and now_s - refused_s <= RETURN_WITHIN_S
