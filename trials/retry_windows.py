"""The retry window closest to the limit, from the log lines of all VMs.

Each VM limits its own retries. Whether the sum over all VMs, and over the
processes that ran before a restart, stays within the limit is seen only in
their logs together.
"""

import json
import sys
from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import defopt

from godwitshunt.routing.retry_window import RetryBounds

DECIDED = 'ingress:retry_decided'
ENDED = 'ingress:request_ended'


@dataclass(frozen=True)
class Window:
    """Retries in one window and what the limit allows.

    Parameters
    ----------
    start_s : float
        Time of the first retry in the window, in seconds.
    retries, requests : int
        Retries in the window, and requests by which they are limited.
    allowed : float
        The limit.
    """

    start_s: float
    retries: int
    requests: int
    allowed: float

    @property
    def use(self) -> float:
        """Retries as a share of the limit."""
        return self.retries / self.allowed if self.allowed else float('inf')


@dataclass
class ServiceTimes:
    """Times of the requests and of the retries of one service.

    Examples
    --------
    >>> times = ServiceTimes(requests=[0.0, 1.0, 2.0, 3.0], retries=[3.5])
    >>> times.closest(RetryBounds(share=0.5, allowance=0)).use
    0.5
    """

    requests: list[float] = field(default_factory=list)
    retries: list[float] = field(default_factory=list)

    def closest(self, bounds: RetryBounds) -> Window | None:
        """Return the window with most retries for its limit."""
        requests = sorted(self.requests)
        retries = sorted(self.retries)
        windows = (
            limited_window(start_s, requests, retries, bounds)
            for start_s in retries
        )
        return max(windows, key=lambda window: window.use, default=None)


def limited_window(
    start_s: float,
    requests: list[float],
    retries: list[float],
    bounds: RetryBounds,
) -> Window:
    """Return the window that starts at a time.

    The requests are those of the window itself, of the one before it or of the
    one half a window before it, whichever has most.
    """
    span_s = bounds.window_s
    most = max(
        count_within(requests, start_s - offset_s, span_s)
        for offset_s in (0, span_s / 2, span_s)
    )
    return Window(
        start_s,
        count_within(retries, start_s, span_s),
        most,
        bounds.share * most + bounds.allowance,
    )


def count_within(times: list[float], start_s: float, span_s: float) -> int:
    """Return how many of some sorted times lie within a window."""
    return bisect_right(times, start_s + span_s) - bisect_left(times, start_s)


def read_lines(paths: Iterable[Path]) -> Iterator[dict[str, Any]]:
    """Yield the log lines of some files; text before each line is ignored."""
    for path in paths:
        with path.open() as log:
            yield from filter(None, map(read_line, log))


def read_line(line: str) -> dict[str, Any] | None:
    """Return a log line that tells of requests or retries; None for others."""
    start = line.find('{')
    if start < 0 or not (DECIDED in line or ENDED in line):
        return None
    try:
        return json.loads(line[start:])
    except ValueError:
        sys.stderr.write(f'not a whole line: {line[:80]!r}\n')
        return None


def times_by_service(
    lines: Iterable[dict[str, Any]],
) -> dict[str, ServiceTimes]:
    """Return the times of requests and of allowed retries by service."""
    services: dict[str, ServiceTimes] = defaultdict(ServiceTimes)
    for line in lines:
        times = services[line['service']]
        at_s = line['timestamp']
        if line['message_type'] == DECIDED and line['allowed']:
            times.retries.append(at_s)
        elif line['message_type'] == ENDED and not line['handed_over']:
            times.requests.append(at_s - line['took_s'])
    return services


def main(
    *logs: Path,
    share: float = 0.1,
    allowance: float = 10.0,
    window_s: float = 10.0,
) -> None:
    """Print the window closest to the limit of each service.

    :param logs: Logs of all entry VMs.
    :param share: Retries as a share of requests.
    :param allowance: Retries beyond that share.
    :param window_s: Length of the window in seconds.
    """
    bounds = RetryBounds(share, allowance, window_s)
    services = times_by_service(read_lines(logs))
    for name, times in sorted(services.items()):
        closest = describe(times.closest(bounds))
        sys.stdout.write(f'{name}: {len(times.requests)} requests; {closest}\n')


def describe(window: Window | None) -> str:
    """Return a window in words."""
    if window is None:
        return 'no retries'
    return (
        f'{window.retries} retries, {window.allowed:.0f} allowed for '
        f'{window.requests} requests, from {window.start_s:.3f}'
    )


if __name__ == '__main__':
    defopt.run(main)
