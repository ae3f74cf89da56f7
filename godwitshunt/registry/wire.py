"""Between this slice's data classes and its thrift structs."""

from collections.abc import Iterable, Mapping

from godwitshunt.exceptions import FrameError
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.ledger import Report, ReportedLoad
from godwitshunt.registry.prefixes import CachedPrefix
from godwitshunt.registry.records import EntryRecord, Load, UpstreamAnnounced
from godwitshunt.registry.starts import EndedStart
from godwitshunt.registry.table import UpstreamEntry
from godwitshunt.settings import Address

MILLISECONDS = 1000
LONGEST_AGE_MS = 1_000_000


def endpoint(address: Address) -> ttypes.Endpoint:
    """Return an address as a struct."""
    return ttypes.Endpoint(address.host, address.port)


def address_of(announcement: ttypes.Endpoint) -> Address:
    """Read an address.

    Raises
    ------
    FrameError
        Where there is none.
    """
    try:
        return Address(host=announcement.host, port=announcement.port)
    except (ValueError, AttributeError) as bad:
        raise FrameError(f'Endpoint: {bad!r}') from None


def upstream_to_wire(
    known: UpstreamEntry,
    now_s: float,
) -> ttypes.UpstreamInfo:
    """Return an incarnation in a control VM's own table as a struct."""
    ends_in_s = known.announcement.ends_in_s
    if ends_in_s is not None:
        ends_in_s -= now_s - known.heard_s
    return announcement_to_wire(
        known.announcement,
        cold_s=known.cold_until_s - now_s,
        ends_in_s=ends_in_s,
        silent=known.silent,
    )


def announcement_to_wire(
    announcement: UpstreamAnnounced,
    *,
    cold_s: float,
    ends_in_s: float | None,
    silent: bool,
) -> ttypes.UpstreamInfo:
    """Return an incarnation as a struct.

    Parameters
    ----------
    cold_s, ends_in_s : float
        Seconds from now; those of the announcement are from its arrival.
    """
    ends_in_ms = None
    if ends_in_s is not None:
        ends_in_ms = int(ends_in_s * MILLISECONDS)
    return ttypes.UpstreamInfo(
        instance=announcement.instance,
        service_name=announcement.service,
        address=endpoint(announcement.address),
        failure_domain=announcement.failure_domain,
        slots=announcement.slots,
        draining=announcement.draining,
        cold_ms=max(0, int(cold_s * MILLISECONDS)),
        sequence=announcement.sequence,
        silent=silent,
        ends_in_ms=ends_in_ms,
        born_ms=announcement.born_ms,
    )


def upstream_from_wire(info: ttypes.UpstreamInfo) -> UpstreamAnnounced:
    """Read an incarnation."""
    ends_in_s = None
    if info.ends_in_ms is not None:
        ends_in_s = info.ends_in_ms / MILLISECONDS
    return UpstreamAnnounced(
        instance=info.instance,
        service=info.service_name,
        address=address_of(info.address),
        failure_domain=info.failure_domain,
        slots=info.slots,
        draining=bool(info.draining),
        cold_s=info.cold_ms / MILLISECONDS,
        sequence=info.sequence,
        ends_in_s=ends_in_s,
        born_ms=info.born_ms,
    )


def ends_to_wire(ends: Iterable[EndedStart]) -> list[ttypes.StartEnded]:
    """Return starts that ended as structs."""
    return [ttypes.StartEnded(one.instance, one.born_ms) for one in ends]


def ends_from_wire(
    announcement: Iterable[ttypes.StartEnded] | None,
) -> tuple[EndedStart, ...]:
    """Read starts that ended."""
    return tuple(
        EndedStart(one.instance, one.born_ms) for one in announcement or ()
    )


def entry_to_wire(record: EntryRecord) -> ttypes.EntryInfo:
    """Return an entry VM as a struct."""
    return ttypes.EntryInfo(
        name=record.name,
        session=record.session,
        region=record.region,
        failure_domain=record.failure_domain,
        http=endpoint(record.http),
        hop=endpoint(record.hop),
        accepting=record.accepting,
    )


