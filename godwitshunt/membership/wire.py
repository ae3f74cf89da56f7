"""Conversion between membership data classes and wire structs."""

import math

from pydantic import ValidationError

from godwitshunt.exceptions import FrameError
from godwitshunt.membership.events import MILLISECONDS, UpstreamDetails
from godwitshunt.membership.gen.wire.ttypes import (
    Capacity,
    Details,
    Gossip,
    Summary,
)
from godwitshunt.membership.summaries import RegionCapacity, RegionReport
from godwitshunt.membership.transit import ClockReading
from godwitshunt.membership.views import UpstreamRole
from godwitshunt.settings import Address

HONOURS_RESUME = 1
HONOURS_PRIORITY = 2
HONOURS_FENCING = 4


def details_to_wire(
    number: int,
    name: str,
    incarnation: int,
    details: UpstreamDetails,
) -> Details:
    """Return an upstream's details with the number that a sender assigned."""
    return Details(
        number=number,
        name=name,
        incarnation=incarnation,
        service_name=details.service,
        host=details.address.host,
        port=details.address.port,
        models=list(details.models),
        adapters=list(details.adapters),
        role=details.role,
        slots=details.slots,
        prefill_tokens_per_s=details.prefill_tokens_per_s,
        decode_tokens_per_s=details.decode_tokens_per_s,
        price=details.price,
        honours=(
            HONOURS_RESUME * details.honours_resume
            + HONOURS_PRIORITY * details.honours_priority
            + HONOURS_FENCING * details.honours_fencing
        ),
    )


def details_from_wire(wire: Details) -> UpstreamDetails:
    """Return the upstream details in a wire struct.

    Raises
    ------
    FrameError
        If a field is missing or invalid.
    """
    try:
        return UpstreamDetails(
            service=wire.service_name,
            address=Address(host=wire.host, port=wire.port),
            models=tuple(wire.models),
            adapters=tuple(wire.adapters),
            role=UpstreamRole(wire.role),
            slots=wire.slots,
            prefill_tokens_per_s=wire.prefill_tokens_per_s,
            decode_tokens_per_s=wire.decode_tokens_per_s,
            price=wire.price,
            honours_resume=bool(wire.honours & HONOURS_RESUME),
            honours_priority=bool(wire.honours & HONOURS_PRIORITY),
            honours_fencing=bool(wire.honours & HONOURS_FENCING),
        )
    except (TypeError, ValueError, ValidationError) as error:
        raise FrameError(f'Details: {error!r}') from None


def report_to_wire(report: RegionReport, now_s: float) -> Summary:
    """Return the wire struct of a region's report, with its age."""
    return Summary(
        region=report.region,
        age_ms=round_up_ms(now_s - report.created_s),
        round_trip_ms=round_up_ms(report.round_trip_s),
        capacities=[
            Capacity(
                service_name=capacity.service,
                model=capacity.model,
                free_slots=capacity.free_slots,
                slots=capacity.slots,
                wait_ms=round_up_ms(capacity.wait_s),
                price=capacity.price,
            )
            for capacity in report.capacities
        ],
        absent=sorted(report.absent),
    )


def report_from_wire(
    wire: Summary,
    transit_s: float,
    now_s: float,
) -> RegionReport:
    """Return the region report in a wire struct.

    Raises
    ------
    FrameError
        If a field is missing.
    """
    try:
        return RegionReport(
            region=wire.region,
            created_s=now_s - transit_s - wire.age_ms / MILLISECONDS,
            round_trip_s=wire.round_trip_ms / MILLISECONDS,
            capacities=tuple(
                RegionCapacity(
                    service=capacity.service_name,
                    model=capacity.model,
                    free_slots=capacity.free_slots,
                    slots=capacity.slots,
                    wait_s=capacity.wait_ms / MILLISECONDS,
                    price=capacity.price,
                )
                for capacity in wire.capacities
            ),
            absent=frozenset(wire.absent),
        )
    except TypeError as error:
        raise FrameError(f'Summary: {error!r}') from None


def reading_from_wire(wire: Gossip) -> ClockReading:
    """Return the clock reading in a message.

    Raises
    ------
    FrameError
        If the sender's own clock reading is missing.
    """
    if wire.session is None or wire.clock_ms is None:
        raise FrameError('Gossip: no clock reading')
    return ClockReading(
        session=wire.session,
        clock_ms=wire.clock_ms,
        echo_session=wire.echo_session,
        echo_ms=wire.echo_ms,
        held_ms=wire.held_ms,
    )


def round_up_ms(seconds: float) -> int:
    """Return milliseconds, rounded up so that ages stay upper bounds."""
    return math.ceil(seconds * MILLISECONDS)
