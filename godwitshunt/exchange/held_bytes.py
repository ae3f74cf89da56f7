"""Counting of the bytes that are held for a caller's connection."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from godwitshunt.exchange.buffer_budget import BufferBudget, Holding
from godwitshunt.telemetry import Metrics, log_change


class BufferedChannel(Protocol):
    """A connection with a send buffer."""

    held: 'HeldBytes | None'

    def buffered_bytes(self) -> int:
        """Return the bytes that wait to be sent."""

    def abort(self) -> None:
        """Close at once."""


class HeldBytes:
    """What is held for one caller's connection, in a process's budget.

    Parameters
    ----------
    budget : BufferBudget
        The budget of the process.
    channel : BufferedChannel
        The caller's connection.
    """

    def __init__(self, budget: BufferBudget, channel: BufferedChannel) -> None:
        self.budget = budget
        self.holding = Holding(channel.abort)
        self.now = asyncio.get_running_loop().time
        self.join(channel)

    def join(self, channel: BufferedChannel) -> None:
        """Count the send buffer of a connection from now on."""
        channel.held = self
        self.holding.buffers[channel] = channel.buffered_bytes

    def leave(self, channel: BufferedChannel) -> None:
        """Count the send buffer of an upstream's connection no more."""
        channel.held = None
        self.holding.buffers.pop(channel, None)
        self.count()

    def close(self, channel: BufferedChannel) -> None:
        """Count a connection that has ended no more.

        The reference is removed because reference cycles keep what a request
        holds until the next garbage collection.
        """
        channel.held = None
        self.holding.buffers.pop(channel, None)
        if not self.holding.buffers:
            self.budget.remove(self.holding)

    def count(self, moved: int = 0) -> None:
        """Count what is held now.

        Parameters
        ----------
        moved : int
            Bytes that were received or are to be sent since the last time.
        """
        holding = self.holding
        if holding.size or holding.gathered_bytes or holding.unsent_bytes():
            self.budget.update(holding, self.now(), moved)

    def keep_body(self, size: int, *, is_receiving: bool = False) -> None:
        """Count the body of the request."""
        holding = self.holding
        moved = max(0, size - holding.body_bytes)
        holding.body_bytes = size
        holding.is_receiving = is_receiving
        if size or holding.size:
            self.budget.update(holding, self.now(), moved)

    def keep_answer(self, size: int) -> None:
        """Count the part of an answer that is in no send buffer yet."""
        self.holding.gathered_bytes = 0
        self.holding.answer_bytes = size
        self.count()

    def gather_answer(self, size: int) -> None:
        """Count an answer that is received whole before it is sent."""
        self.holding.gathered_bytes = size
        self.count()

    def begin_request(self, name: str, rank: int) -> None:
        """Set the request that the bytes belong to from now on."""
        self.holding.name = name
        self.holding.rank = rank

    def end_request(self) -> None:
        """Release the request; its answer may still be in the send buffer.

        The rank stays until the next request, because that answer belongs to
        this one.
        """
        self.keep_body(0)
        self.keep_answer(0)

    def has_room(self) -> bool:
        """Return whether more may be read for the caller."""
        return self.holding.size < self.budget.connection_bytes


def count_body(
    channel: BufferedChannel, size: int, *, is_receiving: bool = False
) -> None:
    """Count the body of a caller's request, where there is a budget."""
    if channel.held is not None:
        channel.held.keep_body(size, is_receiving=is_receiving)


@dataclass(frozen=True)
class EndedLog:
    """Logs and counts the requests that were ended for the budget."""

    metrics: Metrics

    def record(self, holding: Holding, total_bytes: int) -> None:
        """Record one request.

        Parameters
        ----------
        total_bytes : int
            What was held in total.
        """
        now_s = asyncio.get_running_loop().time()
        is_slow = holding.since_s is not None
        rank = 'unknown' if holding.rank is None else str(holding.rank)
        self.metrics.count('exchange_held_ended_total', rank=rank)
        log_change(
            'exchange:held_ended',
            request=holding.name,
            rank=rank,
            held_bytes=holding.size,
            unsent_bytes=holding.unsent_bytes(),
            slow_s=round(now_s - holding.since_s, 3) if is_slow else None,
            total_bytes=total_bytes,
        )


def make_budget(
    limit_bytes: int | None, metrics: Metrics
) -> BufferBudget | None:
    """Return the budget of a process; None if it has no limit."""
    if limit_bytes is None:
        return None
    return BufferBudget(limit_bytes, EndedLog(metrics).record)
