"""Tasks that a part starts in answer to notices, and ends when it closes."""

import asyncio
from collections.abc import Callable, Coroutine

from godwitshunt.exceptions import FrameError
from godwitshunt.telemetry import log_change


class BackgroundTasks:
    """Tasks of one part; each piece of work runs once at a time.

    A notice of the timer must not wait, so the work that it asks for runs in
    a task. Where the work of the last notice is not done, the notice is
    skipped: a slow peer would else pile up calls.
    """

    def __init__(self) -> None:
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def run(
        self,
        name: str,
        work: Callable[[], Coroutine[None, None, None]],
    ) -> None:
        """Start the work unless it is still under way."""
        if not self.is_running(name):
            self.tasks[name] = asyncio.create_task(self.attempt(name, work))

    async def attempt(
        self,
        name: str,
        work: Callable[[], Coroutine[None, None, None]],
    ) -> None:
        """Do the work; log a fault, or a message that it could not read."""
        try:
            await work()
        except FrameError as bad:
            log_change(
                'background:message_malformed', work=name, fault=str(bad)
            )
        except Exception as fault:
            # The next notice begins the work anew; the fault must be seen.
            log_change('background:work_failed', work=name, fault=repr(fault))

    async def wait(self, name: str) -> None:
        """Wait until the work of a name is done; its failure is its own."""
        running = self.tasks.get(name)
        if running is not None:
            await asyncio.wait((running,))

    def is_running(self, name: str) -> bool:
        """Tell whether work of a name is under way."""
        running = self.tasks.get(name)
        return running is not None and not running.done()

    def remove_done(self) -> None:
        """Drop work that is done; for work of ever new names."""
        for name, task in tuple(self.tasks.items()):
            if task.done():
                self.tasks.pop(name)

    async def close(self) -> None:
        """End all work."""
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        self.tasks.clear()
