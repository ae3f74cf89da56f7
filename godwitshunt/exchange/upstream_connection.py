"""Connections to upstreams and other VMs, and how they have been used."""

from collections import deque
from dataclasses import dataclass, field

import h11

from godwitshunt.exchange.channel import Channel
from godwitshunt.exchange.liveness import acknowledged_s
from godwitshunt.exchange.upstream_messages import IDLE_LIMIT_S

# An upstream's machine is known to be live if it acknowledged a probe on the
# connection within this time. The kernel probes each second.
LIVE_ACKNOWLEDGED_S = 1.2
HEAD_BYTES = 64 * 1024
REMEMBERED_REQUESTS = 32


@dataclass
class ConnectionUse:
    """How a connection has been used.

    Parameters
    ----------
    made_s : float
        When it was made, in seconds of the event loop.
    requests : int
        Requests that were sent on it.
    recent : deque of str
        Ids of the last ones.
    had_head_request : bool
        True where one of them was a HEAD request.
    """

    made_s: float = 0.0
    requests: int = 0
    recent: deque[str] = field(
        default_factory=lambda: deque(maxlen=REMEMBERED_REQUESTS)
    )
    had_head_request: bool = False

    def record(self, request_id: str, method: str) -> None:
        """Record a request that is about to be sent."""
        self.requests += 1
        self.recent.append(request_id)
        self.had_head_request |= method == 'HEAD'

    def has_sent(self, request_id: str) -> bool:
        """Tell whether a request was sent on the connection not long ago."""
        return bool(request_id) and request_id in self.recent

    @property
    def is_shared(self) -> bool:
        """True where other requests used it before the last one."""
        return self.requests > 1

    @property
    def last_request(self) -> str:
        """Id of the last request; empty before the first one."""
        return self.recent[-1] if self.recent else ''


@dataclass(eq=False)
class IdleConnection:
    """A connection that waits for its next request."""

    channel: Channel
    connection: h11.Connection
    since_s: float
    use: ConnectionUse
    idle_limit_s: float = IDLE_LIMIT_S

    def is_live(self) -> bool:
        """Return whether the other machine acknowledged a probe just now."""
        age_s = acknowledged_s(self.channel.transport.get_extra_info('socket'))
        return age_s is not None and age_s < LIVE_ACKNOWLEDGED_S

    def release_channel(self) -> None:
        """Stop watching what happens while no request waits."""
        self.channel.on_lost = None
        self.channel.sink = None


def new_parser() -> h11.Connection:
    """Return the parser of a new connection."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_BYTES)
