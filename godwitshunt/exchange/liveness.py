"""Noticing a connection whose other end is gone without a word.

A VM that loses power, or a link that is cut, sends no end of its bytes. Only
probes show it: without them an upstream's slot, or a caller's, stays taken
until a deadline that may be an hour away.
"""

import socket
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
        Probes without an answer after which the connection is broken.
    unread_s : int
        Seconds that sent bytes may wait to be acknowledged, or the other
        side's window may stay closed.
    """

    idle_s: int
    interval_s: int
    count: int
    unread_s: int


# A break of a few seconds on a slow link must not end a call whose outcome
# would then be unknown for ever.
OUTGOING = Probing(idle_s=3, interval_s=2, count=3, unread_s=10)
# A caller may pause its reading; that alone must not cost it its answer.
INCOMING = Probing(idle_s=15, interval_s=5, count=3, unread_s=120)


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
