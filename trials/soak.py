"""A soak of the platform's programs: seeded faults while callers ask.

Real processes on this machine are killed, paused, stopped and started again,
in series that overlap, while configurations change, entry VMs lose their links
to servers, engines fall over when they reject requests, requests with one bad
part of a prompt crash those that run them, and servers answer twice, the second
time late. What callers and servers see is held against the promises, and each
answer against the one that its request must get; the seed repeats the choice of
faults and their times, not the machine's timing.
"""

import asyncio
import json
import secrets
import shutil
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from math import inf
from pathlib import Path
from random import Random

import defopt

from tests.crashing_parts import new_bad_part, render_prompt
from tests.partition_world import Cut, PartitionWorld
from tests.platform_client import Answer, ask, call
from tests.platform_documents import CONTROL as CONTROL_PORT
from tests.platform_documents import NETWORK, configuration
from tests.platform_world import until
from tests.soak_client import WatchedConnection
from tests.soak_server import SoakServer
from tests.stuttering_server import expected_body, runs_of

PATHS = ('/safe/x', '/unsafe/x', '/once/x', '/resumed/x', '/south/x')
# Those that show that a deployment serves.
CHECKED_PATHS = ('/safe/x', '/south/x', '/resumed/x')
ONCE = ('/unsafe', '/once')
STREAMS = ('/once', '/resumed')
# These say that a request did not run and never will.
REFUSALS = frozenset((408, 421, 429, 503))
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
# The platform lets so many requests with a bad part reach servers once all VMs
# in touch know of its crashes.
BAD_ALLOWED = 3
CONTACT_S = 5.0
# Share of the cuts that concern one server only.
ONE_SERVER_SHARE = 0.3
STUTTER_S = (1.0, 4.0)
# Callers without a pause, whose requests follow at once on the connections of
# those that stutter.
STUTTER_CALLERS = 10


