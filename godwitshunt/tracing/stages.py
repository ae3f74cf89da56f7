"""Durations of the stages of requests, from log lines; no I/O."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from math import ceil

from godwitshunt.tracing.lines import LogLine
from godwitshunt.tracing.losses import is_from_receiving_vm
from godwitshunt.tracing.timeline import ENDED_KIND

# In the order in which a request reaches them; the names are keys in log lines.
STAGES = ('admitted', 'placed', 'connected', 'sent', 'heard')
MILLISECONDS = 1000
# Fractions of the objective. A request that is sent to its first upstream later
# than this leaves the upstream little time.
LATE_SHARE = 0.1
VERY_LATE_SHARE = 0.5


@dataclass
class StageTimes:
    """Stage durations of the requests of one route.

    Parameters
    ----------
    objective_s : float
        Latency objective of the requests, in seconds.
    requests : int
        Number of requests.
    took_ms : dict
        Milliseconds since the previous stage, by stage.
    late, very_late : int
        Requests that were first sent to an upstream after more than
        `LATE_SHARE` or `VERY_LATE_SHARE` of their objective.
    """

    objective_s: float
    requests: int = 0
    took_ms: dict[str, list[float]] = field(default_factory=dict)
    late: int = 0
    very_late: int = 0

    def add(self, reached_ms: dict[str, float]) -> None:
        """Count a request.

        Parameters
        ----------
        reached_ms : dict
            Milliseconds from the start of the request, by stage.
        """
        self.requests += 1
        before_ms = 0.0
        reached_stages = [
            (name, reached_ms[name]) for name in STAGES if name in reached_ms
        ]
        for stage, at_ms in reached_stages:
            took_ms = max(0.0, at_ms - before_ms)
            self.took_ms.setdefault(stage, []).append(took_ms)
            before_ms = at_ms
        fraction = reached_ms.get('sent', 0.0) / MILLISECONDS / self.objective_s
        self.late += fraction > LATE_SHARE
        self.very_late += fraction > VERY_LATE_SHARE


def tabulate_stages(logs: Iterable[LogLine]) -> dict[str, StageTimes]:
    """Return the stage durations of requests, by route."""
    times_by_route: dict[str, StageTimes] = {}
    for line in logs:
        fields = line.fields
        if line.kind != ENDED_KIND or not is_from_receiving_vm(line):
            continue
        if fields.get('stages') and fields.get('objective_s'):
            route = str(fields.get('route', '-'))
            times = StageTimes(fields['objective_s'])
            times_by_route.setdefault(route, times).add(fields['stages'])
    return times_by_route


def percentile(samples: Sequence[float], fraction: float) -> float:
    """Return the nearest-rank percentile of samples.

    Parameters
    ----------
    samples : sequence of float
        Samples in any order, at least one.
    fraction : float
        Rank of the percentile, from 0 to 1.

    Examples
    --------
    >>> percentile([3.0, 1.0, 2.0, 4.0], 0.5)
    2.0
    """
    ordered = sorted(samples)
    return ordered[max(0, ceil(fraction * len(ordered)) - 1)]
