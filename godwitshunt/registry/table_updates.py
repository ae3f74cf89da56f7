"""Updates of a control VM's table, sent by itself or relayed by another VM.

The versions of a table are assigned by its control VM, whichever process holds
a copy. So a poll states the version that its sender holds, and any process
that holds the same or a later version can answer it. No I/O.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import IntEnum

from godwitshunt.registry.entries import EntryTable
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.grant_wire import news_to_wire
from godwitshunt.registry.table import UpstreamTable
from godwitshunt.registry.views import ControlTable, ReportedUpstream
from godwitshunt.registry.wire import (
    MILLISECONDS,
    address_to_wire,
    admitted_to_wire,
    announcement_to_wire,
    ends_to_wire,
    entry_to_wire,
    loads_to_wire,
    upstream_to_wire,
)
from godwitshunt.settings import Address


class Scope(IntEnum):
    """Tables that a poll requests: none, the receiver's own, or all."""

    none = 0
    own = 1
    all = 2


@dataclass(frozen=True)
class ControlLocation:
    """Address and region of a control VM, and how it finds the others.

    Parameters
    ----------
    address : Address
        Its peer address.
    region : str
        Its region.
    regions : mapping
        Region of each failure domain.
    others : callable
        Returns the peer addresses of the known control VMs.
    copies : callable
        Returns on how many other disks an acknowledged departure has to be.
    """

    address: Address
    region: str
    regions: Mapping[str, str]
    others: Callable[[], tuple[Address, ...]]
    copies: Callable[[], int] = int


NO_TABLE = ttypes.TableHeld(source='', version=0, entries_version=0)


def own_update(
    source: str,
    location: ControlLocation,
    upstreams: UpstreamTable,
    entries: EntryTable,
    held: ttypes.TableHeld | None,
    now_s: float,
) -> ttypes.TableNews:
    """Return the changes in a control VM's own table.

    Parameters
    ----------
    source : str
        Process of the control VM.
    location : ControlLocation
        Its address and region.
    held : TableHeld or None
        Version that the receiver holds; None for no copy.
    """
    whole = held is None
    known = held or NO_TABLE
    return ttypes.TableNews(
        control=address_to_wire(location.address) if whole else None,
        source=source,
        version=upstreams.version,
        whole=whole,
        age_ms=0,
        region=location.region if whole else None,
        upstreams=[
            upstream_to_wire(row, now_s)
            for row in upstreams.changed_since(known.version)
        ],
        gone=ends_to_wire(upstreams.ended_since(known.version)),
        entries=[
            entry_to_wire(row)
            for row in entries.changed_since(known.entries_version)
        ],
        gone_entries=list(entries.departed_since(known.entries_version)),
        entries_version=entries.version,
    )


def relayed_update(
    table: ControlTable,
    held: ttypes.TableHeld | None,
    now_s: float,
    *,
    with_loads: bool,
) -> ttypes.TableNews:
    """Return the changes in a copy of another control VM's table.

    If the receiver holds a later version, the update contains only the age.

    Parameters
    ----------
    with_loads : bool
        True to include the loads of upstreams and the grants. They are
        included only if they are as recent as the table.
    """
    loads = None
    admitted: list[ttypes.AdmittedUnits] = []
    grants = None
    if with_loads and table.grants_asof_s >= table.asof_s:
        grants = news_to_wire(table.grants, now_s)
    if with_loads and table.loads_asof_s >= table.asof_s:
        loads = loads_to_wire(table.loads.items())
        admitted = admitted_to_wire(table.admitted)
    whole = held is None
    known = held or NO_TABLE
    return ttypes.TableNews(
        control=address_to_wire(table.control) if whole else None,
        source=table.source,
        version=table.version,
        whole=whole,
        age_ms=max(0, int((now_s - table.asof_s) * MILLISECONDS)),
        region=table.region if whole else None,
        upstreams=[
            reported_to_wire(row, now_s)
            for row in table.upstreams.values()
            if row.version > known.version
        ],
        gone=ends_to_wire(
            row.incarnation
            for row in table.tombstones.values()
            if row.version > known.version
        ),
        entries=[
            entry_to_wire(row.record)
            for row in table.entries.values()
            if row.record is not None and row.version > known.entries_version
        ],
        gone_entries=[
            name
            for name, row in table.entries.items()
            if row.record is None and row.version > known.entries_version
        ],
        entries_version=table.entries_version,
        loads=loads,
        admitted=admitted,
        grants=grants,
    )


def reported_to_wire(
    reported: ReportedUpstream,
    now_s: float,
) -> ttypes.UpstreamInfo:
    """Return an incarnation that another control VM reported as a struct."""
    ends_in_s = (
        None if reported.ends_at_s is None else reported.ends_at_s - now_s
    )
    return announcement_to_wire(
        reported.announcement,
        cold_s=reported.cold_until_s - now_s,
        ends_in_s=ends_in_s,
        silent=reported.silent,
    )
