"""Servers that fall over when they have to turn requests away."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from tests.limited_server import StatingWriter
from tests.partition_world import PartitionedServer, PartitionWorld
from tests.platform_server import FULL, refusal
from tests.platform_world import World

SLOTS = 8
WORK_S = 0.15
REJECTIONS_PER_S = 3
DOWN_S = 2.0


@dataclass
class BrittleServer(PartitionedServer):
    """A server with few slots that falls over while it is brittle.

    Parameters
    ----------
    is_brittle : bool
        True to say so in all answers.
    is_strict : bool
        True where no request may wait.
    running : int
        Requests in progress.
    rejected : deque
        When requests were turned away in the last second.
    falls : int
        How often it fell over.
    done : int
        Requests that were answered.
    is_over : bool
        True to stay down after a fall.
    """

    is_brittle: bool = False
    is_strict: bool = False
    running: int = 0
    rejected: deque = field(default_factory=deque)
    falls: int = 0
    done: int = 0
    is_over: bool = False

    def state_brittle(self):
        """Say from now on that it is brittle."""
        self.is_brittle = True
        self.stated = f'server-brittle: {REJECTIONS_PER_S}\r\n'

    async def answer(self, reader, writer, head, fields, body):
        """Answer a request, or turn it away for want of a slot."""
        limit = SLOTS if self.is_strict else 2 * SLOTS
        if self.running >= limit:
            # All answers state that it is brittle, refusals too.
            stating = StatingWriter(writer, self.stated.encode(), breaks=False)
            stating.write(refusal(FULL, fields))
            self.reject()
            return
        self.running += 1
        try:
            await super().answer(reader, writer, head, fields, body)
            self.done += 1
        finally:
            self.running -= 1

    def reject(self):
        """Count a request that was turned away; fall over after too many."""
        now_s = asyncio.get_running_loop().time()
        self.rejected.append(now_s)
        while self.rejected[0] < now_s - 1:
            self.rejected.popleft()
        if self.is_strict and len(self.rejected) > REJECTIONS_PER_S:
            self.fall()

    def fall(self):
        """End all connections and refuse new ones."""
        if self.listener.is_serving():
            self.falls += 1
            self.rejected.clear()
            self.listener.close()
            for writer in tuple(self.writers):
                writer.transport.abort()
            asyncio.get_running_loop().call_later(DOWN_S, self.begin_again)

    def begin_again(self):
        """Come back as another incarnation, unless the world has ended."""
        if self.is_over:
            return
        self.instance = f'{self.instance.partition("-")[0]}-{self.falls}'
        self.sequence = 0
        self.starting = asyncio.create_task(self.start())

    async def start(self):
        """Listen; VMs that were cut off stay so."""
        await super().start()
        self.apply_filters()


class BrittleWorld(PartitionWorld):
    """Three entry VMs before two engines in the north."""

    def __init__(self, folder, network, scheduling=None):
        super().__init__(folder, network, scheduling)
        self.server_type = BrittleServer

    async def start(self):
        """Start everything, without an engine in the south."""
        await World.start(self)

    async def close(self):
        """End every process and all servers."""
        for server in self.servers.values():
            server.is_over = True
        await super().close()

    @property
    def engines(self):
        """The engines."""
        return [
            server
            for server in self.servers.values()
            if server.service == 'llm'
        ]
