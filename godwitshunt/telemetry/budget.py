"""How many log lines a process writes, and which go first; pure."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

# Lines that tell of an ordinary success; of these a sample stays under load,
# the same on every VM that had the request.
ORDINARY = ('answered 200', 'streamed')
SAMPLED_OF = 16


@dataclass(frozen=True)
class LineLimits:
    """What a process may write.

    Parameters
    ----------
    ordinary_per_s : int
        Lines in a second above which ordinary successes are sampled. An
        entry VM of the users' sheets ends 40 requests a second.
    lines_per_s : int
        Lines in a second above which every further one is dropped.
    waiting_bytes : int
        Bytes that may wait to be written.
    """

    ordinary_per_s: int = 400
    lines_per_s: int = 2000
    waiting_bytes: int = 4 * 1024 * 1024


@dataclass
class LineBudget:
    """Counts lines by the second, and those that were dropped.

    Examples
    --------
    >>> budget = LineBudget(LineLimits(ordinary_per_s=1, lines_per_s=2))
    >>> line = {'ending': 'streamed', 'request': 'a'}
    >>> [budget.admits(line, 0.1) for _ in range(3)]
    [True, False, False]
    >>> budget.admits({'ending': 'broken off'}, 0.2)
    True
    >>> budget.admits({'ending': 'broken off'}, 0.3), budget.dropped
    (False, 3)
    """

    limits: LineLimits = field(default_factory=LineLimits)
    second: int = 0
    lines: int = 0
    dropped: int = 0

    def admits(self, line: Mapping[str, Any], now_s: float) -> bool:
        """Count a line; False where it is not to be written."""
        if int(now_s) != self.second:
            self.second = int(now_s)
            self.lines = 0
        if self.is_wanted(line):
            self.lines += 1
            return True
        self.dropped += 1
        return False

    def is_wanted(self, line: Mapping[str, Any]) -> bool:
        """Tell whether a line goes out at this load."""
        if self.lines >= self.limits.lines_per_s:
            return False
        if self.lines < self.limits.ordinary_per_s:
            return True
        if line.get('ending') not in ORDINARY:
            return True
        return not crc32(str(line.get('request')).encode()) % SAMPLED_OF
