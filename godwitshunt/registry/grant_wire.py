"""Conversion between grants and their thrift structs.

A grant's end is stated as the remaining time when it was sent. A receiver adds
this to the time at which it sent the poll, so it never believes a grant to end
later than its picker does, unless a relayed message was delayed on its way.
"""

from math import inf, isinf

from godwitshunt.grants import (
    Capacity,
    Grant,
    GrantNews,
    GrantUse,
    UnmetDemand,
)
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.wire import MILLISECONDS


def news_to_wire(
    news: GrantNews | None, now_s: float
) -> ttypes.GrantsInfo | None:
    """Return a picker's grants and demand as a struct; None for none."""
    if news is None:
        return None
    return ttypes.GrantsInfo(
        grants=[
            grant_to_wire(grant, now_s)
            for grant in news.grants
            if grant.expires_s > now_s
        ],
        demands=[
            ttypes.DemandInfo(
                demand.service,
                demand.capacity.slots,
                tokens_to_wire(demand.capacity.tokens),
            )
            for demand in news.demands
        ],
        reporters=news.reporters,
        round_trips=[
            ttypes.RoundTripInfo(region, round_trip_s * MILLISECONDS)
            for region, round_trip_s in news.round_trips.items()
        ],
    )


def news_from_wire(
    struct: ttypes.GrantsInfo, source: str, sent_s: float
) -> GrantNews:
    """Read a picker's grants and demand.

    Parameters
    ----------
    source : str
        The picker's process.
    sent_s : float
        Time before which the struct was not sent.
    """
    return GrantNews(
        grants=tuple(
            grant_from_wire(grant, source, sent_s)
            for grant in struct.grants or ()
        ),
        demands=tuple(
            UnmetDemand(
                demand.service_name or '',
                Capacity(
                    max(0, demand.slots or 0), tokens_from_wire(demand.tokens)
                ),
            )
            for demand in struct.demands or ()
        ),
        reporters=struct.reporters or 0,
        round_trips={
            trip.region: trip.round_trip_ms / MILLISECONDS
            for trip in struct.round_trips or ()
        },
    )


def grant_to_wire(grant: Grant, now_s: float) -> ttypes.GrantInfo:
    """Return a grant as a struct; its granting process is sent once."""
    return ttypes.GrantInfo(
        number=grant.number,
        region=grant.region,
        service_name=grant.service,
        slots=grant.capacity.slots,
        tokens=tokens_to_wire(grant.capacity.tokens),
        remaining_ms=int((grant.expires_s - now_s) * MILLISECONDS),
    )


def grant_from_wire(
    struct: ttypes.GrantInfo, source: str, sent_s: float
) -> Grant:
    """Read a grant."""
    capacity = Capacity(
        max(0, struct.slots or 0), tokens_from_wire(struct.tokens)
    )
    return Grant(
        source=source,
        number=struct.number or 0,
        region=struct.region or '',
        service=struct.service_name or '',
        capacity=capacity,
        expires_s=sent_s + (struct.remaining_ms or 0) / MILLISECONDS,
    )


def use_to_wire(use: GrantUse | None) -> ttypes.GrantUseInfo | None:
    """Return the use of a grant as a struct."""
    if use is None:
        return None
    return ttypes.GrantUseInfo(use.source, use.number, use.slot)


def use_from_wire(struct: ttypes.GrantUseInfo | None) -> GrantUse | None:
    """Read the use of a grant; None if a field is missing."""
    if struct is None or None in {struct.source, struct.number, struct.slot}:
        return None
    return GrantUse(struct.source, struct.number, struct.slot)


def tokens_to_wire(tokens: float) -> int | None:
    """Return a number of tokens; None where there is no limit."""
    return None if isinf(tokens) else int(tokens)


def tokens_from_wire(tokens: int | None) -> float:
    """Read a number of tokens."""
    return inf if tokens is None else max(0, tokens)
