"""Input and possible results of the choice of a destination; no I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import isfinite

from godwitshunt.grants import GrantUse
from godwitshunt.manifest import Route, Service
from godwitshunt.registry import EntryRecord, UpstreamSeen
from godwitshunt.routing.selection import Demand, RankedCandidate

# Weight in rendezvous hashing of engines that more urgent requests may not
# use. They have time for prefill and delay nobody, so they own more of the
# shared prompt parts. Bounded because these parts must fit into their memory.
LOW_URGENCY_AFFINITY = 1.7
# Requests in flight that an engine gets, per slot. Up to this number, first
# events are on time under overload; with more requests they are late and
# streams exceed their deadline.
MAX_REQUESTS_PER_SLOT = 2.0
# A request whose predicted wait for other requests exceeds this share of its
# objective is refused at once: it would be late and delay those behind it. The
# prefill time of its own prompt is added to the bound, since otherwise idle
# engines would refuse the longest prompts.
MAX_WAIT_SHARE = 0.8
# The same for requests that are not urgent, where they leave capacity for those
# that are. A long prompt that waits at an engine delays every urgent request
# which arrives there meanwhile.
LESS_URGENT_WAIT_SHARE = 0.3


@dataclass(frozen=True)
class ChoiceRequest:
    """Input of a choice.

    Parameters
    ----------
    excluded : frozenset of str
        Incarnations, VMs and regions that failed this request.
    local : bool
        True if another VM handed the request over and it must be served in
        this region.
    low_urgency_regions : frozenset of str
        Regions in which no more urgent route of the service has a home.
    holders : frozenset of str
        Incarnations that have the shared parts of the prompt cached.
    memory_bound : bool
        True if upstreams get no request beyond their memory.
    sharing : frozenset of str
        Incarnations at which requests in flight use the shared parts.
    entry : str
        Name of the entry VM that has the request.
    pauses : mapping
        Remaining seconds of the pauses that upstreams have asked that VM for,
        by incarnation.
    is_granted : bool
        True if another region spent a grant of this one for the request.
    body_bytes : int
        Bytes of its body.
    wait_share : float
        Longest predicted wait for other requests, as a share of the objective.
    max_per_slot : float
        Requests in flight that an upstream gets, per slot.
    extra_in_flight : int
        Requests in flight that it gets beyond these.
    """

    route: Route
    service: Service
    demand: Demand
    remaining_s: float
    now_s: float
    excluded: frozenset[str] = frozenset()
    local: bool = False
    low_urgency_regions: frozenset[str] = frozenset()
    holders: frozenset[str] = frozenset()
    entry: str = ''
    pauses: Mapping[str, float] = field(default_factory=dict)
    memory_bound: bool = False
    sharing: frozenset[str] = frozenset()
    is_granted: bool = False
    body_bytes: int = 0
    wait_share: float = MAX_WAIT_SHARE
    max_per_slot: float = MAX_REQUESTS_PER_SLOT
    extra_in_flight: int = 0

    def affinity(self, region: str) -> float:
        """Return the hashing weight of a region for shared prompt parts."""
        return (
            LOW_URGENCY_AFFINITY if region in self.low_urgency_regions else 1.0
        )


@dataclass(frozen=True)
class SendHere:
    """Send the request to an upstream of this region.

    Parameters
    ----------
    predicted_s : float
        Predicted seconds to the first event.
    is_cold : bool
        True if the upstream may be cold, so that the request counts against
        the budget for cold upstreams.
    ranked : tuple of RankedCandidate
        The best candidates, for logs.
    unread_tokens : int
        Prefill cost of the uncached rest of the prompt, in tokens of a short
        prompt. It delays the requests behind this one.
    is_cached : bool
        True if the upstream has the shared parts cached.
    waiting_tokens : float
        Prompt tokens of other requests that wait for prefill there.
    chosen_by_picker : bool
        True if the region's picker assigned the upstream and charged the
        budgets.
    reserved_tokens : int
        Memory reserved for the request, without its shared prefix.
    """

    upstream: UpstreamSeen
    predicted_s: float
    is_cold: bool
    ranked: tuple[RankedCandidate, ...] = ()
    unread_tokens: int = 0
    is_cached: bool = False
    waiting_tokens: float = 0.0
    chosen_by_picker: bool = False
    reserved_tokens: int = 0


@dataclass(frozen=True)
class HandOver:
    """Hand the request over to an entry VM of another region.

    That VM selects the upstream.

    Parameters
    ----------
    predicted_s : float
        Predicted seconds to the first event.
    ranked : tuple of RankedCandidate
        The best candidates, for logs.
    expected : RankedCandidate or None
        The upstream for which the region was selected; None if another
        process chose.
    grant : GrantUse or None
        The grant of that region that the request uses; None for a service
        that is not scheduled.
    due_cost : float
        Units of the organisation's limit that the VM has to charge.
    """

    entry: EntryRecord
    predicted_s: float
    ranked: tuple[RankedCandidate, ...] = ()
    expected: RankedCandidate | None = None
    grant: GrantUse | None = None
    due_cost: float = 0.0


@dataclass(frozen=True)
class NoPlace:
    """Refuse the request now.

    Parameters
    ----------
    overloaded : bool
        False if no upstream is available at all.
    retry_after_s : float
        Seconds after which an upstream may have capacity.
    chosen_by_picker : bool
        True if the region's picker refused the request.
    exclusions : tuple of str
        Reason for each upstream's exclusion, if all are excluded.
    """

    overloaded: bool
    retry_after_s: float
    ranked: tuple[RankedCandidate, ...] = ()
    chosen_by_picker: bool = False
    exclusions: tuple[str, ...] = ()


@dataclass(frozen=True)
class Limited:
    """Refuse the request now because its organisation exceeds its limit.

    Parameters
    ----------
    retry_after_s : float
        Seconds until the request is within the limit.
    """

    retry_after_s: float
    ranked: tuple[RankedCandidate, ...] = ()


@dataclass(frozen=True)
class Queued:
    """The request waits in the picker's queue.

    Parameters
    ----------
    ticket : int
        Identifies it there.
    """

    ticket: int
    ranked: tuple[RankedCandidate, ...] = ()


Choice = SendHere | HandOver | NoPlace | Limited


def describe_candidate(ranked: RankedCandidate) -> str:
    """Format a candidate as name, region, prediction, cost and load."""
    candidate = ranked.candidate
    cached = '/kept' if candidate.cached else ''
    if isfinite(candidate.free_tokens):
        cached = f'{cached}/free:{candidate.free_tokens:.0f}'
    return (
        f'{candidate.instance}@{candidate.region}={ranked.predicted_s:.3f}s'
        f'/{ranked.cost_s:.3f}/{candidate.in_flight}'
        f'/{candidate.pending_tokens}{cached}'
    )
