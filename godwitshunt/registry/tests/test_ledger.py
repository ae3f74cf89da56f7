"""Load totals of a picker when replies and reports are lost or late."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from godwitshunt.registry.ledger import (
    RESERVATION_TTL_S,
    LoadLedger,
    Report,
    ReportedLoad,
    SummedLoads,
)
from godwitshunt.registry.records import Load

INSTANCES = ('i-1', 'i-2')
ENTRIES = ('e-1', 'e-2')


def report(number, loads, session='s', last_reservation=0):
    """Return a report of requests without prompt tokens."""
    reported = {
        name: ReportedLoad(Load(count)) for name, count in loads.items()
    }
    return Report(session, number, reported, last_reservation)


def test_concurrent_requests_do_not_reserve_the_same_slot():
    """No report can include the other's reservation yet."""
    ledger = LoadLedger()
    ledger.reserve('e-1', 'i-1', 0, now_s=1.0)
    assert ledger.total('i-1') == Load(1)
    ledger.reserve('e-2', 'i-1', 0, now_s=1.0)
    assert ledger.total('i-1') == Load(2)


def test_reservation_counts_once_when_it_is_reported():
    """The report was made after the reservation and includes it."""
    ledger = LoadLedger()
    number = ledger.reserve('e-1', 'i-1', 0, now_s=1.0)
    ledger.apply_report('e-1', report(1, {'i-1': 1}, last_reservation=number))
    assert ledger.total('i-1') == Load(1)


def test_report_sent_before_a_reservation_does_not_release_it():
    """The report was sent before the reply with the reservation arrived.

    If it released the reservation, the slot would be assigned twice.
    """
    ledger = LoadLedger()
    ledger.apply_report('e-1', report(1, {}))
    ledger.reserve('e-1', 'i-1', 0, now_s=1.0)
    ledger.apply_report('e-1', report(2, {}))
    assert ledger.total('i-1') == Load(1)


def test_unused_reservation_expires():
    """The reply was lost, or arrived after the entry VM stopped waiting."""
    ledger = LoadLedger()
    ledger.reserve('e-1', 'i-1', 0, now_s=1.0)
    assert not ledger.tick(1.0 + RESERVATION_TTL_S)
    expired = ledger.tick(1.1 + RESERVATION_TTL_S)
    assert [reservation.instance for reservation in expired] == ['i-1']
    assert not ledger.totals


def test_restarted_entry_vm_has_no_load():
    """Its process ended with all of its requests; its numbers start again."""
    ledger = LoadLedger()
    ledger.apply_report('e-1', report(90, {'i-1': 7}))
    ledger.reserve('e-1', 'i-1', 0, now_s=1.0)
    assert ledger.apply_report('e-1', report(1, {'i-2': 1}, session='t'))
    assert ledger.totals == {'i-2': Load(1)}


def test_late_report_changes_nothing():
    """Reports on two connections may arrive out of order."""
    ledger = LoadLedger()
    ledger.apply_report('e-1', report(2, {'i-1': 1}))
    assert not ledger.apply_report('e-1', report(1, {'i-1': 5}))
    assert ledger.totals == {'i-1': Load(1)}


def test_totals_for_an_entry_vm_exclude_its_own_requests():
    """An entry VM knows its own requests better than the control VM does."""
    ledger = LoadLedger()
    ledger.apply_report('e-1', report(1, {'i-1': 2}))
    ledger.apply_report('e-2', report(1, {'i-1': 1, 'i-2': 4}))
    others = dict(ledger.totals_without('e-1'))
    assert others == {'i-1': Load(1), 'i-2': Load(4)}
    ledger.apply_report('e-2', report(2, {}))
    assert not tuple(ledger.totals_without('e-1'))


def test_totals_of_several_processes_are_summed():
    """Two control VMs of a region each receive a part of the reports."""
    summed = SummedLoads(
        ({'i-1': Load(1, 3)}, {'i-1': Load(2), 'i-2': Load(1)})
    )
    assert dict(summed) == {'i-1': Load(3, 3), 'i-2': Load(1)}
    assert len(summed) == 2


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ('reserve', 'lose', 'end', 'report', 'drop', 'restart')
        ),
        st.sampled_from(ENTRIES),
        st.sampled_from(INSTANCES),
    ),
    max_size=60,
)


class LossyEntries:
    """Entry VMs whose replies and reports may be lost, and one ledger."""

    def __init__(self) -> None:
        self.ledger = LoadLedger()
        self.running = {entry: Counter() for entry in ENTRIES}
        self.sessions = dict.fromkeys(ENTRIES, 0)
        self.numbers = dict.fromkeys(ENTRIES, 0)
        self.last_reservations = dict.fromkeys(ENTRIES, 0)

    def send_report(self, entry, *, arrives=True):
        """Let an entry VM report; the report may be lost."""
        self.numbers[entry] += 1
        loads = {
            name: count for name, count in self.running[entry].items() if count
        }
        sent = report(
            self.numbers[entry],
            loads,
            str(self.sessions[entry]),
            self.last_reservations[entry],
        )
        if arrives:
            self.ledger.apply_report(entry, sent)

    def reserve(self, entry, instance, *, arrives=True):
        """Reserve a slot for an entry VM; the reply may be lost."""
        self.send_report(entry)
        number = self.ledger.reserve(entry, instance, 0, now_s=0.0)
        if arrives:
            self.last_reservations[entry] = number
            self.running[entry][instance] += 1

    def restart(self, entry):
        """Restart an entry VM."""
        self.running[entry].clear()
        self.sessions[entry] += 1
        self.last_reservations[entry] = 0
        self.numbers[entry] = 0

    def step(self, action, entry, instance):
        """Take one step."""
        match action:
            case 'reserve' | 'lose':
                self.reserve(entry, instance, arrives=action == 'reserve')
            case 'end' if self.running[entry][instance]:
                self.running[entry][instance] -= 1
            case 'report' | 'drop':
                self.send_report(entry, arrives=action == 'report')
            case 'restart':
                self.restart(entry)


@settings(max_examples=300, deadline=None)
@given(STEPS)
def test_totals_are_exact_after_all_entries_have_reported(steps):
    """Replies and reports are lost, and entry VMs restart.

    Before that, a total is never below the number of running requests: no
    upstream appears to have more free slots than it has.
    """
    entries = LossyEntries()
    for action, entry, instance in steps:
        entries.step(action, entry, instance)
        for known in INSTANCES:
            least = sum(running[known] for running in entries.running.values())
            assert entries.ledger.total(known).in_flight >= least
    for reporting in ENTRIES:
        entries.send_report(reporting)
    entries.ledger.tick(RESERVATION_TTL_S + 0.1)
    expected = sum(entries.running.values(), Counter())
    totals = {
        name: load.in_flight for name, load in entries.ledger.totals.items()
    }
    assert totals == {name: count for name, count in expected.items() if count}
