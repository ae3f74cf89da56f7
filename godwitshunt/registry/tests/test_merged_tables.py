"""How an entry VM merges the tables of several control VMs."""

from godwitshunt.registry.entries import ABSENT_AFTER_S, EntryTable
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.merged_tables import MergedTables
from godwitshunt.registry.records import EntryRecord
from godwitshunt.registry.table import UpstreamTable
from godwitshunt.registry.tests.test_table import announced
from godwitshunt.registry.views import FRESH_S
from godwitshunt.registry.wire import (
    ends_to_wire,
    entry_to_wire,
    upstream_to_wire,
)
from godwitshunt.settings import Address

REGIONS = {'a': 'kochi'}


def entry(name='e-1', accepting=True):
    """Return an entry VM."""
    address = Address(host='10.0.0.2', port=80)
    return EntryRecord(name, 's', 'kochi', 'a', address, address, accepting)


def table_update(table, now_s, source='c-1', entries=(), whole=True):
    """Return a control VM's own update with its whole table."""
    return ttypes.TableNews(
        control=ttypes.Endpoint(source, 1),
        source=source,
        version=table.version,
        whole=whole,
        age_ms=0,
        region='kochi',
        upstreams=[
            upstream_to_wire(row, now_s) for row in table.entries.values()
        ],
        gone=ends_to_wire(table.ended_since(0)),
        entries=[entry_to_wire(row) for row in entries],
        gone_entries=[],
        entries_version=0,
    )


def test_draining_is_accepted_from_any_control_vm():
    """Control VMs cannot reach each other; one acknowledged the departure.

    Requests sent there after the bound would fail when the upstream exits.
    """
    old, new = UpstreamTable(), UpstreamTable()
    old.announce(announced(sequence=5), 0)
    new.announce(announced(sequence=4, draining=True), 0)
    tables = MergedTables(REGIONS)
    tables.apply(table_update(old, 0), 0, 0)
    tables.apply(table_update(new, 0, source='c-2'), 0, 0)
    assert tables.view(0).upstreams['i-1'].announcement.draining


def test_withdrawal_overrides_a_table_that_still_lists_the_upstream():
    """An upstream withdraws from one control VM; another still lists it."""
    listing, withdrawn = UpstreamTable(), UpstreamTable()
    listing.announce(announced(sequence=1), 0)
    withdrawn.withdraw('i-1', 0)
    tables = MergedTables(REGIONS)
    tables.apply(table_update(withdrawn, 0, source='c-2'), 0, 0)
    tables.apply(table_update(listing, 0), 0, 0)
    assert tables.view(0).upstreams == {}


def test_upstream_is_silent_only_if_it_is_at_every_control_vm():
    """An upstream announces itself to one control VM at a time."""
    silent, current = UpstreamTable(), UpstreamTable()
    silent.announce(announced(sequence=1), 0)
    silent.tick(5)
    current.announce(announced(sequence=5), 5)
    tables = MergedTables(REGIONS)
    tables.apply(table_update(silent, 5), 5, 5)
    assert tables.view(5).upstreams['i-1'].silent
    tables.apply(table_update(current, 5, source='c-2'), 5, 5)
    assert not tables.view(5).upstreams['i-1'].silent


def test_isolated_vm_uses_the_last_tables():
    """No control VM answers, but callers continue to send requests."""
    table = UpstreamTable()
    table.announce(announced(), 0)
    tables = MergedTables(REGIONS)
    tables.apply(table_update(table, 0, entries=(entry(),)), 0, 0)
    view = tables.view(FRESH_S + 10)
    assert not view.upstreams['i-1'].silent
    assert 'e-1' in view.entries


def test_replaced_incarnation_is_excluded_at_once():
    """Another upstream answered at the address and rejected the request."""
    table = UpstreamTable()
    table.announce(announced(), 0)
    tables = MergedTables(REGIONS)
    tables.apply(table_update(table, 0), 0, 0)
    tables.mark_replaced('i-1', 1)
    tables.apply(table_update(table, 1), 1, 1)
    assert tables.view(1).upstreams == {}


def test_absent_entry_vm_is_removed_from_the_directory():
    """An entry VM lost power; callers directed to it would hang."""
    table = EntryTable()
    table.record_poll(entry('e-1'), 0)
    assert table.accepting() == (entry('e-1'),)
    known = table.version
    assert table.tick(ABSENT_AFTER_S + 0.1) == ('e-1',)
    assert table.accepting() == ()
    assert table.departed_since(known) == ('e-1',)


def test_draining_entry_vm_is_not_in_the_directory():
    """A VM that is shutting down must get no new callers."""
    table = EntryTable()
    table.record_poll(entry('e-1'), 0)
    table.record_poll(entry('e-1', accepting=False), 0.3)
    assert table.accepting() == ()
