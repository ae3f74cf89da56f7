"""All links of one process, and the handlers of what peers send."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
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

# A peer pings each link that it holds; one that has sent nothing for so long
# is gone without a reset, and its connection would else stay for ever.
INBOUND_SILENCE_S = 10.0

PeerHandler = Callable[[str, bytes], Awaitable[bytes | None]]


class PeerLinks:
    """All links of one process, and the handlers of what peers send.

    Parameters
    ----------
    options : PeerOptions
        Name, address, key and bounds.
    metrics : Metrics
        Counts refused handshakes, bad frames and dropped messages.
    """

    def __init__(self, options: PeerOptions, metrics: Metrics) -> None:
        self.options = options
        self.metrics = metrics
        self.handlers: dict[int, PeerHandler] = {}
        self.links: dict[Address, Link] = {}
        self.inbound: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    @classmethod
    def from_config(cls, options: PeerOptions, metrics: Metrics) -> Self:
        """Make the links of a process."""
        return cls(options, metrics)

    def subscribe(self, kind: MessageKind, handler: PeerHandler) -> None:
        """Hand messages of a kind to a handler.

        The handler gets the sender's proven name and the body; what it
        returns is the reply, None sends none.
        """
        self.handlers[kind] = handler

    async def start(self) -> None:
        """Listen for peers."""
        self.subscribe(MessageKind.ping, answer_ping)
        self.server = await asyncio.start_server(
            self.accept,
            self.options.listen.host,
            self.options.listen.port,
            ssl=self.options.server_tls,
        )

    async def close(self) -> None:
        """Close every link; calls under way fail."""
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
    ) -> Result[bytes, CallFailed]:
        """Send a message to a peer and wait for its reply.

        Returns
        -------
        Result
            The reply, or `NotSent` or `OutcomeUnknown`.
        """
        return await self.link(address).call(kind, body, timeout_s)

    def notify(self, address: Address, kind: MessageKind, body: bytes) -> None:
        """Send a message without reply; it may be lost."""
        envelope = Envelope(kind=kind, call=0, reply=False, body=body)
        if not self.link(address).put(envelope):
            self.metrics.count('peer_messages_dropped_total')

    def link(self, address: Address) -> Link:
        """Return the link to a peer, made at first use."""
        link = self.links.get(address)
        if link is None:
            link = Link(address, self.options)
            link.start()
            self.links[address] = link
        return link

    def accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one incoming connection in a task of its own.

        The task is ours and not the server's: that one would print a
        traceback for each connection that `close` cancels.
        """
        serving = self.serve_until_broken(reader, writer)
        task = asyncio.get_running_loop().create_task(serving)
        self.inbound.add(task)
        task.add_done_callback(self.inbound.discard)

    async def serve_until_broken(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one incoming connection; count how it ended."""
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
        """Prove the key, then handle messages, each in a task of its own."""
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            sender = await handshake.receive(
                reader,
                writer,
                self.options.key,
                self.options.name,
            )
        async with asyncio.TaskGroup() as group:
            try:
                await self.read_messages(reader, writer, sender, group)
            except (OSError, EOFError):
                self.metrics.count('peer_connections_ended_total')
            except FrameError:
                self.metrics.count('peer_frames_malformed_total')

    async def read_messages(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sender: str,
        group: asyncio.TaskGroup,
    ) -> None:
        """Start a handler for each message until the stream ends."""
        while True:
            async with asyncio.timeout(INBOUND_SILENCE_S):
                body = await read_frame(reader, self.options.frame_bytes)
            envelope = decode(Envelope, body)
            group.create_task(self.answer(writer, sender, envelope))

    async def answer(
        self,
        writer: asyncio.StreamWriter,
        sender: str,
        envelope: Envelope,
    ) -> None:
        """Run one handler and send its reply."""
        handler = self.handlers.get(envelope.kind)
        if handler is None:
            self.metrics.count('peer_messages_unhandled_total')
            return
        try:
            reply = await handler(sender, envelope.body or b'')
        except FrameError:
            # A body that does not decode harms only its own call: the sender
            # sees no reply, other calls on the link go on.
            self.metrics.count('peer_frames_malformed_total')
            return
        except Exception as fault:
            # A fault of ours must end one call only, and be seen.
            self.metrics.count('peer_handlers_failed_total')
            log_change(
                'peer:handler_failed',
                sender=sender,
                kind=envelope.kind,
                fault=repr(fault),
            )
            return
        if reply is None or not envelope.call:
            return
        answer = Envelope(
            kind=envelope.kind,
            call=envelope.call,
            reply=True,
            body=reply,
        )
        with suppress(OSError):
            writer.write(frame(encode(answer)))
            await writer.drain()


async def answer_ping(sender: str, body: bytes) -> bytes:
    """Give a peer that heard nothing for a while its sign of life."""
    return body
