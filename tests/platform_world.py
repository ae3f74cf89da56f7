"""The platform's side of the wire: servers, clients, and real processes."""

import asyncio
import fcntl
import json
import os
import secrets
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ZONES = {'zone-a': 'north', 'zone-b': 'south'}
CONTROL_HOSTS = ('127.0.9.1', '127.0.9.2', '127.0.9.3')
NORTH, SOUTH = '127.0.9.11', '127.0.9.21'
ENTRY_ZONES = {NORTH: 'zone-a', SOUTH: 'zone-b'}
FRONT, READY = 8144, 8140
CONTROL, DIRECTORY = 8146, 8143
INTERNAL = 7660
HOST = 'ficu.example'
SEAL = 'server-seal: 3e1b'
REVOKE_MS = 3000
FULL = b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'


def configuration(version=1, **changes):
    """Return a configuration with a route of each kind."""
    document = {
        'version': version,
        'routes': [
            route('safe', '/safe/', max_attempts=2),
            route('unsafe', '/unsafe/'),
            route('stream', '/once/', service='llm'),
            route(
                'stream',
                '/resumed/',
                service='llm',
                resumable=True,
                max_attempts=2,
            ),
            route('safe', '/south/', home_regions=['south']),
            route('safe', '/engines/', service='llm', max_attempts=2),
        ],
        'services': [
            {'name': 'app', 'max_connections': 96, 'health_path': '/healthz'},
            {
                'name': 'llm',
                'cold_start_s': 3.0,
                'cold_per_s': 6.6,
                'engine': {'slots': 8, 'kv_capacity': 9000, 'stride': 5},
            },
        ],
        'limits': {
            'max_header_bytes': 4096,
            'max_body_bytes': 65536,
            'header_timeout_ms': 600,
            'idle_timeout_ms': 15000,
        },
        'unknown': {'ignored': True},
    }
    return {**document, **changes}


def route(kind, prefix, service='app', **changes):
    """Return a route."""
    fields = {
        'name': f'r-{prefix.strip("/")}',
        'host': HOST,
        'path_prefix': prefix,
        'type': kind,
        'timeout_ms': 3000,
        'target_latency_ms': 800,
        'service': service,
        'max_attempts': 1,
    }
    return {**fields, **changes}


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
            writer.write(b'HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n')
            return
        name = path.rsplit('/', 1)[1]
        if name == 'full':
            writer.write(FULL)
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


def chunk(content):
    """Return one HTTP chunk."""
    return b'%x\r\n%s\r\n' % (len(content), content)


def fields_of(head):
    """Return header fields by name."""
    lines = head.decode('latin-1').split('\r\n')[1:-2]
    pairs = (line.split(':', 1) for line in lines)
    return {name.lower(): content.strip() for name, content in pairs}


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


async def read_answer(reader):
    """Read one answer."""
    head = await reader.readuntil(b'\r\n\r\n')
    status = int(head.split(b' ', 2)[1])
    fields = fields_of(head)
    if fields.get('transfer-encoding') != 'chunked':
        length = int(fields.get('content-length', 0))
        return Answer(status, fields, await reader.readexactly(length))
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
    extra = ''.join(
        f'{name.replace("_", "-")}: {content}\r\n'
        for name, content in fields.items()
    )
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Attempt-Id: {attempt}\r\nDeadline-Ms: 3000\r\n{extra}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return attempt, await send(entry, FRONT, head.encode() + body)


def boot_document(host, zone, folder, *, control, bootstrap=True):
    """Return a settings file as the platform writes it."""
    listen = {
        'frontend': f'{host}:{FRONT}',
        'ready': f'{host}:{READY}',
        'directory': f'{host}:{DIRECTORY}',
    }
    if control:
        listen = {
            'control_plane': f'{host}:{CONTROL}',
            'directory': f'{host}:{DIRECTORY}',
        }
    return {
        'node_name': f'node-{host}',
        'ip': host,
        'zone': zone,
        'region': ZONES[zone],
        'zones': ZONES,
        'listen': listen,
        'internal_port_range': [INTERNAL, INTERNAL + 15],
        'seeds': [f'{one}:{CONTROL}' for one in CONTROL_HOSTS],
        'bootstrap': bootstrap,
        'data_dir': str(folder / host) if control else None,
        'bounds': {
            'retry_budget_ratio': 0.2,
            'retry_allowance': 52,
            'strict_revocation': True,
            'revoke_ms': REVOKE_MS,
        },
        'new_field': 'ignored',
    }


