"""Conversion between a picker's data classes and thrift structs."""

from enum import IntEnum
from math import ceil

from godwitshunt.exceptions import FrameError
from godwitshunt.picking.choices import (
    Choice,
    HandOver,
    Limited,
    NoPlace,
    Queued,
    SendHere,
)
from godwitshunt.picking.destinations import (
    Assignment,
    DestinationRequest,
    Unable,
)
from godwitshunt.registry import UpstreamSeen
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.grant_wire import use_from_wire, use_to_wire
from godwitshunt.registry.views import reported_upstream
from godwitshunt.registry.wire import (
    MILLISECONDS,
    announcement_to_wire,
    entry_from_wire,
    entry_to_wire,
    upstream_from_wire,
)
from godwitshunt.routing.selection import Demand

# Greatest integer of a thrift field of type i32. A caller may state any number.
MAX_I32 = (1 << 31) - 1


class AssignmentKind(IntEnum):
    """Kind of a picker's answer."""

    upstream = 1
    entry = 2
    no_upstream = 3
    overloaded = 4
    unable = 5
    limited = 6
    queued = 7


def query_to_wire(
    query: DestinationRequest,
    report: ttypes.LoadReport,
) -> ttypes.PlaceAsked:
    """Convert a destination request to a thrift struct."""
    demand = query.demand
    return ttypes.PlaceAsked(
        entry_name=query.entry,
        report=report,
        request_id=query.request,
        host=query.host,
        path_prefix=query.path_prefix,
        service_name=query.service,
        prompt_tokens=demand.prompt_tokens,
        shared_tokens=demand.shared_tokens,
        shared_key=demand.shared_key,
        remaining_ms=int(query.remaining_s * MILLISECONDS),
        excluded=sorted(query.excluded),
        local=query.local,
        organisation=query.organisation or None,
        cost=query.cost,
        pauses=[
            ttypes.PauseInfo(instance, ceil(remaining_s * MILLISECONDS))
            for instance, remaining_s in query.pauses.items()
        ],
        output_tokens=min(query.output_tokens, MAX_I32) or None,
        grant=use_to_wire(query.grant),
        body_bytes=query.body_bytes,
        waited_ms=None
        if query.waited_s is None
        else int(query.waited_s * MILLISECONDS),
        fingerprint=query.fingerprint or None,
    )


def query_from_wire(message: ttypes.PlaceAsked) -> DestinationRequest:
    """Convert a thrift struct to a destination request.

    Raises
    ------
    FrameError
        If a field is missing.
    """
    required = (message.entry_name, message.report, message.remaining_ms)
    if any(field is None for field in required):
        raise FrameError('PlaceAsked: a field is missing')
    return DestinationRequest(
        entry=message.entry_name,
        request=message.request_id or '',
        host=message.host or '',
        path_prefix=message.path_prefix or '',
        service=message.service_name or '',
        demand=Demand(
            message.prompt_tokens or 0,
            message.shared_tokens or 0,
            message.shared_key,
        ),
        remaining_s=message.remaining_ms / MILLISECONDS,
        excluded=frozenset(message.excluded or ()),
        local=bool(message.local),
        organisation=message.organisation or '',
        cost=max(0.0, message.cost or 0.0),
        pauses={
            pause.instance: pause.remaining_ms / MILLISECONDS
            for pause in message.pauses or ()
        },
        output_tokens=max(0, message.output_tokens or 0),
        grant=use_from_wire(message.grant),
        body_bytes=message.body_bytes or 0,
        waited_s=None
        if message.waited_ms is None
        else max(0, message.waited_ms) / MILLISECONDS,
        fingerprint=message.fingerprint or b'',
    )


