"""Free ports for processes that are started for a trial or a test."""

import secrets
import socket
from contextlib import suppress

from godwitshunt.settings import Address

# The system gives ports above this range to outgoing connections; one of
# those could take a port between the asking here and the listening.
LISTENING_PORTS = range(10000, 32000)


def free_port(host: str = '127.0.0.1') -> int:
    """Return a port that nothing listens on."""
    while True:
        port = secrets.choice(LISTENING_PORTS)
        with socket.socket() as probe, suppress(OSError):
            probe.bind((host, port))
            return port


def free_address(host: str = '127.0.0.1') -> Address:
    """Return an address that nothing listens on."""
    return Address(host=host, port=free_port(host))
