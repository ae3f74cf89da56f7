"""A server of the platform, played by the tests."""

import asyncio
import secrets
from dataclasses import dataclass, field

SEAL = 'server-seal: 3e1b'
FULL = 'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n'
MISDIRECTED = 'HTTP/1.1 421 No\r\n'


@dataclass
class Server:
    """A server that answers by what a request's path asks for."""

    host: str
    service: str
    zone: str
    instance: str = field(default_factory=lambda: secrets.token_hex(4))
    port: int = 9000
    ran: list[str] = field(default_factory=list)
    left: list[str] = field(default_factory=list)
    heads: list[str] = field(default_factory=list)
    sequence: int = 0
    listener: asyncio.Server | None = None

    async def start(self):
        """Listen."""
        self.listener = await asyncio.start_server(
            self.accept,
            self.host,
            self.port,
        )

    def heartbeat(self, **changes):
        """Return the next heartbeat."""
        self.sequence += 1
        fields = {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
        }
        return {**fields, **changes}

    async def accept(self, reader, writer):
        """Answer requests in turn."""
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                fields = fields_of(head)
                length = int(fields.get('content-length', 0))
                body = await reader.readexactly(length)
                await self.answer(reader, writer, head, fields, body)
        except (ConnectionError, EOFError):
            writer.close()

    async def answer(self, reader, writer, head, fields, body):
        """Answer one request as its path asks."""
        path = head.split(b' ', 2)[1].decode()
        self.heads.append(head.decode('latin-1'))
        if fields.get('expect-instance') != self.instance:
            writer.write(refusal(MISDIRECTED, fields))
            return
        name = path.rsplit('/', 1)[1]
        if name == 'full':
            writer.write(refusal(FULL, fields))
            return
        self.ran.append(fields['attempt-id'])
        echo = f'attempt-id: {fields["attempt-id"]}\r\n'
        match name:
            case 'reset':
                writer.transport.abort()
            case 'unsigned':
                writer.write(whole(echo, b'forged'))
            case 'other':
                writer.write(whole('attempt-id: other\r\n', b'not yours'))
                writer.write(whole(f'{echo}{SEAL}\r\n', b'yours'))
            case 'slow':
                await self.wait(reader, writer, fields, echo)
            case _ if path.startswith(('/once', '/resumed')):
                await self.stream(writer, fields, echo, name)
            case 'fails':
                status = b'HTTP/1.1 500 Failed\r\n'
                tail = f'{echo}{SEAL}\r\nContent-Length: 2\r\n\r\nno'
                writer.write(status + tail.encode())
            case _:
                writer.write(whole(f'{echo}{SEAL}\r\n', body or b'empty'))

    async def wait(self, reader, writer, fields, echo):
        """Work for a second; note a caller that goes."""
        try:
            gone = await asyncio.wait_for(reader.read(1), 1.0)
        except TimeoutError:
            writer.write(whole(f'{echo}{SEAL}\r\n', b'late'))
            return
        if not gone:
            self.left.append(fields['attempt-id'])

    async def stream(self, writer, fields, echo, name):
        """Send eight events; break after the third where asked."""
        first = int(fields.get('last-event-id', 0)) + 1
        head = (
            'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            f'{echo}{SEAL}\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        writer.write(head.encode())
        for number in range(first, 9):
            writer.write(chunk(b'id: %d\ndata: x%d\n\n' % (number, number)))
            await writer.drain()
            if name == 'breaks' and number == 3:
                writer.write(chunk(b'id: 4\nda'))
                await writer.drain()
                await asyncio.sleep(0.05)
                writer.transport.abort()
                return
        writer.write(b'0\r\n\r\n')


def whole(fields, body):
    """Return a whole answer."""
    head = f'HTTP/1.1 200 OK\r\n{fields}Content-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


def refusal(head, fields):
    """Return a refusal, which repeats the request's id as any answer does."""
    echo = f'attempt-id: {fields.get("attempt-id", "")}\r\n'
    return f'{head}{echo}Content-Length: 0\r\n\r\n'.encode()


def chunk(content):
    """Return one HTTP chunk."""
    return b'%x\r\n%s\r\n' % (len(content), content)


def fields_of(head):
    """Return header fields by name."""
    lines = head.decode('latin-1').split('\r\n')[1:-2]
    pairs = (line.split(':', 1) for line in lines)
    return {name.lower(): content.strip() for name, content in pairs}
