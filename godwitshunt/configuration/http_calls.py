"""One HTTP call on its own connection, for operators and orders."""

import asyncio
import socket
import ssl
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import h11
from result import Err, Ok, Result

from godwitshunt.settings import Address

Headers = tuple[tuple[str, str], ...]

READ_BYTES = 65536
MAX_ANSWER_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class HttpCall:
    """A request to send.

    Parameters
    ----------
    timeout_s : float
        Seconds until the call is abandoned, once the connection is made.
    """

    method: str
    path: str
    body: bytes = b''
    headers: Headers = ()
    timeout_s: float = 10.0


@dataclass(frozen=True)
class HttpAnswer:
    """A complete answer."""

    status: int
    body: bytes


@dataclass(frozen=True)
class ConnectFailed:
    """No connection was made; the server cannot have acted."""

    address: str
    reason: str


@dataclass(frozen=True)
class AnswerLost:
    """No complete answer arrived; the server may have acted on the call."""

    address: str
    reason: str


@dataclass(frozen=True)
class NotPermitted:
    """The permit callable returned False; nothing was sent."""

    address: str


HttpFailure = ConnectFailed | AnswerLost | NotPermitted
Permit = Callable[[], bool]

# SO_LINGER with a timeout of zero discards unsent data at close, so that an
# abandoned call does not arrive later.
LINGER_DISCARD = struct.pack('ii', 1, 0)


def always_permit() -> bool:
    """Permit every call."""
    return True


async def call_http(
    address: Address,
    call: HttpCall,
    permit: Permit = always_permit,
    tls: ssl.SSLContext | None = None,
) -> Result[HttpAnswer, HttpFailure]:
    """Send a request and read the complete answer.

    Parameters
    ----------
    address : Address
        Address of the server.
    call : HttpCall
        The request.
    permit : callable
        Called once the connection is made, as the last step before the first
        byte is written; the call is not sent if it returns False.
    tls : ssl.SSLContext or None
        TLS context; None for plain TCP.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                address.host,
                address.port,
                ssl=tls,
            )
    except (OSError, TimeoutError) as connect_error:
        return Err(
            ConnectFailed(str(address), str(connect_error) or 'no answer')
        )
    try:
        async with asyncio.timeout(call.timeout_s):
            if not permit():
                return Err(NotPermitted(str(address)))
            return Ok(await exchange(reader, writer, address, call))
    except (OSError, TimeoutError, h11.RemoteProtocolError) as exchange_error:
        abort_connection(writer)
        return Err(
            AnswerLost(str(address), str(exchange_error) or 'no answer in time')
        )
    finally:
        writer.close()


def abort_connection(writer: asyncio.StreamWriter) -> None:
    """Abort a connection and discard unsent data."""
    raw_socket = writer.get_extra_info('socket')
    # The socket is already closed if the peer has reset the connection.
    with suppress(OSError):
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_DISCARD
        )
    writer.transport.abort()


async def exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    address: Address,
    call: HttpCall,
) -> HttpAnswer:
    """Write the request and read the complete answer."""
    connection = h11.Connection(h11.CLIENT)
    head = h11.Request(
        method=call.method,
        target=call.path,
        headers=[
            ('host', str(address)),
            ('connection', 'close'),
            ('content-length', str(len(call.body))),
            *call.headers,
        ],
    )
    writer.write(connection.send(head))
    writer.write(connection.send(h11.Data(data=call.body)))
    writer.write(connection.send(h11.EndOfMessage()))
    await writer.drain()
    return await read_answer(reader, connection)


async def read_answer(
    reader: asyncio.StreamReader,
    connection: h11.Connection,
) -> HttpAnswer:
    """Read the complete answer.

    Raises
    ------
    ConnectionResetError
        If the answer is cut off or longer than `MAX_ANSWER_BYTES`.
    """
    status = 0
    body = bytearray()
    while len(body) <= MAX_ANSWER_BYTES:
        match await next_event(reader, connection):
            case h11.Response(status_code=code):
                status = code
            case h11.Data(data=chunk):
                body.extend(chunk)
            case h11.EndOfMessage():
                return HttpAnswer(status, bytes(body))
            case _:
                raise ConnectionResetError('ended before its answer')
    raise ConnectionResetError('the answer is too long')


async def next_event(
    reader: asyncio.StreamReader,
    connection: h11.Connection,
) -> h11.Event:
    """Return the next part of the answer, past interim answers."""
    event = connection.next_event()
    while event is h11.NEED_DATA or isinstance(
        event, h11.InformationalResponse
    ):
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        event = connection.next_event()
    return event
