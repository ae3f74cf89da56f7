"""Restarts of upstreams, with announcements in any order of arrival."""

from dataclasses import dataclass, field, replace

import pytest

from godwitshunt.registry.incarnations import MAX_ANNOUNCEMENT_DELAY_S
from godwitshunt.registry.merged_tables import MergedTables
from godwitshunt.registry.records import UpstreamAnnounced
from godwitshunt.registry.table import (
    SILENT_AFTER_S,
    Foreign,
    Stale,
    Taken,
    UpstreamTable,
)
from godwitshunt.registry.tests.test_merged_tables import REGIONS, table_update
from godwitshunt.registry.tests.test_table import announced

FIRST, SECOND, THIRD = 1_000_000, 1_000_700, 1_001_200


def of_incarnation(born_ms, sequence=1, **changes):
    """Return an announcement of the incarnation with a start time."""
    return announced(sequence=sequence, born_ms=born_ms, **changes)


@dataclass
class Controls:
    """Two control VMs' tables and an entry VM that polls both."""

    tables: dict[str, UpstreamTable] = field(
        default_factory=lambda: {'c-1': UpstreamTable(), 'c-2': UpstreamTable()}
    )
    merged: MergedTables = field(default_factory=lambda: MergedTables(REGIONS))

    def view(self, now_s: float) -> dict[str, UpstreamAnnounced]:
        """Return the announcements in the entry VM's view."""
        for control, table in self.tables.items():
            table.tick(now_s)
            update = table_update(table, now_s, source=control)
            self.merged.apply(update, now_s, now_s)
        upstreams = self.merged.view(now_s).upstreams
        return {name: seen.announcement for name, seen in upstreams.items()}

    def start_times(self, now_s: float) -> list[int | None]:
        """Return the start times of the incarnations in the view."""
        return [
            announcement.born_ms for announcement in self.view(now_s).values()
        ]


def test_new_incarnation_is_accepted_with_a_lower_sequence():
    """An upstream crashes after 40 announcements and restarts.

    Compared with the previous sequence, its next 40 announcements would be
    rejected as late, and it would get no requests for 48 s.
    """
    table = UpstreamTable()
    table.announce(of_incarnation(FIRST, 40), 0)
    assert table.announce(of_incarnation(SECOND, 1, cold_s=3.0), 2) == Taken()
    assert table.entries['i-1'].announcement.born_ms == SECOND
    assert table.entries['i-1'].cold_until_s == pytest.approx(5.0)


def test_draining_does_not_extend_to_the_next_incarnation():
    """A server was drained for an upgrade and restarts under its name."""
    controls = Controls()
    table = controls.tables['c-1']
    table.announce(of_incarnation(FIRST, 9, draining=True), 0)
    table.announce(of_incarnation(SECOND, 1), 1)
    view = controls.view(1)
    assert [seen.draining for seen in view.values()] == [False]


def test_withdrawal_ends_only_its_incarnation():
    """A withdrawal must not exclude the next incarnation."""
    controls = Controls()
    table = controls.tables['c-1']
    table.announce(of_incarnation(FIRST, 9), 0)
    table.withdraw('i-1', 1)
    assert table.announce(of_incarnation(FIRST, 10), 1.1) == Stale()
    assert controls.start_times(1.1) == []
    assert table.announce(of_incarnation(SECOND, 1), 1.5) == Taken()
    assert controls.start_times(1.5) == [SECOND]


def test_withdrawal_at_another_control_vm_ends_the_incarnation():
    """An upstream announces itself to one control VM, withdraws from another.

    The other one does not know which incarnation it ends; a later incarnation
    is distinguished by its start time and accepted.
    """
    controls = Controls()
    controls.tables['c-1'].announce(of_incarnation(FIRST, 9), 0)
    assert controls.start_times(0) == [FIRST]
    controls.tables['c-2'].withdraw('i-1', 1, now_ms=FIRST + 500)
    assert controls.start_times(1) == []
    late = controls.tables['c-2'].announce(of_incarnation(FIRST, 10), 1.2)
    assert late == Stale()
    assert (
        controls.tables['c-2'].announce(of_incarnation(SECOND, 1), 2) == Taken()
    )
    assert controls.start_times(2) == [SECOND]


def test_late_announcement_of_the_previous_incarnation_is_ignored():
    """An announcement was in transit while its sender crashed and restarted."""
    table = UpstreamTable()
    table.announce(of_incarnation(SECOND, 1), 0)
    late = of_incarnation(FIRST, 41, draining=True, cold_s=9.0)
    assert table.announce(late, 1) == Stale()
    known = table.entries['i-1']
    assert (known.announcement.born_ms, known.announcement.draining) == (
        SECOND,
        False,
    )
    assert known.cold_until_s == 0


@pytest.mark.parametrize('order', [('c-1', 'c-2'), ('c-2', 'c-1')])
def test_control_vms_know_different_incarnations(order):
    """The new incarnation announces itself to another control VM.

    The first control VM still reports the previous one, which was draining.
    """
    controls = Controls()
    controls.tables['c-1'].announce(of_incarnation(FIRST, 9, draining=True), 0)
    controls.tables['c-2'].announce(of_incarnation(SECOND, 1), 1)
    controls.tables = {name: controls.tables[name] for name in order}
    assert controls.start_times(1) == [SECOND]
    controls.tables['c-2'].withdraw('i-1', 2)
    assert controls.start_times(2) == []


