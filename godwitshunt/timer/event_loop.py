"""The event loop of a process, with fewer system calls than the default."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar('Result')

# The default loop polls its sockets after each round of callbacks, also where
# callbacks are ready and none of them waits for a socket: a task that wakes
# another one costs a system call.
# Sockets wait for at most this many rounds more.
MAX_SKIPPED_POLLS = 3


class SparingSelector(selectors.EpollSelector):
    """A selector that does not poll before each round of ready callbacks."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the sockets that are ready; none where it does not poll."""
        must_not_wait = timeout is not None and timeout <= 0
        if must_not_wait and self.skipped < MAX_SKIPPED_POLLS:
            self.skipped += 1
            return []
        self.skipped = 0
        return super().select(timeout)


def make_event_loop() -> asyncio.AbstractEventLoop:
    """Return a new event loop."""
    return asyncio.SelectorEventLoop(SparingSelector())


def run_event_loop(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a process's main coroutine to its end."""
    with asyncio.Runner(loop_factory=make_event_loop) as runner:
        return runner.run(main)
