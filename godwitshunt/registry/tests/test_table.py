"""What a control VM believes of upstreams, in virtual time."""

import pytest

from godwitshunt.registry.records import UpstreamAnnounced
from godwitshunt.registry.starts import TOMBSTONE_S, EndedStart
from godwitshunt.registry.table import (
    FORGOTTEN_AFTER_S,
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
    """An announcement that a slow link held back arrives after newer ones.

    Taken for the newest, it would bring an upstream that drains back to work.
    """
    table = UpstreamTable()
    table.announce(announced(sequence=1), 0)
    table.announce(announced(sequence=3, draining=True), 1)
    assert table.announce(announced(sequence=2), 2) == Stale()
    assert table.entries['i-1'].announcement.draining


def test_draining_is_for_good():
    """A newer announcement of a draining upstream says *ready* by mistake."""
    table = UpstreamTable()
    table.announce(announced(sequence=1, draining=True), 0)
    table.announce(announced(sequence=2, draining=False), 1)
    assert table.entries['i-1'].announcement.draining


def test_departed_incarnation_never_comes_back():
    """A heartbeat was under way when its upstream said good-bye."""
    table = UpstreamTable()
    table.announce(announced(sequence=1), 0)
    table.withdraw('i-1', 1)
    assert table.announce(announced(sequence=2), 2) == Stale()
    assert table.gone_since(0) == (EndedStart('i-1'),)
    table.tick(1 + TOMBSTONE_S + 1)
    assert table.gone == {}


def test_withdrawal_before_the_first_announcement_counts():
    """The good-bye overtakes the only announcement that came here."""
    table = UpstreamTable()
    table.withdraw('i-1', 0)
    assert table.announce(announced(), 1) == Stale()


@pytest.mark.parametrize(('pause_s', 'gone'), [(3.0, True), (1.0, False)])
def test_address_goes_to_another_incarnation(pause_s, gone):
    """An upstream crashes, and its address is given to another service's.

    The one before is dropped where it has fallen silent; where it was heard
    just now, the late announcement of a dead one may be what came.
    """
    table = UpstreamTable()
    table.announce(announced('i-1'), 0)
    table.announce(announced('i-2', service='other'), pause_s)
    assert ('i-1' in table.gone) is gone
    assert 'i-2' in table.entries


def test_silence_is_news_and_so_is_its_end():
    """An upstream is cut off from control for a while."""
    table = UpstreamTable()
    table.announce(announced(sequence=1), 0)
    known = table.version
    table.tick(SILENT_AFTER_S + 0.1)
    silent = table.changed_since(known)
    assert [one.silent for one in silent] == [True]
    known = table.version
    assert table.announce(announced(sequence=2), 6) == Taken()
    back = table.changed_since(known)
    assert [one.silent for one in back] == [False]


def test_long_silence_ends_an_incarnation():
    """An upstream crashed and sends nothing any more."""
    table = UpstreamTable()
    table.announce(announced(), 0)
    table.tick(FORGOTTEN_AFTER_S + 1)
    assert table.entries == {}
    assert 'i-1' in table.gone


def test_repeated_announcements_are_no_news():
    """Each would else be sent to every entry VM, a few times a second."""
    table = UpstreamTable()
    table.announce(announced(sequence=1, cold_s=3.0), 0)
    known = table.version
    table.announce(announced(sequence=2, cold_s=1.8), 1.2)
    table.announce(announced(sequence=3), 2.4)
    assert table.changed_since(known) == ()


def test_becoming_cold_again_is_news():
    """A zone was evacuated and comes back with cold upstreams."""
    table = UpstreamTable()
    table.announce(announced(sequence=1), 0)
    known = table.version
    table.announce(announced(sequence=2, cold_s=3.0), 1.2)
    assert len(table.changed_since(known)) == 1
