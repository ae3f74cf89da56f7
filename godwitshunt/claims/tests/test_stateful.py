"""Stateful search for schedules in which a call runs twice."""

import os

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from godwitshunt.claims.tests.simulation import ClaimSimulation

# For a longer search with random seeds: GODWITSHUNT_SEARCH=5000 pytest ...
EXAMPLES = int(os.environ.get('GODWITSHUNT_SEARCH', '0'))
SEARCH = settings(
    max_examples=EXAMPLES or 120,
    stateful_step_count=50,
    derandomize=not EXAMPLES,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)

index = st.integers(min_value=0, max_value=999)


class ClaimSearch(RuleBasedStateMachine):
    """Attempts, messages and restarts in any order."""

    count = 3
    journaled = frozenset()

    @initialize()
    def start(self):
        """Begin with holders that have all their votes, and one key."""
        self.simulation = ClaimSimulation(self.count, self.journaled)
        self.simulation.add_key(0)

    def pick(self, options, number):
        """Return the option that a number selects."""
        return options[number % len(options)]

    @rule(number=index, ahead=st.integers(min_value=0, max_value=1))
    @precondition(lambda search: len(search.simulation.keys) < 3)
    def add_key(self, number, ahead):
        """Create a key with a holder's epoch, or forge one with the next."""
        name = self.pick(self.simulation.names, number)
        self.simulation.add_key(self.simulation.holders[name].epoch + ahead)

    @rule(key=index, number=index, body=st.sampled_from([b'a', b'a', b'b']))
    @precondition(lambda search: len(search.simulation.attempts) < 8)
    def attempt(self, key, number, body):
        """Start an attempt on a key, concurrent with others."""
        unique = 1 + 100 * number + len(self.simulation.attempts)
        chosen = self.pick(self.simulation.keys, key)
        self.simulation.start_attempt(chosen, unique, body)

    @rule(numbers=st.lists(index, min_size=1, max_size=6), twice=st.booleans())
    @precondition(lambda search: search.simulation.in_flight)
    def deliver(self, numbers, twice):
        """Deliver messages of any age; some stay in flight for a repeat."""
        for number in numbers:
            message = self.pick(self.simulation.in_flight, number)
            if not twice:
                self.simulation.in_flight.remove(message)
            self.simulation.deliver(message)
            if not self.simulation.in_flight:
                return

    @rule()
    @precondition(lambda search: search.simulation.in_flight)
    def deliver_newest(self):
        """Deliver the newest message and the messages that it causes."""
        for _ in range(6):
            if self.simulation.in_flight:
                self.simulation.deliver(self.simulation.in_flight.pop())

    @rule(number=index)
    @precondition(lambda search: search.simulation.in_flight)
    def lose(self, number):
        """Lose a message."""
        self.simulation.in_flight.remove(
            self.pick(self.simulation.in_flight, number)
        )

    @rule(number=index)
    def restart(self, number):
        """Restart a holder; it starts to recover if it lost its votes."""
        name = self.pick(self.simulation.names, number)
        self.simulation.restart(name)
        self.simulation.start_recovery(name)

    @rule(number=index, message_number=index)
    def recover_now(self, number, message_number):
        """Restart a holder and deliver a minimum of recovery messages."""
        name = self.pick(self.simulation.names, number)
        self.simulation.restart(name)
        self.simulation.start_recovery(name)
        for _ in range(2 * len(self.simulation.names)):
            recovery_messages = [
                message
                for message in self.simulation.in_flight
                if name in {message.holder, getattr(message, 'sender', '')}
                and hasattr(message, 'restart_count')
            ]
            if recovery_messages:
                message = self.pick(recovery_messages, message_number)
                self.simulation.in_flight.remove(message)
                self.simulation.deliver(message)

    @rule(number=index)
    def retry_recovery(self, number):
        """Restart the recovery of a holder that got too few replies."""
        self.simulation.start_recovery(self.pick(self.simulation.names, number))

    @rule(number=index, fails=st.booleans())
    def use_grant(self, number, fails):
        """Run a granted attempt, or withdraw it on a failed connection."""
        granted = [
            attempt_index
            for attempt_index, simulated in enumerate(self.simulation.attempts)
            if simulated.state == 'granted'
        ]
        if granted and fails:
            self.simulation.withdraw(self.pick(granted, number))
        elif granted:
            self.simulation.run(self.pick(granted, number))

    @rule(number=index)
    def finish(self, number):
        """Send the answer of an attempt that ran to the holders."""
        ran = [
            attempt_index
            for attempt_index, simulated in enumerate(self.simulation.attempts)
            if simulated.state == 'ran'
        ]
        if ran:
            self.simulation.finish(self.pick(ran, number))

    @rule(number=index)
    @precondition(lambda search: search.simulation.attempts)
    def time_out(self, number):
        """Withdraw an attempt that is still undecided."""
        attempt_index = number % len(self.simulation.attempts)
        if self.simulation.attempts[attempt_index].state == 'claiming':
            self.simulation.withdraw(attempt_index)

    @rule(mask=st.integers(min_value=1, max_value=31))
    def pass_epoch(self, mask):
        """Let an epoch elapse at some holders."""
        self.simulation.pass_epoch(
            tuple(
                name
                for position, name in enumerate(self.simulation.names)
                if mask >> position & 1
            ),
        )

    @invariant()
    def runs_at_most_once(self):
        """Check that no key had more than one run."""
        if hasattr(self, 'simulation'):
            assert max(self.simulation.runs.values()) <= 1


@pytest.mark.parametrize(
    ('count', 'journaled'),
    [
        (2, ()),
        (3, ()),
        (3, ('h0',)),
        (5, ()),
        (5, ('h0', 'h1')),
    ],
)
def test_no_schedule_runs_a_call_twice(count, journaled):
    """Holders restart and lose votes; messages arrive late, twice or never.

    A call that runs twice repeats its effect, such as a page to a doctor.
    """
    search = type(
        'Search',
        (ClaimSearch,),
        {'count': count, 'journaled': frozenset(journaled)},
    )
    run_state_machine_as_test(search, settings=SEARCH)
