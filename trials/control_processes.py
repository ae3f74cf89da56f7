"""Three control replicas as processes, for tests that kill and freeze them."""

import asyncio
import hashlib
import json
import os
import shutil
import signal
import subprocess  # the tests start the product's programs
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, closing
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from result import Ok

from godwitshunt.configuration.http_calls import HttpCall
from godwitshunt.configuration.operator_client import call_any
from godwitshunt.settings import Address
from standins.ports import free_address as on_host

TOKEN = 'token'
KEY = b'cluster-key'
REGIONS = ('zagreb', 'split', 'rijeka')
STEP_S = 0.05
PATIENCE_S = 30
ENTRY_PLACE = 9


def free_address() -> Address:
    """Return a loopback address that nothing listens on.

    Each test process has a host of its own: on 127.0.0.1 an outgoing
    connection of any other process may take a free port before its listener
    does, or while a replica restarts.
    """
    process = os.getpid()
    host = f'127.{64 + process % 128}.{process // 128 % 256}.1'
    return on_host(host)


def manifest(number: int, cost: float = 0, **changes) -> dict[str, Any]:
    """Return a manifest; another cost gives other contents."""
    return {
        'number': number,
        'deployment': 'statika',
        'regions': [{'name': region} for region in REGIONS],
        'services': [{'name': 'chat', 'kind': 'model'}],
        'classes': [{'name': 'urgent'}],
        'objective': {'cost': cost},
        **changes,
    }


def start_program(name: str, settings: Path) -> subprocess.Popen:
    """Start one of the product's programs."""
    module = f'godwitshunt.programs.{name}'
    return subprocess.Popen([sys.executable, '-m', module, str(settings)])


@asynccontextmanager
async def started_control(folder: Path) -> AsyncIterator['ControlProcesses']:
    """Yield three replicas that form a cluster, and end them."""
    processes = ControlProcesses(folder)
    processes.prepare()
    with closing(processes):
        processes.start(0, 1, 2)
        await processes.ready(0, 1, 2)
        status, made = await processes.until('POST', '/v1/init')
        assert (status, len(made['voters'])) == (200, 3)
        yield processes


@dataclass
class ControlProcesses:
    """The processes, and calls to them as an operator makes them."""

    folder: Path
    http: list[Address] = field(default_factory=list)
    peer: list[Address] = field(default_factory=list)
    running: dict[int, subprocess.Popen] = field(default_factory=dict)

    def prepare(self) -> None:
        """Write keys and settings."""
        for _ in REGIONS:
            self.http.append(free_address())
            self.peer.append(free_address())
        (self.folder / 'key').write_bytes(KEY)
        (self.folder / 'token').write_text(TOKEN)
        for place, region in enumerate(REGIONS):
            settings = {
                **self.node_settings(f'c{place}', region),
                'http': self.http[place].model_dump(),
                'peer': self.peer[place].model_dump(),
                'data_folder': str(self.data(place)),
                'operator_token_sha256': hashlib.sha256(
                    TOKEN.encode(),
                ).hexdigest(),
                'election_timeout_s': 0.5,
                'heartbeat_s': 0.1,
            }
            self.settings(place).write_text(json.dumps(settings))

    def node_settings(self, name: str, region: str) -> dict[str, Any]:
        """Return settings that entry and control processes have."""
        return {
            'name': name,
            'region': region,
            'failure_domain': f'{region}-a',
            'control': [address.model_dump() for address in self.peer],
            'cluster_key_file': str(self.folder / 'key'),
            'log': {'path': str(self.folder / f'{name}.log')},
        }

    def start_entry(self, region: str) -> subprocess.Popen:
        """Start an entry process; it ends with the others."""
        settings = {
            **self.node_settings('e1', region),
            'http': free_address().model_dump(),
            'peer': free_address().model_dump(),
        }
        path = self.folder / 'e1.json'
        path.write_text(json.dumps(settings))
        process = start_program('entry', path)
        self.running[ENTRY_PLACE] = process
        return process

    def settings(self, place: int) -> Path:
        """Return the path of a replica's settings."""
        return self.folder / f'c{place}.json'

    def data(self, place: int) -> Path:
        """Return a replica's data folder."""
        return self.folder / f'd{place}'

    def start(self, *places: int) -> None:
        """Start replicas."""
        for place in places:
            settings = self.settings(place)
            self.running[place] = start_program('control', settings)

    def kill(self, place: int) -> None:
        """End a replica without warning."""
        process = self.running.pop(place)
        process.kill()
        process.wait()

    def lose_disk(self, place: int) -> None:
        """Delete a replica's data folder."""
        shutil.rmtree(self.data(place))

    def stop(self, place: int) -> int:
        """End a replica by SIGTERM; return its exit code."""
        process = self.running.pop(place)
        process.terminate()
        return process.wait(PATIENCE_S)

    def signal(self, place: int, number: signal.Signals) -> None:
        """Freeze or wake a replica."""
        self.running[place].send_signal(number)

    def close(self) -> None:
        """End all replicas."""
        for process in self.running.values():
            process.kill()
            process.wait()

    async def call(
        self,
        method: str,
        path: str,
        document: object = None,
        at: int | None = None,
    ) -> tuple[int, dict[str, Any]]:
        """Make an operator's call; 0 where no replica could act."""
        body = b'' if document is None else json.dumps(document).encode()
        addresses = self.http if at is None else [self.http[at]]
        call = HttpCall(method, path, body, timeout_s=8)
        reply = await call_any(tuple(addresses), call, TOKEN)
        if isinstance(reply, Ok):
            return reply.ok_value.status, reply.ok_value.document
        return 0, {}

    async def apply(
        self,
        number: int,
        cost: float = 0,
        at: int | None = None,
    ) -> tuple[int, dict[str, Any]]:
        """Send a manifest until some replica acts on it."""
        return await self.until(
            'POST', '/v1/manifest', manifest(number, cost), at
        )

    async def until(
        self,
        method: str,
        path: str,
        document: object = None,
        at: int | None = None,
    ) -> tuple[int, dict[str, Any]]:
        """Repeat a call until some replica acts on it."""
        for _ in range(int(PATIENCE_S / STEP_S)):
            status, answer = await self.call(method, path, document, at)
            if status not in {0, 504}:
                return status, answer
            await asyncio.sleep(STEP_S)
        raise AssertionError(f'nobody acts on {path}')

    async def ready(self, *places: int) -> None:
        """Wait until replicas answer."""
        for place in places:
            await self.until('GET', '/healthz', at=place)

    async def leader(self, *, but: int | None = None) -> int:
        """Wait for a leader, other than a named one; return its place."""
        others = [place for place in self.running if place != but]
        for attempt in range(int(PATIENCE_S / STEP_S)):
            place = others[attempt % len(others)]
            status, answer = await self.call('GET', '/v1/status', at=place)
            if status == 200 and answer['leader'] != f'c{but}':
                return int(answer['leader'].removeprefix('c'))
            await asyncio.sleep(STEP_S)
        raise AssertionError('no leader')

    async def logged(self, name: str, text: str) -> None:
        """Wait until a process's log holds a text."""
        path = self.folder / f'{name}.log'
        for _ in range(int(PATIENCE_S / STEP_S)):
            if path.exists() and text in path.read_text():
                return
            await asyncio.sleep(STEP_S)
        raise AssertionError(f'{text} is not in {path}')
