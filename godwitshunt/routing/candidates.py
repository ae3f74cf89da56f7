"""Upstreams that a decision compares: few, so that VMs do not herd.

When every VM sends to the upstream that looks best in the same late report,
all of them overload it until the next one. So a decision compares the owners
of the prompt's prefix and a random pair, not everything.

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

LOAD_BOUND = 1.25
AFFINITY_DEPTH = 4
ASSUMED_OWNER_SHARE = 0.5
RANDOM_CANDIDATES = 2


@dataclass(frozen=True)
class Candidate:
    """An upstream and the share of the prompt that it likely has cached."""

    upstream: UpstreamView
    cached: float


def affinity_key(blocks: tuple[int, ...]) -> int:
    """Return the block by which requests with equal prompt starts meet.

    The first block alone would send all requests with one common system
    prompt to one owner; the last one is unique to each request.
    """
    return blocks[min(len(blocks), AFFINITY_DEPTH) - 1]


def usable_group(
    group: UpstreamGroup,
    request: RouteRequest,
) -> UpstreamGroup:
    """Return the upstreams that may take a request now.

    A class that may fill every slot may also queue at the upstream, where the
    predicted wait decides; a class with a smaller share waits in the VM.
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
    """Return two or more upstreams to compare, each once.

    Parameters
    ----------
    group : UpstreamGroup
        Upstreams that may take the request; at least one.
    request : RouteRequest
        What is to be placed.
    random : random.Random
        The only source of chance.
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
    """Return a random pair, or all where there are no more."""
    if len(members) <= RANDOM_CANDIDATES:
        return members
    return random.sample(members, RANDOM_CANDIDATES)


def affinity_candidates(
    group: UpstreamGroup,
    blocks: tuple[int, ...],
) -> Iterator[Candidate]:
    """Yield the owner of a prompt's prefix and who reported most of it.

    Cache events come late and with gaps. So the owner is taken to have a part
    of the prompt though nothing was reported: requests of one prefix meet
    there from the first one on, and events only correct the choice. What the
    owner cannot take goes to the next owners; so they, and no others, are
    asked for what they reported.
    """
    owners = group.first_owners(affinity_key(blocks))
    # The bound is relative to the mean use of slots, so that a popular prefix
    # spreads over as many upstreams as its load needs and no further.
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
    """Return the one that reported more of a prompt, or holds less."""
    if best is None or other.cached > best.cached:
        return other
    if other.cached < best.cached:
        return best
    return min(best, other, key=candidate_load)


def candidate_load(candidate: Candidate) -> int:
    """Return the requests that a candidate's upstream holds."""
    return occupancy(candidate.upstream)
