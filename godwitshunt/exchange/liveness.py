"""Noticing a connection whose other end is gone without a word.

A VM that loses power, or a link that is cut, sends no end of its bytes. Only
probes show it: without them an upstream's slot, or a caller's, stays taken
until a deadline that may be an hour away.
"""

import socket
import struct
from dataclasses import dataclass

MILLISECONDS = 1000


@dataclass(frozen=True)
class Probing:
    """How a connection is probed, in whole seconds.

    Parameters
    ----------
    idle_s : int
        Silence before the first probe.
    interval_s : int
        Time between probes.
    count : int
        Probes without an answer after which the connection is broken, on
        systems without `TCP_USER_TIMEOUT`.
    unread_s : int
        Seconds that sent bytes may wait to be acknowledged, that the other
        side's window may stay closed, or that probes may stay without an
        answer. On Linux it replaces `count` (tcp(7), `TCP_USER_TIMEOUT`).
    """

    idle_s: int
    interval_s: int
    count: int
    unread_s: int


# A break of a few seconds on a slow link must not end a call whose outcome
# would then be unknown for ever. The kernel probes an idle connection each
# second, without waking the process, so that `acknowledged_s` can tell whether
# the other machine is there.
OUTGOING = Probing(idle_s=1, interval_s=1, count=8, unread_s=10)
# A caller may pause its reading; that alone must not cost it its answer.
INCOMING = Probing(idle_s=15, interval_s=5, count=3, unread_s=120)


# Of Linux's `tcp_info`: the keepalive probes that were not answered, the sent
# segments that are not acknowledged, and the milliseconds since the last
# acknowledgement.
TCP_INFO_BYTES = 104
UNANSWERED_PROBES = 3
UNACKNOWLEDGED = struct.Struct('@24xI')
LAST_ACK = struct.Struct('@56xI')


def probe(connection: socket.socket | None, probing: Probing) -> None:
    """Let the kernel probe a TCP connection; other kinds are left alone."""
    if connection is None or connection.family == socket.AF_UNIX:
        return
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_KEEPIDLE, probing.idle_s),
        (socket.TCP_KEEPINTVL, probing.interval_s),
        (socket.TCP_KEEPCNT, probing.count),
        (socket.TCP_USER_TIMEOUT, probing.unread_s * MILLISECONDS),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, setting)


def acknowledged_s(connection: socket.socket | None) -> float | None:
    """Return the seconds since the other machine last acknowledged anything.

    None where the kernel does not tell, or a probe waits for its answer.
    """
    if connection is None or connection.family == socket.AF_UNIX:
        return None
    try:
        told = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    except OSError:
        return None
    if len(told) < LAST_ACK.size or told[UNANSWERED_PROBES]:
        return None
    return LAST_ACK.unpack_from(told)[0] / MILLISECONDS


def is_acknowledged(connection: socket.socket | None) -> bool:
    """Return whether the other machine has acknowledged all sent bytes.

    True where the kernel does not tell.
    """
    if connection is None or connection.family == socket.AF_UNIX:
        return True
    try:
        told = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    except OSError:
        return True
    if len(told) < UNACKNOWLEDGED.size:
        return True
    return not UNACKNOWLEDGED.unpack_from(told)[0]
