"""A soak of the platform's programs: seeded faults while callers ask.

Real processes on this machine are killed, paused, stopped and started again,
in series that overlap, while configurations change, entry VMs lose their links
to servers, engines fall over when they reject requests, and requests with one
bad part of a prompt crash those that run them. What callers and
servers see is held against the promises; the seed repeats the choice of faults
and their times, not the machine's timing.
"""

import asyncio
import json
import secrets
import shutil
import signal
import sys
import tempfile
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import defopt

from tests.brittle_server import BrittleServer
from tests.crashing_parts import is_bad_prompt, new_bad_part, render_prompt
from tests.partition_world import Cut, PartitionWorld
from tests.platform_client import Answer, KeptConnection, ask, call
from tests.platform_documents import CONTROL as CONTROL_PORT
from tests.platform_documents import NETWORK, configuration
from tests.platform_world import until

PATHS = ('/safe/x', '/unsafe/x', '/once/x', '/resumed/x', '/south/x')
# Those that show that a deployment serves.
CHECKED_PATHS = ('/safe/x', '/south/x', '/resumed/x')
ONCE = ('/unsafe', '/once')
STREAMS = ('/once', '/resumed')
# These say that a request did not run and never will.
REFUSALS = frozenset((408, 421, 429, 503))
STREAM = b''.join(b'id: %d\ndata: x%d\n\n' % (one, one) for one in range(1, 9))
BODY = b'hello'
CALLERS = 6
PAUSE_S = 0.05
READ_PERIOD_S = 0.3
# A process may use the grace time of the platform to end.
GRACE_S = 8.0
RECOVERY_S = 20.0
# Requests at once of which brittle engines reject some.
BURST = 60
BRITTLE = 'brittle engines'
BAD_REQUESTS = 6
BAD_PERIOD_S = 0.3
# Long enough for crashed engines to come back, and to crash again.
LAST_BAD_REQUESTS = 14
LAST_BAD_PERIOD_S = 0.5
CRASHES_AFTER_S = 0.05
# The platform lets so many requests with a bad part reach servers once all VMs
# in touch know of its crashes.
BAD_ALLOWED = 3
CONTACT_S = 5.0
# Share of the cuts that concern one server only.
ONE_SERVER_SHARE = 0.3


@dataclass
class SoakServer(BrittleServer):
    """A brittle server that crashes under a bad part of a prompt as well.

    Parameters
    ----------
    bad_arrived : int
        Requests with a bad part that reached it.
    """

    bad_arrived: int = 0

    async def answer(self, reader, writer, head, fields, body):
        """Answer a request; crash under a bad part."""
        is_mine = fields.get('expect-instance') == self.instance
        if not (is_mine and is_bad_prompt(fields.get('prefix-hash', ''))):
            await super().answer(reader, writer, head, fields, body)
            return
        self.bad_arrived += 1
        self.ran.append(fields['attempt-id'])
        started = self.instance
        await asyncio.sleep(CRASHES_AFTER_S)
        if self.instance == started:
            self.fall()


@dataclass(frozen=True)
class Seen:
    """One request as its caller saw it."""

    path: str
    attempt: str
    answer: Answer


@dataclass
class Findings:
    """What was checked, and what broke a promise."""

    checks: Counter = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)

    def check(self, promise: str, holds: bool, detail: object) -> None:
        """Count one check; keep what broke."""
        self.checks[promise] += 1
        if not holds:
            self.broken.append(f'{promise}: {detail}')


