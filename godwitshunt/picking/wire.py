"""Between a picker's data classes and its thrift structs."""

from enum import IntEnum

from godwitshunt.exceptions import FrameError
from godwitshunt.picking.choices import (
    Choice,
    HandOver,
    Limited,
    NoPlace,
    SendHere,
)
from godwitshunt.picking.picker import DestinationRequest, Given, Unable
from godwitshunt.registry import UpstreamSeen
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.views import reported_upstream
from godwitshunt.registry.wire import (
    MILLISECONDS,
    announcement_to_wire,
    entry_from_wire,
    entry_to_wire,
    upstream_from_wire,
)
from godwitshunt.routing.selection import Demand


class GivenKind(IntEnum):
    """What an answer of a picker holds."""

    upstream = 1
    entry = 2
    no_upstream = 3
    overloaded = 4
    unable = 5
    limited = 6


def question_to_wire(
    question: DestinationRequest,
    report: ttypes.LoadReport,
) -> ttypes.PlaceAsked:
    """Return what an entry VM asks for as a struct."""
    demand = question.demand
    return ttypes.PlaceAsked(
        entry_name=question.entry,
        report=report,
        request_id=question.request,
        host=question.host,
        path_prefix=question.path_prefix,
        service_name=question.service,
        prompt_tokens=demand.prompt_tokens,
        shared_tokens=demand.shared_tokens,
        shared_key=demand.shared_key,
        remaining_ms=int(question.remaining_s * MILLISECONDS),
        excluded=sorted(question.excluded),
        local=question.local,
        organisation=question.organisation or None,
        cost=question.cost,
    )


def question_from_wire(asked: ttypes.PlaceAsked) -> DestinationRequest:
    """Read what an entry VM asks for.

    Raises
    ------
    FrameError
        Where a field is missing.
    """
    needed = (asked.entry_name, asked.report, asked.remaining_ms)
    if any(one is None for one in needed):
        raise FrameError('PlaceAsked: a field is missing')
    return DestinationRequest(
        entry=asked.entry_name,
        request=asked.request_id or '',
        host=asked.host or '',
        path_prefix=asked.path_prefix or '',
        service=asked.service_name or '',
        demand=Demand(
            asked.prompt_tokens or 0,
            asked.shared_tokens or 0,
            asked.shared_key,
        ),
        remaining_s=asked.remaining_ms / MILLISECONDS,
        excluded=frozenset(asked.excluded or ()),
        local=bool(asked.local),
        organisation=asked.organisation or '',
        cost=max(0.0, asked.cost or 0.0),
    )


def given_to_wire(
    given: Given | Unable,
    source: str,
    now_s: float,
) -> ttypes.PlaceGiven:
    """Return what a picker gives as a struct."""
    if isinstance(given, Unable):
        return ttypes.PlaceGiven(kind=GivenKind.unable, source=source)
    made = ttypes.PlaceGiven(source=source, number=given.number)
    match given.choice:
        case SendHere() as choice:
            made.kind = GivenKind.upstream
            made.predicted_ms = choice.predicted_s * MILLISECONDS
            made.upstream = seen_to_wire(choice.upstream, now_s)
            made.is_cold = choice.is_cold
            made.unread_tokens = choice.unread_tokens
            made.is_kept = choice.is_cached
            made.waiting_tokens = int(choice.waiting_tokens)
        case HandOver(entry=entry, predicted_s=predicted_s):
            made.kind = GivenKind.entry
            made.predicted_ms = predicted_s * MILLISECONDS
            made.entry = entry_to_wire(entry)
        case NoPlace(overloaded=overloaded, retry_after_s=wait_s):
            made.kind = GivenKind.no_upstream
            if overloaded:
                made.kind = GivenKind.overloaded
            made.retry_after_ms = wait_s * MILLISECONDS
        case Limited(wait_s):
            made.kind = GivenKind.limited
            made.retry_after_ms = wait_s * MILLISECONDS
    return made


def choice_from_wire(
    made: ttypes.PlaceGiven,
    region: str,
    now_s: float,
) -> Choice | None:
    """Read what a picker gives; None where it cannot tell.

    Parameters
    ----------
    region : str
        Whose picker it is; its upstreams stand there.

    Raises
    ------
    FrameError
        Where the answer is of no known kind, or lacks a part.
    """
    try:
        return read_choice(made, region, now_s)
    except (ValueError, TypeError, AttributeError) as bad:
        raise FrameError(f'PlaceGiven: {bad!r}') from None


def read_choice(
    made: ttypes.PlaceGiven,
    region: str,
    now_s: float,
) -> Choice | None:
    """Read what a picker gives."""
    match GivenKind(made.kind):
        case GivenKind.upstream:
            told = upstream_from_wire(made.upstream)
            one = reported_upstream(
                told, now_s, silent=bool(made.upstream.silent)
            )
            return SendHere(
                UpstreamSeen(
                    told,
                    region,
                    one.cold_until_s,
                    one.ends_at_s,
                    one.silent,
                ),
                made.predicted_ms / MILLISECONDS,
                bool(made.is_cold),
                unread_tokens=made.unread_tokens,
                is_cached=bool(made.is_kept),
                waiting_tokens=made.waiting_tokens,
                chosen_by_picker=True,
            )
        case GivenKind.entry:
            predicted_s = made.predicted_ms / MILLISECONDS
            return HandOver(entry_from_wire(made.entry), predicted_s)
        case GivenKind.unable:
            return None
        case GivenKind.limited:
            return Limited(made.retry_after_ms / MILLISECONDS)
        case kind:
            overloaded = kind is GivenKind.overloaded
            wait_s = made.retry_after_ms / MILLISECONDS
            return NoPlace(overloaded, wait_s, chosen_by_picker=True)


def seen_to_wire(upstream: UpstreamSeen, now_s: float) -> ttypes.UpstreamInfo:
    """Return an upstream as a picker believes it to be as a struct."""
    ends_in_s = (
        None if upstream.ends_at_s is None else upstream.ends_at_s - now_s
    )
    return announcement_to_wire(
        upstream.announcement,
        cold_s=upstream.cold_until_s - now_s,
        ends_in_s=ends_in_s,
        silent=upstream.silent,
    )
