"""Deadline of a request in a process that may not be scheduled in time."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

# A timer that fires this much too late shows that the process was not
# scheduled. What other processes have sent meanwhile has not been read yet.
STALL_S = 0.05
# Time to read it. An answer that is ready is delivered, also late.
READ_S = 0.1


@asynccontextmanager
async def deadline(delay_s: float) -> AsyncIterator[asyncio.Timeout]:
    """Limit the duration of a block, as `asyncio.timeout` does.

    If this process was not scheduled when the time was over, the block has
    `READ_S` more: bytes that arrived meanwhile are read only after the timers
    that are due.

    Parameters
    ----------
    delay_s : float
        Seconds until the block is cancelled.

    Raises
    ------
    TimeoutError
        If the block takes longer.
    """
    loop = asyncio.get_running_loop()
    due_s = loop.time() + delay_s
    async with asyncio.timeout(None) as limit:
        timer = loop.call_at(due_s, expire, limit, due_s)
        try:
            yield limit
        finally:
            timer.cancel()


def expire(limit: asyncio.Timeout, due_s: float) -> None:
    """End a block whose time is over, at once or after a last read."""
    now_s = asyncio.get_running_loop().time()
    is_late = now_s - due_s > STALL_S
    limit.reschedule(now_s + READ_S if is_late else now_s)
