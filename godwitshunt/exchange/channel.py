"""One TCP connection as a byte channel with back-pressure in both ways."""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress

from godwitshunt.exchange.held_bytes import HeldBytes
from godwitshunt.exchange.liveness import OUTGOING, probe

READ_HIGH_WATER_BYTES = 64 * 1024
WRITE_HIGH_WATER_BYTES = 16 * 1024
# Bytes beyond the high-water mark wait in pieces of this size. In the growing
# buffers of a thousand transports, 71 MB that were held took 158 MB of memory.
PIECE_BYTES = 16 * 1024
CLOSE_LINGER_S = 30.0


# All connections read into one buffer, and keep exact copies. With a buffer of
# 256 KiB for each read, as transports allocate it otherwise, a process with
# 1,000 connections and 4 MB held took up to 145 MB, with this one 95 MB.
read_buffer = memoryview(bytearray(32 * 1024))


class Channel(asyncio.BufferedProtocol):
    """A connection whose bytes are read and written by one task.

    Parameters
    ----------
    accepted : callable or None
        Told of the channel once it is connected; for the accepting side.

    Notes
    -----
    The other side's going away is seen at once, also while nobody reads:
    `on_lost` is then called. Reading stops while more than 64 KiB wait, so
    that a slow reader slows its sender and memory stays bounded. While a
    `sink` is set it gets the bytes as they come, and empty bytes at the end;
    `on_writable` is called when the other side has caught up.
    `ended_cleanly` tells an end of the other side's bytes from a reset: an
    answer without a length is whole only after the former. Where `held` is
    set, the bytes that wait to be sent are counted there. `connected_s` is the
    time of the event loop at which it was connected; `requests` counts those
    that were handed to a handler.
    """

    def __init__(
        self,
        accepted: Callable[['Channel'], None] | None = None,
    ) -> None:
        self.accepted = accepted
        self.received = bytearray()
        self.ended = False
        self.ended_cleanly = False
        self.fault: Exception | None = None
        self.transport: asyncio.Transport | None = None
        self.reading: asyncio.Future[None] | None = None
        self.writing: asyncio.Future[None] | None = None
        self.read_paused = False
        self.write_paused = False
        self.on_lost: Callable[[], None] | None = None
        self.on_writable: Callable[[], None] | None = None
        self.sink: Callable[[bytes], None] | None = None
        self.held: HeldBytes | None = None
        self.backlog: deque[bytes] = deque()
        self.backlog_bytes = 0
        self.connected_s = 0.0
        self.requests = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take over a new connection."""
        self.transport = transport
        self.connected_s = asyncio.get_running_loop().time()
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        if self.accepted is None:
            probe(transport.get_extra_info('socket'), OUTGOING)
        else:
            self.accepted(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next bytes are read into."""
        return read_buffer

    def buffer_updated(self, count: int) -> None:
        """Take bytes that were read."""
        self.data_received(bytes(read_buffer[:count]))

    def data_received(self, chunk: bytes) -> None:
        """Give bytes to the sink, or keep them for the reading task."""
        if self.sink is not None:
            self.sink(chunk)
            return
        self.received += chunk
        if len(self.received) > READ_HIGH_WATER_BYTES:
            self.pause()
        wake(self.reading)

    def eof_received(self) -> bool:
        """Take the end of the other side's bytes as its going away."""
        self.ended_cleanly = True
        self.end()
        return False

    def connection_lost(self, reason: Exception | None) -> None:
        """Wake everyone who waits on this connection."""
        self.fault = reason
        self.drop_backlog()
        if self.held is not None:
            self.held.close(self)
        self.end()
        wake(self.writing)

    def pause_writing(self) -> None:
        """Note that the other side reads more slowly than we write."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Send the backlog, then let the writing task go on."""
        self.write_paused = False
        while self.backlog and not self.write_paused:
            piece = self.backlog.popleft()
            self.backlog_bytes -= len(piece)
            self.transport.write(piece)
        if self.held is not None:
            self.held.count()
        if self.write_paused:
            return
        wake(self.writing)
        if self.on_writable is not None:
            self.on_writable()

    def pause(self) -> None:
        """Take no more bytes for now; the sender is slowed by TCP."""
        if not self.read_paused:
            self.read_paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Take bytes again."""
        if self.read_paused and not self.ended:
            self.read_paused = False
            self.transport.resume_reading()

    def end(self) -> None:
        """Note that no more bytes will come."""
        if self.ended:
            return
        self.ended = True
        wake(self.reading)
        if self.sink is not None:
            self.sink(b'')
        if self.on_lost is not None:
            self.on_lost()

    async def read(self) -> bytes:
        """Return what has come, at least one byte; empty at the end."""
        while not self.received and not self.ended:
            self.reading = asyncio.get_running_loop().create_future()
            await self.reading
        return self.take_received()

    def take_received(self) -> bytes:
        """Return what has come and was not read yet."""
        chunk = bytes(self.received)
        self.received.clear()
        self.resume()
        return chunk

    def write(self, chunk: bytes) -> None:
        """Queue bytes for sending."""
        if self.write_paused:
            self.backlog_bytes += len(chunk)
            self.backlog.extend(
                chunk[start : start + PIECE_BYTES]
                for start in range(0, len(chunk), PIECE_BYTES)
            )
        else:
            self.transport.write(chunk)
        if self.held is not None:
            self.held.count(len(chunk))

    def buffered_bytes(self) -> int:
        """Return the bytes that wait to be sent."""
        if self.transport is None:
            return 0
        return self.backlog_bytes + self.transport.get_write_buffer_size()

    def drop_backlog(self) -> None:
        """Release what will not be sent."""
        self.backlog.clear()
        self.backlog_bytes = 0

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

    @property
    def ended_by_other_side(self) -> bool:
        """True where the other side closed or reset the connection.

        A connection that the kernel gave up, since nothing came back, ended
        otherwise: the other side is dark, or cut off.
        """
        was_reset = isinstance(self.fault, ConnectionError)
        return self.ended and (self.ended_cleanly or was_reset)

    def close(self) -> None:
        """Send what is queued, for a bounded time, then close."""
        if self.transport is None:
            return
        for piece in self.backlog:
            self.transport.write(piece)
        self.drop_backlog()
        self.transport.close()
        if self.buffered_bytes():
            # The other side may never read: its answer must not be held.
            loop = asyncio.get_running_loop()
            loop.call_later(CLOSE_LINGER_S, self.transport.abort)

    def abort(self) -> None:
        """Close at once; what is queued is lost."""
        self.drop_backlog()
        if self.transport is not None:
            self.transport.abort()


def wake(waiting: asyncio.Future[None] | None) -> None:
    """Let a waiting task go on."""
    if waiting is not None and not waiting.done():
        with suppress(asyncio.InvalidStateError):
            waiting.set_result(None)
