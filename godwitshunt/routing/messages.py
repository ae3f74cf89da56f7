"""Requests for a routing decision, and its possible outcomes."""

from dataclasses import dataclass
from enum import StrEnum

from godwitshunt.membership.views import UpstreamView
from godwitshunt.settings import Address


@dataclass(frozen=True)
class RouteRequest:
    """Properties of a request that a decision depends on.

    Parameters
    ----------
    caller, request_class, service : str
        Names from the manifest.
    model : str or None
        None for plain services.
    home : str
        The caller's home region.
    allowed : frozenset of str
        Regions that residency allows.
    prefix_blocks : tuple of int
        Hashes of the prompt's blocks, each over the prompt up to its end.
    prompt_tokens, output_tokens : int
        Estimated lengths in tokens.
    deadline_s : float
        Seconds until the request times out.
    waited_s : float
        Seconds since it arrived.
    priority : int
        The class's priority; higher is served first.
    slot_share : float
        Largest share of an upstream's slots for the class, 0 to 1.
    path : tuple of str
        Names of the VMs that have already handled the request.
    regions_visited : tuple of str
        Regions of those VMs, beginning with the one where it arrived.
    excluded : frozenset of str
        Upstreams that already failed this request.
    restricted : bool
        True if a residency rule applies to the caller. An isolated VM cannot
        know whether the rule has changed, so this is the safe default.
    """

    caller: str
    request_class: str
    service: str
    model: str | None
    home: str
    allowed: frozenset[str]
    prefix_blocks: tuple[int, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    deadline_s: float = 30.0
    priority: int = 0
    slot_share: float = 1.0
    path: tuple[str, ...] = ()
    regions_visited: tuple[str, ...] = ()
    excluded: frozenset[str] = frozenset()
    restricted: bool = True
    waited_s: float = 0.0


class RefusalReason(StrEnum):
    """Why a request is refused; also the last part of the problem type."""

    residency = 'residency'
    isolated = 'isolated'
    loop = 'loop'
    no_upstream = 'no-upstream'
    overloaded = 'overloaded'
    limited = 'limited'


@dataclass(frozen=True)
class Serve:
    """Send the request to an upstream of this region.

    Parameters
    ----------
    predicted_s : float
        Predicted seconds to the first token.
    uncached_tokens : int
        Prompt tokens that the upstream likely has to prefill; passed to
        `record_sent` of the membership.
    """

    upstream: UpstreamView
    predicted_s: float = 0.0
    uncached_tokens: int = 0


@dataclass(frozen=True)
class Forward:
    """Send the request to a VM of another region, which chooses an upstream."""

    region: str
    vm: str
    address: Address
    predicted_s: float = 0.0


@dataclass(frozen=True)
class Wait:
    """Keep the request queued in this VM and decide again later.

    Parameters
    ----------
    delay_s : float
        Seconds until the next decision, unless a request finishes earlier.
    """

    delay_s: float


@dataclass(frozen=True)
class Refuse:
    """Refuse at once.

    Parameters
    ----------
    retry_after_s : float or None
        Seconds after which to retry; None if a retry cannot succeed.
    """

    reason: RefusalReason
    retry_after_s: float | None = None


Decision = Serve | Forward | Wait | Refuse