def assignment_to_wire(
    assignment: Assignment | Unable,
    source: str,
    now_s: float,
    *,
    is_scheduled: bool = False,
) -> ttypes.PlaceGiven:
    """Convert an assignment to a thrift struct.

    Parameters
    ----------
    source : str
        The picker's process.
    is_scheduled : bool
        Whether requests to the service are queued.
    """
    if isinstance(assignment, Unable):
        return ttypes.PlaceGiven(kind=AssignmentKind.unable, source=source)
    reply = ttypes.PlaceGiven(
        source=source,
        number=assignment.number,
        is_scheduled=is_scheduled or None,
    )
    match assignment.choice:
        case SendHere() as choice:
            reply.kind = AssignmentKind.upstream
            reply.predicted_ms = choice.predicted_s * MILLISECONDS
            reply.upstream = upstream_to_wire(choice.upstream, now_s)
            reply.is_cold = choice.is_cold
            reply.unread_tokens = choice.unread_tokens
            reply.is_kept = choice.is_cached
            reply.waiting_tokens = int(choice.waiting_tokens)
            reply.reserved_tokens = choice.reserved_tokens
        case HandOver(entry=entry, predicted_s=predicted_s, grant=use):
            reply.grant = use_to_wire(use)
            reply.kind = AssignmentKind.entry
            reply.predicted_ms = predicted_s * MILLISECONDS
            reply.entry = entry_to_wire(entry)
        case NoPlace(overloaded=overloaded, retry_after_s=wait_s):
            reply.kind = AssignmentKind.no_upstream
            if overloaded:
                reply.kind = AssignmentKind.overloaded
            reply.retry_after_ms = wait_s * MILLISECONDS
        case Limited(wait_s):
            reply.kind = AssignmentKind.limited
            reply.retry_after_ms = wait_s * MILLISECONDS
        case Queued(ticket):
            reply.kind = AssignmentKind.queued
            reply.ticket = ticket
    return reply


def choice_from_wire(
    reply: ttypes.PlaceGiven,
    region: str,
    now_s: float,
) -> Choice | Queued | None:
    """Convert a thrift struct to a choice; None if the picker is unable.

    Parameters
    ----------
    region : str
        The picker's region, in which its upstreams are.

    Raises
    ------
    FrameError
        If the kind is unknown or a field is missing.
    """
    try:
        return read_choice(reply, region, now_s)
    except (ValueError, TypeError, AttributeError) as bad:
        raise FrameError(f'PlaceGiven: {bad!r}') from None


def read_choice(
    reply: ttypes.PlaceGiven,
    region: str,
    now_s: float,
) -> Choice | Queued | None:
    """Convert a thrift struct of any kind to a choice."""
    match AssignmentKind(reply.kind):
        case AssignmentKind.upstream:
            announcement = upstream_from_wire(reply.upstream)
            reported = reported_upstream(
                announcement, now_s, silent=bool(reply.upstream.silent)
            )
            return SendHere(
                UpstreamSeen(
                    announcement,
                    region,
                    reported.cold_until_s,
                    reported.ends_at_s,
                    reported.silent,
                ),
                reply.predicted_ms / MILLISECONDS,
                bool(reply.is_cold),
                unread_tokens=reply.unread_tokens,
                is_cached=bool(reply.is_kept),
                waiting_tokens=reply.waiting_tokens,
                chosen_by_picker=True,
                reserved_tokens=max(0, reply.reserved_tokens or 0),
            )
        case AssignmentKind.entry:
            predicted_s = reply.predicted_ms / MILLISECONDS
            return HandOver(
                entry_from_wire(reply.entry),
                predicted_s,
                grant=use_from_wire(reply.grant),
            )
        case AssignmentKind.unable:
            return None
        case AssignmentKind.limited:
            return Limited(reply.retry_after_ms / MILLISECONDS)
        case AssignmentKind.queued:
            return Queued(int(reply.ticket))
        case kind:
            overloaded = kind is AssignmentKind.overloaded
            wait_s = reply.retry_after_ms / MILLISECONDS
            return NoPlace(overloaded, wait_s, chosen_by_picker=True)


def upstream_to_wire(
    upstream: UpstreamSeen, now_s: float
) -> ttypes.UpstreamInfo:
    """Convert a picker's state of an upstream to a thrift struct."""
    ends_in_s = (
        None if upstream.ends_at_s is None else upstream.ends_at_s - now_s
    )
    return announcement_to_wire(
        upstream.announcement,
        cold_s=upstream.cold_until_s - now_s,
        ends_in_s=ends_in_s,
        silent=upstream.silent,
    )
