"""The slices of an entry VM as the exchange's ports."""

from dataclasses import dataclass

from result import Result

from godwitshunt.claims import ClaimOutcome, ClaimsTask, StoredAnswer
from godwitshunt.configuration import ConfigurationTask, Revision, VmRecord
from godwitshunt.exchange.problems import Outcome, Problem, ProblemKind
from godwitshunt.membership import (
    AnnounceAccepted,
    AnnounceRefused,
    MembershipTask,
    RegionView,
    StaleAnnouncement,
    TableFull,
    UpstreamAnnouncement,
)
from godwitshunt.routing import Limited, RetryBudget, order_entries
from godwitshunt.routing.limits_task import LimitsTask

CLAIM_TIMEOUT_S = 5.0


@dataclass
class ConfigurationAdapter:
    """The configuration task as a port."""

    task: ConfigurationTask

    def current(self) -> Revision | None:
        """Return the newest applied revision; None before the first."""
        return self.task.current


@dataclass
class MembershipAdapter:
    """The membership task as a port, with the configuration's quorum age."""

    task: MembershipTask
    configuration: ConfigurationTask

    def announce(
        self,
        name: str,
        announcement: UpstreamAnnouncement,
    ) -> Result[float, Problem]:
        """Take an announcement; return its lease in seconds."""
        taken = self.task.announce(name, announcement)
        return taken.map(lease_of).map_err(announcement_problem)

    def withdraw(self, name: str, incarnation: int) -> None:
        """Take an upstream's departure."""
        self.task.withdraw(name, incarnation)

    def view(self) -> RegionView:
        """Return what is known now."""
        return self.task.view(self.configuration.quorum_age_s())

    def record_sent(self, name: str, tokens: int) -> None:
        """Count a request that was sent to an upstream."""
        self.task.record_sent(name, tokens)

    def record_finished(self, name: str, tokens: int) -> None:
        """Count the end of a request, however it ended."""
        self.task.record_finished(name, tokens)


def lease_of(accepted: AnnounceAccepted) -> float:
    """Return the lease of an announcement in seconds."""
    return accepted.lease_s


def announcement_problem(refused: AnnounceRefused) -> Problem:
    """Return the refusal of an announcement."""
    match refused:
        case StaleAnnouncement(incarnation, sequence):
            kind = ProblemKind.stale_announcement
            told = f'incarnation {incarnation}, sequence {sequence} is known'
        case TableFull(limit):
            kind = ProblemKind.table_full
            told = f'{limit} upstreams are known'
    return Problem(kind, told, Outcome.not_run)


@dataclass
class ClaimsAdapter:
    """The claims task as a port, with a bounded wait."""

    task: ClaimsTask

    async def claim(self, key: str, request_digest: bytes) -> ClaimOutcome:
        """Ask a majority of the holders."""
        return await self.task.claim(key, request_digest, CLAIM_TIMEOUT_S)

    async def finish(self, key: str, answer: StoredAnswer | None) -> None:
        """Keep the answer of a run; None where it is unknown."""
        if answer is None:
            await self.task.finish_unknown(key, 'no whole answer came')
            return
        await self.task.finish(key, answer)

    async def release(self, key: str) -> None:
        """Give back a claim under which nothing was sent."""
        await self.task.release(key)

    def stamp(self) -> str | None:
        """Return the stamp for new keys; None where none can be given."""
        return self.task.stamp()


@dataclass
class LimitsAdapter:
    """The limits task as a port."""

    task: LimitsTask

    def admit(self, caller: str) -> float | None:
        """Count a request; seconds to wait where it is over the limit."""
        admission = self.task.admit(caller)
        if isinstance(admission, Limited):
            return admission.retry_after_s
        return None


@dataclass
class RetriesAdapter:
    """The retry budget, made anew where the manifest changes its share."""

    budget: RetryBudget

    def apply_revision(self, revision: Revision) -> None:
        """Follow the manifest's share."""
        self.budget.share = revision.manifest.retry_share

    def record_first_try(self, now: float) -> None:
        """Count a first try."""
        self.budget.record_first_try(now)

    def spend(self, now: float) -> bool:
        """Take one retry; False where the budget is spent."""
        return self.budget.spend(now)


@dataclass
class DirectoryAdapter:
    """The directory's order of entry VMs."""

    region: str
    configuration: ConfigurationTask
    membership: MembershipTask

    def entries(self, caller: str) -> tuple[VmRecord, ...]:
        """Return entry VMs for a caller, nearest first."""
        revision = self.configuration.current
        if revision is None:
            return ()
        return order_entries(
            revision.vms,
            self.region,
            caller,
            draining=self.membership.unavailable_vms(),
        )
