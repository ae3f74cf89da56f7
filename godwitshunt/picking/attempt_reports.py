"""What one attempt at an upstream showed, for whoever chooses upstreams."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from godwitshunt.exceptions import FrameError
from godwitshunt.registry.gen.wire import ttypes

MILLISECONDS = 1000


class AttemptResult(IntEnum):
    """What became of an attempt.

    `answered`: a whole answer came. `failed`: it broke off, or failed by
    itself. `full`: it was turned away. `unreached`: no connection was made.
    `replaced`: another upstream answered at the address. `nothing`: for long
    no sign of an answer came, until the caller went away or its time was over.
    """

    answered = 1
    failed = 2
    full = 3
    unreached = 4
    replaced = 5
    nothing = 6


@dataclass(frozen=True)
class AttemptReport:
    """What one attempt showed of an upstream.

    Parameters
    ----------
    instance : str
        The incarnation.
    first_s : float or None
        Seconds until the first sign of an answer.
    took_s : float
        Seconds that it took.
    predicted_s : float
        Seconds to the first sign, as expected when it was sent.
    unread_tokens : int
        What reading the rest of its prompt took, in tokens of a short one.
    was_held_up : bool
        True where other prompts were read before it, or the engine was cold:
        its time says nothing of the engine's speed.
    """

    instance: str
    service: str
    shown: AttemptResult
    first_s: float | None = None
    took_s: float = 0.0
    predicted_s: float = 0.0
    unread_tokens: int = 0
    was_held_up: bool = False


def shown_to_wire(shown: Iterable[AttemptReport]) -> list[ttypes.AttemptShown]:
    """Return what attempts showed as structs."""
    return [
        ttypes.AttemptShown(
            instance=one.instance,
            service_name=one.service,
            shown=int(one.shown),
            first_ms=None if one.first_s is None else milliseconds(one.first_s),
            took_ms=milliseconds(one.took_s),
            predicted_ms=milliseconds(one.predicted_s),
            unread_tokens=one.unread_tokens,
            was_held_up=one.was_held_up,
        )
        for one in shown
    ]


def shown_from_wire(
    told: Iterable[ttypes.AttemptShown] | None,
) -> list[AttemptReport]:
    """Read what attempts showed.

    Raises
    ------
    FrameError
        Where a kind is not known.
    """
    try:
        return [read_shown(one) for one in told or ()]
    except (ValueError, TypeError) as bad:
        raise FrameError(f'AttemptShown: {bad!r}') from None


def read_shown(one: ttypes.AttemptShown) -> AttemptReport:
    """Read what one attempt showed."""
    first_s = None if one.first_ms is None else one.first_ms / MILLISECONDS
    return AttemptReport(
        instance=one.instance,
        service=one.service_name,
        shown=AttemptResult(one.shown),
        first_s=first_s,
        took_s=one.took_ms / MILLISECONDS,
        predicted_s=one.predicted_ms / MILLISECONDS,
        unread_tokens=one.unread_tokens,
        was_held_up=bool(one.was_held_up),
    )


def milliseconds(seconds: float) -> float:
    """Return seconds as milliseconds."""
    return seconds * MILLISECONDS
