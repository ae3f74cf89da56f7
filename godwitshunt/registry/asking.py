"""What an entry VM asks of control VMs, and what it tells them; pure.

The first control VM hears of the entry VM, and tells all tables. Another one
is asked for its own only, and for nothing before it is known where it stands:
whole tables of 195 entry VMs from each of five control VMs were most of what
crossed between regions.
"""

from dataclasses import dataclass

from godwitshunt.quarantine import SuspectRecord
from godwitshunt.registry.contacts import ControlContact, HeldTable
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.merged_tables import MergedTables
from godwitshunt.registry.prefixes import CachedPrefix
from godwitshunt.registry.records import EntryRecord
from godwitshunt.registry.suspect_wire import suspects_to_wire
from godwitshunt.registry.table_updates import Scope, relayed_news
from godwitshunt.registry.views import ControlTable
from godwitshunt.registry.wire import (
    MILLISECONDS,
    entry_to_wire,
    prefixes_to_wire,
)

# Version of held prompts, or of suspected requests, that stands for not being
# asked.
NOT_ASKED = -1
# A table is told to a control VM that misses it if it is newer here by this.
NEWER_BY_S = 0.5


@dataclass(frozen=True)
class ToldFirst:
    """What an entry VM tells the control VM that it reports to.

    Parameters
    ----------
    report : LoadReport
        Its requests at upstreams.
    reads : tuple of CachedPrefix
        What they have shown of kept prompts.
    suspects : tuple of SuspectRecord
        Those of them that were lost to upstreams.
    chooses : bool
        True where it has no picker: then it must know where prompts are kept
        and what others send.
    """

    record: EntryRecord
    report: ttypes.LoadReport
    reads: tuple[CachedPrefix, ...]
    suspects: tuple[SuspectRecord, ...]
    chooses: bool


def question_to_first(
    contact: ControlContact,
    merged: MergedTables,
    told: ToldFirst,
    now_s: float,
) -> ttypes.Poll:
    """Return what the first control VM is told and asked."""
    version = contact.prefixes_version if told.chooses else NOT_ASKED
    return ttypes.Poll(
        entry=entry_to_wire(told.record),
        held=merged.held(),
        report=told.report,
        prefixes=prefixes_to_wire(told.reads, now_s),
        prefixes_version=version,
        wants_loads=told.chooses,
        scope=Scope.all,
        newer=newer_tables(contact, merged, now_s),
        suspects=suspects_to_wire(told.suspects, now_s),
        suspects_version=contact.suspects_version,
    )


def question_to_another(
    contact: ControlContact,
    merged: MergedTables,
) -> ttypes.Poll:
    """Return what another control VM is asked."""
    return ttypes.Poll(
        held=merged.held(),
        prefixes=[],
        newer=[],
        prefixes_version=NOT_ASKED,
        suspects=[],
        suspects_version=NOT_ASKED,
        wants_loads=True,
        scope=Scope.own if contact.source else Scope.none,
    )


def newer_tables(
    contact: ControlContact,
    merged: MergedTables,
    now_s: float,
) -> list[ttypes.TableNews]:
    """Return the tables that a control VM misses and that are held here."""
    if not contact.misses:
        return []
    newer = []
    for table in merged.tables.values():
        held = contact.misses.get(table.source)
        if table.source and is_newer(table, held):
            known = None if held is None else held.to_wire(table.source)
            newer.append(relayed_news(table, known, now_s, with_loads=True))
    return newer


def is_newer(table: ControlTable, held: HeldTable | None) -> bool:
    """Tell whether a table here is newer than the one that is held there."""
    if held is None:
        return True
    return table.answered_s - held.asof_s >= NEWER_BY_S


def missed_tables(
    message: ttypes.PollReply,
    sent_s: float,
) -> dict[str, HeldTable]:
    """Return which tables a control VM holds, where it misses some.

    Parameters
    ----------
    sent_s : float
        When it was asked.
    """
    if not message.misses_tables:
        return {}
    return {
        news.source: HeldTable(
            news.version,
            news.entries_version,
            sent_s - news.age_ms / MILLISECONDS,
        )
        for news in message.tables or ()
    }
