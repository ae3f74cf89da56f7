"""Probes of upstreams over new connections."""

import asyncio
import socket
from dataclasses import dataclass

from godwitshunt.exchange.deadline import deadline
from godwitshunt.exchange.liveness import is_acknowledged
from godwitshunt.routing.upstream_paths import (
    ProbeResult,
    ProbeTarget,
    Suspicion,
)

# An upstream of the own region answers within milliseconds.
PROBE_TIMEOUT_S = 0.3
# A connection that is not reset within this time holds.
HOLD_S = 0.1


@dataclass(frozen=True)
class PathProber:
    """Opens connections to upstreams and asks for their health.

    Parameters
    ----------
    source : str or None
        Own IP address to connect from; None lets the system choose.
    """

    source: str | None = None

    async def probe(
        self, target: ProbeTarget, suspicion: Suspicion
    ) -> ProbeResult:
        """Probe one upstream."""
        try:
            async with deadline(PROBE_TIMEOUT_S):
                reader, writer = await self.connect(target)
        except TimeoutError:
            return ProbeResult.silent
        except OSError:
            return ProbeResult.refused
        answer_s = PROBE_TIMEOUT_S
        if suspicion is Suspicion.connection:
            answer_s = HOLD_S
        try:
            return await self.ask(target, reader, writer, answer_s)
        finally:
            writer.transport.abort()

    async def connect(
        self, target: ProbeTarget
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection."""
        return await asyncio.open_connection(
            target.address.host,
            target.address.port,
            local_addr=self.source and (self.source, 0),
        )

    async def ask(
        self,
        target: ProbeTarget,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answer_s: float,
    ) -> ProbeResult:
        """Ask for the upstream's health; any bytes are an answer."""
        head = (
            f'GET {target.path} HTTP/1.1\r\nHost: {target.address}\r\n'
            'Connection: close\r\n\r\n'
        )
        writer.write(head.encode())
        try:
            async with deadline(answer_s):
                received = await reader.read(1)
        except TimeoutError:
            return self.unanswered(writer.get_extra_info('socket'))
        except OSError:
            return ProbeResult.refused
        return ProbeResult.answered if received else ProbeResult.refused

    def unanswered(self, connection: socket.socket) -> ProbeResult:
        """Return the result of a probe without an answer."""
        if is_acknowledged(connection):
            return ProbeResult.accepted
        return ProbeResult.silent
