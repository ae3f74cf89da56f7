"""Memory of a process whose callers read nothing of their answers.

``python -m benchmarks.slow_callers --mebibytes 68 --callers 1000`` prints the
peak memory of a gateway in a process of its own, what it held and how many
requests it ended for the budget.
"""

import asyncio
import sys

import defopt

from godwitshunt.ingress.tests.slow_network import HOST, Caller, Upstream
from godwitshunt.settings import Address

MEBIBYTE = 1024 * 1024
MEGABYTE = 1_000_000


def main(
    *,
    mebibytes: int = 68,
    callers: int = 1000,
    events: int = 150,
    seconds: float = 12,
) -> None:
    """Measure the memory of a gateway with slow callers.

    Parameters
    ----------
    mebibytes
        The budget.
    callers
        Callers that send a request and read nothing.
    events
        Events of 1,000 bytes in each answer.
    seconds
        Time that the callers wait.
    """
    asyncio.run(measure(mebibytes * MEBIBYTE, callers, events, seconds))


async def measure(budget: int, count: int, events: int, seconds: float) -> None:
    """Run the gateway and its callers; print what the gateway needed."""
    upstream = Upstream()
    address = await upstream.start()
    gateway = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'godwitshunt.ingress.tests.slow_network',
        str(address.port),
        str(budget),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    port, start_bytes = map(int, (await gateway.stdout.readline()).split())
    callers = []
    for _ in range(count):
        caller = await Caller().connect(Address(host=HOST, port=port))
        callers.append(await caller.send(f'stream-{events}', rank=1))
    await asyncio.sleep(seconds)
    gateway.stdin.close()
    figures = map(int, (await gateway.stdout.readline()).split())
    peak_bytes, held_bytes, ended = figures
    await gateway.wait()
    upstream.close()
    print(
        f'start {start_bytes / MEGABYTE:.1f} MB,'
        f' peak {peak_bytes / MEGABYTE:.1f} MB,'
        f' held at most {held_bytes / MEGABYTE:.1f} MB, ended {ended}',
    )


if __name__ == '__main__':
    defopt.run(main)
