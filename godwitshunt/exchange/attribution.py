"""Records of bytes from upstreams that belong to no waiting request.

An upstream may answer a request twice, the second time when another request
uses the connection. An answer belongs to the request whose id it repeats, and
not to the one that happens to wait.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from godwitshunt.telemetry import Metrics, log_change

# Lines that are logged at most within a second; the counter counts all.
LINES_PER_S = 20
LINE_WINDOW_S = 1.0


class StrayKind(Enum):
    """What bytes that belong to no waiting request are.

    ``idle``: bytes on a connection without a request. ``surplus``: bytes
    beyond the end of an answer. ``skipped``: an answer to another request that
    was read past. ``foreign``: one that was not. ``unnamed``: an answer without
    an id on a connection that other requests have used. ``unframed``: an answer
    on such a connection that ends where the connection ends.
    """

    idle = 'idle'
    surplus = 'surplus'
    skipped = 'skipped'
    foreign = 'foreign'
    unnamed = 'unnamed'
    unframed = 'unframed'


@dataclass(frozen=True)
class StrayBytes:
    """Bytes that belong to no waiting request.

    Parameters
    ----------
    kind : StrayKind
        What they are.
    origin : str
        Upstream that sent them, or its address where it has no name.
    request : str
        Id of the request that uses the connection, or used it last.
    named : str
        Id that the bytes repeat; empty where they repeat none.
    size : int
        Number of bytes, as far as they are known.
    connection_age_s : float
        Seconds since the connection was made.
    connection_requests : int
        Requests that were sent on it.
    """

    kind: StrayKind
    origin: str
    request: str
    named: str
    size: int
    connection_age_s: float
    connection_requests: int


@dataclass
class StrayLog:
    """Counts stray bytes, and logs a bounded number of them."""

    metrics: Metrics
    logged_s: deque[float] = field(
        default_factory=lambda: deque(maxlen=LINES_PER_S)
    )

    def record(self, stray: StrayBytes) -> None:
        """Count and log stray bytes."""
        self.metrics.count('upstream_stray_bytes_total', kind=stray.kind.value)
        now_s = asyncio.get_running_loop().time()
        is_full = len(self.logged_s) == LINES_PER_S
        if is_full and now_s - self.logged_s[0] < LINE_WINDOW_S:
            return
        self.logged_s.append(now_s)
        log_change(
            'exchange:stray_bytes',
            kind=stray.kind.value,
            instance=stray.origin,
            request=stray.request,
            named=stray.named,
            bytes=stray.size,
            connection_age_s=round(stray.connection_age_s, 4),
            connection_requests=stray.connection_requests,
        )
