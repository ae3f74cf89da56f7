"""Whether who sent a request still waits for its answer."""

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from typing import Self

from godwitshunt.exchange.channel import Channel
from godwitshunt.timer.stalls import StallMonitor

# Passes of the event loop after which the end of a connection is seen that
# came behind its request. The loop polls its sockets in each fourth pass, and
# the request may have been read in the poll before.
READ_PASSES = 8
# A caller that has connected and sends nothing for so long may have sent a
# request that was lost on its way, and be gone when it comes.
SLOW_REQUEST_S = 0.8
# The end of its connection then follows within a round trip.
END_WAIT_S = 0.2


class Presence(StrEnum):
    """What is known of a caller.

    `unknown`: this process has stood still, and the caller may have given up
    without its end being seen here.
    """

    waiting = 'waiting'
    gone = 'gone'
    unknown = 'unknown'


@dataclass
class WaitingCaller:
    """A caller that has sent a request.

    Parameters
    ----------
    channel : Channel
        Its connection.
    stalls : StallMonitor
        Of this process.
    quiet_s : float
        Seconds from the connection's beginning to its first request; 0 for
        any later one.
    """

    channel: Channel
    stalls: StallMonitor
    quiet_s: float = 0.0

    @classmethod
    def on_channel(cls, channel: Channel, stalls: StallMonitor) -> Self:
        """Return the caller whose request was just read from a channel."""
        quiet_s = 0.0
        if channel.requests <= 1:
            now_s = asyncio.get_running_loop().time()
            quiet_s = now_s - channel.connected_s
        return cls(channel, stalls, quiet_s)

    async def presence(self) -> Presence:
        """Tell whether the caller still waits, after reading what came.

        A process that was frozen, or whose connection was cut, reads a
        request before it reads that its sender has left.
        """
        for _ in range(READ_PASSES):
            await asyncio.sleep(0)
        if self.quiet_s > SLOW_REQUEST_S and not self.channel.ended:
            self.quiet_s = 0.0
            await asyncio.sleep(END_WAIT_S)
        if self.channel.ended:
            return Presence.gone
        if self.stalls.is_recent():
            return Presence.unknown
        return Presence.waiting
