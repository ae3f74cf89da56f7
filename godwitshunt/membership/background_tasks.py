"""Coroutines that run beside a task until it closes."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field


@dataclass
class BackgroundTasks:
    """Keeps running coroutines, so that closing ends them."""

    running: set[asyncio.Task[None]] = field(default_factory=set)

    def run(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run a coroutine until it ends or `close`."""
        job = asyncio.get_running_loop().create_task(work)
        self.running.add(job)
        job.add_done_callback(self.running.discard)
        return job

    async def close(self) -> None:
        """Cancel what runs and wait for its end."""
        jobs = tuple(self.running)
        for job in jobs:
            job.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)
