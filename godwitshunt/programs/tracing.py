"""The commands that read many logs: ``trace``, ``losses``, ``stages``."""

import json
from pathlib import Path

from godwitshunt.exceptions import FieldProblem, SettingsError
from godwitshunt.programs.operator_session import ExitCode, leave
from godwitshunt.tracing import (
    LossRow,
    StageTimes,
    build_timeline,
    read_logs,
    tabulate_losses,
    tabulate_stages,
)
from godwitshunt.tracing.losses import WINDOW_S
from godwitshunt.tracing.stages import percentile

MOST_SHOWN = 4
MEDIAN = 0.5
TAIL = 0.99


def trace(request: str, *files: Path) -> None:
    """Tell what became of a request, and why.

    Prints the lines of the VMs that served the request in causal order, what
    the same processes came to believe around that time, and a sentence on why
    it ended so. Exit code 0 where a line names the request, 10 where none
    does.

    :param request: id of the caller's attempt.
    :param files: logs of entry VMs, one file a process, or one file in which
        each line begins with its process's name.
    """
    try:
        timeline = build_timeline(request, read_logs(files))
    except OSError as unread:
        raise unreadable(unread) from None
    if timeline is None:
        leave(ExitCode.invalid, f'no line names request {request}')
    for line in (*timeline.lines, *timeline.context):
        print(f'{line.at_s:.3f} {line.source} {json.dumps(line.fields)}')
    print(timeline.summary)


def losses(*files: Path) -> None:
    """Tell which requests did not end in time, when and why.

    Prints a row for each reason, the most requests first: how many, their
    commonest routes and moments, and the id of one for ``trace``.

    :param files: logs of entry VMs, one file a process, or one file in which
        each line begins with its process's name.
    """
    try:
        rows = tabulate_losses(read_logs(files))
    except OSError as unread:
        raise unreadable(unread) from None
    for reason, row in rows.items():
        print(f'{row.count:6} {reason}: {describe(row)}')


def stages(*files: Path, from_s: float = 0.0, to_s: float = 1e12) -> None:
    """Tell how long requests took from stage to stage.

    Prints for each route, by stage, the median and the 99th percentile of the
    milliseconds since the stage before, and how many requests took longer
    than a tenth, and than half, of their objective to be sent out.

    :param files: logs of entry VMs, one file a process, or one file in which
        each line begins with its process's name.
    :param from_s: seconds after the first line from which requests count.
    :param to_s: seconds after the first line until which they count.
    """
    try:
        lines = tuple(read_logs(files))
    except OSError as unread:
        raise unreadable(unread) from None
    start_s = min((line.at_s for line in lines), default=0.0)
    counted = [one for one in lines if from_s <= one.at_s - start_s < to_s]
    for route, times in tabulate_stages(counted).items():
        print(f'{route}: {describe_stages(times)}')


def describe_stages(times: StageTimes) -> str:
    """Return what one route's requests took."""
    parts = [
        f'{stage} {percentile(took, MEDIAN):.1f}/{percentile(took, TAIL):.1f}'
        for stage, took in times.took_ms.items()
    ]
    return (
        f'{times.requests} requests, objective {times.objective_s:.3f} s; '
        f'ms {", ".join(parts)}; sent after a tenth of it {times.late}, '
        f'after half {times.very_late}'
    )


def describe(row: LossRow) -> str:
    """Return a row's commonest routes and moments, and an example."""
    routes = ', '.join(
        f'{route} {count}' for route, count in row.routes.most_common(3)
    )
    moments = ', '.join(
        f'{window * WINDOW_S:.0f} s {count}'
        for window, count in row.windows.most_common(MOST_SHOWN)
    )
    return f'{routes}; from {moments}; such as {row.example}'


def unreadable(unread: OSError) -> SettingsError:
    """Return what to raise for a log that cannot be read."""
    wanted = f'a log that can be read ({unread.strerror})'
    problem = FieldProblem('files', str(unread.filename), wanted)
    return SettingsError('command line', (problem,))
