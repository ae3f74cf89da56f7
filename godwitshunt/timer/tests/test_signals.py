"""Signals begin a graceful shutdown once."""

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


def test_second_signal_does_not_spoil_a_clean_end():
    """A supervisor sends SIGTERM again while the process is ending.

    The exit code must be 0: anything else is read as an unclean end.
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
