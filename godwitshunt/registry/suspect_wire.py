"""Between lost requests and their thrift structs."""

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
    return [suspect_to_wire(one, now_s) for one in records]


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
    told: Iterable[ttypes.SuspectInfo] | None,
    now_s: float,
) -> tuple[SuspectRecord, ...]:
    """Read lost requests.

    Raises
    ------
    FrameError
        Where one has no fingerprint, or something is missing.
    """
    try:
        return tuple(suspect_from_wire(one, now_s) for one in told or ())
    except (TypeError, AttributeError) as bad:
        raise FrameError(f'SuspectInfo: {bad!r}') from None


def suspect_from_wire(
    info: ttypes.SuspectInfo,
    now_s: float,
) -> SuspectRecord:
    """Read one lost request."""
    if len(info.fingerprint) != DIGEST_BYTES:
        raise FrameError(f'SuspectInfo: {len(info.fingerprint)} bytes')
    record = SuspectRecord(
        Fingerprint(info.fingerprint),
        info.organisation or '',
        int(info.body_bytes),
    )
    for cleared in info.clearances or ():
        at_s = now_s - cleared.age_ms / MILLISECONDS
        record.add_clearance(cleared.name, at_s)
    for lost in info.losses or ():
        exposure_s = lost.exposure_ms / MILLISECONDS
        at_s = now_s - lost.age_ms / MILLISECONDS
        record.add_loss(Loss(lost.place, at_s, exposure_s))
    return record
