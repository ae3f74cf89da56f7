"""Validated HTTP announcements of upstreams."""

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field

from godwitshunt.manifest.base import Name, StrictModel
from godwitshunt.membership.views import UpstreamRole
from godwitshunt.settings import Address

MAX_INT32 = 2**31 - 1
MAX_INT64 = 2**63 - 1
MAX_NAMES = 64
MAX_PREFIXES = 1024
MAX_MEASURED_AGE_MS = 600_000

Count = Annotated[int, Field(ge=0, le=MAX_INT32)]
Number = Annotated[int, Field(ge=0, le=MAX_INT64)]
Names = Annotated[tuple[Name, ...], Field(max_length=MAX_NAMES)]
Prefixes = Annotated[tuple[Number, ...], Field(max_length=MAX_PREFIXES)]
Speed = Annotated[float, Field(gt=0, le=MAX_INT32)]


class UpstreamAnnouncement(StrictModel):
    """One announcement of an upstream, sent about once a second.

    Parameters
    ----------
    incarnation : int
        Increases with each restart of the upstream, such as its start time.
    sequence : int
        Increases with each announcement of one incarnation.
    service : str
        The service in the manifest that it serves.
    address : Address
        Address at which it accepts requests.
    models, adapters : tuple of str
        Loaded models and adapters; empty for plain services.
    role : UpstreamRole
        Phases of inference that it runs.
    slots : int
        Maximum number of concurrent requests.
    running, queued, queued_tokens : int
        Its load: requests that run and that are queued, and uncached prompt
        tokens that are queued for prefill.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Its throughput; decode is per stream.
    price : float
        Cost of 1,000 generated tokens.
    cached_added, cached_dropped : tuple of int
        Hashes of prompt blocks that entered and left its cache since the
        previous announcement. A missed announcement only makes the prefix
        index less accurate.
    honours_resume, honours_priority, honours_fencing : bool
        Whether the engine supports resumption, priorities and fencing.
    measured_age_ms : int
        Milliseconds from the measurement of the load to the sending of the
        announcement.
    leaving : bool
        True if it accepts no new requests from now on.
    """

    incarnation: Number
    sequence: Number
    service: Name
    address: Address
    models: Names = ()
    adapters: Names = ()
    role: UpstreamRole = UpstreamRole.mixed
    slots: int = Field(default=1, ge=1, le=MAX_INT32)
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
    """The announcement was accepted.

    Parameters
    ----------
    lease_s : float
        Seconds from now until the upstream gets no new requests unless it
        announces itself again.
    """

    lease_s: float


@dataclass(frozen=True)
class StaleAnnouncement:
    """The announcement is no newer than a known one or a departure.

    Parameters
    ----------
    incarnation, sequence : int
        The newest known pair; only a higher one is accepted.
    """

    incarnation: int
    sequence: int


@dataclass(frozen=True)
class TableFull:
    """The VM already tracks the maximum number of upstreams.

    Parameters
    ----------
    limit : int
        Maximum number of upstream names.
    """

    limit: int


AnnounceRefused = StaleAnnouncement | TableFull
