"""A small deployment for the cases of the second review.

It starts the programs of the deploy file as separate processes on loopback
addresses, with settings files as the platform writes them. Servers, clients
and the operator are small stand-ins that speak what the platform's pages say.
"""

import asyncio
import json
import os
import random
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
FRONT, READY = 8144, 8140
DIRECTORY, CONTROL, SERVER = 8143, 8146, 9000
INTERNAL = 7660
BEAT_S = 1.2
HOST = 'ficu95.example'
ZONES = {'hall-a': 'north', 'hall-b': 'south', 'hall-c': 'west'}
# The bounds of the sheet of pdl-godwit.
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'contact_ms': 5000,
    'ack_ms': 6000,
    'catch_up_s': 4,
    'drain_ms': 3000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 3000,
    'rollback_slack_ms': 250,
    'max_extension_ms': 8000,
    'retry_budget_ratio': 0.2,
    'retry_window_s': 10,
    'retry_allowance': 52,
    'cold_factor': 1.5,
    'cold_allowance': 3,
    'evacuation_ms': 5000,
    'recovery_s': 12,
    'pass_ms': 600,
    'reuse_window_s': 10,
    'ttl_max_s': 5,
}
HELD, CANNOT_RUN, BROKEN = 0, 2, 3
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 4194304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


def free_network():
    """Return the beginning of loopback addresses whose ports are free."""
    for _ in range(50):
        network = f'127.{random.randint(20, 220)}.{random.randint(1, 250)}'
        with suppress(OSError):
            for port in (FRONT, CONTROL, DIRECTORY, INTERNAL, SERVER):
                with socket.socket() as probe:
                    probe.bind((f'{network}.1', port))
            return network
    raise OSError('no free loopback addresses')


def route(kind, prefix, service, **changes):
    """Return a route of a configuration."""
    fields = {
        'name': f'r-{prefix.strip("/")}',
        'host': HOST,
        'path_prefix': prefix,
        'type': kind,
        'timeout_ms': 2000,
        'target_latency_ms': 300,
        'priority': 1,
        'service': service,
        'max_attempts': 2 if kind == 'safe' else 1,
        'sticky': False,
        'resumable': False,
        'home_regions': [],
    }
    return {**fields, **changes}


def configuration(version, **changes):
    """Return a configuration with a safe and an unsafe route."""
    document = {
        'version': version,
        'routes': [
            route('safe', '/lookup/', 'dir-app'),
            route('unsafe', '/card/', 'dir-app'),
        ],
        'services': [
            {
                'name': 'dir-app',
                'health_path': '/healthz',
                'max_connections': 96,
                'protocol': 'h1',
                'tls': False,
                'cold_start_s': 0.0,
                'cold_per_s': 0.0,
            },
        ],
        'limits': LIMITS,
    }
    return {**document, **changes}


@dataclass
class Record:
    """What was sent, answered and run, with seconds since the start."""

    path: Path
    lines: list = field(default_factory=list)
    start_s: float = field(default_factory=time.monotonic)

    def note(self, text):
        """Note one thing that happened."""
        passed_s = time.monotonic() - self.start_s
        self.lines.append(f'{passed_s:8.3f} s  {text}')

    def write(self):
        """Write everything to the file."""
        self.path.write_text(''.join(f'{line}\n' for line in self.lines))


