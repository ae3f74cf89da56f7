"""Processor time of an entry VM's process on loopback, idle and under load.

``python -m benchmarks.entry_cost --help`` tells the options. Real processes,
sockets and processor time: three control VMs, two entry VMs, and stand-in
upstreams. Only the first entry VM is measured and asked. Events of a stream
are 6 ms apart, or as far as the variable ``GODWITSHUNT_EVENT_GAP_S`` states.
"""

import asyncio
import itertools
import json
import os
import re
import signal
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from pstats import Stats
from types import MappingProxyType

import defopt

from tests.platform_client import FRONT, HOST, read_answer
from tests.platform_documents import CONTROL_HOSTS, NETWORK, READY
from tests.platform_server import SEAL, Server, chunk, whole
from tests.platform_world import ENTRY_ZONES, NORTH, World

IDLE, CALM, HEAVY = 'idle', 'calm', 'heavy'
RATES = MappingProxyType({IDLE: 0.0, CALM: 10.0, HEAVY: 60.0})
ENGINES = 20
PLAIN = 6
EVENTS = 8
EVENT_GAP_VARIABLE = 'GODWITSHUNT_EVENT_GAP_S'
EVENT_GAP_S = float(os.environ.get(EVENT_GAP_VARIABLE, '0.006'))
CALL_WORK_S = 0.0225
# Of ten requests eight are short streams, as in the large deployments.
PATHS = ('/once/x',) * 8 + ('/unsafe/x', '/safe/x')
BODY = b'x' * 1500
# An idle link is closed after some seconds; before, a VM is not idle.
SETTLE_S = 6.0
RAMP_S = 2.0
NANOSECONDS = 1e9
OK = 200
ENTRY_SCRIPT = 'platform/entry.py'
PROFILED_SCRIPT = 'benchmarks/profiled_entry.py'
# Methods of the interpreter that are one system call each.
SYSTEM_CALL = re.compile(
    "<(?:method|built-in method) '?(?:[a-z_]+[.])*"
    "(send|recv|poll|register|modify|unregister|connect|setsockopt|accept)'?"
    r"(?: of '(?:_socket|select)[.][a-z]+' objects)?>$",
)
PROFILE_VARIABLE = 'GODWITSHUNT_PROFILE'


class PacedServer(Server):
    """A server that takes as long as a real one does."""

    async def answer(self, reader, writer, head, fields, body):
        """Answer a stream event by event, and a call after its work."""
        path = head.split(b' ', 2)[1].decode()
        echo = f'attempt-id: {fields["attempt-id"]}\r\n'
        if path.startswith('/once'):
            await self.stream(writer, fields, echo, '')
            return
        await asyncio.sleep(CALL_WORK_S)
        writer.write(whole(f'{echo}{SEAL}\r\n', b'done'))

    async def stream(self, writer, fields, echo, name):
        """Send events one by one."""
        answer = (
            'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            f'{echo}{SEAL}\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        writer.write(answer.encode())
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_GAP_S)
            writer.write(chunk(b'id: %d\ndata: x%d\n\n' % (number, number)))
        writer.write(b'0\r\n\r\n')


@dataclass
class CostWorld(World):
    """A world with as many upstreams as a region, and measured processes."""

    server_type: type[Server] = PacedServer
    profile: Path | None = None

    async def start_process(self, host, zone, *, control, bootstrap=True):
        """Start one process; the measured one profiled where asked."""
        is_profiled = self.profile is not None and host == NORTH
        self.entry_script = PROFILED_SCRIPT if is_profiled else ENTRY_SCRIPT
        await super().start_process(
            host, zone, control=control, bootstrap=bootstrap
        )

    async def add_servers(self) -> None:
        """Start the upstreams of the north."""
        kinds = (
            *itertools.repeat('llm', ENGINES - 2),
            *itertools.repeat('app', PLAIN - 1),
        )
        for number, service in enumerate(kinds, start=110):
            server = PacedServer(f'{NETWORK}.{number}', service, 'zone-a')
            await server.start()
            self.servers[f'more-{number}'] = server

    @property
    def pid(self) -> int:
        """Process that is measured."""
        return self.processes[NORTH].pid


@dataclass(frozen=True)
class Usage:
    """What a process has used so far."""

    seconds: float
    wake_ups: int
    connects: int

    @classmethod
    async def read(cls, pid: int) -> 'Usage':
        """Read the processor time and wake-ups of all threads."""
        seconds, wake_ups = read_threads(pid)
        return cls(seconds, wake_ups, await read_connects())


def read_threads(pid: int) -> tuple[float, int]:
    """Return the processor time and wake-ups of a process's threads."""
    seconds, wake_ups = 0.0, 0
    for thread in Path(f'/proc/{pid}/task').iterdir():
        spent = (thread / 'schedstat').read_text().split()[0]
        seconds += int(spent) / NANOSECONDS
        for line in (thread / 'status').read_text().splitlines():
            if line.startswith('voluntary_ctxt_switches'):
                wake_ups += int(line.split()[1])
    return seconds, wake_ups


