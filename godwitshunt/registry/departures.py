"""Departures of upstreams, on more disks than may be lost at once.

The tables of control VMs reach each other within a poll. A control VM that
acknowledges a departure and loses its disk before that would take it along,
and the upstream would get requests for as long as it serves.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from result import Ok, Result

from godwitshunt.exceptions import FrameError
from godwitshunt.peer import (
    CallFailed,
    MessageKind,
    PeerLinks,
    decode,
    encode,
)
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.incarnations import EndedIncarnation
from godwitshunt.registry.records import incarnation_name
from godwitshunt.registry.table import UpstreamTable
from godwitshunt.registry.table_updates import ControlLocation
from godwitshunt.registry.wire import (
    ends_from_wire,
    ends_to_wire,
    upstream_from_wire,
    upstream_to_wire,
)
from godwitshunt.settings import Address
from godwitshunt.telemetry import log_change
from godwitshunt.timer import Timer

# An upstream moves on to another control VM after a second.
COPY_TIMEOUT_S = 0.8
# An upstream that drains says so with each announcement; what was copied is
# not copied again for this long.
REMEMBERED_S = 120.0


@dataclass
class Departures:
    """Keeps departures on this disk and on those of other control VMs.

    Parameters
    ----------
    location : ControlLocation
        The other control VMs, and on how many of them a departure is kept.
    upstreams : UpstreamTable
        Of this control VM.
    flush : callable
        Waits until the table is on disk; False if that failed.
    links : PeerLinks
        Links to the other control VMs.
    timer : Timer
        Monotonic time.
    """

    location: ControlLocation
    upstreams: UpstreamTable
    flush: Callable[[], Awaitable[bool]]
    links: PeerLinks
    timer: Timer
    copied_s: dict[tuple[str, bool], float] = field(default_factory=dict)
    calls: set[asyncio.Task[bool]] = field(default_factory=set)

    def start(self) -> None:
        """Accept the departures that other control VMs copy."""
        self.links.subscribe(MessageKind.upstream_departure, self.on_departure)

    async def close(self) -> None:
        """End the calls to other control VMs."""
        for call in tuple(self.calls):
            call.cancel()
        await asyncio.gather(*self.calls, return_exceptions=True)

    async def keep(self, instance: str) -> bool:
        """Wait until the departure of an upstream outlasts lost disks.

        Returns
        -------
        bool
            False where too few disks have it; another control VM may do.
        """
        begun_s = self.timer.now()
        departure = self.departure_of(instance)
        if departure is None:
            return await self.flush()
        flushed, copies = await asyncio.gather(
            self.flush(), self.copy(departure)
        )
        wanted = self.location.copies()
        is_kept = flushed and copies >= wanted
        log_change(
            'registry:departure_kept',
            instance=instance,
            draining=departure.draining is not None,
            on_disk=flushed,
            copies=copies,
            wanted=wanted,
            took_s=round(self.timer.now() - begun_s, 3),
        )
        if is_kept:
            self.copied_s[departure_key(departure)] = self.timer.now()
        return is_kept

    def departure_of(self, instance: str) -> ttypes.Departure | None:
        """Return what is to be copied; None where the others have it."""
        self.forget_old()
        known = self.upstreams.entries.get(instance)
        departure = ttypes.Departure()
        if known is not None:
            now_s = self.timer.now()
            departure.draining = upstream_to_wire(known, now_s)
        else:
            recorded = self.upstreams.ends.by_instance.get(instance)
            ended = EndedIncarnation(instance)
            if recorded is not None:
                ended = recorded.incarnation
            departure.gone = ends_to_wire((ended,))[0]
        is_copied = departure_key(departure) in self.copied_s
        return None if is_copied else departure

    def forget_old(self) -> None:
        """Forget what was copied long ago."""
        limit_s = self.timer.now() - REMEMBERED_S
        self.copied_s = {
            key: copied_s
            for key, copied_s in self.copied_s.items()
            if copied_s > limit_s
        }

    async def copy(self, departure: ttypes.Departure) -> int:
        """Have other control VMs keep a departure; return how many did.

        Ends once enough have it; the others go on.
        """
        wanted = self.location.copies()
        if wanted <= 0:
            return 0
        body = encode(departure)
        pending = {
            self.begin_copy(address, body)
            for address in self.location.others()
            if address != self.location.address
        }
        copies = 0
        while pending and copies < wanted:
            done, pending = await asyncio.wait(
                pending,
                return_when=asyncio.FIRST_COMPLETED,
            )
            copies += sum(ended.result() for ended in done)
        return copies

    def begin_copy(self, address: Address, body: bytes) -> asyncio.Task[bool]:
        """Start to have one control VM keep a departure."""
        call = asyncio.create_task(self.copy_to(address, body))
        self.calls.add(call)
        call.add_done_callback(self.calls.discard)
        return call

    async def copy_to(self, address: Address, body: bytes) -> bool:
        """Have one control VM keep a departure; tell whether it did."""
        reply = await self.links.call(
            address,
            MessageKind.upstream_departure,
            body,
            COPY_TIMEOUT_S,
        )
        return read_reply(address, reply)

    async def on_departure(self, sender: str, body: bytes) -> bytes:
        """Keep a departure that another control VM was told of."""
        departure = decode(ttypes.Departure, body)
        now_s = self.timer.now()
        if departure.draining is not None:
            told = upstream_from_wire(departure.draining)
            self.upstreams.announce(told, now_s)
        if departure.gone is not None:
            ended = ends_from_wire((departure.gone,))[0]
            self.upstreams.end(ended, now_s)
        log_change(
            'registry:departure_copied',
            instance=departure_key(departure)[0],
            sender=sender,
        )
        return encode(ttypes.DepartureReply(kept=await self.flush()))


def departure_key(departure: ttypes.Departure) -> tuple[str, bool]:
    """Return the incarnation that departs, and whether it is gone."""
    told = departure.gone or departure.draining
    is_gone = departure.gone is not None
    return incarnation_name(told.instance, told.born_ms), is_gone


def read_reply(address: Address, reply: Result[bytes, CallFailed]) -> bool:
    """Tell whether a control VM has answered that it kept a departure."""
    if not isinstance(reply, Ok):
        return False
    try:
        return bool(decode(ttypes.DepartureReply, reply.ok_value).kept)
    except FrameError as bad:
        log_change(
            'registry:departure_malformed',
            sender=str(address),
            fault=str(bad),
        )
        return False
