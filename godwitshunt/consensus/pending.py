"""Callers that wait for the outcome of a proposal or of a read."""

import asyncio
import itertools
from dataclasses import dataclass, field

from result import Err, Ok, Result

from godwitshunt.consensus.failures import (
    ChangeFailure,
    CommitUnknown,
    NotLeader,
)
from godwitshunt.consensus.status import Committed

Outcome = Result[Committed, ChangeFailure]


@dataclass
class Waiter:
    """One caller; the index and term are set once its entry has a place."""

    outcome: asyncio.Future[Outcome]
    index: int | None = None
    term: int | None = None


@dataclass
class Waiters:
    """Callers by the number of what they asked for."""

    waiters: dict[int, Waiter] = field(default_factory=dict)
    numbers_at: dict[int, int] = field(default_factory=dict)
    reads: list[tuple[int, int]] = field(default_factory=list)
    counter: itertools.count = field(default_factory=itertools.count)

    def add(self) -> int:
        """Return the number of a new caller."""
        number = next(self.counter)
        self.waiters[number] = Waiter(asyncio.Future())
        return number

    async def outcome(self, number: int, timeout_s: float) -> Outcome:
        """Wait for an outcome; without one in time it is unknown."""
        waiter = self.waiters[number]
        try:
            return await asyncio.wait_for(waiter.outcome, timeout_s)
        except TimeoutError:
            return Err(CommitUnknown('no commit in time'))
        finally:
            self.waiters.pop(number, None)
            if waiter.index is not None:
                self.numbers_at.pop(waiter.index, None)

    def placed(self, number: int, index: int, term: int) -> None:
        """Note the place of a proposal's entry in the log."""
        waiter = self.waiters.get(number)
        if waiter is None:
            return
        waiter.index = index
        waiter.term = term
        self.numbers_at[index] = number

    def refused(self, number: int, failure: ChangeFailure) -> None:
        """Tell a caller that what it asked for was refused."""
        self.settle(number, Err(failure))

    def applied(self, index: int, term: int) -> None:
        """Tell the caller whose entry is committed at an index.

        An entry of another term there means that the caller's entry was
        replaced: it is certain not to take effect.
        """
        number = self.numbers_at.get(index)
        if number is None:
            return
        if self.waiters[number].term == term:
            self.settle(number, Ok(Committed(index)))
        else:
            self.settle(number, Err(NotLeader(None)))

    def skipped(self, index: int) -> None:
        """Tell callers whose entries a snapshot has passed over."""
        for placed_at, number in tuple(self.numbers_at.items()):
            if placed_at <= index:
                unknown = CommitUnknown('a snapshot took its place')
                self.settle(number, Err(unknown))

    def readable(self, number: int, index: int) -> None:
        """Note that a read may be answered once an index is applied."""
        self.reads.append((number, index))

    def release_reads(self, applied_index: int) -> None:
        """Answer the reads whose index is applied."""
        waiting = []
        for number, index in self.reads:
            if index <= applied_index:
                self.settle(number, Ok(Committed(applied_index)))
            else:
                waiting.append((number, index))
        self.reads = waiting

    def fail_all(self, reason: str) -> None:
        """Tell everybody that this replica takes part no more.

        Also an entry without a place yet may take effect: it may have gone
        to the followers, whose disks can commit it, before the own disk
        failed.
        """
        for number in tuple(self.waiters):
            self.settle(number, Err(CommitUnknown(reason)))

    def settle(self, number: int, outcome: Outcome) -> None:
        """Give a caller its outcome, once."""
        waiter = self.waiters.get(number)
        if waiter is not None and not waiter.outcome.done():
            waiter.outcome.set_result(outcome)
