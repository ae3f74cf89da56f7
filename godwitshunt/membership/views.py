"""What a routing decision sees of upstreams and of other regions."""

from dataclasses import dataclass
from enum import StrEnum

from godwitshunt.settings import Address


class UpstreamRole(StrEnum):
    """Which part of the work a model engine does."""

    mixed = 'mixed'
    prefill = 'prefill'
    decode = 'decode'


@dataclass(frozen=True)
class UpstreamView:
    """One upstream of the own region, as last reported.

    Parameters
    ----------
    name, region, service : str
        Who it is, where it stands and what it serves.
    address : Address
        Where it takes requests.
    incarnation : int
        Higher after each restart of the upstream.
    models, adapters : frozenset of str
        What is loaded; empty for plain services.
    slots : int
        Requests that it runs at once.
    running, queued : int
        Requests it reported as running and as waiting.
    queued_tokens : int
        Uncached prompt tokens it reported as waiting for prefill.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Its speeds; decode is per stream.
    report_age_s : float
        Seconds since the upstream measured the load it reported.
    sent_since : int
        Requests this VM sent there after that measurement.
    sent_tokens_since : int
        Uncached prompt tokens of those requests.
    finished_since : int
        Requests of this VM that were in the reported load and have ended.
    price : float
        Cost of 1,000 generated tokens.
    cached_prefixes : frozenset of int
        Hashes of prompt blocks it reported as cached; late and with gaps.
    honours_resume, honours_priority, honours_fencing : bool
        What the engine can do.
    leaving : bool
        True where it takes no new work.
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
        Free and all slots of its upstreams.
    wait_s : float
        Time to the first token that the region predicts for a new request,
        in seconds, without the network.
    price : float
        Cost of 1,000 generated tokens there.
    round_trip_s : float
        Measured round trip to the region.
    age_s : float
        Seconds since the region made the summary.
    vms : tuple of (str, Address)
        Names and HTTP addresses of its entry VMs that take forwards.
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
    """Everything that a VM knows when it decides.

    Parameters
    ----------
    region : str
        The VM's own region.
    isolated : bool
        True where the VM has had no news of a control quorum for its lease.
    """

    region: str
    upstreams: tuple[UpstreamView, ...] = ()
    summaries: tuple[RegionSummary, ...] = ()
    isolated: bool = False
