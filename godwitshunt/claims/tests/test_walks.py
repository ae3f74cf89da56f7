"""Random walks over schedules: many more steps than the search, unshrunk.

Each walk is named by its seed, so a failing one can be run again alone.
"""

import os
from random import Random

import pytest

from godwitshunt.claims.tests.machine import (
    ClaimMachine,
    FromPeer,
    ToClaimant,
    ToHolder,
    ToPeer,
)
from godwitshunt.claims.verdicts import Claim

# A longer run: GODWITSHUNT_WALKS=100000 pytest ...
WALKS = int(os.environ.get('GODWITSHUNT_WALKS', '3000'))
STEPS = 36


class Walk:
    """One random schedule."""

    def __init__(self, seed: int, count: int, journaled: frozenset) -> None:
        self.random = Random(seed)
        self.machine = ClaimMachine(count, journaled)
        self.machine.stamp(0)
        self.steps = {
            self.vote: 10,
            self.deliver_any: 3,
            self.attempt: 3,
            self.restart: 2,
            self.pass_epoch: 1,
            self.stamp: 1,
            self.finish: 0.2,
            self.time_out: 0.1,
        }

    def go(self) -> None:
        """Walk, and check after each step that nothing ran twice."""
        if self.chance(50):
            # The hardest keys are of an epoch that only one holder is in.
            ahead = self.name()
            self.machine.pass_epoch((ahead,))
            self.machine.stamp(self.machine.holders[ahead].epoch)
        steps = list(self.steps)
        weights = list(self.steps.values())
        for step in self.random.choices(steps, weights, k=STEPS):
            step()
            self.use_grants()
            assert max(self.machine.runs.values()) <= 1

    def chance(self, percent: int) -> bool:
        """Return True in so many of a hundred cases."""
        return self.random.randrange(100) < percent

    def name(self) -> str:
        """Return a holder."""
        return self.random.choice(self.machine.names)

    def stamp(self) -> None:
        """Stamp a key as a VM would that heard this holder."""
        if len(self.machine.keys) < 3:
            self.machine.stamp(self.machine.holders[self.name()].epoch)

    def attempt(self) -> None:
        """Attempt the newest key, mostly."""
        place = self.random.choice((-1, -1, 0))
        unique = 1 + 100 * self.random.randrange(99) + len(self.machine.trials)
        if len(self.machine.trials) < 8:
            self.machine.begin(self.machine.keys[place], unique, b'a')

    def vote(self) -> None:
        """Deliver a claim, and its answer at once."""
        self.deliver(
            message
            for message in self.machine.bag
            if isinstance(message, ToHolder)
            and isinstance(message.request, Claim)
        )
        newest = self.machine.bag[-1] if self.machine.bag else None
        if isinstance(newest, ToClaimant) and self.chance(90):
            self.machine.bag.pop()
            self.machine.deliver(newest)

    def deliver_any(self) -> None:
        """Deliver any message; some come again."""
        self.deliver(self.machine.bag)

    def deliver(self, messages) -> None:
        """Deliver one of some messages."""
        options = list(messages)
        if options:
            message = self.random.choice(options)
            if self.chance(95):
                self.machine.bag.remove(message)
            self.machine.deliver(message)

    def restart(self) -> None:
        """Restart a holder; mostly it recovers at once, hearing some."""
        holders = self.machine.holders.values()
        forgot = [holder.name for holder in holders if holder.recovering]
        # Two that forget at once mostly end all votes: a walk goes on longer
        # where the first recovers before the next restarts.
        name = forgot[0] if forgot and self.chance(95) else self.name()
        if name not in forgot:
            self.machine.restart(name)
        self.machine.ask_peers(name)
        asked = not self.chance(10)
        while asked:
            asked = [
                message
                for message in self.machine.bag
                if isinstance(message, ToPeer | FromPeer)
                and message.life == self.machine.lives[name]
                and name in {message.holder, message.sender}
            ]
            for message in asked:
                self.machine.bag.remove(message)
                if self.chance(97):
                    self.machine.deliver(message)

    def pass_epoch(self) -> None:
        """Let an epoch pass at some holders."""
        names = self.machine.names
        count = self.random.randint(1, len(names))
        self.machine.pass_epoch(tuple(self.random.sample(names, count)))

    def use_grants(self) -> None:
        """Run what was granted; some connections fail."""
        for place, trial in enumerate(self.machine.trials):
            if trial.state == 'granted' and self.chance(5):
                self.machine.give_up(place)
            elif trial.state == 'granted':
                self.machine.run(place)

    def finish(self) -> None:
        """Tell holders of an answer."""
        for place, trial in enumerate(self.machine.trials):
            if trial.state == 'ran':
                self.machine.finish(place)

    def time_out(self) -> None:
        """Give up an attempt."""
        for place, trial in enumerate(self.machine.trials):
            if trial.state == 'claiming':
                self.machine.give_up(place)
                return


@pytest.mark.parametrize(
    ('count', 'journaled'),
    [(2, ''), (3, ''), (3, 'h0'), (4, ''), (5, '')],
)
def test_no_walk_runs_a_call_twice(count, journaled):
    """Holders restart and forget, messages come late, twice or never."""
    holders = frozenset(journaled.split())
    for seed in range(WALKS):
        try:
            Walk(seed, count, holders).go()
        except AssertionError:
            pytest.fail(f'walk {seed} over {count} holders ran a call twice')
