"""Log lines of processes, as they stand in files."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self

# A collector may put a time and the process's name before each line.
JSON_START = '{'


@dataclass(frozen=True)
class LogLine:
    """One line of one process's log.

    Parameters
    ----------
    source : str
        The process: the last word before the document on its line, or the
        file's name without ending.
    kind : str
        What the line tells of, such as ``ingress:request_ended``.
    at_s : float
        Time of day of the process that wrote it, in seconds.
    fields : dict
        All fields.
    """

    source: str
    kind: str
    at_s: float
    fields: dict[str, Any] = field(default_factory=dict)

    @classmethod
    def from_text(cls, text: str, file_name: str) -> Self | None:
        """Read a line; None for one that is no log line.

        Examples
        --------
        >>> LogLine.from_text('1.5 e-1 {"message_type": "a:b"}', 'all').source
        'e-1'
        >>> LogLine.from_text('Traceback', 'all') is None
        True
        """
        before, brace, document = text.partition(JSON_START)
        if not brace:
            return None
        try:
            fields = json.loads(brace + document)
        except ValueError:
            return None
        words = before.split()
        return cls(
            source=words[-1] if words else file_name,
            kind=str(fields.get('message_type', '')),
            at_s=float(fields.get('timestamp', 0)),
            fields=fields,
        )


def read_logs(files: Iterable[Path]) -> Iterator[LogLine]:
    """Give the lines of several logs, file after file.

    Raises
    ------
    OSError
        Where a file cannot be read.
    """
    for file in files:
        with file.open(encoding='utf-8', errors='replace') as log:
            for text in log:
                line = LogLine.from_text(text, file.stem)
                if line is not None:
                    yield line
