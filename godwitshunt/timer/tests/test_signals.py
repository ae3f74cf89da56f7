"""Graceful shutdown on signals."""

import signal
import subprocess
import sys

PROGRAM = """
import asyncio, time
from godwitshunt.timer import stop_on_signals

async def run():
    stopping = asyncio.Event()
    stop_on_signals(stopping)
    print('ready', flush=True)
    await stopping.wait()
    print('stopping', flush=True)

asyncio.run(run())
print('closed', flush=True)
time.sleep(0.2)
"""


def test_second_signal_does_not_change_the_exit_code():
    """A supervisor may send SIGTERM again while the process is exiting.

    The exit code must be 0; any other is taken for an unclean shutdown.
    """
    with subprocess.Popen(
        [sys.executable, '-c', PROGRAM],
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        for expected in ('ready', 'stopping', 'closed'):
            assert process.stdout.readline().strip() == expected
            process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0
