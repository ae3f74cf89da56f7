"""A search for schedules in which a call runs twice."""

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

from godwitshunt.claims.tests.machine import ClaimMachine

# A longer search, from other seeds: GODWITSHUNT_SEARCH=5000 pytest ...
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
        """Begin with holders that remember, and one key."""
        self.machine = ClaimMachine(self.count, self.journaled)
        self.machine.stamp(0)

    def pick(self, options, number):
        """Return one of several options."""
        return options[number % len(options)]

    @rule(number=index, ahead=st.integers(min_value=0, max_value=1))
    @precondition(lambda search: len(search.machine.keys) < 3)
    def stamp(self, number, ahead):
        """Stamp a key with a holder's epoch, or forge the next."""
        name = self.pick(self.machine.names, number)
        self.machine.stamp(self.machine.holders[name].epoch + ahead)

    @rule(key=index, number=index, body=st.sampled_from([b'a', b'a', b'b']))
    @precondition(lambda search: len(search.machine.trials) < 8)
    def attempt(self, key, number, body):
        """Let a VM attempt a key, in parallel to others."""
        unique = 1 + 100 * number + len(self.machine.trials)
        chosen = self.pick(self.machine.keys, key)
        self.machine.begin(chosen, unique, body)

    @rule(numbers=st.lists(index, min_size=1, max_size=6), twice=st.booleans())
    @precondition(lambda search: search.machine.bag)
    def deliver(self, numbers, twice):
        """Deliver some messages, of any age; some stay to come again."""
        for number in numbers:
            message = self.pick(self.machine.bag, number)
            if not twice:
                self.machine.bag.remove(message)
            self.machine.deliver(message)
            if not self.machine.bag:
                return

    @rule()
    @precondition(lambda search: search.machine.bag)
    def deliver_newest(self):
        """Deliver what was sent last, and what comes of it."""
        for _ in range(6):
            if self.machine.bag:
                self.machine.deliver(self.machine.bag.pop())

    @rule(number=index)
    @precondition(lambda search: search.machine.bag)
    def lose(self, number):
        """Lose a message."""
        self.machine.bag.remove(self.pick(self.machine.bag, number))

    @rule(number=index)
    def restart(self, number):
        """Restart a holder; it begins to recover where it forgot."""
        name = self.pick(self.machine.names, number)
        self.machine.restart(name)
        self.machine.ask_peers(name)

    @rule(number=index, sides=index)
    def recover_now(self, number, sides):
        """Restart a holder and let it hear as few others as it may."""
        name = self.pick(self.machine.names, number)
        self.machine.restart(name)
        self.machine.ask_peers(name)
        for _ in range(2 * len(self.machine.names)):
            asked = [
                message
                for message in self.machine.bag
                if name in {message.holder, getattr(message, 'sender', '')}
                and hasattr(message, 'life')
            ]
            if asked:
                message = self.pick(asked, sides)
                self.machine.bag.remove(message)
                self.machine.deliver(message)

    @rule(number=index)
    def ask_again(self, number):
        """Let a holder that hears too few ask again."""
        self.machine.ask_peers(self.pick(self.machine.names, number))

    @rule(number=index, fails=st.booleans())
    def use_grant(self, number, fails):
        """Run what was granted, or prove that the connection failed."""
        granted = [
            place
            for place, trial in enumerate(self.machine.trials)
            if trial.state == 'granted'
        ]
        if granted and fails:
            self.machine.give_up(self.pick(granted, number))
        elif granted:
            self.machine.run(self.pick(granted, number))

    @rule(number=index)
    def finish(self, number):
        """Keep the answer of what ran."""
        ran = [
            place
            for place, trial in enumerate(self.machine.trials)
            if trial.state == 'ran'
        ]
        if ran:
            self.machine.finish(self.pick(ran, number))

    @rule(number=index)
    @precondition(lambda search: search.machine.trials)
    def time_out(self, number):
        """Give up an attempt that hears too little."""
        place = number % len(self.machine.trials)
        if self.machine.trials[place].state == 'claiming':
            self.machine.give_up(place)

    @rule(mask=st.integers(min_value=1, max_value=31))
    def pass_epoch(self, mask):
        """Let an epoch pass for some holders."""
        self.machine.pass_epoch(
            tuple(
                name
                for place, name in enumerate(self.machine.names)
                if mask >> place & 1
            ),
        )

    @invariant()
    def runs_at_most_once(self):
        """Check that no call under one key ran twice."""
        if hasattr(self, 'machine'):
            assert max(self.machine.runs.values()) <= 1


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
    """Holders restart and forget, messages come late, twice or never.

    A second run would page a doctor again or file a certificate twice.
    """
    search = type(
        'Search',
        (ClaimSearch,),
        {'count': count, 'journaled': frozenset(journaled)},
    )
    run_state_machine_as_test(search, settings=SEARCH)