@dataclass
class Soak:
    """One run of one seed."""

    world: PartitionWorld
    random: Random
    findings: Findings = field(default_factory=Findings)
    seen: list[Seen] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    acknowledged: int = 1
    sent: int = 1
    over: bool = False
    busy: set[str] = field(default_factory=set)
    restarts: Counter = field(default_factory=Counter)
    bad_part: str = field(default_factory=new_bad_part)

    async def run(self, seconds: float) -> None:
        """Let callers ask while faults happen; then check everything."""
        async with asyncio.TaskGroup() as tasks:
            for number in range(CALLERS):
                tasks.create_task(self.be_caller(keeps=bool(number % 2)))
            tasks.create_task(self.read_versions())
            await self.make_faults(seconds)
            self.over = True
        for server in self.world.servers.values():
            server.heal()
        if await self.check_recovery():
            await self.check_bad_part()
        self.check_answers()

    async def check_recovery(self) -> bool:
        """Check that all paths are served again through all entry VMs."""
        is_serving = True
        try:
            await until(self.world.is_serving, RECOVERY_S)
        except TimeoutError:
            is_serving = False
        detail = 'all paths' if is_serving else await find_unserved(self.world)
        self.findings.check('serves again', is_serving, detail)
        return is_serving

    async def be_caller(self, *, keeps: bool) -> None:
        """Ask one request after the other.

        Parameters
        ----------
        keeps : bool
            Whether to use connections for as long as they are open.
        """
        entries = tuple(self.world.entry_zones)
        kept = {entry: KeptConnection(entry) for entry in entries}
        while not self.over:
            entry = self.random.choice(entries)
            await self.ask_once(entry, kept[entry] if keeps else None)
            await asyncio.sleep(PAUSE_S)
        for connection in kept.values():
            connection.close()

    async def ask_once(self, entry: str, kept: KeptConnection | None) -> None:
        """Ask one request; keep what came of it."""
        path = self.random.choice(PATHS)
        attempt = secrets.token_hex(8)
        answer = Answer(0, {}, b'', complete=False)
        with suppress(OSError, TimeoutError, ValueError):
            if kept is None:
                _, answer = await ask(entry, path, attempt=attempt, body=BODY)
            else:
                answer = await kept.ask(path, attempt, BODY)
        self.seen.append(Seen(path, attempt, answer))

    async def read_versions(self) -> None:
        """Read the configuration; it must never be an older one."""
        while not self.over:
            host = self.random.choice(self.world.control_hosts)
            least = self.acknowledged
            answer = await self.control('GET', host)
            if answer.status == 200:
                version = json.loads(answer.body)['version']
                told = f'{version} from {host} after {least}'
                self.findings.check('never older', version >= least, told)
            await asyncio.sleep(READ_PERIOD_S)

    async def control(
        self,
        method: str,
        host: str,
        document: dict | None = None,
    ) -> Answer:
        """Call a control process; status 0 where nothing comes."""
        try:
            return await call(
                host,
                CONTROL_PORT,
                method,
                '/-/config',
                document,
            )
        except (OSError, TimeoutError):
            return Answer(0, {}, b'', complete=False)

    async def make_faults(self, seconds: float) -> None:
        """Begin a fault each moment; they overlap."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        kinds = (
            self.kill,
            self.pause,
            self.stop,
            self.change,
            self.change,
            self.cut,
            self.cut,
            self.be_brittle,
            self.send_bad,
        )
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < end_s:
                fault = self.random.choice(kinds)
                tasks.create_task(fault())
                await asyncio.sleep(self.random.uniform(0.3, 1.0))

    def pick(self) -> str | None:
        """Take a process that no other fault has; one of control at most."""
        hosts = [*self.world.entry_zones, *self.world.control_hosts]
        host = self.random.choice(hosts)
        others = self.busy.intersection(self.world.control_hosts)
        is_control = host in self.world.control_hosts
        if host in self.busy or (is_control and others):
            return None
        self.busy.add(host)
        return host

    async def kill(self) -> None:
        """Kill a process and start it again."""
        host = self.pick()
        if host is not None:
            self.faults.append(f'kill {host}')
            self.world.processes[host].send_signal(signal.SIGKILL)
            await self.start_again(host)

    async def pause(self) -> None:
        """Let a process stand still for a while."""
        host = self.pick()
        if host is None:
            return
        self.faults.append(f'pause {host}')
        process = self.world.processes[host]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        process.send_signal(signal.SIGCONT)
        self.busy.discard(host)

    async def stop(self) -> None:
        """Tell a process to end, and start it again."""
        host = self.pick()
        if host is None:
            return
        self.faults.append(f'stop {host}')
        process = self.world.processes[host]
        began = self.has_begun(host)
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                code = await process.wait()
        except TimeoutError:
            code = None
            process.send_signal(signal.SIGKILL)
        # One that is told while it still loads its code ends by the signal
        # itself; it has taken nothing by then.
        clean = code == 0 or (code == -signal.SIGTERM and not began)
        self.findings.check('ends when told', clean, f'{host}: {code}')
        await self.start_again(host)

    def has_begun(self, host: str) -> bool:
        """Tell whether a process's newest start is in its log."""
        is_control = host in self.world.control_hosts
        role = 'control' if is_control else 'ingress'
        lines = self.world.logged(host, f'{role}:started')
        return len(lines) > self.restarts[host]

    async def start_again(self, host: str) -> None:
        """Start a process that ended."""
        await self.world.processes[host].wait()
        self.restarts[host] += self.has_begun(host)
        await self.world.start_process(
            host,
            self.world.entry_zones.get(host, 'zone-a'),
            control=host in self.world.control_hosts,
            bootstrap=False,
        )
        await asyncio.sleep(self.random.uniform(0.5, 2.0))
        self.busy.discard(host)

    async def cut(self) -> None:
        """Let entry VMs lose their links to all servers, or to one."""
        hosts = self.random.sample(
            list(self.world.entry_zones), self.random.choice((1, 1, 2, 3))
        )
        kind = self.random.choice(list(Cut))
        servers = list(self.world.servers.values())
        if self.random.random() < ONE_SERVER_SHARE:
            servers = [self.random.choice(servers)]
        self.faults.append(f'{kind.value} cut of {hosts}')
        for server in servers:
            server.cut(hosts, kind)
        await asyncio.sleep(self.random.uniform(0.3, 3.0))
        for server in servers:
            server.heal(hosts)

    async def be_brittle(self) -> None:
        """Let engines fall over when they reject requests, and load them.

        One at a time: the end of one would make the engines of another fall
        over without saying so in their answers.
        """
        if BRITTLE in self.busy:
            return
        self.busy.add(BRITTLE)
        engines = [
            server
            for server in self.world.servers.values()
            if server.service == 'llm'
        ]
        self.faults.append(BRITTLE)
        for engine in engines:
            engine.state_brittle()
        await asyncio.sleep(0.5)
        for engine in engines:
            engine.is_strict = True
        entries = tuple(self.world.entry_zones)
        async with asyncio.TaskGroup() as tasks:
            for _ in range(BURST):
                entry = self.random.choice(entries)
                tasks.create_task(self.ask_once(entry, None))
                await asyncio.sleep(1 / BURST)
        for engine in engines:
            engine.is_strict = False
            engine.stated = ''
        self.busy.discard(BRITTLE)

    async def send_bad(
        self, count: int = BAD_REQUESTS, period_s: float = BAD_PERIOD_S
    ) -> None:
        """Send requests with a bad part, each with a body of its own."""
        self.faults.append('requests with a bad part')
        async with asyncio.TaskGroup() as tasks:
            for _ in range(count):
                tasks.create_task(self.ask_bad())
                await asyncio.sleep(period_s)

    async def ask_bad(self) -> None:
        """Send one request with a bad part."""
        entry = self.random.choice(list(self.world.entry_zones))
        prompt = render_prompt('a1', self.bad_part, secrets.token_hex(4))
        with suppress(OSError, TimeoutError, ValueError):
            await ask(
                entry,
                f'{self.random.choice(STREAMS)}/x',
                body=secrets.token_bytes(8),
                prefix_hash=prompt,
            )

    async def check_bad_part(self) -> None:
        """Check that the bad part is kept back once no fault is left."""
        await self.send_bad()
        await asyncio.sleep(CONTACT_S)
        await self.check_recovery()
        before = self.count_bad()
        await self.send_bad(LAST_BAD_REQUESTS, LAST_BAD_PERIOD_S)
        arrived = self.count_bad() - before
        held = arrived <= BAD_ALLOWED
        self.findings.check('bad part kept back', held, arrived)

    def count_bad(self) -> int:
        """Return how many requests with the bad part reached servers."""
        return sum(one.bad_arrived for one in self.world.servers.values())

    async def change(self) -> None:
        """Send a newer configuration to one control process."""
        self.sent += 1
        version = self.sent
        self.faults.append(f'configuration {version}')
        host = self.random.choice(self.world.control_hosts)
        answer = await self.control('PUT', host, configuration(version))
        if answer.status == 200:
            self.acknowledged = max(self.acknowledged, version)

    def check_answers(self) -> None:
        """Hold every answer against what the servers ran."""
        runs = Counter(
            attempt
            for server in self.world.servers.values()
            for attempt in server.ran
        )
        for one in self.seen:
            self.check_answer(one, runs[one.attempt])

    def check_answer(self, one: Seen, runs: int) -> None:
        """Hold one answer against how often its request ran."""
        answer = one.answer
        is_stream = one.path.startswith(STREAMS)
        if answer.status == 200 and answer.complete:
            right = answer.body == expected(one.path)
            own = answer.fields.get('attempt-id') == one.attempt
            signed = 'server-seal' in answer.fields
            self.findings.check('whole and own', right and own and signed, one)
        elif answer.status == 200 and is_stream:
            in_order = STREAM.startswith(answer.body)
            self.findings.check('events in order', in_order, one)
        if one.path.startswith(ONCE):
            self.findings.check('at most once', runs <= 1, one)
            if answer.status in REFUSALS:
                self.findings.check('not run is true', not runs, one)


