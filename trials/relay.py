"""A relay that stands on the links between processes and can cut them.

Every VM is reached through one relay per listener. A relay knows a sender's
region by its loopback network (127.0.N.x), so a cut between two regions, in
one direction or both, holds for every link between them. Cut bytes are held
back, not refused, as when a network drops packets.
"""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field

CHUNK_BYTES = 65536


@dataclass
class Cuts:
    """Which directions between networks are cut now.

    Parameters
    ----------
    directions : set of (int, int)
        Sending and receiving network; 0 is the callers' network.
    """

    directions: set[tuple[int, int]] = field(default_factory=set)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def set(self, directions: set[tuple[int, int]]) -> None:
        """Replace the cuts and wake what they held back."""
        async with self.changed:
            self.directions = set(directions)
            self.changed.notify_all()

    async def wait_open(self, direction: tuple[int, int]) -> None:
        """Wait until nothing cuts a direction."""
        if direction in self.directions:
            async with self.changed:
                await self.changed.wait_for(
                    lambda: direction not in self.directions,
                )


def network_of(host: str) -> int:
    """Return N of 127.0.N.x."""
    return int(host.split('.')[2])


@dataclass
class Relay:
    """One relay before one listener."""

    host: str
    port: int
    target: tuple[str, int]
    cuts: Cuts
    server: asyncio.Server | None = None
    tasks: set[asyncio.Task] = field(default_factory=set)

    async def start(self) -> None:
        """Listen in place of the target."""
        self.server = await asyncio.start_server(
            self.accept,
            self.host,
            self.port,
        )

    async def close(self) -> None:
        """Close the relay and every connection through it."""
        self.server.close()
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def accept(self, reader, writer) -> None:
        """Relay one connection until either side ends it."""
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self.relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self.tasks.discard(task)
            writer.close()

    async def relay(self, reader, writer) -> None:
        """Connect to the target and pump both directions."""
        source = network_of(writer.get_extra_info('peername')[0])
        here = network_of(self.host)
        await self.cuts.wait_open((source, here))
        target_reader, target_writer = await asyncio.open_connection(
            *self.target,
        )
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self.pump(reader, target_writer, (source, here)),
                )
                group.create_task(
                    self.pump(target_reader, writer, (here, source)),
                )
        except* OSError:
            # A reset on one side is passed on as a reset, never as a clean
            # end, or a cut answer would look whole.
            writer.transport.abort()
            target_writer.transport.abort()
        finally:
            target_writer.close()

    async def pump(self, reader, writer, direction: tuple[int, int]) -> None:
        """Copy one direction; hold bytes back while it is cut."""
        while chunk := await reader.read(CHUNK_BYTES):
            await self.cuts.wait_open(direction)
            writer.write(chunk)
            await writer.drain()
        await self.cuts.wait_open(direction)
        with suppress(OSError):
            writer.write_eof()
