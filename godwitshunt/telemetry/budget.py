"""Rate limit and sampling of log lines; no I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

# Endings of successful requests, whose lines are sampled under load. The
# request id selects the sample, so that all VMs that handled a request keep its
# lines or all drop them.
SUCCESS_ENDINGS = ('answered 200', 'streamed')
SAMPLE_ONE_IN = 16


@dataclass(frozen=True)
class LineLimits:
    """Limits of the log output of a process.

    Parameters
    ----------
    sampling_threshold_per_s : int
        Lines per second above which lines of successful requests are
        sampled. An entry VM is expected to complete 40 requests per second.
    max_lines_per_s : int
        Lines per second above which all further lines are dropped.
    max_queued_bytes : int
        Maximum size of the lines that are queued to be written, in bytes.
    """

    sampling_threshold_per_s: int = 400
    max_lines_per_s: int = 2000
    max_queued_bytes: int = 4 * 1024 * 1024


@dataclass
class LineBudget:
    """Counts the lines of the current second and all dropped lines.

    Examples
    --------
    >>> budget = LineBudget(
    ...     LineLimits(sampling_threshold_per_s=1, max_lines_per_s=2),
    ... )
    >>> line = {'ending': 'streamed', 'request': 'a'}
    >>> [budget.admit(line, 0.1) for _ in range(3)]
    [True, False, False]
    >>> budget.admit({'ending': 'broken off'}, 0.2)
    True
    >>> budget.admit({'ending': 'broken off'}, 0.3), budget.dropped
    (False, 3)
    """

    limits: LineLimits = field(default_factory=LineLimits)
    second: int = 0
    lines: int = 0
    dropped: int = 0

    def admit(self, line: Mapping[str, Any], now_s: float) -> bool:
        """Count a line; return False if it must be dropped."""
        if int(now_s) != self.second:
            self.second = int(now_s)
            self.lines = 0
        if self.should_write(line):
            self.lines += 1
            return True
        self.dropped += 1
        return False

    def should_write(self, line: Mapping[str, Any]) -> bool:
        """Return whether a line is written at the current line rate."""
        if self.lines >= self.limits.max_lines_per_s:
            return False
        if self.lines < self.limits.sampling_threshold_per_s:
            return True
        if line.get('ending') not in SUCCESS_ENDINGS:
            return True
        return not crc32(str(line.get('request')).encode()) % SAMPLE_ONE_IN
