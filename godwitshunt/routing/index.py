"""Index of a view's upstreams by service and model, updated incrementally.

Each request that is sent changes the view, but only in one or a few upstreams.
So the index applies the differences between views. What depends on names only,
such as the owners of a prefix, is cached until the set of names changes.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import nlargest
from itertools import compress, count
from operator import is_not
from typing import Self

from godwitshunt.membership.views import RegionView, UpstreamView
from godwitshunt.routing.hashing import rank_weight
from godwitshunt.routing.prediction import occupancy

# Service and model; the model is None for plain services.
GroupKey = tuple[str, str | None]

# Owners ranked and cached for each prefix key, and the number of cached keys.
OWNERS_PER_KEY = 16
MAX_CACHED_KEYS = 4096


@dataclass
class UpstreamGroup:
    """Upstreams that serve one model or one plain service.

    Parameters
    ----------
    members : list of UpstreamView
        Sorted by name, so that no decision depends on the order in which
        upstreams were discovered.
    positions : dict of str to int
        Index of each member in `members`, by name.
    slots, in_flight : int
        Slots of all members, and requests in flight at them.
    prefill_tokens_per_s : float
        Prefill speed of the fastest member.
    owners : dict of int to tuple of int
        Cached positions of the highest-ranked owners, by prefix key.
    """

    members: list[UpstreamView]
    positions: dict[str, int] = field(default_factory=dict)
    slots: int = 0
    in_flight: int = 0
    prefill_tokens_per_s: float = 0.0
    owners: dict[int, tuple[int, ...]] = field(default_factory=dict)

    @classmethod
    def from_members(cls, members: Iterable[UpstreamView]) -> Self:
        """Return the group of some upstreams."""
        ordered = sorted(members, key=upstream_name)
        return cls(
            members=ordered,
            positions={
                each.name: position for position, each in enumerate(ordered)
            },
            slots=sum(each.slots for each in ordered),
            in_flight=sum(map(occupancy, ordered)),
            prefill_tokens_per_s=max(
                (each.prefill_tokens_per_s for each in ordered),
                default=0.0,
            ),
        )

    def update(self, upstream: UpstreamView) -> None:
        """Replace a member by its newer state."""
        position = self.positions[upstream.name]
        before = self.members[position]
        self.in_flight += occupancy(upstream) - occupancy(before)
        self.members[position] = upstream

    def first_owners(self, key: int) -> list[UpstreamView]:
        """Return the members with the highest weight for a key, best first."""
        positions = self.owners.get(key)
        if positions is None:
            ranked = nlargest(
                OWNERS_PER_KEY,
                (
                    (rank_weight(key, each.name), position)
                    for position, each in enumerate(self.members)
                ),
            )
            positions = tuple(position for _, position in ranked)
            if len(self.owners) >= MAX_CACHED_KEYS:
                self.owners.clear()
            self.owners[key] = positions
        return [self.members[position] for position in positions]


EMPTY_GROUP = UpstreamGroup([])


@dataclass
class ViewIndex:
    """The groups of one view."""

    upstreams: tuple[UpstreamView, ...] = ()
    groups: dict[GroupKey, UpstreamGroup] = field(default_factory=dict)

    def group(
        self,
        view: RegionView,
        service: str,
        model: str | None,
    ) -> UpstreamGroup:
        """Return the upstreams of a view that serve a service and model."""
        if view.upstreams is not self.upstreams:
            self.update(view.upstreams)
        return self.groups.get((service, model), EMPTY_GROUP)

    def update(self, upstreams: tuple[UpstreamView, ...]) -> None:
        """Apply a newer view's upstreams."""
        before = self.upstreams
        self.upstreams = upstreams
        if len(before) != len(upstreams):
            self.rebuild()
            return
        changes = list(compress(count(), map(is_not, before, upstreams)))
        if not all(
            same_groups(before[position], upstreams[position])
            for position in changes
        ):
            self.rebuild()
            return
        for position in changes:
            self.update_one(upstreams[position])

    def update_one(self, upstream: UpstreamView) -> None:
        """Replace one upstream in all of its groups."""
        for group_key in group_keys(upstream):
            self.groups[group_key].update(upstream)

    def rebuild(self) -> None:
        """Rebuild all groups; an upstream that is leaving is in none."""
        members: dict[GroupKey, list[UpstreamView]] = {}
        for upstream in self.upstreams:
            for group_key in group_keys(upstream):
                members.setdefault(group_key, []).append(upstream)
        self.groups = {
            key: UpstreamGroup.from_members(each)
            for key, each in members.items()
        }


def group_keys(upstream: UpstreamView) -> list[GroupKey]:
    """Return the groups that an upstream belongs to.

    An upstream without the model would have to load it first, which only an
    operator or placement orders; it is never a side effect of a request.
    """
    if upstream.leaving:
        return []
    keys = [(upstream.service, None)]
    for model in upstream.models | upstream.adapters:
        keys.append((upstream.service, model))
    return keys


def same_groups(before: UpstreamView, after: UpstreamView) -> bool:
    """Return whether an upstream stays in the same groups with equal slots."""
    if before.name != after.name or before.leaving != after.leaving:
        return False
    if before.slots != after.slots or before.service != after.service:
        return False
    return before.models == after.models and before.adapters == after.adapters


def upstream_name(upstream: UpstreamView) -> str:
    """Return the sort key of upstreams."""
    return upstream.name