@dataclass
class World:
    """Three control processes, two entries, and four servers."""

    folder: Path
    processes: dict = field(default_factory=dict)
    servers: dict = field(default_factory=dict)
    beating: asyncio.Task | None = None
    silent: set = field(default_factory=set)
    lock: object = None
    server_type: type[Server] = Server

    async def start(self):
        """Start everything and wait until a request is served.

        Worlds share addresses: another one, of another test process, is
        waited for.
        """
        target = ROOT / 'target'
        target.mkdir(exist_ok=True)
        self.lock = (target / 'world.lock').open('w')
        await asyncio.to_thread(fcntl.flock, self.lock, fcntl.LOCK_EX)
        key = ROOT / 'target' / 'cluster.key'
        key.parent.mkdir(exist_ok=True)
        if not key.exists():
            key.write_text(secrets.token_hex(32))
        for host in CONTROL_HOSTS:
            await self.start_process(host, 'zone-a', control=True)
        for host, zone in ENTRY_ZONES.items():
            await self.start_process(host, zone, control=False)
        for name, host, service, zone in (
            ('north-app', '127.0.9.101', 'app', 'zone-a'),
            ('north-llm', '127.0.9.102', 'llm', 'zone-a'),
            ('north-llm-2', '127.0.9.103', 'llm', 'zone-a'),
            ('south-app', '127.0.9.104', 'app', 'zone-b'),
        ):
            self.servers[name] = self.server_type(host, service, zone)
            await self.servers[name].start()
        await until(self.is_configured, 20.0)
        self.beating = asyncio.create_task(self.beat())
        await until(self.is_serving, 20.0)
        await until(self.knows_engines, 20.0)

    async def start_process(self, host, zone, *, control, bootstrap=True):
        """Start one process."""
        path = self.folder / f'{host}.json'
        document = boot_document(
            host,
            zone,
            self.folder,
            control=control,
            bootstrap=bootstrap,
        )
        path.write_text(json.dumps(document))
        script = 'control.py' if control else 'entry.py'
        log = (self.folder / f'{host}.log').open('ab')
        self.processes[host] = await asyncio.create_subprocess_exec(
            sys.executable,
            f'platform/{script}',
            cwd=ROOT,
            env={**os.environ, 'GODWITSHUNT_BOOT': str(path)},
            stdout=log,
            stderr=log,
        )

    async def is_configured(self):
        """Tell whether the first configuration is acknowledged."""
        answer = await self.control('PUT', '/-/config', configuration())
        return answer.status == 200

    async def is_serving(self):
        """Tell whether every service answers through every entry."""
        for entry in ENTRY_ZONES:
            for path in ('/safe/x', '/south/x', '/resumed/x'):
                try:
                    _, answer = await ask(entry, path)
                except (OSError, TimeoutError):
                    # Beside load an entry listens later than control does.
                    return False
                if answer.status != 200:
                    return False
        return True

    async def knows_engines(self):
        """Tell whether the north's picker chooses among both its engines.

        A stream that breaks goes on at the other one. Beside load a request
        is served before the other control machine has told of that one.
        """
        await ask(NORTH, '/resumed/x')
        engines = [
            server.instance
            for name, server in self.servers.items()
            if name.startswith('north-llm')
        ]
        return any(
            all(engine in ' '.join(line['among']) for engine in engines)
            for line in self.logged(CONTROL_HOSTS[0], 'picking:place')
        )

    async def control(self, method, path, document=None, host=None):
        """Make a call to a control process."""
        try:
            return await call(
                host or CONTROL_HOSTS[0],
                CONTROL,
                method,
                path,
                document,
            )
        except (OSError, TimeoutError):
            return Answer(0, {}, b'', complete=False)

    async def beat(self):
        """Send every server's heartbeats, each to one control process."""
        while True:
            for place, name in enumerate(tuple(self.servers)):
                if name not in self.silent:
                    await self.announce(name, place)
            await asyncio.sleep(0.8)

    async def announce(self, name, place=0, **changes):
        """Send one heartbeat."""
        server = self.servers[name]
        return await self.control(
            'PUT',
            f'/-/instances/{server.instance}',
            server.heartbeat(**changes),
            CONTROL_HOSTS[place % len(CONTROL_HOSTS)],
        )

    async def close(self):
        """End every process that this world started."""
        if self.beating is not None:
            self.beating.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
            await process.wait()
        for server in self.servers.values():
            server.listener.close()
        self.lock.close()

    def logged(self, host, kind):
        """Return the log lines of a kind that a process wrote."""
        lines = (self.folder / f'{host}.log').read_text().splitlines()
        documents = [json.loads(one) for one in lines if one.startswith('{')]
        return [one for one in documents if one.get('message_type') == kind]


async def until(holds, limit_s):
    """Wait until something holds; raise where it does not in time."""
    async with asyncio.timeout(limit_s):
        held = await holds()
        while not held:
            await asyncio.sleep(0.1)
            held = await holds()
