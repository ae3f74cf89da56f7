"""Ports for processes that tests start."""

import subprocess
import sys
from random import Random

from standins import ports

# As many ports as processes: each one is given, and none twice.
PORTS = range(10000, 10006)
CHOOSE = f"""
import sys
from standins import ports
ports.LISTENING_PORTS = {PORTS}
print(ports.free_port(sys.argv[1]), flush=True)
sys.stdin.read()
"""


def choose(host):
    """Start a process that asks for a port and goes on."""
    return subprocess.Popen(
        [sys.executable, '-c', CHOOSE, host],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def test_a_port_is_given_to_one_process_only():
    """Two tests found the same port free, and the second process ended."""
    host = f'127.77.{Random().randrange(256)}.1'
    choosing = [choose(host) for _ in PORTS]
    try:
        given = [one.stdout.readline() for one in choosing]
    finally:
        for one in choosing:
            one.communicate()
    assert sorted(map(int, given)) == list(PORTS)


def test_a_port_is_given_once():
    """One process got the same port twice."""
    given = [ports.free_port('127.77.0.2') for _ in range(300)]
    assert len(set(given)) == len(given)
