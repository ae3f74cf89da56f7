"""Stateful test of processes that lose requests, exchange them and restart."""

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
CRASHING, POPULAR = (Fingerprint(bytes((number,)) * 16) for number in (1, 2))
LENGTH_S = 1000.0
MESSAGE_DELAY_S = 0.05

processes = st.integers(0, PROCESSES - 1)


class ProcessesMachine(RuleBasedStateMachine):
    """Processes that exchange deltas, in any order and between any two.

    The crashing request is never answered. The popular one is answered by each
    upstream that does not crash under it.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.crashes = 0
        self.restarts = 0
        self.crash_times: list[float] = []
        self.received_versions: dict[tuple[int, int], int] = {}
        self.quarantines = [self.start() for _ in range(PROCESSES)]

    def start(self) -> Quarantine:
        """Return the quarantine of a process that has just started."""
        return Quarantine(LENGTH_S, lambda: self.now_s, Metrics())

    @rule(process=processes)
    def crash_with_the_previous_one(self, process):
        """Crash an upstream at the time of the previous crash."""
        self.lose_both(process, max(self.crash_times, default=self.now_s))

    @rule(process=processes, after_s=st.floats(0.6, 2))
    def crash_later(self, process, after_s):
        """Crash an upstream at another time."""
        self.now_s += after_s
        self.lose_both(process, self.now_s)

    def lose_both(self, process, at_s):
        """Lose both requests to a crash that one process observes."""
        self.crashes += 1
        for fingerprint, exposure_s in ((CRASHING, 0.1), (POPULAR, 0.5)):
            loss = Loss(f'i-{self.crashes}', at_s, exposure_s)
            lost = LostRequest(fingerprint, '', 5, loss)
            self.quarantines[process].record_loss(lost)
        self.crash_times.append(at_s)

    @rule(process=processes)
    def answer(self, process):
        """Answer the popular request."""
        self.now_s += 0.01
        self.quarantines[process].clear(POPULAR)

    @rule(sender=processes, receiver=processes)
    def send_delta(self, sender, receiver):
        """Send the changes of one process to another."""
        received_version = self.received_versions.get((sender, receiver), 0)
        delta = self.quarantines[sender].table.delta(received_version)
        message = suspects_to_wire(delta.records, self.now_s)
        self.now_s += MESSAGE_DELAY_S
        records = suspects_from_wire(message, self.now_s)
        self.quarantines[receiver].join(records)
        self.received_versions[sender, receiver] = delta.version

    @rule(process=processes)
    def restart(self, process):
        """Restart a process; it and the others request all records again."""
        self.restarts += 1
        self.quarantines[process] = self.start()
        for pair in tuple(self.received_versions):
            if process in pair:
                self.received_versions.pop(pair)

    def count_crash_times(self) -> int:
        """Return the number of distinct crash times."""
        count = 0
        last_counted_s = float('-inf')
        for at_s in self.crash_times:
            if at_s - last_counted_s > SAME_CRASH_WINDOW_S:
                count += 1
                last_counted_s = at_s
        return count

    def may_be_confirmed(self) -> bool:
        """Tell whether there were enough crashes at enough times."""
        if self.crashes < CONFIRMED_CRASHES:
            return False
        return self.count_crash_times() >= CONFIRMED_CRASH_TIMES

    @invariant()
    def none_is_confirmed_by_fewer_crashes(self):
        """At least three crashes at two times are required."""
        if not self.may_be_confirmed():
            for quarantine in self.quarantines:
                assert not quarantine.table.confirmed()

    @invariant()
    def answered_request_is_clear(self):
        """Check that a process clears a request on a whole answer."""
        for quarantine in self.quarantines:
            record = quarantine.table.records.get(POPULAR)
            if record is not None and record.cleared_until_s == self.now_s:
                assert (
                    quarantine.assessment(POPULAR).status
                    is QuarantineStatus.clear
                )

    def teardown(self):
        """After a full exchange all processes agree."""
        for _ in range(PROCESSES + 1):
            for sender, receiver in permutations(range(PROCESSES), 2):
                self.send_delta(sender, receiver)
        confirmed = [set(each.table.confirmed()) for each in self.quarantines]
        assert all(each == confirmed[0] for each in confirmed)
        if self.may_be_confirmed() and not self.restarts:
            assert CRASHING in confirmed[0]
        versions = [each.table.version for each in self.quarantines]
        for sender, receiver in permutations(range(PROCESSES), 2):
            self.send_delta(sender, receiver)
        assert versions == [each.table.version for each in self.quarantines]


ProcessesMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
)
TestProcesses = ProcessesMachine.TestCase
