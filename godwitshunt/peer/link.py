"""Outgoing connection to one peer, owned by one task."""

import asyncio
import itertools
import ssl
from collections.abc import Callable, Iterable
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
from godwitshunt.telemetry import Metrics

OUTBOX_FRAMES = 1024
CONNECT_TIMEOUT_S = 2.0
# Timeout of the first connection attempt; it doubles with each attempt. A SYN
# to a VM that is still booting is lost, and the kernel retransmits it only
# after 1 s. Without the short first attempt, many pairs of control and entry
# VMs would wait for that retransmission after a full restart.
FIRST_CONNECT_TIMEOUT_S = 0.3
RECONNECT_DELAY_S = 0.1
# A connection may stop carrying data without a reset while new connections
# work; all calls on it then time out. A peer that has sent nothing for
# PING_AFTER_S since a message to it is pinged; after UNRESPONSIVE_AFTER_S the
# connection is replaced. While no message waits to be followed by anything,
# the peer is not pinged, and this is checked at each second PING_AFTER_S only:
# an entry VM without requests sends a few messages a second, and pings and
# their timers were most of its wake-ups.
# UNRESPONSIVE_AFTER_S is below 1.5 election timeouts, so that a stalled
# connection does not cost a quorum its leader.
PING_AFTER_S = 0.4
UNRESPONSIVE_AFTER_S = 1.3
# A connection that carries only pings for this long is closed, and reopened
# for the next message. An idle entry VM needs one control VM only; pings to the
# four others would cause most of its wake-ups.
IDLE_AFTER_S = 5.0
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
QUIET_CHECK_FACTOR = 2
# Calls that timed out and whose late replies are still wanted.
MAX_LATE_CALLS = 256
# Passes of the event loop after which the bytes that had been received when a
# call timed out are decoded.
READ_PASSES = 4
CONNECTION_ERRORS = (
    OSError,
    EOFError,
    FrameError,
    HandshakeError,
    TimeoutError,
)


@dataclass(frozen=True)
class PeerOptions:
    """Identity, cluster key, TLS and limits of a process's peer links.

    Parameters
    ----------
    name : str
        Name of this process, sent in the handshake.
    listen : Address
        Address that this process listens on for peers.
    key : bytes
        The deployment's cluster key.
    frame_bytes : int
        Maximum length of a received frame, in bytes.
    server_tls, client_tls : ssl.SSLContext or None
        TLS contexts of incoming and outgoing connections; None for plain
        TCP.
    """

    name: str
    listen: Address
    key: bytes
    frame_bytes: int = 4 * 1024 * 1024
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None