async def exchange(address, raw, wait_s):
    """Send one request on a new connection; return status, fields, body."""
    host, port = address
    async with asyncio.timeout(wait_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(raw)
            return await read_message(reader)
        finally:
            writer.close()


async def read_message(reader):
    """Read one answer with a length."""
    head = await reader.readuntil(b'\r\n\r\n')
    fields = fields_of(head)
    body = await reader.readexactly(int(fields.get('content-length', 0)))
    return int(head.split(b' ', 2)[1]), fields, body


def fields_of(head):
    """Return the header fields of a head by name."""
    lines = head.decode('latin-1').split('\r\n')[1:-2]
    pairs = (line.split(':', 1) for line in lines)
    return {name.lower(): content.strip() for name, content in pairs}


async def call_control(host, method, path, document=None, wait_s=1.0):
    """Make one call of a server or of the operator; 0 without an answer."""
    body = b'' if document is None else json.dumps(document).encode()
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {host}:{CONTROL}\r\n'
        'Content-Type: application/json\r\nConnection: close\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    try:
        raw = b''.join((head.encode(), body))
        answer = await exchange((host, CONTROL), raw, wait_s)
    except (OSError, EOFError, TimeoutError):
        return 0, b''
    return answer[0], answer[2]


@dataclass
class Server:
    """A server of a service, with the heartbeats of one incarnation."""

    host: str
    zone: str
    record: Record
    controls: tuple
    service: str = 'dir-app'
    tells_born: bool = False
    work_s: float = 0.0225
    instance: str = field(
        default_factory=lambda: f'i-{secrets.token_hex(5)}',
    )
    state: str = 'ready'
    sequence: int = 0
    place: int = field(default_factory=lambda: random.randrange(5))
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    ran: list = field(default_factory=list)
    listener: object = None
    beating: asyncio.Task | None = None
    open: set = field(default_factory=set)

    async def start(self):
        """Listen, and send heartbeats."""
        self.listener = await asyncio.start_server(
            self.accept,
            self.host,
            SERVER,
        )
        self.beating = asyncio.create_task(self.beat_on())

    def crash(self):
        """End at once: no listener, no connections, no heartbeats."""
        self.beating.cancel()
        self.listener.close()
        for writer in tuple(self.open):
            writer.transport.abort()

    def heartbeat(self):
        """Return the next heartbeat."""
        self.sequence += 1
        document = {
            'service': self.service,
            'address': f'{self.host}:{SERVER}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 6,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
        }
        if self.tells_born:
            document['born'] = self.born
        return document

    async def beat_on(self):
        """Send heartbeats for as long as the server runs."""
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_S)

    async def beat(self):
        """Send a heartbeat to the next node of the list, until a 2xx.

        Returns the node that acknowledged it; None where none did.
        """
        for _ in self.controls:
            node = self.controls[self.place % len(self.controls)]
            self.place += 1
            document = self.heartbeat()
            path = f'/-/instances/{self.instance}'
            status, _ = await call_control(node, 'PUT', path, document)
            if 200 <= status < 300:
                return node
        return None

    async def accept(self, reader, writer):
        """Answer the requests of one connection in turn."""
        self.open.add(writer)
        with suppress(OSError, EOFError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                fields = fields_of(head)
                length = int(fields.get('content-length', 0))
                body = await reader.readexactly(length)
                await asyncio.sleep(self.work_s)
                writer.write(self.answer(head, fields, body))
        self.open.discard(writer)
        writer.close()

    def answer(self, head, fields, body):
        """Run one request; return its answer."""
        path = head.split(b' ', 2)[1].decode('latin-1')
        if path == '/healthz':
            return render(200, f'Instance-Id: {self.instance}\r\n', b'')
        echo = f'Attempt-Id: {fields.get("attempt-id", "")}\r\n'
        expected = fields.get('expect-instance', self.instance)
        if expected != self.instance:
            self.record.note(f'{self.instance} answers 421: for {expected}')
            return render(421, f'{echo}Not-Executed: 1\r\n', b'')
        self.ran.append((time.monotonic(), fields.get('attempt-id', '')))
        self.record.note(f'{self.instance} runs {fields.get("attempt-id")}')
        return render(200, f'{echo}Server-Seal: 3e1b.07\r\n', body or b'card')


def render(status, fields, body):
    """Return an answer with a length."""
    head = f'HTTP/1.1 {status} X\r\n{fields}Content-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


@dataclass
class Deployment:
    """Five control machines, and an edge machine in each of three regions."""

    record: Record
    network: str = field(default_factory=free_network)
    folder: Path = field(
        default_factory=lambda: Path(tempfile.mkdtemp(prefix='review-')),
    )
    bounds: dict = field(default_factory=lambda: dict(BOUNDS))
    processes: dict = field(default_factory=dict)

    @property
    def controls(self):
        """Return the addresses of the control machines."""
        return tuple(f'{self.network}.{place}' for place in range(1, 6))

    @property
    def entries(self):
        """Return the addresses of the edge machines."""
        return tuple(f'{self.network}.{place}' for place in (11, 12, 13))

    def zone_of(self, host):
        """Return the zone of a machine."""
        place = int(host.rsplit('.', 1)[1])
        return tuple(ZONES)[(place - 1) % 10 % 3]

    def settings(self, host, *, bootstrap, seeds):
        """Return a settings file as the platform writes it."""
        is_control = host in self.controls
        listen = {'directory': f'{host}:{DIRECTORY}'}
        if is_control:
            listen['control_plane'] = f'{host}:{CONTROL}'
        else:
            listen['frontend'] = f'{host}:{FRONT}'
            listen['ready'] = f'{host}:{READY}'
        return {
            'node_name': f'node-{host}',
            'role': 'control' if is_control else 'entry',
            'machine_class': 'core' if is_control else 'edge',
            'serves': ['control', 'registry'] if is_control else ['edge'],
            'ip': host,
            'zone': self.zone_of(host),
            'region': ZONES[self.zone_of(host)],
            'zones': ZONES,
            'listen': listen,
            'internal_port_range': [INTERNAL, INTERNAL + 15],
            'seeds': [f'{seed}:{CONTROL}' for seed in seeds],
            'bootstrap': bootstrap,
            'fault_counted': is_control,
            'limits': {'memory_mb': 300, 'cores': 2, 'max_fds': 4100},
            'data_dir': str(self.folder / host) if is_control else None,
            'discovery': 'registration',
            'entry': 'registry',
            'heartbeat_ms': 1200,
            'bounds': self.bounds,
            'config_mode': 'highest',
        }

    async def start_process(self, host, *, bootstrap=False, seeds=None):
        """Start one machine's process with the command of the deploy file."""
        seeds = self.controls[:3] if seeds is None else seeds
        document = self.settings(host, bootstrap=bootstrap, seeds=seeds)
        path = self.folder / f'{host}.json'
        path.write_text(json.dumps(document))
        script = 'control' if host in self.controls else 'entry'
        with (self.folder / f'{host}.log').open('ab') as log:
            self.processes[host] = await asyncio.create_subprocess_exec(
                'python3',
                f'platform/{script}.py',
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'LANG': os.environ.get('LANG', ''),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'GODWITSHUNT_BOOT': str(path),
                },
                stdout=log,
                stderr=log,
            )

    async def start(self):
        """Start all machines; have the first configuration acknowledged."""
        for host in (*self.controls, *self.entries):
            await self.start_process(host, bootstrap=True)
        await self.put(configuration(1))

    async def put(self, document, limit_s=30.0):
        """Send a configuration until it is acknowledged."""
        async with asyncio.timeout(limit_s):
            status = 0
            while status != 200:
                node = random.choice(self.controls)
                status, _ = await call_control(
                    node,
                    'PUT',
                    '/-/config',
                    document,
                )
                await asyncio.sleep(0.1)
        self.record.note(f'configuration {document["version"]} acknowledged')

    async def until_served(self, path='/lookup/x', limit_s=30.0):
        """Wait until a request is served at each edge machine."""
        async with asyncio.timeout(limit_s):
            for entry in self.entries:
                status = 0
                while status != 200:
                    status = await self.ask(entry, path, notes=False)
                    await asyncio.sleep(0.1)

    async def ask(self, entry, path, method='POST', *, notes=True):
        """Send a client's request; return the status, 0 for no answer."""
        attempt = secrets.token_hex(8)
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Attempt-Id: {attempt}\r\nDeadline-Ms: 2000\r\n'
            'Content-Length: 4\r\n\r\ncard'
        )
        if notes:
            self.record.note(f'{attempt} sent to {entry}')
        try:
            status = (await exchange((entry, FRONT), head.encode(), 2.5))[0]
        except (OSError, EOFError, TimeoutError):
            status = 0
        if notes:
            self.record.note(f'{attempt} answered {status}')
        return status

    async def kill(self, hosts):
        """Kill the processes of machines at the same moment."""
        for host in hosts:
            self.processes[host].send_signal(signal.SIGKILL)
        for host in hosts:
            await self.processes[host].wait()

    async def close(self):
        """End every process that this deployment started."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
            await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def play(scene, path):
    """Play a scene on a new deployment; return the exit code.

    A scene returns why the rule is broken, or an empty text. Python exits with
    1 by itself where a script is at fault, so a broken rule has another code.
    """
    record = Record(path)
    deployment = Deployment(record)
    # A case that is told to stop ends its processes, too.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    try:
        broken = await scene(deployment)
    except (OSError, TimeoutError, asyncio.CancelledError) as failed:
        record.note(f'the case could not run: {failed!r}')
        return CANNOT_RUN
    finally:
        await deployment.close()
        record.write()
    record.note(f'RULE BROKEN: {broken}' if broken else 'the rule held')
    record.write()
    sys.stdout.write(f'{record.lines[-1]}\n')
    return BROKEN if broken else HELD


def run_case(scene, path):
    """Play a scene, record it in a file, and exit with its code."""
    sys.exit(asyncio.run(play(scene, path)))
