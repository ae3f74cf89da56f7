"""Conversion between lost requests and their thrift structs."""

from collections.abc import Iterable

from godwitshunt.exceptions import FrameError
from godwitshunt.quarantine import (
    Fingerprint,
    Loss,
    SuspectPart,
    SuspectRecord,
)
from godwitshunt.quarantine.fingerprint import DIGEST_BYTES
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.wire import MILLISECONDS


def suspects_to_wire(
    records: Iterable[SuspectRecord],
    now_s: float,
) -> list[ttypes.SuspectInfo]:
    """Return lost requests as structs, with their ages."""
    return [suspect_to_wire(record, now_s) for record in records]


def suspect_to_wire(
    record: SuspectRecord,
    now_s: float,
) -> ttypes.SuspectInfo:
    """Return one lost request, or part of prompts, as a struct."""
    part = record.part
    return ttypes.SuspectInfo(
        fingerprint=record.fingerprint.digest,
        organisation=record.organisation,
        body_bytes=record.body_bytes,
        losses=[
            ttypes.PlaceLost(
                loss.incarnation,
                milliseconds_ago(loss.at_s, now_s),
                int(loss.exposure_s * MILLISECONDS),
                loss.relays,
                loss.observer or None,
            )
            for loss in record.losses.values()
        ],
        clearances=[
            ttypes.Clearance(name, milliseconds_ago(at_s, now_s))
            for name, at_s in record.clearances.items()
        ],
        part=None if part is None else part.name,
        position=None if part is None else part.position,
    )


def milliseconds_ago(at_s: float, now_s: float) -> int:
    """Return a point in time as whole milliseconds before now."""
    return max(0, int((now_s - at_s) * MILLISECONDS))


def suspects_from_wire(
    structs: Iterable[ttypes.SuspectInfo] | None,
    now_s: float,
) -> tuple[SuspectRecord, ...]:
    """Read lost requests.

    Raises
    ------
    FrameError
        If a fingerprint has the wrong length or a field is missing.
    """
    try:
        return tuple(
            suspect_from_wire(struct, now_s) for struct in structs or ()
        )
    except (TypeError, AttributeError) as bad:
        raise FrameError(f'SuspectInfo: {bad!r}') from None


def suspect_from_wire(
    struct: ttypes.SuspectInfo,
    now_s: float,
) -> SuspectRecord:
    """Read one lost request."""
    if len(struct.fingerprint) != DIGEST_BYTES:
        raise FrameError(f'SuspectInfo: {len(struct.fingerprint)} bytes')
    record = SuspectRecord(
        Fingerprint(struct.fingerprint),
        struct.organisation or '',
        int(struct.body_bytes),
        part=part_from_wire(struct),
    )
    for clearance in struct.clearances or ():
        at_s = now_s - clearance.age_ms / MILLISECONDS
        record.add_clearance(clearance.name, at_s)
    for lost in struct.losses or ():
        exposure_s = lost.exposure_ms / MILLISECONDS
        at_s = now_s - lost.age_ms / MILLISECONDS
        relays = (lost.relays or 0) + 1
        observer = lost.observer or ''
        record.add_loss(Loss(lost.place, at_s, exposure_s, relays, observer))
    return record


def part_from_wire(struct: ttypes.SuspectInfo) -> SuspectPart | None:
    """Read which part of prompts was lost; None for the content of one."""
    if struct.part is None:
        return None
    return SuspectPart(struct.part, int(struct.position or 0))
