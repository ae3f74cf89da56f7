"""One TCP connection as a byte channel with back-pressure in both ways."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

READ_HIGH_WATER_BYTES = 64 * 1024
WRITE_HIGH_WATER_BYTES = 64 * 1024


class Channel(asyncio.Protocol):
    """A connection whose bytes are read and written by one task.

    Parameters
    ----------
    accepted : callable or None
        Told of the channel once it is connected; for the accepting side.

    Notes
    -----
    The other side's going away is seen at once, also while nobody reads:
    `on_lost` is then called. Reading stops while more than 64 KiB wait, so
    that a slow reader slows its sender and memory stays bounded.
    """

    def __init__(
        self,
        accepted: Callable[['Channel'], None] | None = None,
    ) -> None:
        self.accepted = accepted
        self.received = bytearray()
        self.ended = False
        self.transport: asyncio.Transport | None = None
        self.reading: asyncio.Future[None] | None = None
        self.writing: asyncio.Future[None] | None = None
        self.read_paused = False
        self.write_paused = False
        self.on_lost: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take over a new connection."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        if self.accepted is not None:
            self.accepted(self)

    def data_received(self, chunk: bytes) -> None:
        """Keep bytes for the reading task."""
        self.received += chunk
        if len(self.received) > READ_HIGH_WATER_BYTES:
            self.read_paused = True
            self.transport.pause_reading()
        wake(self.reading)

    def eof_received(self) -> bool:
        """Take the end of the other side's bytes as its going away."""
        self.end()
        return False

    def connection_lost(self, reason: Exception | None) -> None:
        """Wake everyone who waits on this connection."""
        self.end()
        wake(self.writing)

    def pause_writing(self) -> None:
        """Note that the other side reads more slowly than we write."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Let the writing task go on."""
        self.write_paused = False
        wake(self.writing)

    def end(self) -> None:
        """Note that no more bytes will come."""
        if self.ended:
            return
        self.ended = True
        wake(self.reading)
        if self.on_lost is not None:
            self.on_lost()

    async def read(self) -> bytes:
        """Return what has come, at least one byte; empty at the end."""
        while not self.received and not self.ended:
            self.reading = asyncio.get_running_loop().create_future()
            await self.reading
        chunk = bytes(self.received)
        self.received.clear()
        if self.read_paused and not self.ended:
            self.read_paused = False
            self.transport.resume_reading()
        return chunk

    def write(self, chunk: bytes) -> None:
        """Queue bytes for sending."""
        self.transport.write(chunk)

    async def drain(self) -> None:
        """Wait until the other side has taken enough of what was written.

        Raises
        ------
        ConnectionResetError
            Where the other side is gone.
        """
        while self.write_paused and not self.ended:
            self.writing = asyncio.get_running_loop().create_future()
            await self.writing
        if self.ended:
            raise ConnectionResetError('the other side is gone')

    def close(self) -> None:
        """Send what is queued, then close."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once; what is queued is lost."""
        if self.transport is not None:
            self.transport.abort()


def wake(waiting: asyncio.Future[None] | None) -> None:
    """Let a waiting task go on."""
    if waiting is not None and not waiting.done():
        with suppress(asyncio.InvalidStateError):
            waiting.set_result(None)