@dataclass(frozen=True)
class Seen:
    """One request as its caller saw it.

    Parameters
    ----------
    entry : str
        Address of the entry VM.
    unasked : bytes or None
        What came on the connection since its last answer; None on a new one.
    """

    path: str
    attempt: str
    answer: Answer
    entry: str = ''
    unasked: bytes | None = None


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
                tasks.create_task(
                    self.be_caller(self.new_draw(), keeps=bool(number % 2))
                )
            tasks.create_task(self.read_versions(self.new_draw()))
            await self.make_faults(seconds)
            self.over = True
        for server in self.world.servers.values():
            server.heal()
        await self.check_serving('all paths, after the last fault')
        await self.check_bad_part()
        self.check_answers(self.count_runs())

    async def be_caller(
        self,
        draw: Random,
        *,
        keeps: bool,
        pause_s: float = PAUSE_S,
        end_s: float = inf,
    ) -> None:
        """Ask one request after the other.

        Parameters
        ----------
        keeps : bool
            Whether to use connections for as long as they are open.
        pause_s : float
            Seconds between a success and the next request.
        end_s : float
            Time of the event loop at which to stop, if before the end.
        """
        loop = asyncio.get_running_loop()
        entries = tuple(self.world.entry_zones)
        kept = {entry: WatchedConnection(entry) for entry in entries}
        while not self.over and loop.time() < end_s:
            entry = draw.choice(entries)
            answer = await self.ask_once(kept[entry], draw.choice(PATHS))
            if not keeps:
                kept[entry].close()
            await asyncio.sleep(pause_s if answer.status == 200 else PAUSE_S)
        for connection in kept.values():
            unasked = await connection.read_unasked()
            if unasked is not None:
                self.findings.check('nothing unasked', not unasked, unasked)
            connection.close()

    async def ask_once(
        self, connection: WatchedConnection, path: str
    ) -> Answer:
        """Ask one request; keep and return what came of it."""
        attempt = secrets.token_hex(8)
        unasked = await connection.read_unasked()
        answer = Answer(0, {}, b'', complete=False)
        try:
            answer = await connection.ask(path, attempt, BODY)
        except ValueError as wrong:
            connection.close()
            self.findings.check('readable', False, f'{path} {attempt}: {wrong}')
        except OSError:
            connection.close()
        self.seen.append(Seen(path, attempt, answer, connection.entry, unasked))
        return answer

    async def ask_apart(self, entry: str, path: str) -> None:
        """Ask one request on a connection of its own."""
        connection = WatchedConnection(entry)
        await self.ask_once(connection, path)
        connection.close()

    async def read_versions(self, draw: Random) -> None:
        """Read the configuration; it must never be an older one."""
        while not self.over:
            host = draw.choice(self.world.control_hosts)
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
            self.stutter,
            self.stutter,
        )
        async with asyncio.TaskGroup() as tasks:
            # Every run has stuttering servers.
            tasks.create_task(self.stutter(self.new_draw()))
            while loop.time() < end_s:
                fault = self.random.choice(kinds)
                tasks.create_task(fault(self.new_draw()))
                await asyncio.sleep(self.random.uniform(0.3, 1.0))

    def new_draw(self) -> Random:
        """Return a generator whose use doesn't depend on other tasks."""
        return Random(self.random.getrandbits(64))

    def pick(self, draw: Random) -> str | None:
        """Take a process that no other fault has; one of control at most."""
        hosts = [*self.world.entry_zones, *self.world.control_hosts]
        host = draw.choice(hosts)
        others = self.busy.intersection(self.world.control_hosts)
        is_control = host in self.world.control_hosts
        if host in self.busy or (is_control and others):
            return None
        self.busy.add(host)
        return host

    async def kill(self, draw: Random) -> None:
        """Kill a process and start it again."""
        host = self.pick(draw)
        if host is not None:
            self.faults.append(f'kill {host}')
            self.world.processes[host].send_signal(signal.SIGKILL)
            await self.start_again(host, draw)

    async def pause(self, draw: Random) -> None:
        """Let a process stand still for a while."""
        host = self.pick(draw)
        if host is None:
            return
        self.faults.append(f'pause {host}')
        process = self.world.processes[host]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(draw.uniform(0.2, 2.0))
        process.send_signal(signal.SIGCONT)
        self.busy.discard(host)

    async def stop(self, draw: Random) -> None:
        """Tell a process to end, and start it again."""
        host = self.pick(draw)
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
        await self.start_again(host, draw)

    def has_begun(self, host: str) -> bool:
        """Tell whether a process's newest start is in its log."""
        is_control = host in self.world.control_hosts
        role = 'control' if is_control else 'ingress'
        lines = self.world.logged(host, f'{role}:started')
        return len(lines) > self.restarts[host]

    async def start_again(self, host: str, draw: Random) -> None:
        """Start a process that ended."""
        await self.world.processes[host].wait()
        self.restarts[host] += self.has_begun(host)
        await self.world.start_process(
            host,
            self.world.entry_zones.get(host, 'zone-a'),
            control=host in self.world.control_hosts,
            bootstrap=False,
        )
        await asyncio.sleep(draw.uniform(0.5, 2.0))
        self.busy.discard(host)

    async def cut(self, draw: Random) -> None:
        """Let entry VMs lose their links to all servers, or to one."""
        hosts = draw.sample(
            list(self.world.entry_zones), draw.choice((1, 1, 2, 3))
        )
        kind = draw.choice(list(Cut))
        servers = list(self.world.servers.values())
        if draw.random() < ONE_SERVER_SHARE:
            servers = [draw.choice(servers)]
        self.faults.append(f'{kind.value} cut of {hosts}')
        for server in servers:
            server.cut(hosts, kind)
        await asyncio.sleep(draw.uniform(0.3, 3.0))
        for server in servers:
            server.heal(hosts)

    async def stutter(self, draw: Random) -> None:
        """Let some servers answer twice, and ask without a pause."""
        free = [
            server
            for server in self.world.servers.values()
            if server.host not in self.busy
        ]
        count = draw.randint(1, len(self.world.servers))
        servers = draw.sample(free, min(count, len(free)))
        names = [server.host for server in servers]
        self.faults.append(f'stuttering {names}')
        self.busy.update(names)
        for server in servers:
            server.stutter(draw)
        seconds = draw.uniform(*STUTTER_S)
        end_s = asyncio.get_running_loop().time() + seconds
        async with asyncio.TaskGroup() as tasks:
            for _ in range(STUTTER_CALLERS):
                tasks.create_task(
                    self.be_caller(
                        Random(draw.getrandbits(64)),
                        keeps=True,
                        pause_s=0.0,
                        end_s=end_s,
                    )
                )
        for server in servers:
            server.answer_once()
        self.busy.difference_update(names)

    async def be_brittle(self, draw: Random) -> None:
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
                entry = draw.choice(entries)
                tasks.create_task(self.ask_apart(entry, draw.choice(PATHS)))
                await asyncio.sleep(1 / BURST)
        for engine in engines:
            engine.is_strict = False
            engine.stated = ''
        self.busy.discard(BRITTLE)

    async def send_bad(
        self,
        draw: Random,
        count: int = BAD_REQUESTS,
        period_s: float = BAD_PERIOD_S,
    ) -> None:
        """Send requests with a bad part, each with a body of its own."""
        self.faults.append('requests with a bad part')
        async with asyncio.TaskGroup() as tasks:
            for _ in range(count):
                tasks.create_task(self.ask_bad(draw))
                await asyncio.sleep(period_s)

    async def ask_bad(self, draw: Random) -> None:
        """Send one request with a bad part."""
        entry = draw.choice(list(self.world.entry_zones))
        prompt = render_prompt('a1', self.bad_part, secrets.token_hex(4))
        with suppress(OSError, TimeoutError, ValueError):
            await ask(
                entry,
                f'{draw.choice(STREAMS)}/x',
                body=secrets.token_bytes(8),
                prefix_hash=prompt,
            )

    async def check_serving(self, moment: str) -> None:
        """Check that all entry VMs serve all paths in time."""
        serves = True
        try:
            await until(self.world.is_serving, RECOVERY_S)
        except TimeoutError:
            serves = False
        unserved = () if serves else await find_unserved(self.world)
        self.findings.check('serves again', serves, (moment, *unserved))

    async def check_bad_part(self) -> None:
        """Check that the bad part is kept back once no fault is left."""
        draw = self.new_draw()
        await self.send_bad(draw)
        await asyncio.sleep(CONTACT_S)
        await self.check_serving('all paths, after requests with a bad part')
        before = self.count_bad()
        await self.send_bad(draw, LAST_BAD_REQUESTS, LAST_BAD_PERIOD_S)
        arrived = self.count_bad() - before
        held = arrived <= BAD_ALLOWED
        self.findings.check('bad part kept back', held, arrived)

    def count_bad(self) -> int:
        """Return how many requests with the bad part reached servers."""
        return sum(one.bad_arrived for one in self.world.servers.values())

    def count_repeated(self) -> int:
        """Return how many answers servers gave twice."""
        return sum(one.repeated for one in self.world.servers.values())

    async def change(self, draw: Random) -> None:
        """Send a newer configuration to one control process."""
        self.sent += 1
        version = self.sent
        self.faults.append(f'configuration {version}')
        host = draw.choice(self.world.control_hosts)
        answer = await self.control('PUT', host, configuration(version))
        if answer.status == 200:
            self.acknowledged = max(self.acknowledged, version)

    def count_runs(self) -> Counter:
        """Return how often servers ran each request, by its id."""
        return runs_of(self.world.servers.values())

    def check_answers(self, runs: Mapping[str, int]) -> None:
        """Hold every answer against what the servers ran."""
        for one in self.seen:
            self.check_answer(one, runs.get(one.attempt, 0))

    def check_answer(self, one: Seen, runs: int) -> None:
        """Hold one answer against how often its request ran."""
        answer = one.answer
        if one.unasked is not None:
            self.findings.check('nothing unasked', not one.unasked, one)
        if 200 <= answer.status < 300:
            self.check_content(one)
        if one.path.startswith(ONCE):
            self.findings.check('at most once', runs <= 1, one)
            if answer.status in REFUSALS:
                self.findings.check('not run is true', not runs, one)

    def check_content(self, one: Seen) -> None:
        """Hold the bytes of an answer against those of the own one."""
        answer = one.answer
        own = answer.fields.get('attempt-id') == one.attempt
        self.findings.check('carries its id', own, one)
        whole = expected_body(one.path, one.attempt)
        if answer.complete:
            signed = 'server-seal' in answer.fields
            right = answer.body == whole
            self.findings.check('whole and own', right and own and signed, one)
        else:
            begun = whole.startswith(answer.body)
            self.findings.check('begun and own', begun, one)


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


