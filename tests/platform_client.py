"""A client and an operator of the platform, played by the tests."""

import asyncio
import json
import secrets
from dataclasses import dataclass

from tests.platform_server import fields_of

FRONT = 8144
HOST = 'ficu.example'


@dataclass(frozen=True)
class Answer:
    """What came of a call; the status is 0 where the connection ended."""

    status: int
    fields: dict
    body: bytes
    complete: bool = True


async def send(host, port, raw, wait_s=6.0):
    """Send raw bytes on a new connection; return what comes until its end."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(raw)
        async with asyncio.timeout(wait_s):
            return await read_answer(reader)
    except (ConnectionError, EOFError):
        return Answer(0, {}, b'', complete=False)
    finally:
        writer.close()


async def read_answer(reader, *, keeps_part=False):
    """Read one answer.

    Parameters
    ----------
    keeps_part : bool
        True to return what came of an answer with a length that broke off.

    Raises
    ------
    EOFError
        Where the connection ended within the head, or within a body with a
        length of which no part is wanted.
    """
    head = await reader.readuntil(b'\r\n\r\n')
    status = int(head.split(b' ', 2)[1])
    fields = fields_of(head)
    if fields.get('transfer-encoding') != 'chunked':
        length = int(fields.get('content-length', 0))
        try:
            return Answer(status, fields, await reader.readexactly(length))
        except asyncio.IncompleteReadError as broken:
            if not keeps_part:
                raise
            return Answer(status, fields, broken.partial, complete=False)
    parts = []
    while True:
        try:
            size = int(await reader.readline(), 16)
            parts.append((await reader.readexactly(size + 2))[:-2])
        except (ConnectionError, EOFError, ValueError):
            return Answer(status, fields, b''.join(parts), complete=False)
        if not size:
            return Answer(status, fields, b''.join(parts))


async def call(host, port, method, path, document=None):
    """Make a call with a JSON body; return its answer."""
    body = document if isinstance(document, bytes) else b''
    if isinstance(document, dict):
        body = json.dumps(document).encode()
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {host}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return await send(host, port, head.encode() + body)


async def ask(entry, path, method='POST', body=b'hello', **fields):
    """Send a client's request; return its id and the answer."""
    attempt = fields.pop('attempt', None) or secrets.token_hex(8)
    raw = render_request(path, attempt, method, body, **fields)
    return attempt, await send(entry, FRONT, raw)


def render_request(path, attempt, method='POST', body=b'hello', **fields):
    """Return the bytes of a client's request."""
    extra = ''.join(
        f'{name.replace("_", "-")}: {content}\r\n'
        for name, content in fields.items()
    )
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Attempt-Id: {attempt}\r\nDeadline-Ms: 3000\r\n{extra}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


@dataclass
class KeptConnection:
    """A client's connection that it uses for as long as it is open."""

    entry: str
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None

    async def ask(self, path, attempt, body=b'hello', wait_s=6.0):
        """Send a request on the open connection, or on a new one."""
        if self.writer is None:
            opened = await asyncio.open_connection(self.entry, FRONT)
            self.reader = opened[0]
            self.writer = opened[1]
        try:
            return await self.exchange(path, attempt, body, wait_s)
        except (ConnectionError, EOFError, TimeoutError):
            self.close()
            return Answer(0, {}, b'', complete=False)

    async def exchange(self, path, attempt, body, wait_s):
        """Send a request and read its answer."""
        self.writer.write(render_request(path, attempt, body=body))
        async with asyncio.timeout(wait_s):
            answer = await read_answer(self.reader)
        if not answer.complete or answer.fields.get('connection') == 'close':
            self.close()
        return answer

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
            self.writer = None
