"""A late withdrawal of an evacuation undoes a newer evacuation.

Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import os
import random
import signal
import sys
import tempfile
import time
import traceback
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from tests.platform_client import Answer, ask, call
from tests.platform_documents import CONTROL
from tests.platform_world import World

HERE = Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONE = 'zone-a'
ORDER = f'/-/evacuations/{ZONE}'
SUCCESS = range(200, 300)
# An operator moves on after a second without a response, and gives an order
# up after `ack_ms`.
OPERATOR_WAIT_S = 1.0
ACK_S = 6.0
BACKOFF_S = 0.1
# The operator's next order comes this long after the one before.
NEXT_ORDER_S = 2.0
FREEZE_S = 5.0
# `contact_ms`, `evacuation_ms` and `max_extension_ms`.
CONTACT_S = 5.0
EVACUATION_S = 5.0
EXTENSION_S = 8.0
CHECKED_S = 4.0
BROKEN, HELD, NOT_RUN = 1, 0, 2


class NotAcknowledgedError(Exception):
    """An order got no acknowledgement; the case cannot go on."""


@dataclass
class Record:
    """What was sent, answered and run."""

    begun_s: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def add(self, text):
        """Add a line with the seconds since the start."""
        self.lines.append(f'{time.monotonic() - self.begun_s:7.3f} s  {text}')

    def write(self):
        """Write the file."""
        text = '\n'.join(self.lines)
        (HERE / 'record.txt').write_text(f'{text}\n')


@dataclass
class Case:
    """One run."""

    world: World
    record: Record

    async def order(self, method, first):
        """Give an order: to one machine first, then to the others in turn."""
        hosts = [first]
        hosts += [host for host in self.world.control_hosts if host != first]
        give_up_s = time.monotonic() + ACK_S
        place = 0
        while time.monotonic() < give_up_s:
            host = hosts[place % len(hosts)]
            place += 1
            self.record.add(f'operator sends {method} {ORDER} to {host}')
            status = await self.status_of(host, method)
            self.record.add(f'operator gets {status or "no answer"}')
            if status in SUCCESS:
                return
            await asyncio.sleep(BACKOFF_S * place)
        raise NotAcknowledgedError(f'{method} {ORDER}')

    async def status_of(self, host, method):
        """Return the status of one call, 0 without one within a second."""
        try:
            async with asyncio.timeout(OPERATOR_WAIT_S):
                answer = await call(host, CONTROL, method, ORDER)
        except (OSError, TimeoutError):
            answer = Answer(0, {}, b'', complete=False)
        return answer.status

    def leader(self):
        """Return the address of the control machine that leads."""
        names = {
            host.replace('.', '-'): host for host in self.world.control_hosts
        }
        newest = {}
        for host in self.world.control_hosts:
            for line in self.world.logged(host, 'consensus:leader'):
                if line['leader'] and line['term'] >= newest.get('term', 0):
                    newest = line
        return names[newest['leader']]

    async def run(self):
        """Evacuate, take back while one machine stands still, evacuate anew."""
        leader = self.leader()
        follower = next(
            host for host in self.world.control_hosts if host != leader
        )
        self.record.add(f'{leader} leads, {follower} follows')
        await self.order('POST', leader)
        process = self.world.processes[follower]
        if HAS_TROUBLE:
            self.record.add(f'{follower} is frozen')
            process.send_signal(signal.SIGSTOP)
        thaw_s = time.monotonic() + FREEZE_S
        await self.order('DELETE', follower)
        await asyncio.sleep(NEXT_ORDER_S)
        await self.order('POST', leader)
        acknowledged_s = time.monotonic()
        await asyncio.sleep(thaw_s - time.monotonic())
        if HAS_TROUBLE:
            self.record.add(f'{follower} wakes')
            process.send_signal(signal.SIGCONT)
        due_s = max(
            acknowledged_s + EVACUATION_S + EXTENSION_S,
            time.monotonic() + CONTACT_S,
        )
        await asyncio.sleep(due_s - time.monotonic())
        return await self.check(acknowledged_s)

    async def check(self, acknowledged_s):
        """Send requests; tell whether servers of the zone run any."""
        ran_before = {
            name: len(server.ran) for name, server in self.world.servers.items()
        }
        after_s = time.monotonic() - acknowledged_s
        self.record.add(f'{after_s:.1f} s after the acknowledgement:')
        until_s = time.monotonic() + CHECKED_S
        while time.monotonic() < until_s:
            for entry in self.world.entry_zones:
                attempt, answer = await ask(entry, '/safe/x')
                self.record.add(f'{attempt} at {entry}: {answer.status}')
            await asyncio.sleep(0.1)
        broken = 0
        for name, server in self.world.servers.items():
            ran = server.ran[ran_before[name] :]
            self.record.add(f'{name} of {server.zone} ran {len(ran)}: {ran}')
            if server.zone == ZONE:
                broken += len(ran)
        self.record.add(f'{broken} requests reached servers of {ZONE}')
        return BROKEN if broken else HELD


async def main(folder):
    """Start a deployment, run the case, and end it."""
    network = f'127.{random.randint(16, 250)}.{random.randint(1, 250)}'
    world = World(
        folder,
        control_hosts=tuple(f'{network}.{number}' for number in (1, 2, 3)),
        entry_zones={f'{network}.11': 'zone-a', f'{network}.21': 'zone-b'},
        network=network,
    )
    record = Record()
    try:
        await world.start()
        return await Case(world, record).run()
    except (NotAcknowledgedError, OSError, TimeoutError) as failed:
        record.add(f'the case could not run: {failed!r}')
        return NOT_RUN
    finally:
        await world.close()
        record.write()


def report_failure(kind, error, trace):
    """Exit with 2 where the case itself fails; Python alone says 1."""
    traceback.print_exception(kind, error, trace)
    sys.stderr.flush()
    os._exit(NOT_RUN)


if __name__ == '__main__':
    sys.excepthook = report_failure
    with tempfile.TemporaryDirectory() as name:
        sys.exit(asyncio.run(main(Path(name))))
