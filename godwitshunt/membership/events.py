"""Events that the upstream table applies, and the resulting changes."""

from dataclasses import dataclass
from typing import Self

from godwitshunt.membership.announcements import UpstreamAnnouncement
from godwitshunt.membership.views import UpstreamRole
from godwitshunt.settings import Address

MILLISECONDS = 1000


@dataclass(frozen=True)
class UpstreamDetails:
    """Properties of an upstream other than its load."""

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
        """Return the details in a validated announcement."""
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
    """Running and queued requests, and queued uncached prompt tokens."""

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
    """A peer relayed an announcement.

    Parameters
    ----------
    details : UpstreamDetails or None
        None if the peer sent only the load.
    age_s : float
        Upper bound of the seconds since the announcement, including the
        transit time of the gossip.
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
    """An upstream withdrew and gets no new requests.

    Parameters
    ----------
    sequence : int or None
        Sequence of the announcement that withdrew it; a later announcement
        of the same incarnation adds it again. None if the incarnation has
        ended for good.
    """

    name: str
    incarnation: int
    sequence: int | None = None
    age_s: float = 0.0


@dataclass(frozen=True)
class PrefixesChanged:
    """A peer relayed changes of an upstream's prefix cache."""

    name: str
    incarnation: int
    added: tuple[int, ...]
    dropped: tuple[int, ...]


@dataclass(frozen=True)
class RequestSent:
    """A request with `tokens` uncached prompt tokens was sent."""

    name: str
    tokens: int


@dataclass(frozen=True)
class RequestFinished:
    """A request that this VM sent to an upstream has ended."""

    name: str
    tokens: int


@dataclass(frozen=True)
class Tick:
    """Periodic check for expired leases."""


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
    """An upstream was added, or returned with a higher incarnation."""

    name: str


@dataclass(frozen=True)
class Refreshed:
    """The lease of a known upstream was renewed.

    Parameters
    ----------
    details_changed : bool
        True if more than the load has changed.
    """

    name: str
    details_changed: bool = False


@dataclass(frozen=True)
class Left:
    """An upstream departed and gets no new requests."""

    name: str
    incarnation: int
    sequence: int


@dataclass(frozen=True)
class Lapsed:
    """An upstream's lease expired without a new announcement."""

    name: str


@dataclass(frozen=True)
class Stale:
    """Dropped: this announcement or a newer one is already known."""

    name: str
    incarnation: int
    sequence: int


@dataclass(frozen=True)
class Late:
    """Dropped: the lease of the announcement has already expired."""

    name: str


@dataclass(frozen=True)
class DetailsMissing:
    """Dropped: a load without details for an unknown upstream."""

    name: str


@dataclass(frozen=True)
class Full:
    """Dropped: the table is full."""

    name: str


UpstreamChange = (
    Joined | Refreshed | Left | Lapsed | Stale | Late | DetailsMissing | Full
)
