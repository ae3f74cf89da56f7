"""Detection of upstreams that crashed while they had requests.

A connection that closes within an answer proves no crash: answers are cut
short, connections are reset and links fail. An ended process refuses the next
connection, while one that is cut off or without power refuses nothing. So
another connection is opened to each upstream that closed one within an answer,
unless one is open still: an upstream that has as many as it takes refuses new
ones, while an ended process leaves none open.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from godwitshunt.configuration.background import BackgroundTasks
from godwitshunt.ingress.path_monitor import PathMonitor
from godwitshunt.ingress.requests import RoutedRequest
from godwitshunt.quarantine import Loss, LostRequest, Quarantine
from godwitshunt.settings import Address
from godwitshunt.telemetry import log_change
from godwitshunt.timer import Timer

# An exiting process closes its connections and its listener one after the
# other, within less than this.
EXIT_DELAY_S = 0.02
# An address in the own region answers within milliseconds unless it is cut
# off.
CONNECT_TIMEOUT_S = 0.25
# A crash that was found is not checked again for other requests lost to the
# same incarnation. One that is still up may crash at any time later.
CRASHED_TTL_S = 1.0
ALIVE_TTL_S = 0.1


@dataclass
class CrashCheck:
    """Whether an incarnation has crashed, and when that was checked."""

    crashed: bool
    at_s: float

    def is_valid(self, now_s: float) -> bool:
        """Tell whether the check holds for a request that is lost now."""
        ttl_s = CRASHED_TTL_S if self.crashed else ALIVE_TTL_S
        return now_s - self.at_s < ttl_s


def knows_no_connection(incarnation: str, address: Address) -> bool:
    """Know of no open connection."""
    return False


@dataclass
class CrashDetector:
    """Detects upstreams that crashed while they had requests of this VM.

    Parameters
    ----------
    quarantine : Quarantine
        Records the requests that were lost to crashes.
    timer : Timer
        Monotonic time.
    source : str or None
        Own IP address to connect from; None lets the system choose.
    path_monitor : PathMonitor or None
        Tells whether this VM reaches any upstream; None if it always does.
    has_open_connection : callable
        Tells whether a connection to an incarnation at an address is open.
    unchecked : dict
        Lost requests by incarnation, until that is checked.
    checks : dict
        Recent checks by incarnation.
    """

    quarantine: Quarantine
    timer: Timer
    source: str | None = None
    path_monitor: PathMonitor | None = None
    has_open_connection: Callable[[str, Address], bool] = knows_no_connection
    background: BackgroundTasks = field(default_factory=BackgroundTasks)
    unchecked: dict[str, list[LostRequest]] = field(default_factory=dict)
    checks: dict[str, CrashCheck] = field(default_factory=dict)

    def record_loss(
        self,
        request: RoutedRequest,
        incarnation: str,
        address: Address,
        exposure_s: float,
    ) -> None:
        """Record a request whose connection was closed within its answer."""
        now_s = self.timer.now()
        loss = Loss(
            incarnation, now_s, exposure_s, observer=self.quarantine.name
        )
        lost = lost_request(request, loss)
        check = self.checks.get(incarnation)
        if check is not None and check.is_valid(now_s):
            if check.crashed:
                self.quarantine.record_losses(lost)
            return
        self.unchecked.setdefault(incarnation, []).extend(lost)
        self.background.run(
            incarnation, partial(self.check_process, incarnation, address)
        )

    async def wait_checked(self, incarnation: str) -> None:
        """Wait until it is known whether an incarnation has crashed."""
        await self.background.wait(incarnation)

    async def check_process(self, incarnation: str, address: Address) -> None:
        """Check whether an incarnation has crashed; record its losses if so."""
        crashed = await self.has_crashed(incarnation, address)
        self.expire()
        self.checks[incarnation] = CrashCheck(crashed, self.timer.now())
        lost = self.unchecked.pop(incarnation, [])
        log_change(
            'quarantine:place_checked',
            place=incarnation,
            ended=crashed,
            lost=sum(each.part is None for each in lost),
        )
        if crashed:
            self.quarantine.record_losses(lost)

    async def is_end_of_crash(self, incarnation: str, address: Address) -> bool:
        """Check whether an answer ended because its upstream crashed.

        An exiting process closes its connections cleanly, like the end of an
        answer without a length. Where this VM has lost its paths, nothing
        proves a crash, but the answer's end is not known either.
        """
        check = self.checks.get(incarnation)
        if check is not None and check.crashed:
            return True
        refused = await self.is_refused(incarnation, address)
        if await self.has_lost_paths():
            return True
        if refused:
            self.checks[incarnation] = CrashCheck(True, self.timer.now())
        return refused

    async def has_crashed(self, incarnation: str, address: Address) -> bool:
        """Check whether the process at an address has ended by now."""
        refused = await self.is_refused(incarnation, address)
        return refused and not await self.has_lost_paths()

    async def is_refused(self, incarnation: str, address: Address) -> bool:
        """Check whether an upstream seems to have ended by now."""
        await asyncio.sleep(EXIT_DELAY_S)
        if self.has_open_connection(incarnation, address):
            return False
        return await self.refuses_connections(address)

    async def has_lost_paths(self) -> bool:
        """Tell whether this VM reaches no upstream at all."""
        if self.path_monitor is None:
            return False
        await self.path_monitor.wait_checked()
        return self.path_monitor.are_lost

    async def refuses_connections(self, address: Address) -> bool:
        """Tell whether an address refuses connections."""
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

    def expire(self) -> None:
        """Drop checks that do not hold any more."""
        self.background.remove_done()
        now_s = self.timer.now()
        for incarnation, check in tuple(self.checks.items()):
            if not check.is_valid(now_s):
                self.checks.pop(incarnation)

    async def close(self) -> None:
        """Stop all checks."""
        await self.background.close()


def lost_request(request: RoutedRequest, loss: Loss) -> list[LostRequest]:
    """Return a lost request and the parts of its prompt."""
    organisation = request.organisation_name
    content = LostRequest(
        request.fingerprint, organisation, len(request.http.body), loss
    )
    parts = [
        LostRequest(fingerprint, organisation, 0, loss, part)
        for fingerprint, part in request.suspect_parts().items()
    ]
    return [content, *parts]
