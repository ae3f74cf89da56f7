"""Random walks over schedules: many more steps than the stateful search.

Failing walks are not shrunk. Each walk is identified by its seed, so that a
failing one can be repeated alone.
"""

import os
from random import Random

import pytest

from godwitshunt.claims.tests.simulation import (
    ClaimSimulation,
    FromPeer,
    ToClaimant,
    ToHolder,
    ToPeer,
)
from godwitshunt.claims.verdicts import Claim

# For a longer run: GODWITSHUNT_WALKS=100000 pytest ...
WALKS = int(os.environ.get('GODWITSHUNT_WALKS', '3000'))
STEPS = 36


class Walk:
    """One random schedule."""

    def __init__(self, seed: int, count: int, journaled: frozenset) -> None:
        self.random = Random(seed)
        self.simulation = ClaimSimulation(count, journaled)
        self.simulation.add_key(0)
        self.steps = {
            self.vote: 10,
            self.deliver_any: 3,
            self.attempt: 3,
            self.restart: 2,
            self.pass_epoch: 1,
            self.add_key: 1,
            self.finish: 0.2,
            self.time_out: 0.1,
        }

    def run(self) -> None:
        """Take all steps; check after each that no call ran twice."""
        if self.chance(50):
            # The hardest keys have an epoch that only one holder has reached.
            ahead = self.choose_holder()
            self.simulation.pass_epoch((ahead,))
            self.simulation.add_key(self.simulation.holders[ahead].epoch)
        steps = list(self.steps)
        weights = list(self.steps.values())
        for step in self.random.choices(steps, weights, k=STEPS):
            step()
            self.use_grants()
            assert max(self.simulation.runs.values()) <= 1

    def chance(self, percent: int) -> bool:
        """Return True with the given probability in percent."""
        return self.random.randrange(100) < percent

    def choose_holder(self) -> str:
        """Return the name of a random holder."""
        return self.random.choice(self.simulation.names)

    def add_key(self) -> None:
        """Create a key with the epoch of a random holder."""
        if len(self.simulation.keys) < 3:
            self.simulation.add_key(
                self.simulation.holders[self.choose_holder()].epoch
            )

    def attempt(self) -> None:
        """Start an attempt, mostly on the newest key."""
        position = self.random.choice((-1, -1, 0))
        unique = (
            1 + 100 * self.random.randrange(99) + len(self.simulation.attempts)
        )
        if len(self.simulation.attempts) < 8:
            self.simulation.start_attempt(
                self.simulation.keys[position], unique, b'a'
            )

    def vote(self) -> None:
        """Deliver a claim and, mostly, its answer immediately."""
        self.deliver(
            message
            for message in self.simulation.in_flight
            if isinstance(message, ToHolder)
            and isinstance(message.request, Claim)
        )
        newest = (
            self.simulation.in_flight[-1] if self.simulation.in_flight else None
        )
        if isinstance(newest, ToClaimant) and self.chance(90):
            self.simulation.in_flight.pop()
            self.simulation.deliver(newest)

    def deliver_any(self) -> None:
        """Deliver any message; some stay in flight for a repeat."""
        self.deliver(self.simulation.in_flight)

    def deliver(self, messages) -> None:
        """Deliver one of the given messages."""
        options = list(messages)
        if options:
            message = self.random.choice(options)
            if self.chance(95):
                self.simulation.in_flight.remove(message)
            self.simulation.deliver(message)

    def restart(self) -> None:
        """Restart a holder; mostly it recovers at once from some replies."""
        holders = self.simulation.holders.values()
        recovering = [holder.name for holder in holders if holder.recovering]
        # Two holders that recover at the same time mostly end all voting. A
        # walk votes longer if one recovers before the next restarts.
        name = (
            recovering[0]
            if recovering and self.chance(95)
            else self.choose_holder()
        )
        if name not in recovering:
            self.simulation.restart(name)
        self.simulation.start_recovery(name)
        pending = not self.chance(10)
        while pending:
            pending = [
                message
                for message in self.simulation.in_flight
                if isinstance(message, ToPeer | FromPeer)
                and message.restart_count
                == self.simulation.restart_counts[name]
                and name in {message.holder, message.sender}
            ]
            for message in pending:
                self.simulation.in_flight.remove(message)
                if self.chance(97):
                    self.simulation.deliver(message)

    def pass_epoch(self) -> None:
        """Let an epoch elapse at some holders."""
        names = self.simulation.names
        count = self.random.randint(1, len(names))
        self.simulation.pass_epoch(tuple(self.random.sample(names, count)))

    def use_grants(self) -> None:
        """Run granted attempts; withdraw some on a failed connection."""
        for attempt_index, simulated in enumerate(self.simulation.attempts):
            if simulated.state == 'granted' and self.chance(5):
                self.simulation.withdraw(attempt_index)
            elif simulated.state == 'granted':
                self.simulation.run(attempt_index)

    def finish(self) -> None:
        """Send the answers of attempts that ran to the holders."""
        for attempt_index, simulated in enumerate(self.simulation.attempts):
            if simulated.state == 'ran':
                self.simulation.finish(attempt_index)

    def time_out(self) -> None:
        """Withdraw the first undecided attempt."""
        for attempt_index, simulated in enumerate(self.simulation.attempts):
            if simulated.state == 'claiming':
                self.simulation.withdraw(attempt_index)
                return


@pytest.mark.parametrize(
    ('count', 'journaled'),
    [(2, ''), (3, ''), (3, 'h0'), (4, ''), (5, '')],
)
def test_no_walk_runs_a_call_twice(count, journaled):
    """Holders restart and lose votes; messages arrive late, twice or never."""
    holders = frozenset(journaled.split())
    for seed in range(WALKS):
        try:
            Walk(seed, count, holders).run()
        except AssertionError:
            pytest.fail(f'walk {seed} over {count} holders ran a call twice')
