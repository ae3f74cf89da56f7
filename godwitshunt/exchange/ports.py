"""What the exchange needs of the other slices, as protocols."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from result import Result

from godwitshunt.claims.messages import ClaimOutcome, StoredAnswer
from godwitshunt.configuration.revision import Revision, VmRecord
from godwitshunt.exchange.problems import Problem
from godwitshunt.manifest import Objective
from godwitshunt.membership.announcements import UpstreamAnnouncement
from godwitshunt.membership.views import RegionView, UpstreamView
from godwitshunt.routing.admission import AdmissionQueue
from godwitshunt.routing.messages import Decision, RouteRequest
from godwitshunt.routing.outliers import AttemptOutcome
from godwitshunt.timer import Timer


class ConfigurationPort(Protocol):
    """The configuration in force on this VM."""

    def current(self) -> Revision | None:
        """Return the newest applied revision; None before the first."""


class MembershipPort(Protocol):
    """Upstreams of this region, and summaries of the others."""

    def announce(
        self,
        name: str,
        announcement: UpstreamAnnouncement,
    ) -> Result[float, Problem]:
        """Take an announcement; return its lease in seconds."""

    def withdraw(self, name: str, incarnation: int) -> None:
        """Take an upstream's departure."""

    def view(self) -> RegionView:
        """Return what is known now."""

    def record_sent(self, name: str, tokens: int) -> None:
        """Count a request that was sent to an upstream."""

    def record_finished(self, name: str, tokens: int) -> None:
        """Count the end of a request, however it ended."""


class ClaimsPort(Protocol):
    """At most one run of each key."""

    async def claim(self, key: str, request_digest: bytes) -> ClaimOutcome:
        """Ask a majority of the holders; bounded in time."""

    async def finish(self, key: str, answer: StoredAnswer | None) -> None:
        """Keep the answer of a run; None where it is unknown."""

    async def release(self, key: str) -> None:
        """Give back a claim under which nothing was sent."""

    def stamp(self) -> str | None:
        """Return the stamp for new keys; None where none can be given."""


class LimitsPort(Protocol):
    """Limits of each caller over all VMs of the region."""

    def admit(self, caller: str) -> float | None:
        """Count a request; seconds to wait where it is over the limit."""


class RetryBudgetPort(Protocol):
    """Retries and hedges as a share of first tries."""

    def record_first_try(self, now: float) -> None:
        """Count a first try."""

    def spend(self, now: float) -> bool:
        """Take one retry; False where the budget is spent."""


class ChoosePort(Protocol):
    """The routing decision."""

    def __call__(
        self,
        view: RegionView,
        request: RouteRequest,
        objective: Objective,
        random: random.Random,
    ) -> Decision:
        """Choose an upstream, a region, waiting or a refusal."""


def note_nothing(
    upstream: UpstreamView,
    outcome: AttemptOutcome | None = None,
) -> None:
    """Keep no account of upstreams; for a decision that uses none."""


@dataclass(frozen=True)
class Ports:
    """The other slices, as the exchange is given them.

    Parameters
    ----------
    entries : callable
        Returns the entry VMs for a caller's name, nearest first.
    queue : AdmissionQueue
        Requests of this VM that no upstream takes now.
    record_outcome : callable
        Takes what an attempt at an upstream came to.
    record_abandoned : callable
        Takes an upstream whose attempt was given up before it came to
        anything.
    """

    configuration: ConfigurationPort
    membership: MembershipPort
    claims: ClaimsPort
    limits: LimitsPort
    retries: RetryBudgetPort
    choose: ChoosePort
    entries: Callable[[str], tuple[VmRecord, ...]]
    timer: Timer
    queue: AdmissionQueue
    record_outcome: Callable[[UpstreamView, AttemptOutcome], None] = (
        note_nothing
    )
    record_abandoned: Callable[[UpstreamView], None] = note_nothing
