"""Requests for a routing decision, and the decisions."""

from dataclasses import dataclass
from enum import StrEnum

from godwitshunt.membership.views import UpstreamView
from godwitshunt.settings import Address


@dataclass(frozen=True)
class RouteRequest:
    """What a decision needs to know of a request.

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
        Seconds that remain until the request is given up.
    waited_s : float
        Seconds that have passed since it arrived.
    priority : int
        The class's priority; higher is served first.
    slot_share : float
        Largest share of an upstream's slots for the class, 0 to 1.
    path : tuple of str
        Names of the VMs that already had the request.
    regions_visited : tuple of str
        Regions of those VMs, the first being where it arrived.
    excluded : frozenset of str
        Upstreams that already failed this request.
    restricted : bool
        True where a residency rule binds the caller. An isolated VM cannot
        know whether the rule still stands, so it is the safe default.
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
    """Why no place was found; also the last part of the problem type."""

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
        Prompt tokens that the upstream likely has to compute; what
        `record_sent` of the membership is told.
    """

    upstream: UpstreamView
    predicted_s: float = 0.0
    uncached_tokens: int = 0


@dataclass(frozen=True)
class Forward:
    """Send the request to a VM of another region, which chooses there."""

    region: str
    vm: str
    address: Address
    predicted_s: float = 0.0


@dataclass(frozen=True)
class Wait:
    """Keep the request queued here and decide again.

    Parameters
    ----------
    delay_s : float
        Seconds until the next decision; a finished request may come sooner.
    """

    delay_s: float


@dataclass(frozen=True)
class Refuse:
    """Refuse at once.

    Parameters
    ----------
    retry_after_s : float or None
        When to come back; None where coming back does not help.
    """

    reason: RefusalReason
    retry_after_s: float | None = None


Decision = Serve | Forward | Wait | Refuse
