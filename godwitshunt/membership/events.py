"""Events that the upstream table takes, and the changes that they make."""

from dataclasses import dataclass
from typing import Self

from godwitshunt.membership.announcements import UpstreamAnnouncement
from godwitshunt.membership.views import UpstreamRole
from godwitshunt.settings import Address

MILLISECONDS = 1000


@dataclass(frozen=True)
class UpstreamDetails:
    """What an upstream is, apart from its load."""

    service: str
    address: Address
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: UpstreamRole = UpstreamRole.mixed
    slots: int = 1
    prefill_tokens_per_s: float = 1000.0
    decode_tokens_per_s: float = 50.0
    price: float = 1.0
    honours_resume: bool = False
    honours_priority: bool = False
    honours_fencing: bool = False

    @classmethod
    def from_announcement(cls, announcement: UpstreamAnnouncement) -> Self:
        """Take the details out of a validated announcement."""
        return cls(
            service=announcement.service,
            address=announcement.address,
            models=announcement.models,
            adapters=announcement.adapters,
            role=announcement.role,
            slots=announcement.slots,
            prefill_tokens_per_s=announcement.prefill_tokens_per_s,
            decode_tokens_per_s=announcement.decode_tokens_per_s,
            price=announcement.price,
            honours_resume=announcement.honours_resume,
            honours_priority=announcement.honours_priority,
            honours_fencing=announcement.honours_fencing,
        )


@dataclass(frozen=True)
class UpstreamLoad:
    """Requests running and waiting, and prompt tokens that wait."""

    running: int = 0
    queued: int = 0
    queued_tokens: int = 0


@dataclass(frozen=True)
class Announced:
    """An upstream announced itself to this VM."""

    name: str
    announcement: UpstreamAnnouncement


@dataclass(frozen=True)
class Gossiped:
    """A peer passed on an announcement.

    Parameters
    ----------
    details : UpstreamDetails or None
        None where the peer sent the load only.
    age_s : float
        Upper bound of the seconds since the upstream announced, transit
        included.
    measured_age_s : float
        Upper bound of the seconds since the load was measured.
    """

    name: str
    incarnation: int
    sequence: int
    load: UpstreamLoad
    age_s: float
    measured_age_s: float
    details: UpstreamDetails | None = None


@dataclass(frozen=True)
class Withdrawn:
    """An upstream left: no new work for this incarnation, ever.

    Parameters
    ----------
    sequence : int or None
        The announcement that said so: a later one of the same incarnation
        returns. None where the incarnation is over.
    """

    name: str
    incarnation: int
    sequence: int | None = None
    age_s: float = 0.0


@dataclass(frozen=True)
class PrefixesChanged:
    """An upstream's prefix cache changed, as a peer passed on."""

    name: str
    incarnation: int
    added: tuple[int, ...]
    dropped: tuple[int, ...]


@dataclass(frozen=True)
class RequestSent:
    """A request went to an upstream, with so many uncached prompt tokens."""

    name: str
    tokens: int


@dataclass(frozen=True)
class RequestFinished:
    """A request that this VM sent is over."""

    name: str
    tokens: int


@dataclass(frozen=True)
class Tick:
    """Time has passed."""


UpstreamEvent = (
    Announced
    | Gossiped
    | Withdrawn
    | PrefixesChanged
    | RequestSent
    | RequestFinished
    | Tick
)


@dataclass(frozen=True)
class Joined:
    """An upstream is new, or back under a higher incarnation."""

    name: str


@dataclass(frozen=True)
class Refreshed:
    """A live upstream's lease began anew.

    Parameters
    ----------
    details_changed : bool
        True where more than the load differs.
    """

    name: str
    details_changed: bool = False


@dataclass(frozen=True)
class Left:
    """An upstream takes no new work."""

    name: str
    incarnation: int
    sequence: int


@dataclass(frozen=True)
class Lapsed:
    """An upstream's lease ran out without a word from it."""

    name: str


@dataclass(frozen=True)
class Stale:
    """Dropped: this or a newer announcement is known."""

    name: str
    incarnation: int
    sequence: int


@dataclass(frozen=True)
class Late:
    """Dropped: the lease that it would begin is already over."""

    name: str


@dataclass(frozen=True)
class DetailsMissing:
    """Dropped: a load came for an upstream that is not known here."""

    name: str


@dataclass(frozen=True)
class Full:
    """Dropped: no more names are held."""

    name: str


UpstreamChange = (
    Joined | Refreshed | Left | Lapsed | Stale | Late | DetailsMissing | Full
)
