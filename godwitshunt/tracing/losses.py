"""Which requests did not end as their callers wish, when and why; pure.

Each entry VM writes one line a request. This gathers the lines of the VMs that
took them from callers into a table: a row for each reason, with its kinds of
request and its moments.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import floor

from godwitshunt.tracing.lines import LogLine
from godwitshunt.tracing.timeline import ENDED, REFUSED, places_of

WINDOW_S = 2.0
IN_TIME = 'in time'


@dataclass
class LossRow:
    """The requests that one reason cost.

    Parameters
    ----------
    routes : Counter
        Requests by route.
    windows : Counter
        Requests by window, counted in `WINDOW_S` from the first line.
    example : str
        Id of one of them, for ``godwitshunt trace``.
    """

    count: int = 0
    routes: Counter[str] = field(default_factory=Counter)
    windows: Counter[int] = field(default_factory=Counter)
    example: str = ''

    def add(self, line: LogLine, window: int) -> None:
        """Count one request."""
        self.count += 1
        self.routes[str(line.fields.get('route', '-'))] += 1
        self.windows[window] += 1
        self.example = self.example or str(line.fields.get('request', ''))


def tabulate_losses(logs: Iterable[LogLine]) -> dict[str, LossRow]:
    """Return a row for each reason, the most requests first.

    Requests that ended in time have a row, too, so that shares can be taken.
    """
    lines = [one for one in logs if is_of_caller(one)]
    start_s = min((one.at_s for one in lines), default=0.0)
    rows: dict[str, LossRow] = {}
    for line in lines:
        window = floor((line.at_s - start_s) / WINDOW_S)
        rows.setdefault(reason_of_loss(line), LossRow()).add(line, window)
    return dict(sorted(rows.items(), key=lambda row: -row[1].count))


def is_of_caller(line: LogLine) -> bool:
    """Tell whether a line is of the VM that took a request from its caller."""
    if line.kind == REFUSED:
        return True
    return line.kind == ENDED and not line.fields.get('handed_over')


def reason_of_loss(line: LogLine) -> str:
    """Return why a request is a loss, or that it is none.

    Examples
    --------
    >>> told = {'ending': 'streamed', 'first_s': 2.0, 'objective_s': 0.8}
    >>> told |= {
    ...     'choices': ['i-1 of i-1@a=0.100s/0.1/3/0'],
    ...     'attempts': ['x:y'],
    ... }
    >>> reason_of_loss(LogLine('e-1', ENDED, 0.0, told))
    'late: longer than predicted'
    """
    told = line.fields
    if line.kind == REFUSED:
        return f'not admitted: {told.get("detail")}'
    ending = told['ending']
    if ending.startswith('answered 5'):
        return 'answered with an upstream failure'
    if not ending.startswith(('streamed', 'answered')):
        return ending
    objective_s = told.get('objective_s') or float('inf')
    if (told.get('first_s') or 0.0) > objective_s:
        return f'late: {why_late(told, objective_s)}'
    longest_s = told.get('longest_gap_s') or 0.0
    if longest_s > (told.get('gap_s') or float('inf')):
        return 'late: a pause within the stream'
    return IN_TIME


def why_late(told: dict, objective_s: float) -> str:
    """Return why a first event or an answer came late."""
    if len(told['attempts']) > 1:
        return 'an attempt before it failed'
    predicted_s = predicted_of(told['choices'][-1]) if told['choices'] else 0.0
    if predicted_s > objective_s:
        return 'as predicted'
    places = places_of(told)
    if places and '/' in places[-1]:
        return 'in another region'
    return 'longer than predicted'


def predicted_of(choice: str) -> float:
    """Return the seconds that a choice was predicted to take.

    Examples
    --------
    >>> predicted_of('i-2 of i-1@a=0.100s/0.1/3/0 i-2@a=0.250s/0.3/4/0')
    0.25
    """
    place, _, listed = choice.partition(' of ')
    region = place.partition('/')[0]
    for one in listed.split():
        name, _, figures = one.partition('=')
        instance, _, where = name.partition('@')
        if instance == place or ('/' in place and where == region):
            return float(figures.partition('s/')[0])
    return 0.0
