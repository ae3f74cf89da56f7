"""Traces of requests as JSON lines, each line a checked model."""

from collections.abc import Iterable
from pathlib import Path

from pydantic import Field, ValidationError

from godwitshunt.exceptions import DocumentError, FieldProblem
from godwitshunt.manifest.base import Name, StrictModel

VALUE_CHARACTERS = 80


class TraceError(DocumentError):
    """A trace or its stated outcomes that do not fit their model."""


class TraceRequest(StrictModel):
    """One request of a trace.

    Parameters
    ----------
    arrival_s : float
        Seconds from the trace's start until it is sent.
    caller, request_class, service : str
        Names from the manifest.
    model : str or None
        None for plain services.
    home : str
        The caller's home region, by which the share away is measured.
    prefix : int
        Number of the prompt's shared start; equal numbers are equal text.
    prefix_tokens, prompt_tokens : int
        Lengths in tokens of the shared start and of the whole prompt.
    output_tokens : int
        Tokens that are asked for.
    deadline_s : float
        Seconds after its arrival until the answer is of no use.
    idempotent : bool
        False where it may run at most once, under a key.
    """

    arrival_s: float = Field(ge=0)
    caller: Name
    request_class: Name
    service: Name
    model: Name | None = None
    home: Name
    prefix: int = Field(default=0, ge=0)
    prefix_tokens: int = Field(default=0, ge=0)
    prompt_tokens: int = Field(default=0, ge=0)
    output_tokens: int = Field(default=0, ge=0)
    deadline_s: float = Field(default=30.0, gt=0)
    idempotent: bool = True


def write_trace(path: Path, requests: Iterable[TraceRequest]) -> None:
    """Write a trace, one request a line."""
    with path.open('w', encoding='utf-8') as lines:
        for request in requests:
            lines.write(f'{request.model_dump_json()}\n')


def read_trace(path: Path) -> tuple[TraceRequest, ...]:
    """Read a trace in the order of its arrivals.

    Raises
    ------
    TraceError
        Names the file, each wrong line with its field, the value found and
        what was expected.
    """
    requests = []
    problems = []
    text = path.read_text(encoding='utf-8')
    for number, line in enumerate(text.splitlines(), start=1):
        try:
            requests.append(TraceRequest.model_validate_json(line))
        except ValidationError as invalid:
            problems.extend(field_problems(f'line {number}', invalid))
    if problems:
        raise TraceError(str(path), tuple(problems))
    return tuple(sorted(requests, key=lambda request: request.arrival_s))


def field_problems(
    place: str,
    invalid: ValidationError,
) -> tuple[FieldProblem, ...]:
    """Return each wrong field of a document."""
    return tuple(
        FieldProblem(
            field='.'.join((place, *map(str, error['loc']))),
            found=repr(error['input'])[:VALUE_CHARACTERS],
            expected=error['msg'],
        )
        for error in invalid.errors(include_url=False)
    )
