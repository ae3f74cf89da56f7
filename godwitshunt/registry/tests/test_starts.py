"""Upstreams that start again under their name, in every order of arrival."""

from dataclasses import dataclass, field, replace

import pytest

from godwitshunt.registry.merged_tables import MergedTables
from godwitshunt.registry.records import UpstreamAnnounced
from godwitshunt.registry.starts import LATE_WORD_S
from godwitshunt.registry.table import (
    SILENT_AFTER_S,
    Foreign,
    Stale,
    Taken,
    UpstreamTable,
)
from godwitshunt.registry.tests.test_table import announced
from godwitshunt.registry.tests.test_views import REGIONS, news

FIRST, SECOND, THIRD = 1_000_000, 1_000_700, 1_001_200


def told(born_ms, sequence=1, **changes):
    """Return an announcement of one start."""
    return announced(sequence=sequence, born_ms=born_ms, **changes)


@dataclass
class Controls:
    """Two control VMs' tables, and an entry VM that polls both."""

    tables: dict[str, UpstreamTable] = field(
        default_factory=lambda: {'c-1': UpstreamTable(), 'c-2': UpstreamTable()}
    )
    merged: MergedTables = field(default_factory=lambda: MergedTables(REGIONS))

    def view(self, now_s: float) -> dict[str, UpstreamAnnounced]:
        """Return the upstreams that the entry VM believes in."""
        for control, table in self.tables.items():
            table.tick(now_s)
            told_now = news(table, now_s, source=control)
            self.merged.take(told_now, now_s, now_s)
        seen = self.merged.view(now_s).upstreams
        return {name: one.announcement for name, one in seen.items()}

    def starts(self, now_s: float) -> list[int | None]:
        """Return when the starts were born that the entry VM believes in."""
        return [one.born_ms for one in self.view(now_s).values()]


def test_a_start_is_believed_at_once_although_its_count_is_lower():
    """An upstream crashes after 40 announcements and starts again.

    Held against the count before, its next 40 announcements would be taken
    for late ones, and it would get no work for 48 s.
    """
    table = UpstreamTable()
    table.announce(told(FIRST, 40), 0)
    assert table.announce(told(SECOND, 1, cold_s=3.0), 2) == Taken()
    assert table.entries['i-1'].announcement.born_ms == SECOND
    assert table.entries['i-1'].cold_until_s == pytest.approx(5.0)


def test_a_start_that_drained_says_nothing_of_the_next():
    """A server was emptied for an update and starts again under its name."""
    controls = Controls()
    table = controls.tables['c-1']
    table.announce(told(FIRST, 9, draining=True), 0)
    table.announce(told(SECOND, 1), 1)
    assessment = controls.view(1)
    assert [one.draining for one in assessment.values()] == [False]


def test_a_start_follows_one_that_said_good_bye():
    """The good-bye bars the start that left, not the next one."""
    controls = Controls()
    table = controls.tables['c-1']
    table.announce(told(FIRST, 9), 0)
    table.withdraw('i-1', 1)
    assert table.announce(told(FIRST, 10), 1.1) == Stale()
    assert controls.starts(1.1) == []
    assert table.announce(told(SECOND, 1), 1.5) == Taken()
    assert controls.starts(1.5) == [SECOND]


def test_a_good_bye_where_the_start_was_not_heard_ends_what_others_tell():
    """One control VM heard the start, another one takes the good-bye.

    The one that took it does not know which start it ends; a later start is
    told apart by its birth, and is believed.
    """
    controls = Controls()
    controls.tables['c-1'].announce(told(FIRST, 9), 0)
    assert controls.starts(0) == [FIRST]
    controls.tables['c-2'].withdraw('i-1', 1, now_ms=FIRST + 500)
    assert controls.starts(1) == []
    late = controls.tables['c-2'].announce(told(FIRST, 10), 1.2)
    assert late == Stale()
    assert controls.tables['c-2'].announce(told(SECOND, 1), 2) == Taken()
    assert controls.starts(2) == [SECOND]


def test_a_late_word_of_the_start_before_changes_nothing():
    """A heartbeat was under way while its sender crashed and came back."""
    table = UpstreamTable()
    table.announce(told(SECOND, 1), 0)
    late = told(FIRST, 41, draining=True, cold_s=9.0)
    assert table.announce(late, 1) == Stale()
    known = table.entries['i-1']
    assert (known.announcement.born_ms, known.announcement.draining) == (
        SECOND,
        False,
    )
    assert known.cold_until_s == 0


@pytest.mark.parametrize('order', [('c-1', 'c-2'), ('c-2', 'c-1')])
def test_control_vms_that_know_different_starts(order):
    """The new start reports to another control VM than the one before.

    The first control VM goes on telling of the old start, which drained.
    """
    controls = Controls()
    controls.tables['c-1'].announce(told(FIRST, 9, draining=True), 0)
    controls.tables['c-2'].announce(told(SECOND, 1), 1)
    controls.tables = {name: controls.tables[name] for name in order}
    assert controls.starts(1) == [SECOND]
    controls.tables['c-2'].withdraw('i-1', 2)
    assert controls.starts(2) == []