def test_late_announcement_at_a_control_vm_that_knows_neither():
    """A delayed announcement arrives where no incarnation is known."""
    controls = Controls()
    controls.tables['c-2'].announce(of_incarnation(SECOND, 1), 0)
    controls.tables['c-1'].announce(of_incarnation(FIRST, 9), 1)
    assert controls.start_times(1) == [SECOND]
    controls.tables['c-2'].withdraw('i-1', 2)
    assert controls.start_times(2) == []


def test_restart_during_a_partition():
    """An upstream restarts while it cannot reach one control VM."""
    controls = Controls()
    controls.tables['c-1'].announce(of_incarnation(FIRST, 9), 0)
    controls.tables['c-2'].announce(of_incarnation(SECOND, 1), 3)
    assert controls.start_times(3) == [SECOND]
    controls.tables['c-2'].announce(of_incarnation(SECOND, 6), 9)
    assert controls.start_times(9) == [SECOND]
    controls.tables['c-1'].announce(of_incarnation(SECOND, 7), 10)
    assert controls.start_times(10) == [SECOND]


def test_three_incarnations_within_a_second():
    """A server crashes at startup and is restarted twice."""
    controls = Controls()
    table = controls.tables['c-1']
    for born_ms, at_s in ((FIRST, 0), (THIRD, 0.9), (SECOND, 0.95)):
        table.announce(of_incarnation(born_ms, 1), at_s)
    assert controls.start_times(1) == [THIRD]


def test_clock_set_back_between_two_incarnations():
    """The new incarnation has an earlier start time than the known one.

    At first it cannot be distinguished from a late announcement; it is
    accepted once the known one has been silent for longer than announcements
    are delayed.
    """
    controls = Controls()
    table = controls.tables['c-1']
    table.announce(of_incarnation(SECOND, 9), 0)
    assert table.announce(of_incarnation(FIRST, 1), 1) == Stale()
    assert controls.start_times(1) == [SECOND]
    assert (
        table.announce(of_incarnation(FIRST, 17), MAX_ANNOUNCEMENT_DELAY_S + 1)
        == Taken()
    )
    assert controls.start_times(MAX_ANNOUNCEMENT_DELAY_S + 1) == [FIRST]
    assert (
        table.announce(of_incarnation(FIRST, 18), MAX_ANNOUNCEMENT_DELAY_S + 2)
        == Taken()
    )


def test_announcement_without_start_time_is_of_the_known_incarnation():
    """An older program's announcements have no start time."""
    table = UpstreamTable()
    table.announce(of_incarnation(FIRST, 5), 0)
    assert table.announce(announced(sequence=4), 1) == Stale()
    assert table.announce(announced(sequence=6, draining=True), 1) == Taken()
    assert table.entries['i-1'].announcement.draining
    assert table.entries['i-1'].announcement.born_ms == FIRST
    table.withdraw('i-1', 2)
    assert table.announce(announced(sequence=7), 3) == Stale()


def test_continued_sequence_is_no_new_incarnation():
    """A running upstream begins to send its start time."""
    table = UpstreamTable()
    table.announce(announced(sequence=5, draining=True), 0)
    table.announce(of_incarnation(FIRST, 6), 1)
    assert table.entries['i-1'].announcement.draining
    table.announce(of_incarnation(SECOND, 1), 2)
    assert not table.entries['i-1'].announcement.draining


def test_new_incarnation_after_withdrawal_of_an_unknown_one():
    """An entry VM starts between a withdrawal and the next incarnation.

    The control VM that received the withdrawal does not know which incarnation
    it ended; an incarnation that it reports later is a new one. Treated as the
    withdrawn one, it got no requests for 20 s.
    """
    controls = Controls()
    controls.tables['c-2'].withdraw('i-1', 1, now_ms=FIRST + 500)
    assert controls.start_times(1) == []
    controls.tables['c-2'].announce(of_incarnation(SECOND, 1), 2)
    assert controls.start_times(2) == [SECOND]


@pytest.mark.parametrize(
    'order', [('c-1', 'c-2', 'c-3'), ('c-2', 'c-1', 'c-3')]
)
def test_one_control_vm_that_knows_the_end_is_sufficient(order):
    """The clock was set back; two control VMs know the new incarnation.

    One of them knows that the previous one ended; the third control VM knows
    only the previous one. The merged view must not depend on the order of
    their tables.
    """
    controls = Controls()
    controls.tables['c-3'] = UpstreamTable()
    late_s = MAX_ANNOUNCEMENT_DELAY_S + 1
    for previous_at in ('c-2', 'c-3'):
        controls.tables[previous_at].announce(of_incarnation(SECOND, 9), 0)
    for new_at in ('c-1', 'c-2'):
        controls.tables[new_at].announce(of_incarnation(FIRST, 17), late_s)
    controls.tables = {control: controls.tables[control] for control in order}
    assert controls.start_times(late_s) == [FIRST]


def test_foreign_announcement_is_replaced_once_it_is_silent():
    """Another writer used an upstream's name before the upstream did.

    Rejected until the foreign entry expires, the upstream would be missing for
    a minute, although the other writer does not continue.
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
