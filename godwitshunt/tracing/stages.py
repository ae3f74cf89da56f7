"""How long requests take from stage to stage, from log lines; pure."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from math import ceil

from godwitshunt.tracing.lines import LogLine
from godwitshunt.tracing.losses import is_of_caller
from godwitshunt.tracing.timeline import ENDED

# In the order in which a request reaches them.
STAGES = ('admitted', 'placed', 'connected', 'sent', 'heard')
MILLISECONDS = 1000
# A request that takes longer than this part of its objective to be sent to
# its first upstream has little left for that.
LATE_SHARE = 0.1
VERY_LATE_SHARE = 0.5


@dataclass
class StageTimes:
    """Requests of one objective, and how long each of their stages took.

    Parameters
    ----------
    took_ms : dict
        By stage, milliseconds from the stage before.
    late, very_late : int
        Requests that took longer than a tenth, and than half, of their
        objective to be sent out for the first time.
    """

    objective_s: float
    requests: int = 0
    took_ms: dict[str, list[float]] = field(default_factory=dict)
    late: int = 0
    very_late: int = 0

    def add(self, reached: dict[str, float]) -> None:
        """Count one request by when it reached its stages."""
        self.requests += 1
        before_ms = 0.0
        known = [(one, reached[one]) for one in STAGES if one in reached]
        for stage, at_ms in known:
            took_ms = max(0.0, at_ms - before_ms)
            self.took_ms.setdefault(stage, []).append(took_ms)
            before_ms = at_ms
        share = reached.get('sent', 0.0) / MILLISECONDS / self.objective_s
        self.late += share > LATE_SHARE
        self.very_late += share > VERY_LATE_SHARE


def tabulate_stages(logs: Iterable[LogLine]) -> dict[str, StageTimes]:
    """Return the times of each route's requests, by the route's name."""
    found: dict[str, StageTimes] = {}
    for line in logs:
        told = line.fields
        if line.kind != ENDED or not is_of_caller(line):
            continue
        if told.get('stages') and told.get('objective_s'):
            route = str(told.get('route', '-'))
            times = StageTimes(told['objective_s'])
            found.setdefault(route, times).add(told['stages'])
    return found


def percentile(figures: Sequence[float], share: float) -> float:
    """Return the smallest figure that a share of all does not exceed.

    Examples
    --------
    >>> percentile([3.0, 1.0, 2.0, 4.0], 0.5)
    2.0
    """
    ordered = sorted(figures)
    return ordered[max(0, ceil(share * len(ordered)) - 1)]