async def find_unserved(world: PartitionWorld) -> list[str]:
    """Return how entry VMs answer the paths that are not served."""
    unserved = []
    for entry in world.entry_zones:
        for path in CHECKED_PATHS:
            answer = Answer(0, {}, b'no answer', complete=False)
            with suppress(OSError, TimeoutError):
                _, answer = await ask(entry, path)
            if answer.status != 200:
                wait = answer.fields.get('retry-after')
                unserved.append(
                    f'{entry} {path}: {answer.status}, '
                    f'retry-after {wait}, {answer.body.decode()}'
                )
    return unserved


def expected(path: str) -> bytes:
    """Return the whole body that a path is answered with."""
    return STREAM if path.startswith(STREAMS) else BODY


async def soak(
    seed: int, seconds: float, folder: Path, kept: Path | None = None
) -> Soak:
    """Run one seed on a deployment of its own.

    Parameters
    ----------
    folder : Path
        For the deployment's settings and logs.
    kept : Path or None
        Where these are copied to if the run fails.
    """
    world = PartitionWorld(folder, NETWORK)
    world.server_type = SoakServer
    run = Soak(world, Random(seed))
    has_failed = True
    try:
        await world.start()
        await run.run(seconds)
        has_failed = bool(run.findings.broken)
        return run
    finally:
        await world.close()
        if has_failed and kept is not None:
            shutil.copytree(folder, kept, dirs_exist_ok=True)


def main(
    *,
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 20.0,
    logs: Path | None = None,
) -> None:
    """Run seeds one after the other, and print what they found.

    Exit code 1 where a promise was broken.

    :param seed: the first seed.
    :param seeds: how many.
    :param seconds: how long faults are made in each.
    :param logs: where the logs of seeds that break a promise are kept.
    """
    broken = 0
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as folder:
            kept = None if logs is None else logs / str(number)
            run = asyncio.run(soak(number, seconds, Path(folder), kept))
        broken += len(run.findings.broken)
        served = sum(one.answer.status == 200 for one in run.seen)
        print(
            f'seed {number}: {len(run.faults)} faults, '
            f'{served} of {len(run.seen)} served, '
            f'{dict(run.findings.checks)}, broken {run.findings.broken}',
        )
    sys.exit(int(broken > 0))


if __name__ == '__main__':
    defopt.run(main)
