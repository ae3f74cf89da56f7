"""The outgoing connection to one peer: one task owns the socket."""

import asyncio
import itertools
import ssl
from contextlib import suppress
from dataclasses import dataclass

from result import Err, Ok, Result

from godwitshunt.exceptions import FrameError, HandshakeError
from godwitshunt.peer import handshake
from godwitshunt.peer.codec import decode, encode
from godwitshunt.peer.frames import frame, read_frame
from godwitshunt.peer.gen.wire.ttypes import Envelope
from godwitshunt.peer.messages import (
    CallFailed,
    MessageKind,
    NotSent,
    OutcomeUnknown,
)
from godwitshunt.settings import Address

OUTBOX_FRAMES = 1024
CONNECT_TIMEOUT_S = 2.0
# The opening packet to a machine that is just getting power is lost, and the
# kernel sends the next one after a second: one notices by links that take a
# second longer than their peer's start. So an attempt that has not succeeded
# after this is given up for a new one, which may take twice as long. After
# all machines were dark 20 of 45 pairs of control and entry VM first spoke over
# 0.9 s after the entry's start, the median was 0.6 s; with it none of 36, and
# 0.48 s (one day of the users' bench each, from the processes' logs).
FIRST_ATTEMPT_S = 0.3
RECONNECT_PAUSE_S = 0.1
# A connection may go silent without a reset while new ones work: what is sent
# on it is lost, and one notices by calls that all time out. A peer that has
# not been heard for PING_AFTER_S seconds is asked for a sign of life; one
# silent for SILENT_AFTER_S is connected to anew, below an election timeout
# and a half, so that a silent connection does not cost a quorum its leader.
PING_AFTER_S = 0.4
SILENT_AFTER_S = 1.3
# A link that nothing but pings has used for so long is closed, and made again
# with the next message. An entry VM speaks to one control VM in calm; pings to
# the four others were nine in ten of its wake-ups (195 entry VMs, 28 s).
IDLE_AFTER_S = 5.0
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
BROKEN = (OSError, EOFError, FrameError, HandshakeError, TimeoutError)


@dataclass(frozen=True)
class PeerOptions:
    """What a process needs to talk to its peers.

    Parameters
    ----------
    name : str
        This process's name, told in the handshake.
    listen : Address
        Where peers reach this process.
    key : bytes
        The deployment's cluster key.
    frame_bytes : int
        Longest frame that is read, in bytes.
    server_tls, client_tls : ssl.SSLContext or None
        None talks plain TCP.
    """

    name: str
    listen: Address
    key: bytes
    frame_bytes: int = 4 * 1024 * 1024
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None


