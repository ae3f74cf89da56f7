"""Selection of the few upstreams that a routing decision compares.

If every VM sent to the upstream that looks best in the same stale report, all
of them would overload it until the next report. So a decision compares only
the owners of the prompt's prefix and a random pair of upstreams.

References
----------
Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
Transactions on Parallel and Distributed Systems, 2001.
Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads",
SODA 2018.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from godwitshunt.membership.views import UpstreamView
from godwitshunt.routing.index import UpstreamGroup
from godwitshunt.routing.messages import RouteRequest
from godwitshunt.routing.prediction import (
    cached_share,
    occupancy,
    open_slots,
    usable_share,
)

# An owner gets requests while its slot use is below this multiple of the mean.
LOAD_BOUND = 1.25
AFFINITY_DEPTH_BLOCKS = 4
# Share of the prompt that an owner is assumed to have cached.
ASSUMED_OWNER_SHARE = 0.5
RANDOM_CANDIDATES = 2


@dataclass(frozen=True)
class Candidate:
    """An upstream and the share of the prompt expected in its cache, 0 to 1."""

    upstream: UpstreamView
    cached: float


def affinity_key(blocks: tuple[int, ...]) -> int:
    """Return the block hash that identifies a prompt's prefix.

    The first block would send all requests with the same system prompt to one
    owner; the last block is unique to each request.
    """
    return blocks[min(len(blocks), AFFINITY_DEPTH_BLOCKS) - 1]


def usable_group(
    group: UpstreamGroup,
    request: RouteRequest,
) -> UpstreamGroup:
    """Return the upstreams that may serve a request now.

    A class that may use every slot may also queue at an upstream, subject to
    the predicted wait; a class with a smaller share is queued in the VM.
    """
    excluded = request.excluded
    if request.slot_share >= 1 and excluded.isdisjoint(group.positions):
        return group
    share = float('inf')
    if request.slot_share < 1:
        share = usable_share(request)
    return UpstreamGroup.from_members(
        upstream
        for upstream in group.members
        if upstream.name not in excluded and open_slots(upstream, share) > 0
    )


def candidates(
    group: UpstreamGroup,
    request: RouteRequest,
    random: Random,
) -> list[Candidate]:
    """Return the upstreams to compare, without duplicates.

    Parameters
    ----------
    group : UpstreamGroup
        Upstreams that may serve the request; at least one.
    request : RouteRequest
        The request to route.
    random : random.Random
        The only source of randomness.
    """
    by_name: dict[str, Candidate] = {}
    blocks = request.prefix_blocks
    for upstream in sample_pair(group.members, random):
        share = cached_share(upstream, blocks)
        by_name[upstream.name] = Candidate(upstream, share)
    if blocks:
        for candidate in affinity_candidates(group, blocks):
            known = by_name.get(candidate.upstream.name)
            if known is None or known.cached < candidate.cached:
                by_name[candidate.upstream.name] = candidate
    return list(by_name.values())


def sample_pair(
    members: list[UpstreamView], random: Random
) -> list[UpstreamView]:
    """Return a random pair, or all members if there are at most two."""
    if len(members) <= RANDOM_CANDIDATES:
        return members
    return random.sample(members, RANDOM_CANDIDATES)


def affinity_candidates(
    group: UpstreamGroup,
    blocks: tuple[int, ...],
) -> Iterator[Candidate]:
    """Yield the owner of a prompt's prefix and the one with most of it cached.

    Cache events are delayed and incomplete. So the owner is assumed to have
    `ASSUMED_OWNER_SHARE` of the prompt even without a report: requests with
    the same prefix go there from the first one on, and events only refine the
    choice. An overloaded owner's requests go to the next owners in rank, so
    only owners are checked for reported cache contents.
    """
    owners = group.first_owners(affinity_key(blocks))
    # The bound is relative to the mean slot use, so that a popular prefix
    # spreads over as many upstreams as its load requires and no further.
    bound = LOAD_BOUND * (group.in_flight + 1) / max(1, group.slots)
    most_cached: Candidate | None = None
    owner_chosen = False
    for upstream in owners:
        share = cached_share(upstream, blocks)
        if not owner_chosen and occupancy(upstream) < max(
            1.0, bound * upstream.slots
        ):
            owner_chosen = True
            yield Candidate(upstream, max(ASSUMED_OWNER_SHARE, share))
        most_cached = better_cached(most_cached, Candidate(upstream, share))
    if most_cached is not None and most_cached.cached > 0:
        yield most_cached


def better_cached(best: Candidate | None, other: Candidate) -> Candidate:
    """Return the one with more of the prompt cached, then the less loaded."""
    if best is None or other.cached > best.cached:
        return other
    if other.cached < best.cached:
        return best
    return min(best, other, key=candidate_load)


def candidate_load(candidate: Candidate) -> int:
    """Return the requests in flight at a candidate's upstream."""
    return occupancy(candidate.upstream)
