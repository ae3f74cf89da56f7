"""Background tasks that a component starts and cancels when it closes."""

import asyncio
from collections.abc import Callable, Coroutine

from godwitshunt.exceptions import FrameError
from godwitshunt.telemetry import log_change


class BackgroundTasks:
    """Named tasks of one component; a name runs at most once at a time.

    A timer callback must not block, so its work runs in a task. A callback is
    skipped while the work of the previous one is unfinished; otherwise calls
    to a slow peer would pile up.
    """

    def __init__(self) -> None:
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def run(
        self,
        name: str,
        work: Callable[[], Coroutine[None, None, None]],
    ) -> None:
        """Start the work unless work of this name is still running."""
        if not self.is_running(name):
            self.tasks[name] = asyncio.create_task(self.attempt(name, work))

    async def attempt(
        self,
        name: str,
        work: Callable[[], Coroutine[None, None, None]],
    ) -> None:
        """Run the work and log any exception or malformed message."""
        try:
            await work()
        except FrameError as error:
            log_change(
                'background:message_malformed', work=name, fault=str(error)
            )
        except Exception as fault:
            # The next callback retries; without the log line nobody would see
            # the failure.
            log_change('background:work_failed', work=name, fault=repr(fault))

    async def wait(self, name: str) -> None:
        """Wait until the work of a name ends; its exception is not raised."""
        running = self.tasks.get(name)
        if running is not None:
            await asyncio.wait((running,))

    def is_running(self, name: str) -> bool:
        """Return whether work of a name is running."""
        running = self.tasks.get(name)
        return running is not None and not running.done()

    def remove_done(self) -> None:
        """Remove finished tasks; needed where names are not reused."""
        for name, task in tuple(self.tasks.items()):
            if task.done():
                self.tasks.pop(name)

    async def close(self) -> None:
        """Cancel all tasks and wait for their end."""
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        self.tasks.clear()