async def read_connects() -> int:
    """Return how many connections to upstreams the process has opened."""
    reader, writer = await asyncio.open_connection(NORTH, READY)
    writer.write(b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n')
    answer = await read_answer(reader)
    writer.close()
    for line in answer.body.decode().splitlines():
        if line.startswith('upstream_connects_total'):
            return int(float(line.split()[1]))
    return 0


@dataclass
class Callers:
    """Sends requests at a steady rate over kept connections."""

    rate_per_s: float
    idle: list[tuple] = field(default_factory=list)
    tasks: set[asyncio.Task] = field(default_factory=set)
    numbers: Iterator[int] = field(default_factory=itertools.count)
    served: int = 0
    failed: int = 0

    async def run(self, duration_s: float) -> None:
        """Send for some seconds; wait for the answers."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        count = int(self.rate_per_s * duration_s)
        for number in range(count):
            due_s = start_s + number / self.rate_per_s
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            task = asyncio.create_task(self.ask())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.sleep(max(0.0, start_s + duration_s - loop.time()))
        if self.tasks:
            await asyncio.wait(tuple(self.tasks))

    async def ask(self) -> None:
        """Send one request."""
        number = next(self.numbers)
        path = PATHS[number % len(PATHS)]
        request = (
            f'POST {path} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Attempt-Id: {os.getpid()}-{number}\r\nDeadline-Ms: 3000\r\n'
            'Prefix-Hash: 5c1e:92,91bd:291\r\nToken-Count: 383,8\r\n'
            'User-Agent: benchmark\r\nAccept: */*\r\n'
            f'Content-Type: text/plain\r\nContent-Length: {len(BODY)}\r\n\r\n'
        )
        try:
            pair = self.idle.pop() if self.idle else await connect()
            pair[1].write(request.encode() + BODY)
            answer = await read_answer(pair[0])
        except (OSError, EOFError):
            self.failed += 1
            return
        if answer.status == OK and answer.complete:
            self.served += 1
        else:
            self.failed += 1
        self.idle.append(pair)

    def close(self) -> None:
        """Close the kept connections."""
        for _, writer in self.idle:
            writer.close()


async def connect() -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a caller's connection."""
    return await asyncio.open_connection(NORTH, FRONT)


async def measure_state(
    world: CostWorld,
    state: str,
    duration_s: float,
) -> dict:
    """Measure one state for some seconds."""
    callers = Callers(RATES[state])
    await callers.run(SETTLE_S if state == IDLE else RAMP_S)
    before = await Usage.read(world.pid)
    served, failed = callers.served, callers.failed
    if world.profile is not None:
        world.processes[NORTH].send_signal(signal.SIGUSR1)
    start_s = time.monotonic()
    await callers.run(duration_s)
    took_s = time.monotonic() - start_s
    if world.profile is not None:
        world.processes[NORTH].send_signal(signal.SIGUSR2)
        await asyncio.sleep(1.0)
    after = await Usage.read(world.pid)
    callers.close()
    served = callers.served - served
    return {
        'state': state,
        'cores': round((after.seconds - before.seconds) / took_s, 5),
        'wake_ups_per_s': round((after.wake_ups - before.wake_ups) / took_s, 1),
        'served': served,
        'failed': callers.failed - failed,
        'connects': after.connects - before.connects,
        'ms_per_request': served
        and round(1000 * (after.seconds - before.seconds) / served, 3),
    }


def read_profile(path: Path, served: int, duration_s: float) -> dict:
    """Return how often the profiled process called, and what it called.

    These counts hardly depend on what else the machine does.
    """
    profile = Stats(str(path))
    per_s = {'calls': profile.total_calls}
    for function, spent in profile.stats.items():
        found = SYSTEM_CALL.match(function[2])
        if found is not None:
            name = found.group(1)
            per_s[name] = per_s.get(name, 0) + spent[0]
    counted = served or duration_s
    return {
        'counts_for_each': 'request' if served else 'second',
        **{name: round(each / counted, 2) for name, each in per_s.items()},
    }


async def measure_start(world: CostWorld) -> dict:
    """Measure the start of one more entry process, with its control VMs."""
    host = f'{NETWORK}.12'
    start_s = time.monotonic()
    await world.start_process(host, 'zone-a', control=False)
    process = world.processes[host]
    while True:
        with suppress(OSError):
            _, writer = await asyncio.open_connection(host, FRONT)
            writer.close()
            break
        await asyncio.sleep(0.005)
    took_s = time.monotonic() - start_s
    spent, _ = read_threads(process.pid)
    process.kill()
    await process.wait()
    return {
        'state': 'start',
        'seconds': round(took_s, 3),
        'processor_s': round(spent, 3),
    }


async def run(
    states: list[str],
    duration_s: float,
    profile: Path | None,
    folder: Path,
) -> None:
    """Run a world and measure its states one after another."""
    if profile is not None:
        os.environ[PROFILE_VARIABLE] = str(profile)
    world = CostWorld(
        folder,
        control_hosts=CONTROL_HOSTS,
        entry_zones=dict(ENTRY_ZONES),
        profile=profile,
    )
    try:
        await world.start()
        await world.add_servers()
        if profile is None:
            for _ in range(3):
                report(await measure_start(world))
        for state in states:
            line = await measure_state(world, state, duration_s)
            report(line)
            if profile is not None:
                report(read_profile(profile, line['served'], duration_s))
    finally:
        await world.close()


def report(line: dict) -> None:
    """Print one line."""
    sys.stdout.write(f'{json.dumps(line)}\n')
    sys.stdout.flush()


def measure(
    *,
    states: str = 'idle,calm,heavy',
    duration_s: float = 10.0,
    profile: Path | None = None,
) -> None:
    """Print the cost of an entry process in each state, one line each.

    Parameters
    ----------
    states : str
        States by commas: idle, calm (10 requests a second), heavy (60).
    duration_s : float
        Seconds of each measurement.
    profile : Path or None
        Where to write a `cProfile` of the last state; its figures then
        contain the profiler's own cost.
    """
    with tempfile.TemporaryDirectory(prefix='godwitshunt-cost-') as folder:
        asyncio.run(run(states.split(','), duration_s, profile, Path(folder)))


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(measure))


if __name__ == '__main__':
    main()
