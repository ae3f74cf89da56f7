"""One-VM versions of the other slices, for tests of the exchange alone."""

import random
import secrets
from dataclasses import dataclass, field, replace
from pathlib import Path

from result import Ok, Result

from godwitshunt.claims.messages import (
    AlreadyAnswered,
    ClaimOutcome,
    Granted,
    InProgress,
    KeptAnswer,
    KeyMalformed,
    KeyReused,
    RunUnknown,
)
from godwitshunt.configuration.revision import Revision, VmRecord, VmRole
from godwitshunt.exchange.problems import Problem
from godwitshunt.manifest import Objective, manifest_digest, parse_manifest
from godwitshunt.membership.announcements import UpstreamAnnouncement
from godwitshunt.membership.views import RegionView, UpstreamView
from godwitshunt.routing.messages import (
    Decision,
    RefusalReason,
    Refuse,
    RouteRequest,
    Serve,
)
from godwitshunt.settings import EntrySettings
from godwitshunt.timer import Timer

RETRY_AFTER_S = 1.0
MILLISECONDS = 1000


@dataclass
class FileConfiguration:
    """The manifest of a file, in force from the start."""

    revision: Revision

    @classmethod
    def from_config(
        cls, settings: EntrySettings, path: Path
    ) -> 'FileConfiguration':
        """Read the manifest; this VM is the only one."""
        manifest = parse_manifest(path.read_bytes(), str(path))
        vm = VmRecord(
            name=settings.name,
            region=settings.region,
            failure_domain=settings.failure_domain,
            role=VmRole.entry,
            http=settings.http_reached,
            peer=settings.peer_reached,
        )
        digest = manifest_digest(manifest)
        return cls(Revision(manifest.number, digest, manifest, (vm,)))

    def current(self) -> Revision | None:
        """Return the file's revision."""
        return self.revision

    def quorum_age_s(self) -> float:
        """Return 0: nobody else could have changed the configuration."""
        return 0.0

    def entries(self, caller: str) -> tuple[VmRecord, ...]:
        """Return this VM."""
        return self.revision.vms


@dataclass
class Announced:
    """An upstream and when its lease ends."""

    announcement: UpstreamAnnouncement
    lease_end_s: float
    sent_since: int = 0


@dataclass
class LocalMembership:
    """Upstreams that announced themselves to this VM."""

    settings: EntrySettings
    timer: Timer
    upstreams: dict[str, Announced] = field(default_factory=dict)

    def announce(
        self,
        name: str,
        announcement: UpstreamAnnouncement,
    ) -> Result[float, Problem]:
        """Take an announcement."""
        lease_s = self.settings.upstream_lease_s
        end_s = self.timer.now() + lease_s
        self.upstreams[name] = Announced(announcement, end_s)
        return Ok(lease_s)

    def withdraw(self, name: str, incarnation: int) -> None:
        """Forget an upstream."""
        known = self.upstreams.get(name)
        if known and known.announcement.incarnation <= incarnation:
            self.upstreams.pop(name)

    def view(self) -> RegionView:
        """Return the upstreams whose lease holds."""
        now = self.timer.now()
        return RegionView(
            self.settings.region,
            tuple(
                self.view_one(name, known)
                for name, known in self.upstreams.items()
                if known.lease_end_s > now
            ),
        )

    def view_one(self, name: str, known: Announced) -> UpstreamView:
        """Return one upstream as routing sees it."""
        told = known.announcement
        return UpstreamView(
            name=name,
            region=self.settings.region,
            service=told.service,
            address=told.address,
            incarnation=told.incarnation,
            models=frozenset(told.models),
            slots=told.slots,
            running=told.running,
            queued=told.queued,
            report_age_s=told.measured_age_ms / MILLISECONDS,
            sent_since=known.sent_since,
            honours_resume=told.honours_resume,
            leaving=told.leaving,
        )

    def note_sent(self, name: str, tokens: int) -> None:
        """Count a request."""
        self.add(name, 1)

    def note_finished(self, name: str, tokens: int) -> None:
        """Count the end of a request."""
        self.add(name, -1)

    def add(self, name: str, count: int) -> None:
        """Change the number of requests that an upstream runs."""
        known = self.upstreams.get(name)
        if known is not None:
            known.sent_since += count


@dataclass
class Kept:
    """What is known of a key."""

    digest: bytes
    answer: KeptAnswer | None = None
    running: bool = True


@dataclass
class LocalClaims:
    """Claims of a VM that is its region's only holder.

    They are lost with the process; so keys bear the process's own stamp, and
    one that was stamped before a restart is refused as unknown.
    """

    settings: EntrySettings
    epoch: str = field(default_factory=lambda: secrets.token_hex(4))
    claims: dict[str, Kept] = field(default_factory=dict)

    def stamp(self) -> str | None:
        """Return the stamp for new keys."""
        return f'{self.settings.region}.0.{self.epoch}'

    async def claim(self, key: str, request_digest: bytes) -> ClaimOutcome:
        """Grant a key once."""
        stamp, _, own_part = key.rpartition('.')
        if not own_part or stamp.count('.') != 2:
            return KeyMalformed()
        if stamp != self.stamp():
            return RunUnknown('the claim holder restarted')
        known = self.claims.get(key)
        if known is None:
            self.claims[key] = Kept(request_digest)
            return Granted(1)
        if known.digest != request_digest:
            return KeyReused()
        if known.answer is not None:
            return AlreadyAnswered(known.answer)
        if known.running:
            return InProgress(self.settings.name)
        return RunUnknown('the attempt broke')

    async def finish(self, key: str, answer: KeptAnswer | None) -> None:
        """Keep an answer."""
        known = self.claims[key]
        self.claims[key] = replace(known, answer=answer, running=False)

    async def release(self, key: str) -> None:
        """Let a key be claimed again."""
        self.claims.pop(key, None)


class NoLimits:
    """No limits for callers."""

    def admit(self, caller: str) -> float | None:
        """Admit everyone."""


@dataclass
class FreeRetries:
    """A retry for each failure."""

    def note_first(self, now: float) -> None:
        """Count nothing."""

    def spend(self, now: float) -> bool:
        """Allow every retry."""
        return True


def choose_least_loaded(
    view: RegionView,
    request: RouteRequest,
    objective: Objective,
    random: random.Random,
) -> Decision:
    """Choose the upstream of this region with the least load."""
    usable = [
        upstream
        for upstream in view.upstreams
        if upstream.service == request.service
        and not upstream.leaving
        and upstream.name not in request.excluded
        and (request.model is None or request.model in upstream.models)
    ]
    if view.region not in request.allowed:
        return Refuse(RefusalReason.residency)
    if not usable:
        return Refuse(RefusalReason.no_upstream, RETRY_AFTER_S)
    return Serve(
        min(
            usable,
            key=lambda upstream: (
                upstream.sent_since + upstream.queued,
                random.random(),
            ),
        ),
    )
