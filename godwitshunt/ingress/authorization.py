"""Whether a request may still be served, by its key and by this VM's proof.

A key is looked up when the request is admitted, and once more before each
sending: while a request waits, the VM may have been frozen, the key taken
away, or the last proof of a quorum have run out.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Self

from godwitshunt.exchange.problems import ProblemKind
from godwitshunt.ingress.active_revision import ActiveRevision
from godwitshunt.ingress.requests import RoutedRequest
from godwitshunt.organisations import FreshnessRule
from godwitshunt.settings import BoundSettings

# A key that is not known after newer news is nobody's, where the news is of a
# control VM that was in touch with a quorum so lately.
KEY_NEWS_S = 1.0


async def ask_nobody() -> None:
    """Ask for no newer proof; for a VM that knows no control VM."""


def always() -> float:
    """Return the age of a proof that was made just now."""
    return 0.0


@dataclass
class Authorizer:
    """What this VM may act on.

    Parameters
    ----------
    rule : FreshnessRule
        How long a proof holds.
    now_s : callable
        Returns monotonic seconds.
    age_s : callable
        Returns the seconds since the revision in force was a quorum's newest.
    renew : callable
        Asks for a newer proof, and for newer revisions.
    """

    rule: FreshnessRule
    now_s: Callable[[], float]
    age_s: Callable[[], float] = always
    renew: Callable[[], Awaitable[None]] = ask_nobody

    @classmethod
    def from_config(
        cls,
        bounds: BoundSettings,
        now_s: Callable[[], float],
    ) -> Self:
        """Make the authority of a VM that asks nobody yet."""
        return cls(FreshnessRule(bounds.revoke_s), now_s)

    @property
    def is_proven(self) -> bool:
        """True while keys that are known here may be acted on."""
        return self.rule.holds(self.age_s())

    @property
    def is_newest(self) -> bool:
        """True where a key that is not known here is nobody's."""
        return self.age_s() <= KEY_NEWS_S

    def is_newer_than(self, moment_s: float) -> bool:
        """Tell whether every change until a moment is known here."""
        return self.now_s() - self.age_s() >= moment_s

    def refusal(
        self,
        request: RoutedRequest,
        active_revision: ActiveRevision,
    ) -> ProblemKind | None:
        """Return why a request may not be sent now; None where it may.

        One that was handed over names its organisation, whose key was looked
        up by the VM that it came from.
        """
        organisation = request.organisation
        if organisation is None:
            return None
        if not self.is_proven:
            return ProblemKind.unproven
        keys = active_revision.table.keys
        if request.key_sha256:
            holds = keys.still_holds(organisation, request.key_sha256)
        else:
            holds = organisation.name in keys.by_name
        return None if holds else ProblemKind.unauthorized
