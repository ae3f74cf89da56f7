"""A server that ends under one request, and starts again."""

import asyncio
import secrets
from dataclasses import dataclass, field

from tests.platform_world import Server

LETHAL = b'a body that no engine survives'
BACK_AFTER_S = 1.5
CRASHES_AFTER_S = 0.05
EVENT_PERIOD_S = 0.03


@dataclass
class CrashingServer(Server):
    """A server that ends, with all that it runs, under a lethal body.

    Parameters
    ----------
    arrived_s : list of float
        When lethal requests came, by the loop's clock.
    ended_s : list of float
        When it ended under one.
    is_up : bool
        False from its end to its next start.
    """

    arrived_s: list[float] = field(default_factory=list)
    ended_s: list[float] = field(default_factory=list)
    is_up: bool = True
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    starting: asyncio.Task | None = None

    async def accept(self, reader, writer):
        """Answer requests in turn; know the connection for the end."""
        self.writers.add(writer)
        try:
            await super().accept(reader, writer)
        finally:
            self.writers.discard(writer)

    async def answer(self, reader, writer, head, fields, body):
        """Answer a request; end under a lethal one."""
        is_mine = fields.get('expect-instance') == self.instance
        if body == LETHAL and is_mine:
            now_s = asyncio.get_running_loop().time()
            self.arrived_s.append(now_s)
            await asyncio.sleep(CRASHES_AFTER_S)
            self.crash()
            return
        await super().answer(reader, writer, head, fields, body)

    async def stream(self, writer, fields, echo, name):
        """Stream an answer; one named *long* takes a third of a second."""
        if name == 'long':
            await asyncio.sleep(8 * EVENT_PERIOD_S)
        await super().stream(writer, fields, echo, name)

    def crash(self):
        """End at once; start again after a while, under another name."""
        if not self.is_up:
            return
        self.is_up = False
        self.ended_s.append(asyncio.get_running_loop().time())
        self.listener.close()
        for writer in self.writers:
            writer.transport.abort()
        self.starting = asyncio.create_task(self.start_again())

    async def start_again(self):
        """Start anew."""
        await asyncio.sleep(BACK_AFTER_S)
        self.instance = secrets.token_hex(4)
        self.sequence = 0
        await self.start()
        self.is_up = True
