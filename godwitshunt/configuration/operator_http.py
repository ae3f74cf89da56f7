"""A small HTTP listener for operators, until the exchange slice has one."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

import h11

from godwitshunt.settings import Address, LimitSettings

READ_BYTES = 65536


@dataclass(frozen=True)
class OperatorRequest:
    """One whole request."""

    method: str
    path: str
    token: str
    body: bytes


@dataclass(frozen=True)
class OperatorAnswer:
    """One whole answer."""

    status: int
    body: bytes
    content_type: str = 'application/json'


Handler = Callable[[OperatorRequest], Awaitable[OperatorAnswer]]


class OperatorListener:
    """Answers one request on each connection."""

    def __init__(
        self,
        address: Address,
        limits: LimitSettings,
        handler: Handler,
    ) -> None:
        self.address = address
        self.limits = limits
        self.handler = handler
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(
            self.accept,
            self.address.host,
            self.address.port,
        )

    async def close(self) -> None:
        """Take no more connections and wait for the answers under way."""
        if self.server is not None:
            self.server.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection."""
        task = asyncio.current_task()
        self.tasks.add(task)
        connection = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.limits.header_bytes,
        )
        try:
            with suppress(OSError, TimeoutError, h11.ProtocolError):
                await self.serve(connection, reader, writer)
        finally:
            self.tasks.discard(task)
            writer.close()

    async def serve(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Read one request and write its answer."""
        async with asyncio.timeout(self.limits.read_timeout_s):
            request = await self.read(connection, reader)
        answer = await self.handler(request)
        head = h11.Response(
            status_code=answer.status,
            headers=[
                ('content-type', answer.content_type),
                ('content-length', str(len(answer.body))),
                ('connection', 'close'),
            ],
        )
        writer.write(connection.send(head))
        writer.write(connection.send(h11.Data(data=answer.body)))
        writer.write(connection.send(h11.EndOfMessage()))
        await writer.drain()

    async def read(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
    ) -> OperatorRequest:
        """Read one bounded request."""
        head = None
        body = bytearray()
        while len(body) <= self.limits.body_bytes:
            match connection.next_event():
                case h11.NEED_DATA:
                    connection.receive_data(await reader.read(READ_BYTES))
                case h11.Request() as request:
                    head = request
                case h11.Data(data=part):
                    body.extend(part)
                case h11.EndOfMessage():
                    return operator_request(head, bytes(body))
                case _:
                    raise ConnectionResetError('ended early')
        raise ConnectionResetError('body too long')


def operator_request(head: h11.Request, body: bytes) -> OperatorRequest:
    """Return the request with its bearer token."""
    token = ''
    for name, content in head.headers:
        if name == b'authorization':
            token = content.decode('latin-1').removeprefix('Bearer ')
    return OperatorRequest(
        method=head.method.decode(),
        path=head.target.decode('latin-1').partition('?')[0],
        token=token,
        body=body,
    )
