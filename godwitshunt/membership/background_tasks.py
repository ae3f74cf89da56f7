"""Background tasks that are cancelled when their owner closes."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field


@dataclass
class BackgroundTasks:
    """Holds running tasks, so that `close` can cancel them."""

    running: set[asyncio.Task[None]] = field(default_factory=set)

    def run(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run a coroutine until it finishes or `close` is called."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return task

    async def close(self) -> None:
        """Cancel all running tasks and wait for them to finish."""
        tasks = tuple(self.running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
