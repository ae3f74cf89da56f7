"""Connections to upstreams and to other VMs, reused only after a clean end."""

import asyncio
import ssl
from collections import defaultdict
from collections.abc import Container
from dataclasses import dataclass, field
from functools import partial
from math import inf

from result import Err, Ok, Result

from godwitshunt.exchange.attribution import (
    SINGLE_USE_S,
    SingleUseTable,
    StrayBytes,
    StrayKind,
    StrayLog,
    named_id,
)
from godwitshunt.exchange.channel import Channel
from godwitshunt.exchange.deadline import deadline
from godwitshunt.exchange.upstream_call import UpstreamCall
from godwitshunt.exchange.upstream_connection import (
    ConnectionUse,
    IdleConnection,
    new_parser,
)
from godwitshunt.exchange.upstream_messages import (
    ConnectFailed,
    OutgoingRequest,
    Place,
)
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics

IDLE_EACH = 256
# An upstream is known to be live if it has sent bytes on any connection within
# this time.
LIVE_HEARD_S = 0.5
# An upstream that closed a connection after some idle time closes others after
# the same time; they are used until this long before.
CLOSE_MARGIN_S = 0.5


@dataclass
class UpstreamPool:
    """Idle connections by who answers at which address.

    Parameters
    ----------
    metrics : Metrics
        Counts connections made, reused and discarded.
    tls : ssl.SSLContext or None
        None talks plain TCP.
    source : str or None
        The own IP address to connect from; None lets the system choose.
    idle_each : int
        Idle connections that are kept at each place.
    heard_s : dict
        When an answer last began at each place.
    closed_after_s : dict
        Shortest idle time after which each place closed a connection.
    single_use : SingleUseTable
        Places that get one request on each connection.
    """

    metrics: Metrics
    tls: ssl.SSLContext | None = None
    source: str | None = None
    idle_each: int = IDLE_EACH
    idle: dict[Place, list[IdleConnection]] = field(
        default_factory=lambda: defaultdict(list),
    )
    heard_s: dict[Place, float] = field(default_factory=dict)
    closed_after_s: dict[Place, float] = field(default_factory=dict)
    single_use: SingleUseTable = field(default_factory=SingleUseTable)

    def __post_init__(self) -> None:
        self.strays = StrayLog(self.metrics)

    async def open(
        self,
        address: Address,
        request: OutgoingRequest,
    ) -> Result[UpstreamCall, ConnectFailed]:
        """Return a call on an idle or a new connection."""
        place = Place(address, request.origin)
        if not (request.fresh or self.is_used_once(place)):
            kept = self.take(place, request)
            if kept is not None:
                return Ok(self.call(place, kept, request))
        loop = asyncio.get_running_loop()
        try:
            async with deadline(request.connect_timeout_s):
                _, channel = await loop.create_connection(
                    Channel,
                    address.host,
                    address.port,
                    ssl=self.tls,
                    local_addr=self.source and (self.source, 0),
                )
        except (OSError, TimeoutError) as failed:
            self.metrics.count('upstream_connects_failed_total')
            return Err(ConnectFailed(repr(failed)))
        self.metrics.count('upstream_connects_total')
        made_s = loop.time()
        made = IdleConnection(
            channel, new_parser(), made_s, ConnectionUse(made_s)
        )
        return Ok(self.call(place, made, request))

    def call(
        self,
        place: Place,
        kept: IdleConnection,
        request: OutgoingRequest,
    ) -> UpstreamCall:
        """Return a call on a connection."""
        kept.use.record(request.request_id, request.method)
        return UpstreamCall(
            self,
            place,
            kept.channel,
            kept.connection,
            request.method,
            request.id_header,
            kept.use,
        )

    def take(
        self,
        place: Place,
        request: OutgoingRequest,
    ) -> IdleConnection | None:
        """Return an idle connection that a request may be sent on."""
        now = asyncio.get_running_loop().time()
        waiting = self.idle.get(place)
        while waiting:
            kept = waiting[-1]
            if (
                not kept.channel.ended
                and now - kept.since_s < kept.idle_limit_s
            ):
                if not self.may_use(place, kept, request, now):
                    # Those below were idle for longer. Another request, or a
                    # probe's answer, may allow them.
                    return None
                waiting.pop()
                kept.release_channel()
                self.metrics.count('upstream_connections_reused_total')
                return kept
            waiting.pop()
            self.discard(kept)
        return None

    def receive_idle(
        self,
        place: Place,
        kept: IdleConnection,
        id_header: bytes,
        received: bytes,
    ) -> None:
        """Discard a connection on which bytes came without a request.

        A repeated or late answer would be taken for the next one. The other
        idle connections to the place are discarded too, as it is used once.
        """
        if received:
            named = named_id(received, id_header)
            size = len(received)
            self.record_stray(StrayKind.idle, place, kept.use, named, size)

    def record_stray(
        self,
        kind: StrayKind,
        place: Place,
        use: ConnectionUse,
        named: bytes = b'',
        size: int = 0,
    ) -> None:
        """Record bytes that belong to no waiting request.

        The place that sent them gets one request on each connection.
        """
        age_s = asyncio.get_running_loop().time() - use.made_s
        self.strays.record(
            StrayBytes(
                kind, place, use.last_request, named, size, age_s, use.requests
            )
        )
        self.use_once(place)

    def use_once(self, place: Place, for_s: float = SINGLE_USE_S) -> None:
        """Send one request on each connection to a place for a while.

        Idle connections to it are closed.
        """
        now_s = asyncio.get_running_loop().time()
        self.single_use.record(place, now_s, for_s)
        for kept in self.idle.pop(place, ()):
            self.discard(kept)

    def is_used_once(self, place: Place) -> bool:
        """Tell whether a place gets one request on each connection."""
        now_s = asyncio.get_running_loop().time()
        return self.single_use.has(place, now_s)

    def may_use(
        self,
        place: Place,
        kept: IdleConnection,
        request: OutgoingRequest,
        now: float,
    ) -> bool:
        """Tell whether a request may be sent on a silent connection.

        The upstream's machine may be gone without a word. A new connection to
        it would fail, and the request would be known not to have run.
        """
        if kept.use.has_sent(request.request_id):
            # A late answer to its first attempt could not be told from that
            # to the second one.
            return False
        idle_s = now - kept.since_s
        if idle_s < request.longest_idle_s:
            return True
        if idle_s >= request.longest_live_idle_s:
            return False
        if now - self.heard_s.get(place, -inf) < LIVE_HEARD_S:
            return True
        return kept.is_live()

    def has_live(self, place: Place) -> bool:
        """Return whether an idle connection is known to be open."""
        return any(
            not kept.channel.ended and kept.is_live()
            for kept in self.idle.get(place, ())
        )

    def has_open(self, place: Place) -> bool:
        """Return whether the other side keeps an idle connection open."""
        return any(not kept.channel.ended for kept in self.idle.get(place, ()))

    def record_received(self, place: Place) -> None:
        """Record that an answer began."""
        self.heard_s[place] = asyncio.get_running_loop().time()

    def keep(self, call: UpstreamCall) -> None:
        """Keep a connection whose answer ended cleanly."""
        waiting = self.idle[call.place]
        is_full = len(waiting) >= self.idle_each
        if is_full or self.is_used_once(call.place):
            call.channel.close()
            return
        call.connection.start_next_cycle()
        now = asyncio.get_running_loop().time()
        closed_after_s = self.closed_after_s.get(call.place, inf)
        limit_s = min(call.idle_limit_s, closed_after_s - CLOSE_MARGIN_S)
        kept = IdleConnection(
            call.channel, call.connection, now, call.use, limit_s
        )
        call.channel.on_lost = partial(self.drop, call.place, kept)
        call.channel.sink = partial(
            self.receive_idle, call.place, kept, call.id_header
        )
        waiting.append(kept)

    def drop(self, place: Place, kept: IdleConnection) -> None:
        """Drop an idle connection that the upstream closed; learn when."""
        waiting = self.idle.get(place, [])
        if kept not in waiting:
            return
        waiting.remove(kept)
        # A process that starts again at an address without a named origin would
        # be taken for one that closes connections early, and for good.
        if kept.channel.ended_cleanly and place.origin:
            idle_s = asyncio.get_running_loop().time() - kept.since_s
            known_s = self.closed_after_s.get(place, inf)
            self.closed_after_s[place] = min(known_s, idle_s)
        self.discard(kept)

    def discard(self, kept: IdleConnection) -> None:
        """Close a connection that is not used again."""
        kept.release_channel()
        self.metrics.count('upstream_connections_discarded_total')
        kept.channel.abort()

    def remove_absent(self, present: Container[str]) -> None:
        """Close the idle connections to those who are there no more."""
        for place in tuple(self.idle):
            if place.origin and place.origin not in present:
                for kept in self.idle.pop(place):
                    kept.release_channel()
                    kept.channel.close()
                self.heard_s.pop(place, None)
                self.closed_after_s.pop(place, None)
        self.single_use.remove_absent(present)

    def close(self) -> None:
        """Close every idle connection, at the end of the process."""
        self.close_idle()

    def close_idle(self) -> None:
        """Close every idle connection."""
        for waiting in self.idle.values():
            for kept in waiting:
                kept.release_channel()
                kept.channel.close()
        self.idle.clear()
