"""The ``trace`` command: one request's story from many processes' logs."""

import json
from pathlib import Path

from godwitshunt.exceptions import FieldProblem, SettingsError
from godwitshunt.programs.operator_session import ExitCode, leave
from godwitshunt.tracing import read_logs, tell


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
        story = tell(request, read_logs(files))
    except OSError as unread:
        wanted = f'a log that can be read ({unread.strerror})'
        problem = FieldProblem('files', str(unread.filename), wanted)
        raise SettingsError('command line', (problem,)) from None
    if story is None:
        leave(ExitCode.invalid, f'no line names request {request}')
    for line in (*story.lines, *story.context):
        print(f'{line.at_s:.3f} {line.source} {json.dumps(line.fields)}')
    print(story.sentence)
