"""What upstreams announce of themselves, as a validated model."""

from typing import Annotated

from pydantic import Field

from godwitshunt.manifest.models import Name, StrictModel
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
    """One announcement; `docs/interfaces.md` tells each field."""

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