async def soak(seed: int, seconds: float, folder: Path) -> Soak:
    """Run one seed on a deployment of its own."""
    world = PartitionWorld(folder, NETWORK)
    world.server_type = SoakServer
    try:
        await world.start()
        run = Soak(world, Random(seed))
        await run.run(seconds)
        return run
    finally:
        await world.close()


def run_seed(
    seed: int, seconds: float, folder: Path, keep: Path | None
) -> Soak:
    """Run one seed; keep its logs where it fails."""
    run = None
    try:
        run = asyncio.run(soak(seed, seconds, folder))
    finally:
        if keep is not None and (run is None or run.findings.broken):
            shutil.copytree(folder, keep / str(seed), dirs_exist_ok=True)
    return run


def main(
    *,
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 20.0,
    keep: Path | None = None,
) -> None:
    """Run seeds one after the other, and print what they found.

    Exit code 1 where a promise was broken.

    :param seed: the first seed.
    :param seeds: how many.
    :param seconds: how long faults are made in each.
    :param keep: folder for the logs of runs that fail; none by default.
    """
    broken = 0
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as folder:
            run = run_seed(number, seconds, Path(folder), keep)
        broken += len(run.findings.broken)
        served = sum(one.answer.status == 200 for one in run.seen)
        print(
            f'seed {number}: {len(run.faults)} faults, '
            f'{served} of {len(run.seen)} served, {run.count_repeated()} '
            'answers repeated, '
            f'{dict(run.findings.checks)}, broken {run.findings.broken}',
        )
    sys.exit(int(broken > 0))


if __name__ == '__main__':
    defopt.run(main)