class Link:
    """The outgoing connection to one peer, made when first needed.

    A broken connection fails every call that was sent on it with
    `OutcomeUnknown`: the peer may have acted on them. Calls that were not yet
    written fail with `NotSent`.
    """

    def __init__(self, address: Address, options: PeerOptions) -> None:
        self.address = address
        self.options = options
        self.outbox: asyncio.Queue[Envelope] = asyncio.Queue(OUTBOX_FRAMES)
        self.waiting: dict[int, asyncio.Future[bytes]] = {}
        self.sent: set[int] = set()
        self.numbers = itertools.count(1)
        self.heard_s = 0.0
        self.used_s = 0.0
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that owns the connection."""
        self.task = asyncio.create_task(self.run())

    async def close(self) -> None:
        """Close the connection and fail what waits on it."""
        if self.task is not None:
            self.task.cancel()
            with suppress(asyncio.CancelledError):
                await self.task
        self.fail_waiting('link closed')

    def put(self, envelope: Envelope) -> bool:
        """Queue an envelope; False where the outbox is full."""
        if envelope.kind != MessageKind.ping:
            self.used_s = asyncio.get_running_loop().time()
        try:
            self.outbox.put_nowait(envelope)
        except asyncio.QueueFull:
            return False
        return True

    async def call(
        self,
        kind: MessageKind,
        body: bytes,
        timeout_s: float,
    ) -> Result[bytes, CallFailed]:
        """Send a message and wait for its reply."""
        number = next(self.numbers)
        reply: asyncio.Future[bytes] = asyncio.Future()
        self.waiting[number] = reply
        envelope = Envelope(kind=kind, call=number, reply=False, body=body)
        if not self.put(envelope):
            self.waiting.pop(number)
            return Err(NotSent(str(self.address), 'outbox full'))
        try:
            return Ok(await asyncio.wait_for(reply, timeout_s))
        except TimeoutError:
            return Err(self.failure(number, 'no reply in time'))
        except OSError as broken:
            return Err(self.failure(number, str(broken)))
        finally:
            self.waiting.pop(number, None)
            self.sent.discard(number)

    def failure(self, number: int, reason: str) -> CallFailed:
        """Return the failure of a call, by whether it was written."""
        if number in self.sent:
            return OutcomeUnknown(str(self.address), reason)
        return NotSent(str(self.address), reason)

    async def run(self) -> None:
        """Connect, exchange frames, and connect again when that breaks."""
        while True:
            envelope = await self.outbox.get()
            try:
                await self.exchange(envelope)
            except BROKEN as broken:
                self.fail_waiting(repr(broken))
                self.drop_outbox()
                await asyncio.sleep(RECONNECT_PAUSE_S)

    def drop_outbox(self) -> None:
        """Forget envelopes that were queued for the broken connection.

        A message that waited through an outage would arrive with old news, or
        after its caller has given up; the sender's slice sends it anew.
        """
        while not self.outbox.empty():
            self.outbox.get_nowait()
        self.fail_waiting('not connected')

    async def exchange(self, first: Envelope) -> None:
        """Send and receive on one connection until it breaks, or idles."""
        reader, writer = await self.connect()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await handshake.greet(
                    reader,
                    writer,
                    self.options.key,
                    self.options.name,
                )
            await self.converse(reader, writer, first)
        finally:
            writer.close()

    async def connect(self) -> Connection:
        """Connect, in attempts of growing length within the time-out."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + CONNECT_TIMEOUT_S
        attempt_s = FIRST_ATTEMPT_S
        while loop.time() + attempt_s < ends_s:
            with suppress(TimeoutError):
                return await self.try_connect(attempt_s)
            attempt_s *= 2
        return await self.try_connect(ends_s - loop.time())

    async def try_connect(self, limit_s: float) -> Connection:
        """Make one attempt; raise where it takes too long."""
        async with asyncio.timeout(limit_s):
            return await asyncio.open_connection(
                self.address.host,
                self.address.port,
                ssl=self.options.client_tls,
                # Peers and firewalls know a VM by its own address.
                local_addr=(self.options.listen.host, 0),
            )

    async def converse(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        first: Envelope,
    ) -> None:
        """Run both directions until one ends; raise what ended it."""
        self.heard_s = asyncio.get_running_loop().time()
        tasks = (
            asyncio.create_task(self.send(writer, first)),
            asyncio.create_task(self.receive(reader)),
            asyncio.create_task(self.watch()),
        )
        try:
            done, _ = await asyncio.wait(
                tasks,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        for task in done:
            task.result()

    async def send(
        self,
        writer: asyncio.StreamWriter,
        envelope: Envelope,
    ) -> None:
        """Write envelopes from the outbox."""
        while True:
            if self.is_wanted(envelope):
                self.sent.add(envelope.call)
                writer.write(frame(encode(envelope)))
                await writer.drain()
            envelope = await self.outbox.get()

    def is_wanted(self, envelope: Envelope) -> bool:
        """Tell whether an envelope is still to be sent."""
        if envelope.kind == MessageKind.ping:
            return True
        return not envelope.call or envelope.call in self.waiting

    async def watch(self) -> None:
        """Ping a silent peer until the link idles.

        Raises
        ------
        TimeoutError
            Where the peer does not answer.
        """
        loop = asyncio.get_running_loop()
        while self.waiting or loop.time() - self.used_s < IDLE_AFTER_S:
            await asyncio.sleep(PING_AFTER_S)
            silent_s = loop.time() - self.heard_s
            if silent_s > SILENT_AFTER_S:
                raise TimeoutError('the peer is silent')
            if silent_s >= PING_AFTER_S:
                number = next(self.numbers)
                self.put(Envelope(MessageKind.ping, number, False, b''))

    async def receive(self, reader: asyncio.StreamReader) -> None:
        """Read replies and give each to its call."""
        loop = asyncio.get_running_loop()
        while True:
            body = await read_frame(reader, self.options.frame_bytes)
            self.heard_s = loop.time()
            envelope = decode(Envelope, body)
            # A reply to a call that was given up finds nobody waiting and is
            # dropped; numbers are never used twice on a link.
            waiting = self.waiting.get(envelope.call)
            if waiting is not None and not waiting.done():
                waiting.set_result(envelope.body or b'')

    def fail_waiting(self, reason: str) -> None:
        """Fail every call that waits for a reply."""
        for reply in self.waiting.values():
            if not reply.done():
                reply.set_exception(ConnectionError(reason))
