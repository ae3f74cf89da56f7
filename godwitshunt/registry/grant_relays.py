"""Entry VMs that relay grants while control VMs do not reach each other.

A grant ends after 0.6 s. Tables are relayed each 1.2 s, so no relayed grant
could be spent. No I/O; times are seconds on this VM's monotonic clock.
"""

from collections.abc import Iterable, Mapping

from godwitshunt.registry.contacts import ControlContact, KnownControl
from godwitshunt.registry.records import EntryRecord
from godwitshunt.registry.views import ControlTable, RegistryView

# Entry VMs of a region that relay grants, the first by name. Their polls are
# spread, so that grants arrive more often than each of them polls.
MAX_RELAYS = 3
# A control VM is polled for its grants if its table is older than this.
RELAY_AFTER_S = 0.25
# A table is relayed if it is newer than the one held by this much.
NEWER_BY_S = 0.1
# A control VM that has not answered for this long is polled for its grants; one
# of which no grants have come for the longer time is probably down.
SILENT_AFTER_S = 0.75
GIVEN_UP_AFTER_S = 10.0


def misses_grants(
    tables: Mapping[str, ControlTable],
    contacts: Mapping[str, ControlContact],
    now_s: float,
) -> bool:
    """Return whether grants of an unreachable control VM are wanted.

    Parameters
    ----------
    tables : mapping
        Tables of the other control VMs, by address.
    contacts : mapping
        State of the calls to them.
    """
    return any(
        table.grants is not None
        and now_s - table.grants_asof_s < GIVEN_UP_AFTER_S
        and name in contacts
        and now_s - contacts[name].answered_s > SILENT_AFTER_S
        for name, table in tables.items()
    )


def is_relay(own: EntryRecord, view: RegistryView) -> bool:
    """Return whether an entry VM is one that relays grants."""
    names = sorted(
        entry.name for entry in view.entry_points.get(own.region, ())
    )
    return own.name in names[:MAX_RELAYS]


def controls_to_poll(known: Iterable[KnownControl], now_s: float) -> set[str]:
    """Return the control VMs of other regions to poll for their grants."""
    return {
        control.name
        for control in known
        if not control.is_local and now_s - control.table_asof_s > RELAY_AFTER_S
    }
