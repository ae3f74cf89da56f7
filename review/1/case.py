"""Two seeds lose their disks, and two other machines much later.

Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
import traceback
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from tests.platform_client import Answer, call
from tests.platform_documents import CONTROL, boot_document, configuration
from tests.platform_world import ROOT, World

HERE = Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BROKEN, HELD, NOT_RUN = 1, 0, 2
CONFIGURATION = '/-/config'
OK = 200
# Five control machines, of which two may be lost at once; three are seeds.
CONTROL_MACHINES = 5
SEEDS = 3
# Traffic starts so long after the machines do.
LEAD_S = 12.0
# A machine is down for so long.
DOWN_S = 0.5
# Twice `catch_up_s`, for which a machine that is back counts as lost.
BACK_S = 8.0
# No more losses begin after this time; all has to end within two minutes.
LAST_LOSS_S = 50.0
# A second without a response, and a pause.
CALL_S = 1.0
RETRY_S = 0.2
# Time for the next configuration to be acknowledged, above `recovery_s` (12)
# and `ack_ms` (6,000); then for reading back, above `contact_ms` (5,000).
CHANGE_S = 16.0
READ_S = 10.0


@dataclass
class ReviewWorld(World):
    """A deployment with five control machines, of which three are seeds."""

    async def start_process(self, host, zone, *, control, bootstrap=True):
        """Start one process."""
        path = self.folder / f'{host}.json'
        document = boot_document(
            host,
            zone,
            self.folder,
            control=control,
            bootstrap=bootstrap,
            seeds=self.control_hosts[:SEEDS],
        )
        path.write_text(json.dumps(document))
        script = 'platform/control.py' if control else 'platform/entry.py'
        log = (self.folder / f'{host}.log').open('ab')
        self.processes[host] = await asyncio.create_subprocess_exec(
            sys.executable,
            script,
            cwd=ROOT,
            env={**os.environ, 'GODWITSHUNT_BOOT': str(path)},
            stdout=log,
            stderr=log,
        )


@dataclass
class Case:
    """One run.

    Parameters
    ----------
    acknowledged : int
        Newest version of the configuration that was acknowledged.
    """

    world: World
    acknowledged: int = 1
    lines: list = field(default_factory=list)
    begun_s: float = field(default_factory=time.monotonic)

    def add(self, text):
        """Add a line to the record."""
        self.lines.append(f'{time.monotonic() - self.begun_s:7.3f} s  {text}')

    def write(self):
        """Write the record."""
        text = '\n'.join(self.lines)
        (HERE / 'record.txt').write_text(f'{text}\n')

    async def run(self):
        """Lose two disks at a time, until the configuration is lost."""
        await asyncio.sleep(LEAD_S - (time.monotonic() - self.begun_s))
        first, *seeds = self.world.control_hosts[:SEEDS]
        others = self.world.control_hosts[SEEDS:]
        is_kept = await self.change()
        while is_kept and time.monotonic() - self.begun_s < LAST_LOSS_S:
            if self.leader() == first:
                await self.kill((first,), wipes=False)
            else:
                await self.kill(seeds, wipes=True)
                await self.change()
                await self.kill(others, wipes=True)
            is_kept = await self.change()
        return HELD if await self.is_readable() else BROKEN

    def leader(self):
        """Return the address of the control machine that leads."""
        newest = {'term': -1, 'leader': ''}
        for host in self.world.control_hosts:
            for line in self.world.logged(host, 'consensus:leader'):
                if line['leader'] and line['term'] >= newest['term']:
                    newest = line
        return newest['leader'].replace('-', '.')

    async def kill(self, hosts, *, wipes):
        """Kill machines, and start them again; wait until they are back.

        Parameters
        ----------
        wipes : bool
            Whether they lose their disks.
        """
        if HAS_TROUBLE:
            names = ', '.join(hosts)
            self.add(f'{names} are killed, disks lost: {wipes}')
            for host in hosts:
                self.world.processes[host].send_signal(signal.SIGKILL)
            await asyncio.sleep(DOWN_S)
            for host in hosts:
                await self.world.processes[host].wait()
                if wipes:
                    shutil.rmtree(self.world.folder / host)
                await self.start(host)
            self.add(f'{names} are started')
        await asyncio.sleep(BACK_S)
        self.add(f'{self.leader()} leads')

    async def start(self, host):
        """Start a control machine again."""
        await self.world.start_process(
            host, 'zone-a', control=True, bootstrap=False
        )

    async def send(self, host, method, document=None):
        """Make one call, and wait a second for its answer."""
        try:
            async with asyncio.timeout(CALL_S):
                return await call(
                    host, CONTROL, method, CONFIGURATION, document
                )
        except (OSError, TimeoutError):
            return Answer(0, {}, b'', complete=False)

    async def change(self):
        """Send the next configuration; tell whether it is acknowledged."""
        version = self.acknowledged + 1
        give_up_s = time.monotonic() + CHANGE_S
        while time.monotonic() < give_up_s:
            for host in self.world.control_hosts:
                answer = await self.send(host, 'PUT', configuration(version))
                if answer.status == OK:
                    self.acknowledged = version
                    self.add(f'version {version} acknowledged by {host}')
                    return True
            await asyncio.sleep(RETRY_S)
        self.add(f'version {version} not acknowledged within {CHANGE_S} s')
        return False

    async def is_readable(self):
        """Tell whether what was acknowledged can be read back."""
        give_up_s = time.monotonic() + READ_S
        while time.monotonic() < give_up_s:
            for host in self.world.control_hosts:
                answer = await self.send(host, 'GET')
                if answer.status == OK:
                    version = json.loads(answer.body)['version']
                    self.add(f'{host} gives back version {version}')
                    return version >= self.acknowledged
            await asyncio.sleep(RETRY_S)
        self.add(
            f'version {self.acknowledged} was acknowledged; no machine gives '
            f'a configuration back within {READ_S} s',
        )
        return False


async def main(folder):
    """Start a deployment, run the case, and end it."""
    network = f'127.{random.randint(16, 250)}.{random.randint(1, 250)}'
    hosts = (f'{network}.{1 + place}' for place in range(CONTROL_MACHINES))
    world = ReviewWorld(
        folder,
        control_hosts=tuple(hosts),
        entry_zones={f'{network}.11': 'zone-a', f'{network}.21': 'zone-b'},
        network=network,
    )
    case = Case(world)
    try:
        await world.start()
        return await case.run()
    except (OSError, TimeoutError) as failed:
        case.add(f'the case could not run: {failed!r}')
        return NOT_RUN
    finally:
        await world.close()
        case.write()


def report_failure(kind, error, trace):
    """Exit with 2 where the case itself fails; Python alone says 1."""
    traceback.print_exception(kind, error, trace)
    sys.stderr.flush()
    os._exit(NOT_RUN)


if __name__ == '__main__':
    sys.excepthook = report_failure
    with tempfile.TemporaryDirectory() as name:
        sys.exit(asyncio.run(main(Path(name))))
