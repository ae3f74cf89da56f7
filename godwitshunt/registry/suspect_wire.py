"""Between lost requests and their thrift structs."""

from collections.abc import Iterable
from math import inf

from godwitshunt.exceptions import FrameError
from godwitshunt.quarantine import Fingerprint, Loss, SuspectRecord
from godwitshunt.quarantine.fingerprint import DIGEST_BYTES
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.wire import MILLISECONDS, since_s


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
    cleared_ms = None
    if record.is_cleared:
        cleared_ms = milliseconds_ago(record.cleared_s, now_s)
    return ttypes.SuspectInfo(
        fingerprint=record.fingerprint.digest,
        organisation=record.organisation,
        body_bytes=record.body_bytes,
        losses=[
            ttypes.PlaceLost(
                loss.place,
                milliseconds_ago(loss.at_s, now_s),
                int(loss.exposure_s * MILLISECONDS),
            )
            for loss in record.losses.values()
        ],
        cleared_ms=cleared_ms,
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
    cleared_s = since_s(info.cleared_ms, now_s)
    record = SuspectRecord(
        Fingerprint(info.fingerprint),
        info.organisation or '',
        int(info.body_bytes),
        cleared_s=-inf if cleared_s is None else cleared_s,
    )
    for lost in info.losses or ():
        exposure_s = lost.exposure_ms / MILLISECONDS
        at_s = since_s(lost.age_ms, now_s)
        record.take_loss(Loss(lost.place, at_s, exposure_s))
    return record
