"""Policies that a team would write by hand, for side-by-side measurements.

Each keeps residency and leaves its region only where it has no upstream. No
setting of the product chooses them.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from godwitshunt.manifest import Objective
from godwitshunt.membership.views import RegionView, UpstreamView
from godwitshunt.routing import (
    Decision,
    RefusalReason,
    Refuse,
    RouteRequest,
    Serve,
    choose,
)
from godwitshunt.routing.candidates import affinity_key
from godwitshunt.routing.hashing import rank_weight
from godwitshunt.routing.index import ViewIndex
from godwitshunt.routing.policy import permanent_refusal
from godwitshunt.routing.prediction import occupancy
from godwitshunt.routing.regions import forward_targets, make_forward

# Our decision where every VM sees every engine as it is now.
EXACT = 'ours with exact view'

Choose = Callable[[RegionView, RouteRequest, Objective, Random], Decision]
Pick = Callable[[tuple[UpstreamView, ...], RouteRequest, Random], UpstreamView]


@dataclass
class ByHand:
    """A policy that picks among the own region's upstreams."""

    pick: Pick

    def __call__(
        self,
        view: RegionView,
        request: RouteRequest,
        objective: Objective,
        random: Random,
    ) -> Decision:
        """Decide as `godwitshunt.routing.choose` does."""
        refusal = permanent_refusal(view, request)
        if refusal is not None:
            return refusal
        if view.region in request.allowed:
            group = ViewIndex().group(view, request.service, request.model)
            upstreams = tuple(
                each
                for each in group.members
                if each.name not in request.excluded
            )
            if upstreams:
                return Serve(self.pick(upstreams, request, random))
        for target in forward_targets(view, request, objective, 0.0):
            decision = make_forward(target, request, random)
            if decision is not None:
                return decision
        return Refuse(RefusalReason.no_upstream, 1.0)


@dataclass
class RoundRobin:
    """Each upstream in turn."""

    turns: dict[str, int] = field(default_factory=dict)

    def __call__(
        self,
        upstreams: tuple[UpstreamView, ...],
        request: RouteRequest,
        random: Random,
    ) -> UpstreamView:
        """Pick the next upstream of the service."""
        turn = self.turns.get(request.service, 0)
        self.turns[request.service] = turn + 1
        return upstreams[turn % len(upstreams)]


def pick_any(
    upstreams: tuple[UpstreamView, ...],
    request: RouteRequest,
    random: Random,
) -> UpstreamView:
    """Pick at random."""
    return random.choice(upstreams)


def reported(upstream: UpstreamView) -> int:
    """Return the load as reported, without what was sent since."""
    return upstream.running + upstream.queued


def pick_least(
    upstreams: tuple[UpstreamView, ...],
    request: RouteRequest,
    random: Random,
) -> UpstreamView:
    """Pick the least reported load."""
    least = min(map(reported, upstreams))
    equal = [each for each in upstreams if reported(each) == least]
    return random.choice(equal)


def pick_of_two(
    upstreams: tuple[UpstreamView, ...],
    request: RouteRequest,
    random: Random,
) -> UpstreamView:
    """Pick the less loaded of a random pair, own sends included."""
    pair = random.sample(upstreams, min(2, len(upstreams)))
    return min(pair, key=occupancy)


def pick_owner(
    upstreams: tuple[UpstreamView, ...],
    request: RouteRequest,
    random: Random,
) -> UpstreamView:
    """Pick the owner of the prompt's prefix, however loaded it is."""
    if not request.prefix_blocks:
        return random.choice(upstreams)
    key = affinity_key(request.prefix_blocks)
    return max(upstreams, key=lambda each: rank_weight(key, each.name))


def make_policies() -> dict[str, Choose]:
    """Return each policy by its name, with fresh state."""
    return {
        'ours': choose,
        'round robin': ByHand(RoundRobin()),
        'random': ByHand(pick_any),
        'least reported': ByHand(pick_least),
        'two choices': ByHand(pick_of_two),
        'unbounded affinity': ByHand(pick_owner),
        EXACT: choose,
    }
