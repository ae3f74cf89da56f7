"""The polls that an entry VM sends to control VMs.

The preferred control VM receives the entry VM's reports and returns all
tables. Another one returns only its own table, and none before its region is
known: complete tables of 195 entry VMs from each of five control VMs were most
of the traffic between regions. No I/O.
"""

from dataclasses import dataclass

from godwitshunt.quarantine import SuspectRecord
from godwitshunt.registry.contacts import ControlContact, HeldTable
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.grant_relays import (
    NEWER_BY_S as GRANTS_NEWER_BY_S,
)
from godwitshunt.registry.merged_tables import MergedTables
from godwitshunt.registry.prefixes import CachedPrefix
from godwitshunt.registry.records import EntryRecord
from godwitshunt.registry.suspect_wire import suspects_to_wire
from godwitshunt.registry.table_updates import Scope, relayed_update
from godwitshunt.registry.views import ControlTable
from godwitshunt.registry.wire import (
    MILLISECONDS,
    entry_to_wire,
    prefixes_to_wire,
)

# Version of the cached prefixes or suspected requests that requests none.
NOT_REQUESTED = -1
# A table is sent to a control VM whose copy is stale if the copy here is newer
# by at least this.
NEWER_BY_S = 0.5


@dataclass(frozen=True)
class PollReport:
    """What an entry VM reports to its preferred control VM.

    Parameters
    ----------
    report : LoadReport
        Its requests at upstreams.
    prefixes : tuple of CachedPrefix
        Cached prefixes that its requests have shown.
    suspects : tuple of SuspectRecord
        Its requests that were lost to upstreams.
    selects_locally : bool
        True if it has no picker and therefore needs cached prefixes and the
        load of other entry VMs to select upstreams itself.
    """

    record: EntryRecord
    report: ttypes.LoadReport
    prefixes: tuple[CachedPrefix, ...]
    suspects: tuple[SuspectRecord, ...]
    selects_locally: bool


def poll_for_preferred(
    contact: ControlContact,
    merged: MergedTables,
    poll_report: PollReport,
    now_s: float,
) -> ttypes.Poll:
    """Return the poll for the preferred control VM."""
    version = (
        contact.prefixes_version
        if poll_report.selects_locally
        else NOT_REQUESTED
    )
    return ttypes.Poll(
        entry=entry_to_wire(poll_report.record),
        held=merged.held_versions(),
        report=poll_report.report,
        prefixes=prefixes_to_wire(poll_report.prefixes, now_s),
        prefixes_version=version,
        wants_loads=poll_report.selects_locally,
        scope=Scope.all,
        newer=newer_tables(contact, merged, now_s),
        suspects=suspects_to_wire(poll_report.suspects, now_s),
        suspects_version=contact.suspects_version,
    )


def poll_for_other(
    contact: ControlContact,
    merged: MergedTables,
) -> ttypes.Poll:
    """Return the poll for a control VM that is not the preferred one."""
    return ttypes.Poll(
        held=merged.held_versions(),
        prefixes=[],
        newer=[],
        prefixes_version=NOT_REQUESTED,
        suspects=[],
        suspects_version=NOT_REQUESTED,
        wants_loads=True,
        scope=Scope.own if contact.source else Scope.none,
    )


def newer_tables(
    contact: ControlContact,
    merged: MergedTables,
    now_s: float,
) -> list[ttypes.TableNews]:
    """Return the tables that are newer here than at a control VM."""
    if not contact.outdated_tables:
        return []
    newer = []
    for table in merged.tables.values():
        held = contact.outdated_tables.get(table.source)
        by_s = GRANTS_NEWER_BY_S if contact.wants_grants else NEWER_BY_S
        if table.source and is_newer(table, held, by_s):
            known = None if held is None else held.to_wire(table.source)
            newer.append(relayed_update(table, known, now_s, with_loads=True))
    return newer


def is_newer(table: ControlTable, held: HeldTable | None, by_s: float) -> bool:
    """Return whether a table is newer here than at a control VM."""
    if held is None:
        return True
    return table.asof_s - held.asof_s >= by_s


def outdated_tables(
    message: ttypes.PollReply,
    sent_s: float,
) -> dict[str, HeldTable]:
    """Return the tables that a control VM holds, if some are stale there.

    Parameters
    ----------
    sent_s : float
        When the poll was sent.
    """
    if not (message.misses_tables or message.wants_grants):
        return {}
    return {
        update.source: HeldTable(
            update.version,
            update.entries_version,
            sent_s - update.age_ms / MILLISECONDS,
        )
        for update in message.tables or ()
    }
