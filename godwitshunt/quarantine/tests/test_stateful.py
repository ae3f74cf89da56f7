"""Several processes that lose requests, tell one another, and start anew."""

from itertools import permutations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from godwitshunt.quarantine import (
    CONFIRMED_CRASH_TIMES,
    CONFIRMED_CRASHES,
    Fingerprint,
    Loss,
    LostRequest,
    Quarantine,
    QuarantineStatus,
)
from godwitshunt.quarantine.records import SAME_CRASH_WINDOW_S
from godwitshunt.registry.suspect_wire import (
    suspects_from_wire,
    suspects_to_wire,
)
from godwitshunt.telemetry import Metrics

PROCESSES = 3
CRASHING, POPULAR = (Fingerprint(bytes((one,)) * 16) for one in (1, 2))
LENGTH_S = 1000.0
WAY_S = 0.05

processes = st.integers(0, PROCESSES - 1)


class Processes(RuleBasedStateMachine):
    """Processes with a road between each two, that may be cut.

    The lethal request is never answered; the popular one is, by each place
    that does not end under it.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.incarnations = 0
        self.restarts = 0
        self.lethal_ends: list[float] = []
        self.heard: dict[tuple[int, int], int] = {}
        self.quarantines = [self.start() for _ in range(PROCESSES)]

    def start(self) -> Quarantine:
        """Return a process that has just started."""
        return Quarantine(LENGTH_S, lambda: self.now_s, Metrics())

    @rule(process=processes)
    def end_place_with_the_last_one(self, process):
        """Let a place end at the moment of the last end."""
        self.lose_both(process, max(self.lethal_ends, default=self.now_s))

    @rule(process=processes, after_s=st.floats(0.6, 2))
    def end_place(self, process, after_s):
        """Let a place end at another moment."""
        self.now_s += after_s
        self.lose_both(process, self.now_s)

    def lose_both(self, process, at_s):
        """Lose both requests to one more place, as one process sees it."""
        self.incarnations += 1
        for fingerprint, exposure_s in ((CRASHING, 0.1), (POPULAR, 0.5)):
            loss = Loss(f'i-{self.incarnations}', at_s, exposure_s)
            lost = LostRequest(fingerprint, '', 5, loss)
            self.quarantines[process].record_loss(lost)
        self.lethal_ends.append(at_s)

    @rule(process=processes)
    def answer(self, process):
        """Let a place answer the popular request."""
        self.now_s += 0.01
        self.quarantines[process].clear(POPULAR)

    @rule(teller=processes, hearer=processes)
    def tell(self, teller, hearer):
        """Let one process hear what is new at another one."""
        counted_losses = self.heard.get((teller, hearer), 0)
        delta = self.quarantines[teller].table.delta(counted_losses)
        told = suspects_to_wire(delta.records, self.now_s)
        self.now_s += WAY_S
        records = suspects_from_wire(told, self.now_s)
        self.quarantines[hearer].join(records)
        self.heard[teller, hearer] = delta.version

    @rule(process=processes)
    def restart(self, process):
        """Let a process start anew; it and the others ask for all again."""
        self.restarts += 1
        self.quarantines[process] = self.start()
        for pair in tuple(self.heard):
            if process in pair:
                self.heard.pop(pair)

    def count_crash_times(self) -> int:
        """Return at how many moments places ended."""
        count_crash_times = 0
        last_counted_s = float('-inf')
        for at_s in self.lethal_ends:
            if at_s - last_counted_s > SAME_CRASH_WINDOW_S:
                count_crash_times += 1
                last_counted_s = at_s
        return count_crash_times

    def may_be_guilty(self) -> bool:
        """Tell whether enough places ended at enough moments."""
        if self.incarnations < CONFIRMED_CRASHES:
            return False
        return self.count_crash_times() >= CONFIRMED_CRASH_TIMES

    @invariant()
    def nobody_is_held_guilty_by_fewer_ends(self):
        """Three places that ended, at two moments, are the least."""
        if not self.may_be_guilty():
            for one in self.quarantines:
                assert not one.table.confirmed()

    @invariant()
    def one_that_is_answered_now_is_clear_here(self):
        """Whoever saw a whole answer a moment ago keeps nothing back."""
        for one in self.quarantines:
            record = one.table.records.get(POPULAR)
            if record is not None and record.cleared_until_s == self.now_s:
                assert one.assessment(POPULAR).status is QuarantineStatus.clear

    def teardown(self):
        """Let all hear of all: then all believe the same."""
        for _ in range(PROCESSES + 1):
            for teller, hearer in permutations(range(PROCESSES), 2):
                self.tell(teller, hearer)
        confirmed = [set(one.table.confirmed()) for one in self.quarantines]
        assert all(one == confirmed[0] for one in confirmed)
        if self.may_be_guilty() and not self.restarts:
            assert CRASHING in confirmed[0]
        told = [one.table.version for one in self.quarantines]
        for teller, hearer in permutations(range(PROCESSES), 2):
            self.tell(teller, hearer)
        assert told == [one.table.version for one in self.quarantines]


Processes.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
)
TestProcesses = Processes.TestCase
