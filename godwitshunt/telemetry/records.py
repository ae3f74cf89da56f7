"""JSON log lines, written for changes of state only."""

import sys
from pathlib import Path
from typing import Any

import eliot

from godwitshunt.telemetry.output import LineOutput


def open_log(path: Path | None) -> None:
    """Write log lines to a file, or to standard error if `path` is None."""
    if path is None:
        eliot.to_file(sys.stderr)
        return
    path.parent.mkdir(parents=True, exist_ok=True)
    eliot.to_file(path.open('a', buffering=1))


def open_standard_output() -> LineOutput:
    """Write log lines to standard output; the caller closes the result."""
    output = LineOutput(sys.stdout.fileno())
    output.start()
    eliot.add_destinations(output)
    return output


def log_change(change: str, /, **fields: Any) -> None:
    """Write one log line.

    Parameters
    ----------
    change : str
        Package and change, such as ``membership:upstream_expired``.
    **fields
        Values that describe the change; names include units.
    """
    eliot.log_message(message_type=change, **fields)
