"""When a connection to a machine that is gone without a word is broken."""

import ctypes
import socket
import struct
import time

import pytest

from godwitshunt.exchange.liveness import Probing, probe

HOST = '127.0.0.1'
ATTACH_FILTER = 26
# A classic BPF program that drops every packet: return 0.
DROP_ALL = struct.pack('HBBI', 6, 0, 0, 0)


def broken_after_s(probing: Probing) -> float:
    """Return after how long a connection to a silent machine is broken."""
    with socket.create_server((HOST, 0)) as listener:
        connection = socket.create_connection(listener.getsockname())
        other, _ = listener.accept()
        probe(connection, probing)
        program = ctypes.create_string_buffer(DROP_ALL)
        described = struct.pack('HL', 1, ctypes.addressof(program))
        other.setsockopt(socket.SOL_SOCKET, ATTACH_FILTER, described)
        start_s = time.monotonic()
        connection.settimeout(20.0)
        with pytest.raises(TimeoutError):
            connection.recv(1)
        connection.close()
        other.close()
        return time.monotonic() - start_s


@pytest.mark.parametrize(
    ('count', 'unread_s', 'least_s', 'most_s'),
    [(1, 4, 3.5, 7.0), (9, 2, 1.5, 5.0)],
)
def test_user_timeout_replaces_the_count_of_probes(
    count, unread_s, least_s, most_s
):
    """With a count in mind, dead callers would be thought gone much sooner."""
    broken_s = broken_after_s(Probing(1, 1, count, unread_s))
    assert least_s < broken_s < most_s
