"""Reports of attempts at upstreams, from entry VMs to their picker."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from godwitshunt.exceptions import FrameError
from godwitshunt.registry.gen.wire import ttypes

MILLISECONDS = 1000


class AttemptResult(IntEnum):
    """Result of an attempt.

    `answered`: the answer was complete. `failed`: the answer was interrupted
    or reported an error. `full`: the upstream refused the request because it
    was full. `unreached`: the connection failed. `replaced`: another upstream
    answered at the address. `nothing`: the upstream sent nothing for a long
    time, until the caller disconnected or the deadline passed.
    """

    answered = 1
    failed = 2
    full = 3
    unreached = 4
    replaced = 5
    nothing = 6


@dataclass(frozen=True)
class AttemptReport:
    """Result and times of one attempt at an upstream.

    Parameters
    ----------
    instance : str
        The incarnation.
    shown : AttemptResult
        The result.
    first_s : float or None
        Seconds to the first bytes of the answer; None if there were none.
    took_s : float
        Duration in seconds.
    predicted_s : float
        Seconds to the first bytes, as predicted when the request was sent.
    unread_tokens : int
        Prefill cost of the uncached part of the prompt, in tokens of a short
        prompt.
    was_held_up : bool
        True if the engine had other prompts to prefill first or was cold, so
        that the times say nothing about its speed.
    route : str
        The route of the request.
    answer_tokens : int or None
        Length of the complete answer; None if it is not known.
    """

    instance: str
    service: str
    shown: AttemptResult
    first_s: float | None = None
    took_s: float = 0.0
    predicted_s: float = 0.0
    unread_tokens: int = 0
    was_held_up: bool = False
    route: str = ''
    answer_tokens: int | None = None

    @property
    def is_answer(self) -> bool:
        """True if the upstream has answered, by a refusal or completely."""
        return self.shown in {AttemptResult.answered, AttemptResult.full}


def attempts_to_wire(
    reports: Iterable[AttemptReport],
) -> list[ttypes.AttemptShown]:
    """Convert reports to thrift structs."""
    return [
        ttypes.AttemptShown(
            instance=report.instance,
            service_name=report.service,
            shown=int(report.shown),
            first_ms=(
                None if report.first_s is None else milliseconds(report.first_s)
            ),
            took_ms=milliseconds(report.took_s),
            predicted_ms=milliseconds(report.predicted_s),
            unread_tokens=report.unread_tokens,
            was_held_up=report.was_held_up,
            route=None if report.answer_tokens is None else report.route,
            answer_tokens=report.answer_tokens,
        )
        for report in reports
    ]


def attempts_from_wire(
    structs: Iterable[ttypes.AttemptShown] | None,
) -> list[AttemptReport]:
    """Convert thrift structs to reports.

    Raises
    ------
    FrameError
        If a result is unknown or a field is missing.
    """
    try:
        return [read_attempt(struct) for struct in structs or ()]
    except (ValueError, TypeError) as bad:
        raise FrameError(f'AttemptShown: {bad!r}') from None


def read_attempt(struct: ttypes.AttemptShown) -> AttemptReport:
    """Convert one thrift struct to a report."""
    first_s = (
        None if struct.first_ms is None else struct.first_ms / MILLISECONDS
    )
    return AttemptReport(
        instance=struct.instance,
        service=struct.service_name,
        shown=AttemptResult(struct.shown),
        first_s=first_s,
        took_s=struct.took_ms / MILLISECONDS,
        predicted_s=struct.predicted_ms / MILLISECONDS,
        unread_tokens=struct.unread_tokens,
        was_held_up=bool(struct.was_held_up),
        route=struct.route or '',
        answer_tokens=struct.answer_tokens,
    )


def milliseconds(seconds: float) -> float:
    """Convert seconds to milliseconds."""
    return seconds * MILLISECONDS
