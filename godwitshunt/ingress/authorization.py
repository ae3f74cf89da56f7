"""Whether a request may be sent, by its key and the VM's proof of a quorum.

A key is looked up when the request is admitted and once more before each
attempt. In between, the VM may have been frozen, the key revoked, or the last
proof of a quorum may have expired.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Self

from godwitshunt.exchange.problems import ProblemKind
from godwitshunt.ingress.active_revision import ActiveRevision
from godwitshunt.ingress.requests import RoutedRequest
from godwitshunt.organisations import FreshnessRule
from godwitshunt.settings import BoundSettings

# A key that is not known here is invalid if the control VM had a quorum at
# most this long ago.
MAX_CURRENT_PROOF_AGE_S = 1.0


async def renew_nothing() -> None:
    """Request no proof; the default for a VM that knows no control VM."""


def zero_age_s() -> float:
    """Return the age of a proof that was made just now."""
    return 0.0


@dataclass
class Authorizer:
    """Decides which keys this VM may rely on.

    Parameters
    ----------
    rule : FreshnessRule
        How long a proof is valid.
    now_s : callable
        Returns monotonic seconds.
    age_s : callable
        Returns the seconds since the active revision was a quorum's newest.
    renew : callable
        Requests a newer proof and newer revisions.
    """

    rule: FreshnessRule
    now_s: Callable[[], float]
    age_s: Callable[[], float] = zero_age_s
    renew: Callable[[], Awaitable[None]] = renew_nothing

    @classmethod
    def from_config(
        cls,
        bounds: BoundSettings,
        now_s: Callable[[], float],
    ) -> Self:
        """Create the authorizer of a VM that knows no control VM yet."""
        return cls(FreshnessRule(bounds.revoke_s), now_s)

    @property
    def is_proven(self) -> bool:
        """True while the keys known here may be relied on."""
        return self.rule.holds(self.age_s())

    @property
    def is_current(self) -> bool:
        """True where a key that is not known here is invalid."""
        return self.age_s() <= MAX_CURRENT_PROOF_AGE_S

    def covers(self, time_s: float) -> bool:
        """Tell whether all changes up to a monotonic time are known here."""
        return self.now_s() - self.age_s() >= time_s

    def refusal(
        self,
        request: RoutedRequest,
        active_revision: ActiveRevision,
    ) -> ProblemKind | None:
        """Return why a request may not be sent now; None where it may.

        A forwarded request names its organisation. Its key was checked by the
        VM that forwarded it.
        """
        organisation = request.organisation
        if organisation is None:
            return None
        if not self.is_proven:
            return ProblemKind.unproven
        keys = active_revision.table.keys
        if request.key_sha256:
            is_valid = keys.still_holds(organisation, request.key_sha256)
        else:
            is_valid = organisation.name in keys.by_name
        return None if is_valid else ProblemKind.unauthorized
