"""Conversion between the registry's data classes and its thrift structs."""

from collections.abc import Iterable, Mapping

from godwitshunt.exceptions import FrameError
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.incarnations import EndedIncarnation
from godwitshunt.registry.ledger import Report, ReportedLoad
from godwitshunt.registry.prefixes import CachedPrefix
from godwitshunt.registry.records import EntryRecord, Load, UpstreamAnnounced
from godwitshunt.registry.table import UpstreamEntry
from godwitshunt.settings import Address

MILLISECONDS = 1000
MAX_AGE_MS = 1_000_000


def address_to_wire(address: Address) -> ttypes.Endpoint:
    """Return an address as a struct."""
    return ttypes.Endpoint(address.host, address.port)


def address_from_wire(endpoint: ttypes.Endpoint) -> Address:
    """Read an address.

    Raises
    ------
    FrameError
        If it is missing or invalid.
    """
    try:
        return Address(host=endpoint.host, port=endpoint.port)
    except (ValueError, AttributeError) as bad:
        raise FrameError(f'Endpoint: {bad!r}') from None


def upstream_to_wire(
    known: UpstreamEntry,
    now_s: float,
) -> ttypes.UpstreamInfo:
    """Return an incarnation in a control VM's own table as a struct."""
    ends_in_s = known.announcement.ends_in_s
    if ends_in_s is not None:
        ends_in_s -= now_s - known.last_seen_s
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
    """Return an announcement as a struct.

    Parameters
    ----------
    cold_s, ends_in_s : float
        Seconds from now; the announcement's own values count from its arrival.
    """
    ends_in_ms = None
    if ends_in_s is not None:
        ends_in_ms = int(ends_in_s * MILLISECONDS)
    return ttypes.UpstreamInfo(
        instance=announcement.instance,
        service_name=announcement.service,
        address=address_to_wire(announcement.address),
        failure_domain=announcement.failure_domain,
        slots=announcement.slots,
        draining=announcement.draining,
        cold_ms=max(0, int(cold_s * MILLISECONDS)),
        sequence=announcement.sequence,
        silent=silent,
        ends_in_ms=ends_in_ms,
        born_ms=announcement.born_ms,
    )


def upstream_from_wire(struct: ttypes.UpstreamInfo) -> UpstreamAnnounced:
    """Read an announcement."""
    ends_in_s = None
    if struct.ends_in_ms is not None:
        ends_in_s = struct.ends_in_ms / MILLISECONDS
    return UpstreamAnnounced(
        instance=struct.instance,
        service=struct.service_name,
        address=address_from_wire(struct.address),
        failure_domain=struct.failure_domain,
        slots=struct.slots,
        draining=bool(struct.draining),
        cold_s=struct.cold_ms / MILLISECONDS,
        sequence=struct.sequence,
        ends_in_s=ends_in_s,
        born_ms=struct.born_ms,
    )


def ends_to_wire(ends: Iterable[EndedIncarnation]) -> list[ttypes.StartEnded]:
    """Return ended incarnations as structs."""
    return [
        ttypes.StartEnded(ended.instance, ended.born_ms, ended.expired or None)
        for ended in ends
    ]


def ends_from_wire(
    structs: Iterable[ttypes.StartEnded] | None,
) -> tuple[EndedIncarnation, ...]:
    """Read ended incarnations."""
    return tuple(
        EndedIncarnation(
            struct.instance, struct.born_ms, expired=bool(struct.expired)
        )
        for struct in structs or ()
    )


def entry_to_wire(record: EntryRecord) -> ttypes.EntryInfo:
    """Return an entry VM as a struct."""
    return ttypes.EntryInfo(
        name=record.name,
        session=record.session,
        region=record.region,
        failure_domain=record.failure_domain,
        http=address_to_wire(record.http),
        hop=address_to_wire(record.hop),
        accepting=record.accepting,
        without_paths=None if record.reaches_upstreams else True,
    )


def entry_from_wire(struct: ttypes.EntryInfo) -> EntryRecord:
    """Read an entry VM.

    Raises
    ------
    FrameError
        If it is missing.
    """
    if struct is None:
        raise FrameError('Poll: no entry')
    return EntryRecord(
        name=struct.name,
        session=struct.session,
        region=struct.region,
        failure_domain=struct.failure_domain,
        http=address_from_wire(struct.http),
        hop=address_from_wire(struct.hop),
        accepting=bool(struct.accepting),
        reaches_upstreams=not struct.without_paths,
    )


