"""What an upstream announces of itself over HTTP, validated."""

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field

from godwitshunt.manifest.base import Name, StrictModel
from godwitshunt.membership.views import UpstreamRole
from godwitshunt.settings import Address

COUNT_LIMIT = 2**31 - 1
NUMBER_LIMIT = 2**63 - 1
MAX_NAMES = 64
MAX_PREFIXES = 1024
MAX_MEASURED_AGE_MS = 600_000

Count = Annotated[int, Field(ge=0, le=COUNT_LIMIT)]
Number = Annotated[int, Field(ge=0, le=NUMBER_LIMIT)]
Names = Annotated[tuple[Name, ...], Field(max_length=MAX_NAMES)]
Prefixes = Annotated[tuple[Number, ...], Field(max_length=MAX_PREFIXES)]
Speed = Annotated[float, Field(gt=0, le=COUNT_LIMIT)]


class UpstreamAnnouncement(StrictModel):
    """One announcement, sent about once a second.

    Parameters
    ----------
    incarnation : int
        Higher after each restart of the upstream, such as its start time.
    sequence : int
        Higher with each announcement of one incarnation.
    service : str
        The manifest's service that it serves.
    address : Address
        Where it takes requests.
    models, adapters : tuple of str
        What is loaded; empty for plain services.
    role : UpstreamRole
        Which part of the work it does.
    slots : int
        Requests that it runs at once.
    running, queued, queued_tokens : int
        Its load: requests running and waiting, and uncached prompt tokens
        that wait for prefill.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Its speeds; decode is per stream.
    price : float
        Cost of 1,000 generated tokens.
    cached_added, cached_dropped : tuple of int
        Hashes of prompt blocks that entered and left its cache since the
        announcement before; a gap only costs precision.
    honours_resume, honours_priority, honours_fencing : bool
        What the engine can do.
    measured_age_ms : int
        Milliseconds between the measurement of the load and this sending.
    leaving : bool
        True where it takes no new work from now on.
    """

    incarnation: Number
    sequence: Number
    service: Name
    address: Address
    models: Names = ()
    adapters: Names = ()
    role: UpstreamRole = UpstreamRole.mixed
    slots: int = Field(default=1, ge=1, le=COUNT_LIMIT)
    running: Count = 0
    queued: Count = 0
    queued_tokens: Count = 0
    prefill_tokens_per_s: Speed = 1000.0
    decode_tokens_per_s: Speed = 50.0
    price: float = Field(default=1.0, ge=0)
    cached_added: Prefixes = ()
    cached_dropped: Prefixes = ()
    honours_resume: bool = False
    honours_priority: bool = False
    honours_fencing: bool = False
    measured_age_ms: int = Field(default=0, ge=0, le=MAX_MEASURED_AGE_MS)
    leaving: bool = False


@dataclass(frozen=True)
class AnnounceAccepted:
    """The announcement counts.

    Parameters
    ----------
    lease_s : float
        Seconds from now until the upstream gets no more work unless it
        announces again.
    """

    lease_s: float


@dataclass(frozen=True)
class StaleAnnouncement:
    """A newer announcement, or the upstream's departure, is known.

    Parameters
    ----------
    incarnation, sequence : int
        The newest that are known; only a higher pair counts.
    """

    incarnation: int
    sequence: int


@dataclass(frozen=True)
class TableFull:
    """The region has as many upstreams as a VM will hold.

    Parameters
    ----------
    limit : int
        Names that are held at most.
    """

    limit: int


AnnounceRefused = StaleAnnouncement | TableFull
