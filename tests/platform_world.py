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

from tests.platform_client import Answer, ask, call
from tests.platform_documents import (
    CONTROL,
    CONTROL_HOSTS,
    NETWORK,
    boot_document,
    configuration,
)
from tests.platform_server import Server

ROOT = Path(__file__).resolve().parent.parent
NORTH, SOUTH = f'{NETWORK}.11', f'{NETWORK}.21'
ENTRY_ZONES = {NORTH: 'zone-a', SOUTH: 'zone-b'}


@dataclass
class World:
    """Three control processes, two entries, and four servers.

    Parameters
    ----------
    control_hosts : tuple of str
        Addresses of the control processes.
    entry_zones : dict
        Zone of each entry process, by its address.
    entry_script : str
        Program of the entry processes.
    network : str
        Beginning of all addresses. Worlds of one network run in turn.
    scheduling : dict or None
        Scheduling section of the settings files; None for no such section.
    """

    folder: Path
    processes: dict = field(default_factory=dict)
    servers: dict = field(default_factory=dict)
    beating: asyncio.Task | None = None
    silent: set = field(default_factory=set)
    lock: object = None
    server_type: type[Server] = Server
    control_hosts: tuple = CONTROL_HOSTS
    entry_zones: dict = field(default_factory=lambda: dict(ENTRY_ZONES))
    network: str = NETWORK
    scheduling: dict | None = None
    entry_script: str = 'platform/entry.py'

    async def start(self):
        """Start everything and wait until a request is served.

        Worlds share addresses: another one, of another test process, is
        waited for.
        """
        await asyncio.to_thread(self.take_addresses)
        for host in self.control_hosts:
            await self.start_process(host, 'zone-a', control=True)
        for host, zone in self.entry_zones.items():
            await self.start_process(host, zone, control=False)
        for name, host, service, zone in (
            ('north-app', f'{self.network}.101', 'app', 'zone-a'),
            ('north-llm', f'{self.network}.102', 'llm', 'zone-a'),
            ('north-llm-2', f'{self.network}.103', 'llm', 'zone-a'),
            ('south-app', f'{self.network}.104', 'app', 'zone-b'),
        ):
            self.servers[name] = self.server_type(host, service, zone)
            await self.servers[name].start()
        await until(self.is_configured, 20.0)
        self.beating = asyncio.create_task(self.beat())
        await until(self.is_serving, 20.0)
        await until(self.knows_engines, 20.0)

    def take_addresses(self):
        """Wait until no other world uses the addresses; have a key."""
        target = ROOT / 'target'
        target.mkdir(exist_ok=True)
        self.lock = (target / f'world-{self.network}.lock').open('w')
        fcntl.flock(self.lock, fcntl.LOCK_EX)
        key = target / 'cluster.key'
        if not key.exists():
            key.write_text(secrets.token_hex(32))

    async def start_process(self, host, zone, *, control, bootstrap=True):
        """Start one process."""
        document = boot_document(
            host,
            zone,
            self.folder,
            control=control,
            bootstrap=bootstrap,
            seeds=self.control_hosts,
            scheduling=self.scheduling,
        )
        script = 'platform/control.py' if control else self.entry_script
        await self.start_with(host, document, script)

    async def start_with(self, host, document, script):
        """Start a program with a settings file."""
        path = self.folder / f'{host}.json'
        path.write_text(json.dumps(document))
        log = (self.folder / f'{host}.log').open('ab')
        self.processes[host] = await asyncio.create_subprocess_exec(
            sys.executable,
            script,
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
        for entry in self.entry_zones:
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
        await ask(next(iter(self.entry_zones)), '/resumed/x')
        engines = [
            server.instance
            for name, server in self.servers.items()
            if name.startswith('north-llm')
        ]
        return any(
            all(engine in ' '.join(line['among']) for engine in engines)
            for line in self.logged(self.control_hosts[0], 'picking:place')
        )

    async def control(self, method, path, document=None, host=None):
        """Make a call to a control process."""
        try:
            return await call(
                host or self.control_hosts[0],
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
            self.control_hosts[place % len(self.control_hosts)],
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

    def leader(self):
        """Return the address of the control process that leads."""
        lines = [
            line
            for host in self.control_hosts
            for line in self.logged(host, 'consensus:leader')
            if line['leader']
        ]
        newest = max(lines, key=lambda line: (line['term'], line['timestamp']))
        return newest['leader'].replace('-', '.')

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
