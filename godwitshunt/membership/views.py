"""Views of upstreams and other regions that routing decisions use."""

from dataclasses import dataclass
from enum import StrEnum

from godwitshunt.settings import Address


class UpstreamRole(StrEnum):
    """Phases of inference that a model engine runs."""

    mixed = 'mixed'
    prefill = 'prefill'
    decode = 'decode'


@dataclass(frozen=True)
class UpstreamView:
    """One upstream of the local region, as last reported.

    Parameters
    ----------
    name, region, service : str
        Its name, its region and the service that it serves.
    address : Address
        Address at which it accepts requests.
    incarnation : int
        Increases with each restart of the upstream.
    models, adapters : frozenset of str
        Loaded models and adapters; empty for plain services.
    role : UpstreamRole
        Phases of inference that it runs.
    slots : int
        Maximum number of concurrent requests.
    running, queued : int
        Reported numbers of running and queued requests.
    queued_tokens : int
        Reported uncached prompt tokens that are queued for prefill.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Its throughput; decode is per stream.
    report_age_s : float
        Seconds since the upstream measured the reported load.
    sent_since : int
        Number of requests that this VM sent to it after that measurement.
    sent_tokens_since : int
        Uncached prompt tokens of those requests.
    finished_since : int
        Number of requests of this VM that the reported load includes and
        that have ended since.
    price : float
        Cost of 1,000 generated tokens.
    cached_prefixes : frozenset of int
        Reported hashes of cached prompt blocks; may be outdated and
        incomplete.
    honours_resume, honours_priority, honours_fencing : bool
        Whether the engine supports resumption, priorities and fencing.
    leaving : bool
        True if it accepts no new requests.
    """

    name: str
    region: str
    service: str
    address: Address
    incarnation: int
    models: frozenset[str] = frozenset()
    adapters: frozenset[str] = frozenset()
    role: UpstreamRole = UpstreamRole.mixed
    slots: int = 1
    running: int = 0
    queued: int = 0
    queued_tokens: int = 0
    prefill_tokens_per_s: float = 1000.0
    decode_tokens_per_s: float = 50.0
    report_age_s: float = 0.0
    sent_since: int = 0
    sent_tokens_since: int = 0
    price: float = 1.0
    cached_prefixes: frozenset[int] = frozenset()
    honours_resume: bool = False
    honours_priority: bool = False
    honours_fencing: bool = False
    leaving: bool = False
    finished_since: int = 0


@dataclass(frozen=True)
class RegionSummary:
    """Another region's capacity for one service and model.

    Parameters
    ----------
    model : str or None
        None for plain services.
    free_slots, slots : int
        Free slots and total slots of its upstreams.
    wait_s : float
        Predicted seconds to the first token of a new request, without network
        time.
    price : float
        Cost of 1,000 generated tokens there.
    round_trip_s : float
        Measured round-trip time to the region.
    age_s : float
        Seconds since the region made the summary.
    vms : tuple of (str, Address)
        Names and HTTP addresses of its entry VMs that accept forwarded
        requests.
    """

    region: str
    service: str
    model: str | None
    free_slots: int
    slots: int
    wait_s: float
    price: float
    round_trip_s: float
    age_s: float
    vms: tuple[tuple[str, Address], ...] = ()


@dataclass(frozen=True)
class RegionView:
    """Input of a routing decision of a VM.

    Parameters
    ----------
    region : str
        Region of the VM.
    upstreams : tuple of UpstreamView
        Upstreams of that region.
    summaries : tuple of RegionSummary
        Summaries of the other regions.
    isolated : bool
        True if the VM has had no evidence of a live control quorum for the
        isolation lease.
    """

    region: str
    upstreams: tuple[UpstreamView, ...] = ()
    summaries: tuple[RegionSummary, ...] = ()
    isolated: bool = False
