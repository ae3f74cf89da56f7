"""What is asked of a choice, and what one can be; pure."""

from dataclasses import dataclass

from godwitshunt.manifest import Route, Service
from godwitshunt.registry import EntryRecord, UpstreamSeen
from godwitshunt.routing.selection import Demand, RankedCandidate

# Engines that more urgent requests may not use have time to read prompts and
# hold up nobody; they own more of the shared parts. Bounded, since what they
# own must fit their memory.
QUIET_AFFINITY = 1.7


@dataclass(frozen=True)
class ChoiceRequest:
    """What is asked for.

    Parameters
    ----------
    excluded : frozenset of str
        Incarnations, VMs and regions that failed this request.
    local : bool
        True where it was handed over to this VM, and must be served here.
    low_urgency_regions : frozenset of str
        Regions that more urgent routes of the service have no home in.
    holders : frozenset of str
        Incarnations that keep the prompt's shared parts.
    entry : str
        The entry VM that asks, or chooses by itself.
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

    def affinity(self, region: str) -> float:
        """Return a region's share of shared prompt parts, against others."""
        return QUIET_AFFINITY if region in self.low_urgency_regions else 1.0


@dataclass(frozen=True)
class SendHere:
    """Send it to an upstream of this region.

    Parameters
    ----------
    unread_tokens : int
        What reading the rest of the prompt takes there, in tokens of a short
        one; requests behind it wait for as much.
    is_cached : bool
        True where it keeps the shared parts.
    waiting_tokens : float
        What others wait for to be read there.
    chosen_by_picker : bool
        True where the region's picker gave the place, and its budgets with it.
    """

    upstream: UpstreamSeen
    predicted_s: float
    is_cold: bool
    ranked: tuple[RankedCandidate, ...] = ()
    unread_tokens: int = 0
    is_cached: bool = False
    waiting_tokens: float = 0.0
    chosen_by_picker: bool = False


@dataclass(frozen=True)
class HandOver:
    """Hand it to an entry VM of another region, which chooses there.

    Parameters
    ----------
    likely : RankedCandidate or None
        The upstream there that speaks for it; None where another process
        chose.
    """

    entry: EntryRecord
    predicted_s: float
    ranked: tuple[RankedCandidate, ...] = ()
    likely: RankedCandidate | None = None


@dataclass(frozen=True)
class NoPlace:
    """Refuse it now.

    Parameters
    ----------
    overloaded : bool
        False where there is no upstream at all.
    retry_after_s : float
        When one may have room.
    chosen_by_picker : bool
        True where the region's picker said so.
    exclusions : tuple of str
        Why each upstream gets no request, where none does.
    """

    overloaded: bool
    retry_after_s: float
    ranked: tuple[RankedCandidate, ...] = ()
    chosen_by_picker: bool = False
    exclusions: tuple[str, ...] = ()


@dataclass(frozen=True)
class Limited:
    """Refuse it now: its organisation is over its limit.

    Parameters
    ----------
    retry_after_s : float
        When the limit has room for it.
    """

    retry_after_s: float
    ranked: tuple[RankedCandidate, ...] = ()


Choice = SendHere | HandOver | NoPlace | Limited


def describe_candidate(ranked: RankedCandidate) -> str:
    """Return a candidate: name, region, prediction, cost and load."""
    one = ranked.candidate
    kept = '/kept' if one.cached else ''
    return (
        f'{one.instance}@{one.region}={ranked.predicted_s:.3f}s'
        f'/{ranked.cost_s:.3f}/{one.in_flight}/{one.pending_tokens}{kept}'
    )
