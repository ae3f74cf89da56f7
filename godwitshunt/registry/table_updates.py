"""Telling one control VM's table to others: the control VM itself, or a relay.

A table's versions are its control VM's own, wherever it is held. So whoever
asks says which version it holds, and may be answered by any process that
holds the same one or a later one. Pure.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import IntEnum

from godwitshunt.registry.entries import EntryTable
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.table import UpstreamTable
from godwitshunt.registry.views import ControlTable, HeardUpstream
from godwitshunt.registry.wire import (
    MILLISECONDS,
    admitted_to_wire,
    announcement_to_wire,
    endpoint,
    ends_to_wire,
    entry_to_wire,
    loads_to_wire,
    upstream_to_wire,
)
from godwitshunt.settings import Address


class Scope(IntEnum):
    """Whose tables are asked for: nobody's, the asked one's own, or all."""

    none = 0
    own = 1
    all = 2


@dataclass(frozen=True)
class ControlLocation:
    """A control VM, and which others there are.

    Parameters
    ----------
    address : Address
        Where peers reach it.
    region : str
        Where it stands.
    regions : mapping
        Region of each failure domain.
    others : callable
        Returns the peer addresses of the control VMs that are known.
    """

    address: Address
    region: str
    regions: Mapping[str, str]
    others: Callable[[], tuple[Address, ...]]


NOTHING = ttypes.TableHeld(source='', version=0, entries_version=0)


def own_news(
    source: str,
    location: ControlLocation,
    upstreams: UpstreamTable,
    entries: EntryTable,
    held: ttypes.TableHeld | None,
    now_s: float,
) -> ttypes.TableNews:
    """Return what is new in a control VM's own table.

    Parameters
    ----------
    source : str
        The control VM's process.
    location : ControlLocation
        Where it stands.
    held : TableHeld or None
        What whoever asks holds of it; None for nothing.
    """
    whole = held is None
    known = held or NOTHING
    return ttypes.TableNews(
        control=endpoint(location.address) if whole else None,
        source=source,
        version=upstreams.version,
        whole=whole,
        age_ms=0,
        region=location.region if whole else None,
        upstreams=[
            upstream_to_wire(one, now_s)
            for one in upstreams.changed_since(known.version)
        ],
        gone=ends_to_wire(upstreams.gone_since(known.version)),
        entries=[
            entry_to_wire(one)
            for one in entries.changed_since(known.entries_version)
        ],
        gone_entries=list(entries.gone_since(known.entries_version)),
        entries_version=entries.version,
    )


def relayed_news(
    table: ControlTable,
    held: ttypes.TableHeld | None,
    now_s: float,
    *,
    with_loads: bool,
) -> ttypes.TableNews:
    """Return what is new in a table that another control VM told.

    Where whoever asks holds a later version, only the age is told.

    Parameters
    ----------
    with_loads : bool
        True where requests at upstreams are told as well. They are told only
        where they are as new as the table.
    """
    loads = None
    admitted: list[ttypes.AdmittedUnits] = []
    if with_loads and table.loads_asof_s >= table.answered_s:
        loads = loads_to_wire(table.loads.items())
        admitted = admitted_to_wire(table.admitted)
    whole = held is None
    known = held or NOTHING
    return ttypes.TableNews(
        control=endpoint(table.control) if whole else None,
        source=table.source,
        version=table.version,
        whole=whole,
        age_ms=max(0, int((now_s - table.answered_s) * MILLISECONDS)),
        region=table.region if whole else None,
        upstreams=[
            heard_to_wire(one, now_s)
            for one in table.upstreams.values()
            if one.version > known.version
        ],
        gone=ends_to_wire(
            one.start
            for one in table.gone.values()
            if one.version > known.version
        ),
        entries=[
            entry_to_wire(one.record)
            for one in table.entries.values()
            if one.record is not None and one.version > known.entries_version
        ],
        gone_entries=[
            name
            for name, one in table.entries.items()
            if one.record is None and one.version > known.entries_version
        ],
        entries_version=table.entries_version,
        loads=loads,
        admitted=admitted,
    )


def heard_to_wire(one: HeardUpstream, now_s: float) -> ttypes.UpstreamInfo:
    """Return an incarnation that another control VM told of as a struct."""
    ends_in_s = None if one.ends_at_s is None else one.ends_at_s - now_s
    return announcement_to_wire(
        one.announcement,
        cold_s=one.cold_until_s - now_s,
        ends_in_s=ends_in_s,
        silent=one.silent,
    )
