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

from godwitshunt.membership.views import RegionView, UpstreamView
from godwitshunt.routing.hashing import rank_weight
from godwitshunt.routing.messages import RouteRequest
from godwitshunt.routing.prediction import cached_share, occupancy

LOAD_BOUND = 1.25
AFFINITY_DEPTH = 4
OWNER_SHARE = 0.5
RANDOM_CANDIDATES = 2
OWNERS_SEEN = 8


@dataclass(frozen=True)
class Candidate:
    """An upstream and the share of the prompt that it likely has cached."""

    upstream: UpstreamView
    cached: float


def eligible_upstreams(
    view: RegionView,
    request: RouteRequest,
) -> tuple[UpstreamView, ...]:
    """Return upstreams that may take a request, in the order of their names.

    An upstream without the model would have to load it first, which is an
    operator's or the placement's order and never a side effect of a request.
    """
    served = (
        upstream
        for upstream in view.upstreams
        if upstream.service == request.service
        and not upstream.leaving
        and upstream.name not in request.excluded
        and has_model(upstream, request.model)
    )
    return tuple(sorted(served, key=upstream_name))


def upstream_name(upstream: UpstreamView) -> str:
    """Return the name, by which equal choices are ordered."""
    return upstream.name


def has_model(upstream: UpstreamView, model: str | None) -> bool:
    """Return whether an upstream serves a model; None is a plain service."""
    if model is None:
        return True
    return model in upstream.models or model in upstream.adapters


def affinity_key(blocks: tuple[int, ...]) -> int:
    """Return the block by which requests with equal prompt starts meet.

    The first block alone would send all requests with one common system
    prompt to one owner; the last one is unique to each request.
    """
    return blocks[min(len(blocks), AFFINITY_DEPTH) - 1]


def bounded_owner(
    upstreams: tuple[UpstreamView, ...],
    key: int,
) -> UpstreamView | None:
    """Return the first owner of a key whose load is within the bound.

    The bound is relative to the mean use of slots, so that a popular prefix
    spreads over as many upstreams as its load needs and no further.
    """
    slots = sum(upstream.slots for upstream in upstreams)
    held = sum(map(occupancy, upstreams)) + 1
    bound = LOAD_BOUND * held / max(1, slots)
    ranked = sorted(
        upstreams,
        key=lambda upstream: rank_weight(key, upstream.name),
        reverse=True,
    )
    for upstream in ranked[:OWNERS_SEEN]:
        if occupancy(upstream) < max(1.0, bound * upstream.slots):
            return upstream
    return None


def candidates(
    upstreams: tuple[UpstreamView, ...],
    request: RouteRequest,
    random: Random,
) -> tuple[Candidate, ...]:
    """Return two or more upstreams to compare, each once.

    Parameters
    ----------
    upstreams : tuple of UpstreamView
        Eligible ones, in the order of their names.
    request : RouteRequest
        What is to be placed.
    random : random.Random
        The only source of chance.
    """
    found: dict[str, Candidate] = {}
    for upstream in draw(upstreams, random):
        share = cached_share(upstream, request.prefix_blocks)
        found[upstream.name] = Candidate(upstream, share)
    if request.prefix_blocks:
        for candidate in affine(upstreams, request.prefix_blocks):
            known = found.get(candidate.upstream.name)
            if known is None or known.cached < candidate.cached:
                found[candidate.upstream.name] = candidate
    return tuple(found.values())


def draw(
    upstreams: tuple[UpstreamView, ...],
    random: Random,
) -> tuple[UpstreamView, ...]:
    """Return a random pair, or all where there are no more."""
    if len(upstreams) <= RANDOM_CANDIDATES:
        return upstreams
    return tuple(random.sample(upstreams, RANDOM_CANDIDATES))


def affine(
    upstreams: tuple[UpstreamView, ...],
    blocks: tuple[int, ...],
) -> Iterator[Candidate]:
    """Yield the owner of a prompt's prefix and who reported most of it.

    Cache events come late and with gaps. So the owner is taken to have a part
    of the prompt though nothing was reported: requests of one prefix meet
    there from the first one on, and events only correct the choice.
    """
    owner = bounded_owner(upstreams, affinity_key(blocks))
    if owner is not None:
        share = max(OWNER_SHARE, cached_share(owner, blocks))
        yield Candidate(owner, share)
    deepest = max(
        upstreams,
        key=lambda upstream: (
            cached_share(upstream, blocks),
            -occupancy(upstream),
        ),
    )
    share = cached_share(deepest, blocks)
    if share > 0:
        yield Candidate(deepest, share)