def entry_from_wire(info: ttypes.EntryInfo) -> EntryRecord:
    """Read an entry VM."""
    if info is None:
        raise FrameError('Poll: no entry')
    return EntryRecord(
        name=info.name,
        session=info.session,
        region=info.region,
        failure_domain=info.failure_domain,
        http=address_of(info.http),
        hop=address_of(info.hop),
        accepting=bool(info.accepting),
    )


def loads_to_wire(
    loads: Iterable[tuple[str, Load]],
) -> list[ttypes.UpstreamLoad]:
    """Return requests at upstreams as structs."""
    return [
        ttypes.UpstreamLoad(instance, load.in_flight, load.pending_tokens)
        for instance, load in loads
    ]


def loads_from_wire(
    announcement: Iterable[ttypes.UpstreamLoad] | None,
) -> Mapping[str, Load]:
    """Read requests at upstreams."""
    return {
        one.instance: Load(one.in_flight, one.pending_tokens)
        for one in announcement or ()
    }


def report_to_wire(
    report: Report,
    places_of: str,
    now_s: float,
) -> ttypes.LoadReport:
    """Return an entry VM's own requests as a struct.

    Parameters
    ----------
    places_of : str
        The control process whose places the report holds.
    """
    return ttypes.LoadReport(
        number=report.number,
        session=report.session,
        loads=[
            ttypes.UpstreamLoad(
                instance,
                one.load.in_flight,
                one.load.pending_tokens,
                age_ms(one.oldest_s, now_s),
                age_ms(one.last_received_s, now_s),
            )
            for instance, one in report.loads.items()
        ],
        places_of=places_of,
        places_taken=report.places_taken,
    )


def report_from_wire(
    announcement: ttypes.LoadReport,
    source: str,
    now_s: float,
) -> Report:
    """Read an entry VM's own requests.

    Parameters
    ----------
    source : str
        The process that reads it; places of another one are not its own.
    """
    loads = {
        one.instance: ReportedLoad(
            Load(one.in_flight, one.pending_tokens),
            since_s(one.waiting_ms, now_s),
            since_s(one.heard_ms, now_s),
        )
        for one in announcement.loads or ()
    }
    taken = announcement.places_taken if announcement.places_of == source else 0
    return Report(announcement.session or '', announcement.number, loads, taken)


def admitted_to_wire(
    admitted: Mapping[str, float],
) -> list[ttypes.AdmittedUnits]:
    """Return what organisations were admitted as structs."""
    return [
        ttypes.AdmittedUnits(name, units) for name, units in admitted.items()
    ]


def admitted_from_wire(
    announcement: list[ttypes.AdmittedUnits] | None,
) -> dict[str, float]:
    """Read what organisations were admitted."""
    return {one.organisation: one.units or 0.0 for one in announcement or ()}


def age_ms(since_s: float | None, now_s: float) -> int | None:
    """Return a point in time as milliseconds ago."""
    if since_s is None:
        return None
    return min(LONGEST_AGE_MS, max(0, int((now_s - since_s) * MILLISECONDS)))


def since_s(age: int | None, now_s: float) -> float | None:
    """Return milliseconds ago as a point in time."""
    return None if age is None else now_s - age / MILLISECONDS


def prefixes_to_wire(
    reads: Iterable[CachedPrefix],
    now_s: float,
) -> list[ttypes.PrefixInfo]:
    """Return prefixes that were read as structs, with their ages."""
    return [
        ttypes.PrefixInfo(
            read.key,
            read.instance,
            int((now_s - read.read_s) * MILLISECONDS),
        )
        for read in reads
    ]


def prefixes_from_wire(
    announcement: Iterable[ttypes.PrefixInfo] | None,
    now_s: float,
) -> tuple[CachedPrefix, ...]:
    """Read prefixes that were read, an age later than was told."""
    return tuple(
        CachedPrefix(one.key, one.instance, now_s - one.age_ms / MILLISECONDS)
        for one in announcement or ()
    )
