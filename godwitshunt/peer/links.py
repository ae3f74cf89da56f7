"""Peer links of one process, and the handlers of received messages."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from functools import partial
from typing import Self

from result import Result

from godwitshunt.exceptions import FrameError, HandshakeError
from godwitshunt.peer import handshake
from godwitshunt.peer.codec import decode, encode
from godwitshunt.peer.frames import frame, read_frame
from godwitshunt.peer.gen.wire.ttypes import Envelope
from godwitshunt.peer.link import CONNECT_TIMEOUT_S, Link, PeerOptions
from godwitshunt.peer.messages import CallFailed, MessageKind
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics, log_change

# A peer pings its open links, so an incoming connection without data for this
# long has failed without a reset and would otherwise stay open indefinitely.
INBOUND_IDLE_TIMEOUT_S = 10.0
# Nothing is pushed to a peer that has left this much unread.
MAX_UNREAD_BYTES = 64 * 1024

PeerHandler = Callable[[str, bytes], Awaitable[bytes | None]]


class PeerLinks:
    """Peer links of one process, and the handlers of received messages.

    Parameters
    ----------
    options : PeerOptions
        Name, address, key and limits.
    metrics : Metrics
        Receives counts of refused handshakes, malformed frames and dropped
        messages.
    """

    def __init__(self, options: PeerOptions, metrics: Metrics) -> None:
        self.options = options
        self.metrics = metrics
        self.handlers: dict[int, PeerHandler] = {}
        self.links: dict[Address, Link] = {}
        self.inbound: set[asyncio.Task[None]] = set()
        # Incoming connections by the authenticated name of the peer.
        self.writers: dict[str, asyncio.StreamWriter] = {}
        self.server: asyncio.Server | None = None

    @classmethod
    def from_config(cls, options: PeerOptions, metrics: Metrics) -> Self:
        """Create the links of a process."""
        return cls(options, metrics)

    def subscribe(self, kind: MessageKind, handler: PeerHandler) -> None:
        """Register the handler of a message kind.

        The handler receives the sender's authenticated name and the body,
        and returns the body of the reply, or None for no reply.
        """
        self.handlers[kind] = handler

    async def start(self) -> None:
        """Start to listen for peers."""
        self.subscribe(MessageKind.ping, handle_ping)
        self.server = await asyncio.start_server(
            self.accept,
            self.options.listen.host,
            self.options.listen.port,
            ssl=self.options.server_tls,
        )

    async def close(self) -> None:
        """Close every link; pending calls fail."""
        if self.server is not None:
            self.server.close()
        for task in tuple(self.inbound):
            task.cancel()
        await asyncio.gather(*self.inbound, return_exceptions=True)
        for link in self.links.values():
            await link.close()
        self.links.clear()

    async def call(
        self,
        address: Address,
        kind: MessageKind,
        body: bytes,
        timeout_s: float,
        on_late: Callable[[bytes], None] | None = None,
    ) -> Result[bytes, CallFailed]:
        """Send a message to a peer and wait for its reply.

        Parameters
        ----------
        on_late : callable or None
            Called with the body of a reply that arrives after the timeout, or
            after the call was cancelled.

        Returns
        -------
        Result
            Body of the reply, or `NotSent` or `OutcomeUnknown`.
        """
        link = self.link(address)
        return await link.call(kind, body, timeout_s, on_late)

    def notify(self, address: Address, kind: MessageKind, body: bytes) -> None:
        """Send a message without a reply; delivery is not guaranteed."""
        envelope = Envelope(kind=kind, call=0, reply=False, body=body)
        if not self.link(address).enqueue(envelope):
            self.metrics.count('peer_messages_dropped_total')

    def push(self, peer: str, kind: MessageKind, body: bytes) -> bool:
        """Send a message over the connection that a peer has opened.

        Returns
        -------
        bool
            False if the peer has none, or does not read from it.
        """
        writer = self.writers.get(peer)
        if writer is None or writer.transport.is_closing():
            return False
        if writer.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self.metrics.count('peer_messages_dropped_total')
            return False
        envelope = Envelope(kind=kind, call=0, reply=False, body=body)
        writer.write(frame(encode(envelope)))
        return True

    def receive_pushed(self, address: Address, envelope: Envelope) -> None:
        """Handle a message that a peer pushed over a link of this process."""
        if envelope.call:
            self.metrics.count('peer_messages_unhandled_total')
            return
        self.spawn(self.handle_message(None, str(address), envelope))

    def link(self, address: Address) -> Link:
        """Return the link to a peer, created at first use."""
        link = self.links.get(address)
        if link is None:
            on_pushed = partial(self.receive_pushed, address)
            link = Link(address, self.options, on_pushed, self.metrics)
            link.start()
            self.links[address] = link
        return link

    def accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one incoming connection in a task of its own.

        If this were a coroutine function, asyncio's server would own the task
        and log a traceback for each connection that `close` cancels.
        """
        self.spawn(self.serve_connection(reader, writer))

    def spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine in a task that `close` cancels."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.inbound.add(task)
        task.add_done_callback(self.inbound.discard)

    async def serve_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one incoming connection and count the error that ends it."""
        try:
            await self.serve(reader, writer)
        except HandshakeError:
            self.metrics.count('peer_handshakes_refused_total')
        except FrameError:
            self.metrics.count('peer_frames_malformed_total')
        except (OSError, EOFError, TimeoutError):
            self.metrics.count('peer_connections_broken_total')
        finally:
            writer.close()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Authenticate, then handle each message in a task of its own."""
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            sender = await handshake.accept(
                reader,
                writer,
                self.options.key,
                self.options.name,
            )
        self.writers[sender] = writer
        async with asyncio.TaskGroup() as group:
            try:
                await self.dispatch_messages(reader, writer, sender, group)
            except (OSError, EOFError):
                self.metrics.count('peer_connections_ended_total')
            except FrameError:
                self.metrics.count('peer_frames_malformed_total')
            finally:
                # A later connection of the peer may have replaced this one.
                if self.writers.get(sender) is writer:
                    self.writers.pop(sender)

    async def dispatch_messages(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sender: str,
        group: asyncio.TaskGroup,
    ) -> None:
        """Start a handler for each message until the stream ends."""
        while True:
            async with asyncio.timeout(INBOUND_IDLE_TIMEOUT_S):
                body = await read_frame(reader, self.options.frame_bytes)
            envelope = decode(Envelope, body)
            group.create_task(self.handle_message(writer, sender, envelope))

    async def handle_message(
        self,
        writer: asyncio.StreamWriter | None,
        sender: str,
        envelope: Envelope,
    ) -> None:
        """Run the handler of one message and send its reply.

        Parameters
        ----------
        writer : StreamWriter or None
            Where the reply is sent; None for a message without a reply.
        """
        handler = self.handlers.get(envelope.kind)
        if handler is None:
            self.metrics.count('peer_messages_unhandled_total')
            return
        try:
            reply = await handler(sender, envelope.body or b'')
        except FrameError:
            # A malformed body leaves only its own call without a reply;
            # other calls on the connection continue.
            self.metrics.count('peer_frames_malformed_total')
            return
        except Exception as error:
            # A bug in a handler must fail only its own call, and be logged.
            self.metrics.count('peer_handlers_failed_total')
            log_change(
                'peer:handler_failed',
                sender=sender,
                kind=envelope.kind,
                fault=repr(error),
            )
            return
        if reply is None or writer is None or not envelope.call:
            return
        reply_envelope = Envelope(
            kind=envelope.kind,
            call=envelope.call,
            reply=True,
            body=reply,
        )
        with suppress(OSError):
            writer.write(frame(encode(reply_envelope)))
            await writer.drain()


async def handle_ping(sender: str, body: bytes) -> bytes:
    """Reply to a keepalive ping."""
    return body