def loads_to_wire(
    loads: Iterable[tuple[str, Load]],
) -> list[ttypes.UpstreamLoad]:
    """Return the loads of upstreams as structs."""
    return [
        ttypes.UpstreamLoad(
            instance,
            load.in_flight,
            load.pending_tokens,
            reserved_tokens=load.reserved_tokens or None,
        )
        for instance, load in loads
    ]


def loads_from_wire(
    structs: Iterable[ttypes.UpstreamLoad] | None,
) -> Mapping[str, Load]:
    """Read the loads of upstreams, by incarnation."""
    return {struct.instance: load_from_wire(struct) for struct in structs or ()}


def load_from_wire(struct: ttypes.UpstreamLoad) -> Load:
    """Read the load of an upstream; a previous build reserves no memory."""
    return Load(
        struct.in_flight,
        struct.pending_tokens,
        max(0, struct.reserved_tokens or 0),
    )


def report_to_wire(
    report: Report,
    places_of: str,
    now_s: float,
) -> ttypes.LoadReport:
    """Return an entry VM's own requests as a struct.

    Parameters
    ----------
    places_of : str
        Control process whose reservations the report includes.
    """
    return ttypes.LoadReport(
        number=report.number,
        session=report.session,
        loads=[
            ttypes.UpstreamLoad(
                instance,
                reported.load.in_flight,
                reported.load.pending_tokens,
                age_ms(reported.oldest_s, now_s),
                age_ms(reported.last_received_s, now_s),
                reported.load.reserved_tokens or None,
                shared_to_wire(reported.shared),
            )
            for instance, reported in report.loads.items()
        ],
        places_of=places_of,
        places_taken=report.last_reservation,
    )


def report_from_wire(
    struct: ttypes.LoadReport,
    source: str,
    now_s: float,
) -> Report:
    """Read an entry VM's own requests.

    Parameters
    ----------
    source : str
        Control process that reads the report; the reservations of another
        process are ignored.
    """
    loads = {
        load.instance: ReportedLoad(
            load_from_wire(load),
            time_of_age_s(load.waiting_ms, now_s),
            time_of_age_s(load.heard_ms, now_s),
            shared_from_wire(load.shared),
        )
        for load in struct.loads or ()
    }
    included = struct.places_taken if struct.places_of == source else 0
    return Report(struct.session or '', struct.number, loads, included, now_s)


def shared_to_wire(
    shared: Mapping[int, int],
) -> list[ttypes.SharedPrefix] | None:
    """Return shared prefixes as structs; None if there are none."""
    if not shared:
        return None
    return [ttypes.SharedPrefix(key, tokens) for key, tokens in shared.items()]


def shared_from_wire(
    structs: Iterable[ttypes.SharedPrefix] | None,
) -> Mapping[int, int]:
    """Read the tokens of shared prefixes, by key."""
    return {struct.key: max(0, struct.tokens or 0) for struct in structs or ()}


def admitted_to_wire(
    admitted: Mapping[str, float],
) -> list[ttypes.AdmittedUnits]:
    """Return the units admitted for organisations as structs."""
    return [
        ttypes.AdmittedUnits(name, units) for name, units in admitted.items()
    ]


def admitted_from_wire(
    structs: list[ttypes.AdmittedUnits] | None,
) -> dict[str, float]:
    """Read the units admitted, by organisation."""
    return {
        struct.organisation: struct.units or 0.0 for struct in structs or ()
    }


def age_ms(since_s: float | None, now_s: float) -> int | None:
    """Return the age of a point in time, in milliseconds."""
    if since_s is None:
        return None
    return min(MAX_AGE_MS, max(0, int((now_s - since_s) * MILLISECONDS)))


def time_of_age_s(age: int | None, now_s: float) -> float | None:
    """Return the point in time that is an age in milliseconds ago."""
    return None if age is None else now_s - age / MILLISECONDS


def prefixes_to_wire(
    prefixes: Iterable[CachedPrefix],
    now_s: float,
) -> list[ttypes.PrefixInfo]:
    """Return cached prefixes as structs, with their ages."""
    return [
        ttypes.PrefixInfo(
            prefix.key,
            prefix.instance,
            int((now_s - prefix.cached_s) * MILLISECONDS),
        )
        for prefix in prefixes
    ]


def prefixes_from_wire(
    structs: Iterable[ttypes.PrefixInfo] | None,
    now_s: float,
) -> tuple[CachedPrefix, ...]:
    """Read cached prefixes; ages become points in time."""
    return tuple(
        CachedPrefix(
            struct.key,
            struct.instance,
            now_s - struct.age_ms / MILLISECONDS,
        )
        for struct in structs or ()
    )
