"""One-VM versions of the other slices, for tests of the exchange alone."""

import secrets
from dataclasses import dataclass, field, replace

from godwitshunt.claims.messages import (
    AlreadyAnswered,
    ClaimOutcome,
    Granted,
    InProgress,
    KeyMalformed,
    KeyReused,
    RunUnknown,
    StoredAnswer,
)
from godwitshunt.settings import EntrySettings

RETRY_AFTER_S = 1.0
MILLISECONDS = 1000


@dataclass
class Kept:
    """What is known of a key."""

    digest: bytes
    answer: StoredAnswer | None = None
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

    async def finish(self, key: str, answer: StoredAnswer | None) -> None:
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

    def record_first_try(self, now: float) -> None:
        """Count nothing."""

    def spend(self, now: float) -> bool:
        """Allow every retry."""
        return True
