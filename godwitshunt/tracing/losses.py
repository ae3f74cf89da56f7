"""Table of failed and late requests by reason; no I/O.

Each entry VM writes one line per request that it handled. The table counts the
lines of the VMs that received the requests from callers: one row for each
reason, with counts by route and by time window.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import floor

from godwitshunt.tracing.lines import LogLine
from godwitshunt.tracing.timeline import (
    ENDED_KIND,
    REFUSED_KIND,
    list_destinations,
)

WINDOW_S = 2.0
IN_TIME = 'in time'


@dataclass
class LossRow:
    """Requests that failed or were late for one reason.

    Parameters
    ----------
    routes : Counter
        Number of requests by route.
    windows : Counter
        Number of requests by index of the window of `WINDOW_S` seconds since
        the first line.
    example : str
        Id of one of the requests, for ``godwitshunt trace``.
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
    """Return a row for each reason, in descending order of requests.

    Requests that ended in time have a row too, so that fractions of the total
    can be computed.
    """
    lines = [log_line for log_line in logs if is_from_receiving_vm(log_line)]
    start_s = min((log_line.at_s for log_line in lines), default=0.0)
    rows: dict[str, LossRow] = {}
    for line in lines:
        window = floor((line.at_s - start_s) / WINDOW_S)
        rows.setdefault(loss_reason(line), LossRow()).add(line, window)
    return dict(sorted(rows.items(), key=lambda row: -row[1].count))


def is_from_receiving_vm(line: LogLine) -> bool:
    """Return whether the VM of a line received the request from its caller."""
    if line.kind == REFUSED_KIND:
        return True
    return line.kind == ENDED_KIND and not line.fields.get('handed_over')


def loss_reason(line: LogLine) -> str:
    """Return why a request failed or was late, or `IN_TIME`.

    Examples
    --------
    >>> fields = {'ending': 'streamed', 'first_s': 2.0, 'objective_s': 0.8}
    >>> fields |= {
    ...     'choices': ['i-1 of i-1@a=0.100s/0.1/3/0'],
    ...     'attempts': ['x:y'],
    ... }
    >>> loss_reason(LogLine('e-1', ENDED_KIND, 0.0, fields))
    'late: longer than predicted'
    """
    fields = line.fields
    if line.kind == REFUSED_KIND:
        return f'not admitted: {fields.get("detail")}'
    ending = fields['ending']
    if ending.startswith('answered 5'):
        return 'answered with an upstream failure'
    if not ending.startswith(('streamed', 'answered')):
        return ending
    objective_s = fields.get('objective_s') or float('inf')
    if (fields.get('first_s') or 0.0) > objective_s:
        return f'late: {late_reason(fields, objective_s)}'
    longest_s = fields.get('longest_gap_s') or 0.0
    if longest_s > (fields.get('gap_s') or float('inf')):
        return 'late: a pause within the stream'
    return IN_TIME


def late_reason(fields: dict, objective_s: float) -> str:
    """Return why the first event or the answer was late."""
    if len(fields['attempts']) > 1:
        return 'an attempt before it failed'
    predicted_s = (
        parse_predicted_s(fields['choices'][-1]) if fields['choices'] else 0.0
    )
    if predicted_s > objective_s:
        return 'as predicted'
    destinations = list_destinations(fields)
    if destinations and '/' in destinations[-1]:
        return 'in another region'
    return 'longer than predicted'


def parse_predicted_s(choice: str) -> float:
    """Return the predicted time of a choice, in seconds; 0 if not listed.

    Examples
    --------
    >>> parse_predicted_s('i-2 of i-1@a=0.100s/0.1/3/0 i-2@a=0.250s/0.3/4/0')
    0.25
    """
    destination, _, candidates = choice.partition(' of ')
    region = destination.partition('/')[0]
    for candidate in candidates.split():
        name, _, estimate = candidate.partition('=')
        instance, _, candidate_region = name.partition('@')
        if instance == destination or (
            '/' in destination and candidate_region == region
        ):
            return float(estimate.partition('s/')[0])
    return 0.0
