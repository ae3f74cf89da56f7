"""Free ports for processes that are started for a trial or a test.

A port is reserved for the process that asked for it until that one ends: two
tests that run at the same time would otherwise both find it free, as neither
has bound it yet.
"""

import fcntl
import secrets
import socket
import tempfile
from contextlib import suppress
from functools import cache
from io import FileIO
from pathlib import Path

from godwitshunt.settings import Address

# The system gives ports above this range to outgoing connections; one of
# those could take a port between the asking here and the listening.
LISTENING_PORTS = range(10000, 32000)
LOCK_NAME = 'godwitshunt-ports-{host}.lock'
reserved: set[tuple[str, int]] = set()


def free_port(host: str = '127.0.0.1') -> int:
    """Return a port that nothing listens on, reserved for this process."""
    while True:
        port = secrets.choice(LISTENING_PORTS)
        if reserve(host, port) and is_free(host, port):
            return port


def free_address(host: str = '127.0.0.1') -> Address:
    """Return an address that nothing listens on, as `free_port` does."""
    return Address(host=host, port=free_port(host))


def is_free(host: str, port: int) -> bool:
    """Return whether nothing listens on a port."""
    with socket.socket() as probe, suppress(OSError):
        probe.bind((host, port))
        return True
    return False


def reserve(host: str, port: int) -> bool:
    """Reserve a port; return False where it is reserved already.

    One byte of a file is locked for each port. The lock ends with the process.
    """
    if (host, port) in reserved:
        return False
    try:
        fcntl.lockf(lock_file(host), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    reserved.add((host, port))
    return True


@cache
def lock_file(host: str) -> FileIO:
    """Return the open file whose bytes are locked for a host's ports."""
    path = Path(tempfile.gettempdir()) / LOCK_NAME.format(host=host)
    return path.open('ab', buffering=0)
