"""What a picker counts, whatever becomes of its answers and of reports."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from godwitshunt.registry.ledger import (
    GIVEN_EXPIRES_S,
    LoadLedger,
    Report,
    ReportedLoad,
    SummedLoads,
)
from godwitshunt.registry.records import Load

INSTANCES = ('i-1', 'i-2')
ENTRIES = ('e-1', 'e-2')


def report(number, loads, session='s', taken=0):
    """Return a report of requests without prompts."""
    held = {name: ReportedLoad(Load(count)) for name, count in loads.items()}
    return Report(session, number, held, taken)


def test_two_that_ask_at_once_are_not_given_the_same_slot():
    """Neither report can hold the other's place yet."""
    ledger = LoadLedger()
    ledger.reserve('e-1', 'i-1', 0, now_s=1.0)
    assert ledger.total('i-1') == Load(1)
    ledger.reserve('e-2', 'i-1', 0, now_s=1.0)
    assert ledger.total('i-1') == Load(2)


def test_a_place_counts_once_when_it_is_reported():
    """The report was made after the place came, and holds it."""
    ledger = LoadLedger()
    number = ledger.reserve('e-1', 'i-1', 0, now_s=1.0)
    ledger.report('e-1', report(1, {'i-1': 1}, taken=number))
    assert ledger.total('i-1') == Load(1)


def test_a_report_that_crossed_a_place_does_not_take_it_back():
    """The report was sent before the answer came.

    Without the place, its slot would be given away a second time.
    """
    ledger = LoadLedger()
    ledger.report('e-1', report(1, {}))
    ledger.reserve('e-1', 'i-1', 0, now_s=1.0)
    ledger.report('e-1', report(2, {}))
    assert ledger.total('i-1') == Load(1)


def test_a_place_that_nobody_took_is_free_again():
    """The answer was lost, or came after its asker had gone elsewhere."""
    ledger = LoadLedger()
    ledger.reserve('e-1', 'i-1', 0, now_s=1.0)
    assert not ledger.tick(1.0 + GIVEN_EXPIRES_S)
    expired = ledger.tick(1.1 + GIVEN_EXPIRES_S)
    assert [one.instance for one in expired] == ['i-1']
    assert not ledger.totals


def test_an_entry_vm_that_starts_anew_has_nothing_there():
    """Its process ended with all of its requests; its count begins again."""
    ledger = LoadLedger()
    ledger.report('e-1', report(90, {'i-1': 7}))
    ledger.reserve('e-1', 'i-1', 0, now_s=1.0)
    assert ledger.report('e-1', report(1, {'i-2': 1}, session='t'))
    assert ledger.totals == {'i-2': Load(1)}


def test_a_late_report_changes_nothing():
    """Two reports overtook one another on two connections."""
    ledger = LoadLedger()
    ledger.report('e-1', report(2, {'i-1': 1}))
    assert not ledger.report('e-1', report(1, {'i-1': 5}))
    assert ledger.totals == {'i-1': Load(1)}


def test_an_entry_vm_is_told_what_the_others_do():
    """Each entry VM knows its own requests better than control does."""
    ledger = LoadLedger()
    ledger.report('e-1', report(1, {'i-1': 2}))
    ledger.report('e-2', report(1, {'i-1': 1, 'i-2': 4}))
    others = dict(ledger.totals_without('e-1'))
    assert others == {'i-1': Load(1), 'i-2': Load(4)}
    ledger.report('e-2', report(2, {}))
    assert not tuple(ledger.totals_without('e-1'))


def test_sums_of_several_processes_add_up():
    """Two control VMs of a region each hear a part of its entry VMs."""
    summed = SummedLoads(
        ({'i-1': Load(1, 3)}, {'i-1': Load(2), 'i-2': Load(1)})
    )
    assert dict(summed) == {'i-1': Load(3, 3), 'i-2': Load(1)}
    assert len(summed) == 2


STEPS = st.lists(
    st.tuples(
        st.sampled_from(('ask', 'lose', 'end', 'report', 'drop', 'restart')),
        st.sampled_from(ENTRIES),
        st.sampled_from(INSTANCES),
    ),
    max_size=60,
)


class Told:
    """Entry VMs whose answers and reports may be lost, and one ledger."""

    def __init__(self) -> None:
        self.ledger = LoadLedger()
        self.running = {entry: Counter() for entry in ENTRIES}
        self.sessions = dict.fromkeys(ENTRIES, 0)
        self.numbers = dict.fromkeys(ENTRIES, 0)
        self.taken = dict.fromkeys(ENTRIES, 0)

    def tell(self, entry, *, arrives=True):
        """Let an entry VM report."""
        self.numbers[entry] += 1
        loads = {
            name: count for name, count in self.running[entry].items() if count
        }
        made = report(
            self.numbers[entry],
            loads,
            str(self.sessions[entry]),
            self.taken[entry],
        )
        if arrives:
            self.ledger.report(entry, made)

    def ask(self, entry, instance, *, arrives=True):
        """Let an entry VM ask for a place; the answer may be lost."""
        self.tell(entry)
        number = self.ledger.reserve(entry, instance, 0, now_s=0.0)
        if arrives:
            self.taken[entry] = number
            self.running[entry][instance] += 1

    def restart(self, entry):
        """Let an entry VM start anew."""
        self.running[entry].clear()
        self.sessions[entry] += 1
        self.taken[entry] = 0
        self.numbers[entry] = 0

    def step(self, what, entry, instance):
        """Let one thing happen."""
        match what:
            case 'ask' | 'lose':
                self.ask(entry, instance, arrives=what == 'ask')
            case 'end' if self.running[entry][instance]:
                self.running[entry][instance] -= 1
            case 'report' | 'drop':
                self.tell(entry, arrives=what == 'report')
            case 'restart':
                self.restart(entry)


@settings(max_examples=300, deadline=None)
@given(STEPS)
def test_the_count_is_right_once_all_has_been_reported(steps):
    """Answers and reports are lost, and entry VMs start anew.

    In between, the count is never below what runs and was given: an upstream
    is never taken for freer than it is by what this picker gave.
    """
    told = Told()
    for what, entry, instance in steps:
        told.step(what, entry, instance)
        for known in INSTANCES:
            least = sum(running[known] for running in told.running.values())
            assert told.ledger.total(known).in_flight >= least
    for each in ENTRIES:
        told.tell(each)
    told.ledger.tick(GIVEN_EXPIRES_S + 0.1)
    expected = sum(told.running.values(), Counter())
    found = {name: one.in_flight for name, one in told.ledger.totals.items()}
    assert found == {name: count for name, count in expected.items() if count}
