"""Parsing of log lines from files."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self

# Log collectors may prefix each line with a time and the process's name.
JSON_START = '{'


@dataclass(frozen=True)
class LogLine:
    """One line of one process's log.

    Parameters
    ----------
    source : str
        Name of the process: the last word before the JSON document, or the
        stem of the file name if the line has no prefix.
    kind : str
        Kind of the line (``message_type``), such as ``ingress:request_ended``.
    at_s : float
        Unix time by the writing process's clock, in seconds.
    fields : dict
        All fields of the JSON document.
    """

    source: str
    kind: str
    at_s: float
    fields: dict[str, Any] = field(default_factory=dict)

    @classmethod
    def from_text(cls, text: str, file_name: str) -> Self | None:
        """Parse a line; return None if it is not a log line.

        Examples
        --------
        >>> LogLine.from_text('1.5 e-1 {"message_type": "a:b"}', 'all').source
        'e-1'
        >>> LogLine.from_text('Traceback', 'all') is None
        True
        """
        prefix, opening, document = text.partition(JSON_START)
        if not opening:
            return None
        try:
            fields = json.loads(opening + document)
        except ValueError:
            return None
        words = prefix.split()
        return cls(
            source=words[-1] if words else file_name,
            kind=str(fields.get('message_type', '')),
            at_s=float(fields.get('timestamp', 0)),
            fields=fields,
        )


def read_logs(files: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the log lines of several files, one file after another.

    Raises
    ------
    OSError
        If a file cannot be read.
    """
    for file in files:
        with file.open(encoding='utf-8', errors='replace') as log:
            for text in log:
                line = LogLine.from_text(text, file.stem)
                if line is not None:
                    yield line
