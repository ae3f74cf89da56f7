"""Whether an upstream ended while it had a request, or only its connection.

A connection that ends within an answer shows little: answers are cut short,
connections are reset, links are lost. An upstream whose process has ended
refuses the next connection; one that is cut off or without power refuses
nothing. So each upstream that closed a connection within an answer is asked
for one more.
"""

import asyncio
from dataclasses import dataclass, field
from functools import partial

from godwitshunt.configuration.background import BackgroundTasks
from godwitshunt.ingress.requests import RoutedRequest
from godwitshunt.quarantine import Loss, LostRequest, Quarantine
from godwitshunt.settings import Address
from godwitshunt.telemetry import log_change
from godwitshunt.timer import Timer

# A process that ends closes its connections and its listener one after the
# other, within less than this.
ENDING_S = 0.02
# An address of the own region answers within milliseconds; one that does not
# is cut off.
CONNECT_TIMEOUT_S = 0.25
# What one connect has shown of a place holds for requests lost with the first.
SHOWN_KEPT_S = 1.0


@dataclass
class PlaceShown:
    """What was found of a place, and when."""

    ended: bool
    at_s: float


@dataclass
class CrashWitness:
    """Finds out which upstreams ended while they had requests of this VM.

    Parameters
    ----------
    quarantine : Quarantine
        Told of requests that were lost to upstreams that ended.
    timer : Timer
        Monotonic time.
    source : str or None
        The own IP address to connect from; None lets the system choose.
    """

    quarantine: Quarantine
    timer: Timer
    source: str | None = None
    background: BackgroundTasks = field(default_factory=BackgroundTasks)
    waiting: dict[str, list[LostRequest]] = field(default_factory=dict)
    shown: dict[str, PlaceShown] = field(default_factory=dict)

    def record_loss(
        self,
        request: RoutedRequest,
        place: str,
        address: Address,
        exposure_s: float,
    ) -> None:
        """Take a request whose connection a place closed within an answer."""
        now_s = self.timer.now()
        lost = LostRequest(
            request.fingerprint,
            request.organisation_name,
            len(request.http.body),
            Loss(place, now_s, exposure_s),
        )
        known = self.shown.get(place)
        if known is not None and now_s - known.at_s < SHOWN_KEPT_S:
            self.judge(lost, ended=known.ended)
            return
        self.waiting.setdefault(place, []).append(lost)
        self.background.run(place, partial(self.find_out, place, address))

    async def settled(self, place: str) -> None:
        """Wait until it is known whether a place ended."""
        await self.background.wait(place)

    async def find_out(self, place: str, address: Address) -> None:
        """Find out whether a place ended; judge what was lost to it."""
        await asyncio.sleep(ENDING_S)
        ended = await self.refuses(address)
        self.forget()
        self.shown[place] = PlaceShown(ended, self.timer.now())
        lost = self.waiting.pop(place, [])
        log_change(
            'quarantine:place_checked',
            place=place,
            ended=ended,
            lost=len(lost),
        )
        for one in lost:
            self.judge(one, ended=ended)

    async def refuses(self, address: Address) -> bool:
        """Tell whether nobody listens at an address."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    address.host,
                    address.port,
                    local_addr=self.source and (self.source, 0),
                )
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.close()
        return False

    def judge(self, lost: LostRequest, *, ended: bool) -> None:
        """Hold a loss against a request where its place ended."""
        if ended:
            self.quarantine.record_loss(lost)

    def forget(self) -> None:
        """Drop what was found too long ago to hold."""
        self.background.remove_done()
        now_s = self.timer.now()
        for place, known in tuple(self.shown.items()):
            if now_s - known.at_s >= SHOWN_KEPT_S:
                self.shown.pop(place)

    async def close(self) -> None:
        """Look at no more places."""
        await self.background.close()
