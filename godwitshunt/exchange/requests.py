"""A request as it was read, and the answer that is written to it."""

import asyncio
import json
from dataclasses import dataclass

import h11

from godwitshunt.exchange.channel import Channel
from godwitshunt.exchange.problems import Headers, WholeAnswer

BODYLESS = frozenset((204, 304))
STALL_S = 60.0
SLICE_BYTES = 64 * 1024
PROCESSING = 102


@dataclass(frozen=True)
class HttpRequest:
    """One whole request.

    Parameters
    ----------
    method, path, query : str
        Parts of the request line; the query without its question mark.
    headers : tuple of (bytes, bytes)
        Names in lower case, in the order of arrival.
    body : bytes
        The whole body.
    """

    method: str
    path: str
    query: str
    headers: Headers
    body: bytes

    @property
    def target(self) -> str:
        """Return path and query as they stood in the request line."""
        return f'{self.path}?{self.query}' if self.query else self.path

    def header(self, name: bytes) -> str | None:
        """Return the first value of a header; None where it is missing."""
        for known, content in self.headers:
            if known == name:
                return content.decode('latin-1')
        return None

    def document(self) -> object:
        """Return the JSON body; raise ValueError where it is not JSON."""
        return json.loads(self.body)


class AnswerWriter:
    """Writes one answer on a caller's connection.

    `bodyless` is set for answers to HEAD, which tell a length and no body.
    A caller that takes nothing of a complete answer for a minute is cut off;
    else its answer would stay in memory as long as it likes. The head and the
    last chunk of a stream are held until what follows them, as each send is a
    system call and a packet. `request_id` is a header that the answer repeats,
    so that another VM can tell to which of its requests it belongs. `ended` is
    set once the request has ended: bytes that were written later would be read
    as the answer to the next request on the connection.

    Every method raises `ConnectionResetError` where the caller is gone or the
    request has ended.
    """

    def __init__(self, connection: h11.Connection, channel: Channel) -> None:
        self.connection = connection
        self.channel = channel
        self.begun = False
        self.closing = False
        self.bodyless = False
        self.ended = False
        self.request_id: tuple[bytes, bytes] | None = None
        self.held = b''

    def repeat_id(self, request: HttpRequest, id_header: bytes) -> None:
        """Let the answer repeat the id that its request has, if it has one."""
        request_id = request.header(id_header)
        if request_id:
            self.request_id = (id_header, request_id.encode('latin-1'))

    async def whole(self, answer: WholeAnswer) -> None:
        """Send an answer in one piece, with its length."""
        headers = self.with_id(answer.headers)
        if answer.status not in BODYLESS:
            length = str(len(answer.body)).encode()
            headers.append((b'content-length', length))
        if self.closing:
            headers.append((b'connection', b'close'))
        self.begun = True
        head = h11.Response(status_code=answer.status, headers=headers)
        parts = [self.render(head)]
        body = b'' if self.bodyless else answer.body
        if len(body) > SLICE_BYTES:
            self.channel.write(parts.pop())
            await self.send_slices(body)
        elif body:
            parts.append(self.render(h11.Data(data=body)))
        parts.append(self.render(h11.EndOfMessage()))
        self.channel.write(b''.join(parts))
        await self.drain()

    async def send_slices(self, body: bytes) -> None:
        """Send a long body as fast as the caller reads.

        In one piece it would be copied to the send buffer, and be held twice.
        """
        held = self.channel.held
        for start in range(0, len(body), SLICE_BYTES):
            data = body[start : start + SLICE_BYTES]
            if held is not None:
                held.keep_answer(len(body) - start - len(data))
            self.channel.write(self.render(h11.Data(data=data)))
            await self.drain()

    async def drain(self) -> None:
        """Wait while the caller reads slowly; cut it off if it has stopped."""
        if not self.channel.write_paused:
            await self.channel.drain()
            return
        try:
            async with asyncio.timeout(STALL_S):
                await self.channel.drain()
        except TimeoutError:
            self.channel.abort()
            raise ConnectionResetError('the caller does not read') from None

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of an answer that comes in chunks."""
        self.put_head(status, headers)
        self.write()
        await self.channel.drain()

    async def send(self, chunk: bytes) -> None:
        """Send one chunk; wait where the caller reads slowly."""
        self.put(chunk)
        if self.channel.write_paused or self.channel.ended:
            await self.channel.drain()

    def sign_of_life(self) -> None:
        """Tell a VM that waits that its request is being worked on."""
        if self.begun or self.ended or self.channel.ended:
            return
        told = h11.InformationalResponse(status_code=PROCESSING, headers=[])
        self.channel.write(self.render(told))

    def put_head(self, status: int, headers: Headers) -> None:
        """Hold the head of an answer that comes in chunks."""
        told = self.with_id(headers)
        told.append((b'transfer-encoding', b'chunked'))
        if self.closing:
            told.append((b'connection', b'close'))
        self.begun = True
        head = h11.Response(status_code=status, headers=told)
        self.held = self.render(head)

    def put(self, chunk: bytes, *, is_last: bool = False) -> None:
        """Queue one chunk, the last one until the answer is finished.

        The channel tells when to pause.
        """
        self.held += self.render(h11.Data(data=chunk))
        if not is_last:
            self.write()

    async def finish(self) -> None:
        """Send the final chunk: the answer is whole."""
        self.held += self.render(h11.EndOfMessage())
        self.write()
        await self.drain()

    def break_off(self) -> None:
        """Close without a final chunk, so that the caller sees the break."""
        self.write()
        self.ended = True
        self.channel.close()

    def with_id(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return an answer's headers with the id that it repeats."""
        told = list(headers)
        if self.request_id is None:
            return told
        if all(name != self.request_id[0] for name, _ in headers):
            told.append(self.request_id)
        return told

    def render(self, event: h11.Event) -> bytes:
        """Return a part of the answer as it goes over the wire."""
        if self.ended:
            raise ConnectionResetError('the request has ended')
        return self.connection.send(event)

    def write(self) -> None:
        """Queue what is held."""
        if self.held:
            self.channel.write(self.held)
            self.held = b''