class Link:
    """Outgoing connection to one peer, opened for the first message.

    When the connection breaks, pending calls that were written to it fail
    with `OutcomeUnknown`, since the peer may have acted on them. Calls that
    were not yet written fail with `NotSent`.

    Parameters
    ----------
    on_pushed : callable
        Called with each message from the peer that is not a reply.
    metrics : Metrics
        Counts replies that were read only after the timeout of their call.
    """

    def __init__(
        self,
        address: Address,
        options: PeerOptions,
        on_pushed: Callable[[Envelope], None],
        metrics: Metrics,
    ) -> None:
        self.address = address
        self.options = options
        self.on_pushed = on_pushed
        self.metrics = metrics
        self.outbox: asyncio.Queue[Envelope] = asyncio.Queue(OUTBOX_FRAMES)
        self.pending: dict[int, asyncio.Future[bytes]] = {}
        self.written: set[int] = set()
        # What to do with late replies, by call.
        self.late: dict[int, Callable[[bytes], None]] = {}
        self.call_ids = itertools.count(1)
        self.last_received_s = 0.0
        self.last_used_s = 0.0
        # When the first message was sent since anything was received.
        self.unanswered_since_s: float | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that owns the connection."""
        self.task = asyncio.create_task(self.run())

    async def close(self) -> None:
        """Close the connection and fail all pending calls."""
        if self.task is not None:
            self.task.cancel()
            with suppress(asyncio.CancelledError):
                await self.task
        self.fail_pending('link closed')

    def enqueue(self, envelope: Envelope) -> bool:
        """Write or queue an envelope; return False if the outbox is full."""
        now_s = asyncio.get_running_loop().time()
        if envelope.kind != MessageKind.ping:
            self.last_used_s = now_s
        if self.unanswered_since_s is None:
            self.unanswered_since_s = now_s
        if self.is_writable():
            self.write(self.writer, envelope)
            return True
        try:
            self.outbox.put_nowait(envelope)
        except asyncio.QueueFull:
            return False
        return True

    def is_writable(self) -> bool:
        """Return whether nothing waits to be written to an open connection.

        The sending task would otherwise have to be woken for each message.
        """
        if self.writer is None or not self.outbox.empty():
            return False
        transport = self.writer.transport
        return not (transport.is_closing() or transport.get_write_buffer_size())

    def write(self, writer: asyncio.StreamWriter, envelope: Envelope) -> None:
        """Write an envelope to a connection."""
        self.written.add(envelope.call)
        writer.write(frame(encode(envelope)))

    async def call(
        self,
        kind: MessageKind,
        body: bytes,
        timeout_s: float,
        on_late: Callable[[bytes], None] | None = None,
    ) -> Result[bytes, CallFailed]:
        """Send a message and wait for its reply.

        Parameters
        ----------
        on_late : callable or None
            Called with the reply if it arrives after the timeout, or after
            this call was cancelled.
        """
        call_id = next(self.call_ids)
        reply: asyncio.Future[bytes] = asyncio.Future()
        self.pending[call_id] = reply
        envelope = Envelope(kind=kind, call=call_id, reply=False, body=body)
        if not self.enqueue(envelope):
            self.pending.pop(call_id)
            return Err(NotSent(str(self.address), 'outbox full'))
        try:
            return Ok(await self.wait_for_reply(reply, timeout_s))
        except TimeoutError:
            self.expect_late(call_id, on_late)
            return Err(self.make_failure(call_id, 'no reply in time'))
        except asyncio.CancelledError:
            self.expect_late(call_id, on_late)
            raise
        except OSError as error:
            return Err(self.make_failure(call_id, str(error)))
        finally:
            self.pending.pop(call_id, None)
            self.written.discard(call_id)

    def expect_late(
        self, call_id: int, on_late: Callable[[bytes], None] | None
    ) -> None:
        """Keep what to do with the reply to a call that nobody waits for."""
        if on_late is None or call_id not in self.written:
            return
        if len(self.late) >= MAX_LATE_CALLS:
            self.late.pop(next(iter(self.late)))
        self.late[call_id] = on_late

    async def wait_for_reply(
        self, reply: asyncio.Future[bytes], timeout_s: float
    ) -> bytes:
        """Return a reply that arrives in time.

        If this process was not scheduled for longer than the timeout, the
        reply may have arrived meanwhile. What was received is read before the
        call fails.

        Raises
        ------
        TimeoutError
            If no reply has arrived.
        OSError
            If the connection has failed.
        """
        await asyncio.wait((reply,), timeout=timeout_s)
        if not reply.done():
            for _ in range(READ_PASSES):
                await asyncio.sleep(0)
            if not reply.done():
                raise TimeoutError
            self.metrics.count('peer_replies_read_late_total')
        return reply.result()

    def make_failure(self, call_id: int, reason: str) -> CallFailed:
        """Return the failure of a call, depending on whether it was written."""
        if call_id in self.written:
            return OutcomeUnknown(str(self.address), reason)
        return NotSent(str(self.address), reason)

    async def run(self) -> None:
        """Run connections one after another, each opened for a message."""
        while True:
            envelope = await self.outbox.get()
            try:
                await self.run_connection(envelope)
            except CONNECTION_ERRORS as error:
                self.fail_pending(repr(error))
                self.discard_outbox()
                await asyncio.sleep(RECONNECT_DELAY_S)

    def discard_outbox(self) -> None:
        """Discard envelopes that were queued for the broken connection.

        After an outage a queued message would carry outdated state, or its
        caller would have timed out. Retrying is left to the sender.
        """
        while not self.outbox.empty():
            self.outbox.get_nowait()
        self.fail_pending('not connected')

    async def run_connection(self, first: Envelope) -> None:
        """Connect and exchange messages until the link breaks or idles."""
        reader, writer = await self.connect()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await handshake.initiate(
                    reader,
                    writer,
                    self.options.key,
                    self.options.name,
                )
            await self.run_session(reader, writer, first)
        finally:
            writer.close()

    async def connect(self) -> Connection:
        """Connect, retrying with doubled timeouts up to the deadline."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + CONNECT_TIMEOUT_S
        attempt_s = FIRST_CONNECT_TIMEOUT_S
        while loop.time() + attempt_s < deadline_s:
            with suppress(TimeoutError):
                return await self.connect_once(attempt_s)
            attempt_s *= 2
        return await self.connect_once(deadline_s - loop.time())

    async def connect_once(self, timeout_s: float) -> Connection:
        """Make one connection attempt.

        Raises
        ------
        TimeoutError
            If the attempt takes longer than `timeout_s` seconds.
        OSError
            If the connection fails.
        """
        async with asyncio.timeout(timeout_s):
            return await asyncio.open_connection(
                self.address.host,
                self.address.port,
                ssl=self.options.client_tls,
                # Firewall rules identify a VM by its listening address.
                local_addr=(self.options.listen.host, 0),
            )

    async def run_session(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        first: Envelope,
    ) -> None:
        """Send and receive until one of the tasks ends; raise its exception."""
        self.last_received_s = asyncio.get_running_loop().time()
        self.unanswered_since_s = self.last_received_s
        tasks = (
            asyncio.create_task(self.send(writer, first)),
            asyncio.create_task(self.receive(reader)),
            asyncio.create_task(self.send_keepalives()),
        )
        try:
            done, _ = await asyncio.wait(
                tasks,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            self.writer = None
            await cancel_all(tasks)
        for task in done:
            task.result()

    async def send(
        self,
        writer: asyncio.StreamWriter,
        envelope: Envelope,
    ) -> None:
        """Write an envelope, then those of the outbox."""
        while True:
            if self.should_send(envelope):
                self.write(writer, envelope)
                await writer.drain()
            self.writer = writer
            envelope = await self.outbox.get()

    def should_send(self, envelope: Envelope) -> bool:
        """Return False for a call that is no longer pending."""
        if envelope.kind == MessageKind.ping:
            return True
        return not envelope.call or envelope.call in self.pending

    async def send_keepalives(self) -> None:
        """Ping a peer that does not answer, until the link is idle.

        Raises
        ------
        TimeoutError
            If the peer sends nothing for `UNRESPONSIVE_AFTER_S` after a
            message.
        """
        loop = asyncio.get_running_loop()
        while self.pending or loop.time() - self.last_used_s < IDLE_AFTER_S:
            if self.pending and self.unanswered_since_s is None:
                self.unanswered_since_s = self.last_received_s
            is_quiet = self.unanswered_since_s is None
            factor = QUIET_CHECK_FACTOR if is_quiet else 1
            await asyncio.sleep(PING_AFTER_S * factor)
            self.check_peer(loop.time())

    def check_peer(self, now_s: float) -> None:
        """Ping a peer that does not answer.

        Raises
        ------
        TimeoutError
            If it has not answered for too long.
        """
        if self.unanswered_since_s is None:
            return
        waited_s = now_s - self.unanswered_since_s
        if waited_s > UNRESPONSIVE_AFTER_S:
            raise TimeoutError('peer is unresponsive')
        if waited_s >= PING_AFTER_S:
            call_id = next(self.call_ids)
            self.enqueue(Envelope(MessageKind.ping, call_id, False, b''))

    async def receive(self, reader: asyncio.StreamReader) -> None:
        """Read replies and complete their calls."""
        loop = asyncio.get_running_loop()
        while True:
            body = await read_frame(reader, self.options.frame_bytes)
            self.last_received_s = loop.time()
            self.unanswered_since_s = None
            envelope = decode(Envelope, body)
            if not envelope.reply:
                self.on_pushed(envelope)
                continue
            self.complete(envelope)

    def complete(self, envelope: Envelope) -> None:
        """Complete the call of a reply; call ids are never reused on a link."""
        body = envelope.body or b''
        reply = self.pending.get(envelope.call)
        if reply is not None and not reply.done():
            reply.set_result(body)
            return
        on_late = self.late.pop(envelope.call, None)
        if on_late is not None:
            on_late(body)

    def fail_pending(self, reason: str) -> None:
        """Fail every call that awaits a reply."""
        self.late.clear()
        for reply in self.pending.values():
            if not reply.done():
                reply.set_exception(ConnectionError(reason))


async def cancel_all(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait for their ends."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
