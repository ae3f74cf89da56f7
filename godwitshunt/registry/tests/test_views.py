"""What an entry VM makes of several control VMs' tables."""

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


def news(table, now_s, source='c-1', entries=(), whole=True):
    """Return a control VM's whole table as it tells it itself."""
    return ttypes.TableNews(
        control=ttypes.Endpoint(source, 1),
        source=source,
        version=table.version,
        whole=whole,
        age_ms=0,
        region='kochi',
        upstreams=[
            upstream_to_wire(one, now_s) for one in table.entries.values()
        ],
        gone=ends_to_wire(table.gone_since(0)),
        entries=[entry_to_wire(one) for one in entries],
        gone_entries=[],
        entries_version=0,
    )


def test_draining_is_believed_from_whoever_says_it():
    """Control VMs do not hear each other, and one acknowledged the leaving.

    Work sent there later than its bound would be cut when it exits.
    """
    old, new = UpstreamTable(), UpstreamTable()
    old.announce(announced(sequence=5), 0)
    new.announce(announced(sequence=4, draining=True), 0)
    merged = MergedTables(REGIONS)
    merged.take(news(old, 0), 0, 0)
    merged.take(news(new, 0, source='c-2'), 0, 0)
    assert merged.view(0).upstreams['i-1'].announcement.draining


def test_departure_outlasts_a_table_that_still_lists_it():
    """One control VM took the good-bye, another lists the upstream yet."""
    stays, left = UpstreamTable(), UpstreamTable()
    stays.announce(announced(sequence=1), 0)
    left.withdraw('i-1', 0)
    merged = MergedTables(REGIONS)
    merged.take(news(left, 0, source='c-2'), 0, 0)
    merged.take(news(stays, 0), 0, 0)
    assert merged.view(0).upstreams == {}


def test_upstream_is_silent_only_where_nobody_hears_it():
    """An upstream announces itself to one control VM at a time."""
    quiet, hearing = UpstreamTable(), UpstreamTable()
    quiet.announce(announced(sequence=1), 0)
    quiet.tick(5)
    hearing.announce(announced(sequence=5), 5)
    merged = MergedTables(REGIONS)
    merged.take(news(quiet, 5), 5, 5)
    assert merged.view(5).upstreams['i-1'].silent
    merged.take(news(hearing, 5, source='c-2'), 5, 5)
    assert not merged.view(5).upstreams['i-1'].silent


def test_cut_off_vm_keeps_what_it_knew():
    """No control VM answers any more, and callers still come."""
    table = UpstreamTable()
    table.announce(announced(), 0)
    merged = MergedTables(REGIONS)
    merged.take(news(table, 0, entries=(entry(),)), 0, 0)
    view = merged.view(FRESH_S + 10)
    assert not view.upstreams['i-1'].silent
    assert 'e-1' in view.entries


def test_replaced_incarnation_is_left_out_at_once():
    """Another upstream answered at the address and ran nothing."""
    table = UpstreamTable()
    table.announce(announced(), 0)
    merged = MergedTables(REGIONS)
    merged.take(news(table, 0), 0, 0)
    merged.mark_replaced('i-1', 1)
    merged.take(news(table, 1), 1, 1)
    assert merged.view(1).upstreams == {}


def test_silent_entry_vm_leaves_the_directory():
    """An entry VM loses power; callers sent there would hang."""
    table = EntryTable()
    table.hear(entry('e-1'), 0)
    assert table.accepting() == (entry('e-1'),)
    known = table.version
    assert table.tick(ABSENT_AFTER_S + 0.1) == ('e-1',)
    assert table.accepting() == ()
    assert table.gone_since(known) == ('e-1',)


def test_draining_entry_vm_is_not_named():
    """A VM that was told to stop must get no new callers."""
    table = EntryTable()
    table.hear(entry('e-1'), 0)
    table.hear(entry('e-1', accepting=False), 0.3)
    assert table.accepting() == ()