def test_a_late_word_to_a_control_vm_that_knew_neither_start():
    """The old start's heartbeat was held up, and comes where none is known."""
    controls = Controls()
    controls.tables['c-2'].announce(told(SECOND, 1), 0)
    controls.tables['c-1'].announce(told(FIRST, 9), 1)
    assert controls.starts(1) == [SECOND]
    controls.tables['c-2'].withdraw('i-1', 2)
    assert controls.starts(2) == []


def test_a_start_during_a_cut():
    """An upstream restarts while one control VM cannot be reached by it."""
    controls = Controls()
    controls.tables['c-1'].announce(told(FIRST, 9), 0)
    controls.tables['c-2'].announce(told(SECOND, 1), 3)
    assert controls.starts(3) == [SECOND]
    controls.tables['c-2'].announce(told(SECOND, 6), 9)
    assert controls.starts(9) == [SECOND]
    controls.tables['c-1'].announce(told(SECOND, 7), 10)
    assert controls.starts(10) == [SECOND]


def test_three_starts_within_a_second():
    """A server that crashes at its start is started anew, and again."""
    controls = Controls()
    table = controls.tables['c-1']
    for born_ms, when_s in ((FIRST, 0), (THIRD, 0.9), (SECOND, 0.95)):
        table.announce(told(born_ms, 1), when_s)
    assert controls.starts(1) == [THIRD]


def test_a_clock_that_was_set_back_between_two_starts():
    """The new start says that it began before the one that is known.

    For a while that cannot be told from a late word of the past; once nothing
    was heard of the other one for longer than words are late, it is believed.
    """
    controls = Controls()
    table = controls.tables['c-1']
    table.announce(told(SECOND, 9), 0)
    assert table.announce(told(FIRST, 1), 1) == Stale()
    assert controls.starts(1) == [SECOND]
    assert table.announce(told(FIRST, 17), LATE_WORD_S + 1) == Taken()
    assert controls.starts(LATE_WORD_S + 1) == [FIRST]
    assert table.announce(told(FIRST, 18), LATE_WORD_S + 2) == Taken()


def test_a_word_without_birth_goes_with_the_start_that_is_known():
    """An older program's heartbeat does not tell when its sender started."""
    table = UpstreamTable()
    table.announce(told(FIRST, 5), 0)
    assert table.announce(announced(sequence=4), 1) == Stale()
    assert table.announce(announced(sequence=6, draining=True), 1) == Taken()
    assert table.entries['i-1'].announcement.draining
    assert table.entries['i-1'].announcement.born_ms == FIRST
    table.withdraw('i-1', 2)
    assert table.announce(announced(sequence=7), 3) == Stale()


def test_a_count_that_goes_on_is_no_new_start():
    """An upstream begins to tell its birth in the midst of its life."""
    table = UpstreamTable()
    table.announce(announced(sequence=5, draining=True), 0)
    table.announce(told(FIRST, 6), 1)
    assert table.entries['i-1'].announcement.draining
    table.announce(told(SECOND, 1), 2)
    assert not table.entries['i-1'].announcement.draining


def test_a_start_after_a_good_bye_of_an_unknown_one():
    """An entry VM starts between a good-bye and the next start.

    The control VM that took the good-bye had not heard the upstream, and does
    not know which start left; what it tells after that it has judged itself.
    Held for the start that left, the next one got no work for 20 s.
    """
    controls = Controls()
    controls.tables['c-2'].withdraw('i-1', 1, now_ms=FIRST + 500)
    assert controls.starts(1) == []
    controls.tables['c-2'].announce(told(SECOND, 1), 2)
    assert controls.starts(2) == [SECOND]


@pytest.mark.parametrize(
    'order', [('c-1', 'c-2', 'c-3'), ('c-2', 'c-1', 'c-3')]
)
def test_one_control_vm_that_judged_a_start_is_enough(order):
    """The clock was set back, and two control VMs hear the new start.

    One of them has seen the start before end; the third one remembers that
    one only. What is believed must not depend on the order of their tables.
    """
    controls = Controls()
    controls.tables['c-3'] = UpstreamTable()
    late_s = LATE_WORD_S + 1
    for known_to in ('c-2', 'c-3'):
        controls.tables[known_to].announce(told(SECOND, 9), 0)
    for heard_by in ('c-1', 'c-2'):
        controls.tables[heard_by].announce(told(FIRST, 17), late_s)
    controls.tables = {control: controls.tables[control] for control in order}
    assert controls.starts(late_s) == [FIRST]


def test_a_foreign_word_that_came_first_gives_way():
    """Another writer used an upstream's name before it was heard here.

    Refused for as long as the foreign word is remembered, the upstream would
    lose its place for a minute; the other writer does not go on.
    """
    table = UpstreamTable()
    foreign = announced(sequence=900, port=6666)
    table.announce(foreign, 0)
    own = announced(sequence=3)
    assert table.announce(own, 1) == Foreign('address')
    assert (
        table.announce(replace(own, sequence=6), SILENT_AFTER_S + 0.1)
        == Taken()
    )
    known = table.entries['i-1'].announcement
    assert (known.address, known.sequence) == (own.address, 6)
