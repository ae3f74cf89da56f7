"""Outcomes that are stated beside a trace, checked by its replay."""

from dataclasses import dataclass
from pathlib import Path

from pydantic import Field, ValidationError

from godwitshunt.manifest.base import Name, StrictModel
from godwitshunt.replay.results import Ending, Results
from godwitshunt.replay.traces import TraceError, field_problems

SUFFIX = '.outcomes.json'


class StatedOutcomes(StrictModel):
    """What a replay of a trace must come to; an absent field asks nothing.

    Parameters
    ----------
    requests : int or None
        Requests that the trace holds.
    useful_share : float or None
        Least share answered whole within the deadline.
    refused_share, broken_share, share_away : float or None
        Largest shares of refused, of broken and unknown, and of served
        requests that left their home.
    first_p99_s : dict of str to float
        Largest p99 of the seconds to the first token, by class.
    """

    requests: int | None = Field(default=None, ge=0)
    useful_share: float | None = Field(default=None, ge=0, le=1)
    refused_share: float | None = Field(default=None, ge=0, le=1)
    broken_share: float | None = Field(default=None, ge=0, le=1)
    share_away: float | None = Field(default=None, ge=0, le=1)
    first_p99_s: dict[Name, float] = Field(default_factory=dict)


@dataclass(frozen=True)
class Missed:
    """A stated outcome that the replay did not come to."""

    outcome: str
    stated: float
    measured: float

    def __str__(self) -> str:
        return (
            f'{self.outcome}: stated {self.stated:g}, '
            f'measured {self.measured:g}'
        )


def outcomes_path(trace: Path) -> Path:
    """Return the path of the outcomes that are stated beside a trace."""
    return trace.with_name(trace.name + SUFFIX)


def read_outcomes(trace: Path) -> StatedOutcomes:
    """Read the outcomes beside a trace; nothing is asked where none are.

    Raises
    ------
    TraceError
        Where the file does not fit its model.
    """
    path = outcomes_path(trace)
    if not path.exists():
        return StatedOutcomes()
    try:
        return StatedOutcomes.model_validate_json(path.read_bytes())
    except ValidationError as invalid:
        problems = field_problems('outcomes', invalid)
        raise TraceError(str(path), problems) from None


def check_outcomes(
    stated: StatedOutcomes,
    results: Results,
) -> tuple[Missed, ...]:
    """Return every stated outcome that was missed."""
    broken = results.share(Ending.broken) + results.share(Ending.unknown)
    largest = [
        ('refused_share', stated.refused_share, results.share(Ending.refused)),
        ('broken_share', stated.broken_share, broken),
        ('share_away', stated.share_away, results.share_away),
    ]
    for name, limit_s in stated.first_p99_s.items():
        measured_s = results.first_p99_s(name)
        largest.append((f'first_p99_s.{name}', limit_s, measured_s))
    missed = [
        Missed(outcome, limit, measured)
        for outcome, limit, measured in largest
        if limit is not None and measured > limit
    ]
    count = results.endings.total()
    if stated.requests not in {None, count}:
        missed.append(Missed('requests', stated.requests, count))
    least = stated.useful_share
    if least is not None and results.useful_share < least:
        missed.append(Missed('useful_share', least, results.useful_share))
    return tuple(missed)
