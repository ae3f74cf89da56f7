"""Conversion between lost requests and their thrift structs."""

from collections.abc import Iterable

from godwitshunt.exceptions import FrameError
from godwitshunt.quarantine import Fingerprint, Loss, SuspectRecord
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
    """Return one lost request as a struct."""
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
            )
            for loss in record.losses.values()
        ],
        clearances=[
            ttypes.Clearance(name, milliseconds_ago(at_s, now_s))
            for name, at_s in record.clearances.items()
        ],
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
    )
    for clearance in struct.clearances or ():
        at_s = now_s - clearance.age_ms / MILLISECONDS
        record.add_clearance(clearance.name, at_s)
    for lost in struct.losses or ():
        exposure_s = lost.exposure_ms / MILLISECONDS
        at_s = now_s - lost.age_ms / MILLISECONDS
        relays = (lost.relays or 0) + 1
        record.add_loss(Loss(lost.place, at_s, exposure_s, relays))
    return record
