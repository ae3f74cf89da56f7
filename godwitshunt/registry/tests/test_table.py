"""The table of upstreams of a control VM, in virtual time."""

import pytest

from godwitshunt.registry.incarnations import TOMBSTONE_TTL_S, EndedIncarnation
from godwitshunt.registry.records import UpstreamAnnounced
from godwitshunt.registry.table import (
    EXPIRED_AFTER_S,
    SILENT_AFTER_S,
    Stale,
    Taken,
    UpstreamTable,
)
from godwitshunt.settings import Address


def announced(instance='i-1', sequence=1, port=80, **changes):
    """Return an announcement."""
    fields = {
        'instance': instance,
        'service': 'chat',
        'address': Address(host='10.0.0.1', port=port),
        'failure_domain': 'a',
        'slots': 8,
        'draining': False,
        'cold_s': 0.0,
        'sequence': sequence,
    }
    return UpstreamAnnounced(**{**fields, **changes})


def test_late_announcement_changes_nothing():
    """An announcement delayed by a slow link arrives after newer ones.

    Applied as the newest, it would make a draining upstream ready again.
    """
    table = UpstreamTable()
    table.announce(announced(sequence=1), 0)
    table.announce(announced(sequence=3, draining=True), 1)
    assert table.announce(announced(sequence=2), 2) == Stale()
    assert table.entries['i-1'].announcement.draining


def test_draining_is_final():
    """A newer announcement of a draining upstream says *ready* by mistake."""
    table = UpstreamTable()
    table.announce(announced(sequence=1, draining=True), 0)
    table.announce(announced(sequence=2, draining=False), 1)
    assert table.entries['i-1'].announcement.draining


def test_withdrawn_incarnation_does_not_return():
    """An announcement was in transit when its upstream withdrew."""
    table = UpstreamTable()
    table.announce(announced(sequence=1), 0)
    table.withdraw('i-1', 1)
    assert table.announce(announced(sequence=2), 2) == Stale()
    assert table.ended_since(0) == (EndedIncarnation('i-1'),)
    table.tick(1 + TOMBSTONE_TTL_S + 1)
    assert table.tombstones == {}


def test_withdrawal_before_the_first_announcement_is_applied():
    """The withdrawal overtakes the only announcement sent here."""
    table = UpstreamTable()
    table.withdraw('i-1', 0)
    assert table.announce(announced(), 1) == Stale()


@pytest.mark.parametrize(('pause_s', 'ended'), [(3.0, True), (1.0, False)])
def test_address_is_reused_by_another_upstream(pause_s, ended):
    """An upstream crashes and one of another service gets its address.

    The previous one is ended if its announcements have stopped; if not, the
    new announcement may be a late one of an upstream that has ended.
    """
    table = UpstreamTable()
    table.announce(announced('i-1'), 0)
    table.announce(announced('i-2', service='other'), pause_s)
    assert ('i-1' in table.tombstones) is ended
    assert 'i-2' in table.entries


def test_becoming_silent_and_returning_are_changes():
    """An upstream cannot reach the control VM for a while."""
    table = UpstreamTable()
    table.announce(announced(sequence=1), 0)
    known = table.version
    table.tick(SILENT_AFTER_S + 0.1)
    silent = table.changed_since(known)
    assert [entry.silent for entry in silent] == [True]
    known = table.version
    assert table.announce(announced(sequence=2), 6) == Taken()
    back = table.changed_since(known)
    assert [entry.silent for entry in back] == [False]


def test_incarnation_expires_without_announcements():
    """A crashed upstream sends no more announcements."""
    table = UpstreamTable()
    table.announce(announced(), 0)
    table.tick(EXPIRED_AFTER_S + 1)
    assert table.entries == {}
    assert 'i-1' in table.tombstones


def test_repeated_announcements_are_no_change():
    """Otherwise each would be sent to every entry VM."""
    table = UpstreamTable()
    table.announce(announced(sequence=1, cold_s=3.0), 0)
    known = table.version
    table.announce(announced(sequence=2, cold_s=1.8), 1.2)
    table.announce(announced(sequence=3), 2.4)
    assert table.changed_since(known) == ()


def test_becoming_cold_again_is_a_change():
    """A zone was evacuated and returns with cold upstreams."""
    table = UpstreamTable()
    table.announce(announced(sequence=1), 0)
    known = table.version
    table.announce(announced(sequence=2, cold_s=3.0), 1.2)
    assert len(table.changed_since(known)) == 1
