"""A request that crashes upstreams, beside seeded faults of the system.

Real processes on this machine: a lethal body comes again and again while
processes are killed, paused and started anew. What servers and bystanders see
is held against the promises: few sendings after the third end, none of the
bystanders kept back.

    python -m trials.lethal --seed 1 --seeds 5
"""

import asyncio
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random

import defopt

from tests.crashing_server import (
    CrashingServer,
    CrashingWorld,
    lethal_times,
    play,
)
from tests.platform_documents import CONTROL_HOSTS
from tests.platform_world import ENTRY_ZONES

ENDS_KNOWN_BY = 3
# The platform's bounds: so long after the third end every machine in touch
# knows; so many sendings are allowed after that. A machine that a fault hit is
# in touch again only after as long.
CONTACT_S = 5.0
SENDINGS_ALLOWED = 3
PAUSED_S = 1.0


@dataclass
class Found:
    """What one seed showed."""

    ends: int
    late: int
    bystanders: Counter
    faults: list[str]

    @property
    def is_broken(self) -> bool:
        """True where a promise was broken."""
        kept_back = self.bystanders['quarantined']
        return self.late > SENDINGS_ALLOWED or bool(kept_back)


async def hurt(world: CrashingWorld, random: Random, until_s: float) -> list:
    """Kill, pause and start processes anew, until a moment."""
    loop = asyncio.get_running_loop()
    faults = []
    while loop.time() < until_s:
        await asyncio.sleep(random.uniform(0.5, 2.0))
        host = random.choice((*CONTROL_HOSTS, *ENTRY_ZONES))
        what = random.choice(('kill', 'pause'))
        faults.append(f'{what} {host}')
        process = world.processes[host]
        if what == 'pause':
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(PAUSED_S)
            process.send_signal(signal.SIGCONT)
            continue
        process.kill()
        await process.wait()
        await asyncio.sleep(random.uniform(0, 1.0))
        await world.start_process(
            host,
            ENTRY_ZONES.get(host, 'zone-a'),
            control=host in CONTROL_HOSTS,
            bootstrap=False,
        )
    return faults


async def run_seed(seed: int, seconds: float) -> Found:
    """Play one seed."""
    random = Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        world = CrashingWorld(Path(folder), server_type=CrashingServer)
        try:
            await world.start()
            for server in world.servers.values():
                server.crashes_after_s = random.uniform(0.01, 0.3)
                server.back_after_s = random.uniform(0.3, 3.0)
            return await play_seed(world, random, seconds)
        finally:
            await world.close()


async def play_seed(
    world: CrashingWorld,
    random: Random,
    seconds: float,
) -> Found:
    """Play the lethal request while processes are hurt."""
    now_s = asyncio.get_running_loop().time()
    hurting = asyncio.create_task(hurt(world, random, now_s + seconds / 2))
    period_s = random.uniform(0.1, 0.8)
    _, bystanders = await play(seconds, period_s)
    faults = await hurting
    ended, arrived = lethal_times(world)
    known_s = max(ended[:ENDS_KNOWN_BY], default=now_s) + CONTACT_S
    # Sent by machines that a fault hit a moment ago, it counts for nothing.
    calm_s = now_s + seconds / 2 + CONTACT_S
    late = sum(at_s > max(known_s, calm_s) for at_s in arrived)
    return Found(len(ended), late, bystanders, faults)


def main(*, seed: int = 1, seeds: int = 5, seconds: float = 24.0) -> None:
    """Play seeds; exit with 1 where a promise was broken.

    :param seed: the first one.
    :param seeds: how many.
    :param seconds: length of each; faults come in its first half.
    """
    broken = 0
    for number in range(seed, seed + seeds):
        found = asyncio.run(run_seed(number, seconds))
        broken += found.is_broken
        print(
            f'seed {number}: {"BROKEN" if found.is_broken else "held"}, '
            f'{found.ends} ends, {found.late} late sendings, '
            f'bystanders {dict(found.bystanders)}, {found.faults}',
            flush=True,
        )
    sys.exit(bool(broken))


if __name__ == '__main__':
    defopt.run(main)
