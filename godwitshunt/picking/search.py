"""Search for the best upstreams of a service; no I/O.

Upstreams are examined in the order of a lower bound of their cost, until the
bound exceeds the best cost found. The result is that of ranking all of them.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from heapq import heapify, heappop, heapreplace, merge
from itertools import chain
from math import inf
from operator import itemgetter

from godwitshunt.configuration.revision import Revision
from godwitshunt.picking.choices import ChoiceRequest
from godwitshunt.picking.filters import UpstreamFilter, is_full
from godwitshunt.picking.load_index import (
    LoadGroup,
    ServiceIndex,
    UpstreamRecord,
)
from godwitshunt.registry import UpstreamSeen
from godwitshunt.routing.selection import (
    Candidate,
    CostBound,
    RankedCandidate,
    ServiceSpeed,
    add_reread_cost,
    estimate,
    has_holder_with_slack,
    reread_cost_s,
    weighted_rank,
)
from godwitshunt.routing.upstream_health import UpstreamHealth

# Bounds and costs are added up in different orders; their rounding errors are
# smaller than this.
ROUNDING_S = 1e-9


@dataclass
class Search:
    """The search for one request.

    Parameters
    ----------
    service : ServiceIndex
        Upstreams of the service.
    away_s : mapping
        Cost of each region that may serve the request.
    excluded : frozenset of str
        Incarnations to skip.
    make_candidate : callable
        Returns an upstream with its load and statistics.
    penalty_s : callable
        Returns the cost of an upstream beyond that of its load, from its
        statistics and the time.
    near_best_s : float
        Upstreams whose cost is within this many seconds of the best are
        wanted, too.
    reread_s : float or None
        Cost that a repeated prefill of the prefix causes others; None until
        the upstreams that have it cached have been examined.
    """

    request: ChoiceRequest
    revision: Revision
    service: ServiceIndex
    speed: ServiceSpeed
    filter: UpstreamFilter
    away_s: Mapping[str, float]
    excluded: frozenset[str]
    make_candidate: Callable[[UpstreamSeen], Candidate]
    penalty_s: Callable[[UpstreamSeen, UpstreamHealth, float], float]
    near_best_s: float
    found: list[tuple[float, int, RankedCandidate]] = field(
        default_factory=list,
    )
    examined: set[str] = field(default_factory=set)
    best_s: float = inf
    reread_s: float | None = None

    def __post_init__(self) -> None:
        self.bound = CostBound.of(self.request.demand, self.speed)
        self.health = self.filter.upstreams.health
        self.groups = [
            group
            for group in self.service.groups.values()
            if group.region in self.away_s
            and not is_full(group.emptiest, self.request)
        ]

    def ranked(self) -> list[RankedCandidate]:
        """Return the best upstreams ordered by cost, best first.

        They include all whose cost is near the best. Of several with equal
        costs, one is enough if no others are wanted. Empty if no upstream can
        accept the request.
        """
        if not self.groups:
            return []
        self.examine_special()
        self.examine_others(self.reread_s)
        self.found.sort(key=lambda entry: entry[:2])
        return [entry[2] for entry in self.found]

    def examine_special(self) -> None:
        """Examine the upstreams that have or own the prefix, once."""
        if self.reread_s is not None:
            return
        for region in self.away_s:
            for record in self.holders_in(region):
                self.examine(record)
        demand = self.request.demand
        ranked = [entry[2] for entry in self.found]
        has_slack = has_holder_with_slack(ranked, demand)
        self.reread_s = reread_cost_s(demand, self.speed) if has_slack else 0.0
        if not self.found and demand.has_affinity:
            self.examine_owner()

    def holders_in(self, region: str) -> Iterator[UpstreamRecord]:
        """Yield the upstreams of a region that have the prefix cached."""
        known = self.service.regions.get(region)
        if known is not None:
            for name in self.request.holders & known.by_name.keys():
                yield known.by_name[name]

    def examine_owner(self) -> None:
        """Examine the upstream that owns the prefix by hashing."""
        streams = [
            self.owners_in(region)
            for region in self.away_s
            if region in self.service.regions
        ]
        for _, _, record in merge(*streams, reverse=True):
            if self.examine(record, is_owner=True):
                return

    def owners_in(
        self, region: str
    ) -> Iterator[tuple[float, str, UpstreamRecord]]:
        """Yield a region's upstreams by their rank for the prefix.

        The first one is available as a rule, so that the others are seldom put
        in order.
        """
        key = self.request.demand.shared_key
        affinity = self.request.affinity(region)
        known = self.service.regions[region]
        weights = known.packed.weights(key)
        first = weights.index(max(weights))
        order = chain((first,), in_order(weights))
        for number in order:
            record = known.records[number]
            yield weighted_rank(key, record.name, affinity), record.name, record

    def is_eligible(self, record: UpstreamRecord) -> bool:
        """Return whether the request may be sent to an upstream at all."""
        if record.name in self.excluded:
            return False
        request = self.request
        reason = self.filter.refusal(record.upstream, request, self.revision)
        return reason is None

    def examine_others(self, reread_s: float) -> None:
        """Examine upstreams until none can be better than those found.

        Parameters
        ----------
        reread_s : float
            Cost of upstreams that do not have the prefix cached.
        """
        token_s = self.bound.token_s
        heap = self.first_of_groups(reread_s)
        while heap and heap[0][0] <= self.limit_s():
            bound_s, number, place, group_s = heap[0]
            members = self.groups[number].members
            record = members[place][2]
            place += 1
            if place < len(members):
                next_s = group_s + token_s * members[place][0]
                heapreplace(heap, (next_s, number, place, group_s))
            else:
                heappop(heap)
            if self.may_be_near(record, bound_s):
                self.examine(record, reread_s=reread_s)

    def first_of_groups(
        self, reread_s: float
    ) -> list[tuple[float, int, int, float]]:
        """Return a heap of the first upstream of each group.

        Its items are the bound of the cost of an upstream, the number of its
        group, its place there, and the bound without its pending tokens.
        """
        token_s = self.bound.token_s
        heap = []
        for number, group in enumerate(self.groups):
            group_s = self.bound.cost_s(group.slots, group.in_flight)
            group_s += self.away_s[group.region] + reread_s
            first_s = group_s + token_s * group.members[0][0]
            heap.append((first_s, number, 0, group_s))
        heapify(heap)
        return heap

    def may_be_near(self, record: UpstreamRecord, bound_s: float) -> bool:
        """Return whether an upstream may be near the best.

        Parameters
        ----------
        bound_s : float
            Lower bound of its cost by its load.
        """
        health = self.health.get(record.name)
        if health is None:
            return True
        now_s = self.request.now_s
        delay_s = health.expected_delay_s(now_s)
        if delay_s < 0:
            # A negative delay shortens the wait to no less than nothing, and
            # the cost does not fall by it.
            wait_s = self.group_first_s(record.group) - self.idle_s(record)
            wait_s += self.bound.token_s * record.pending_tokens
            delay_s = max(0.0, -delay_s - wait_s)
        spare_s = self.limit_s() - bound_s - delay_s
        if spare_s < 0:
            return False
        return self.penalty_s(record.upstream, health, now_s) <= spare_s

    def idle_s(self, record: UpstreamRecord) -> float:
        """Return the least predicted time of an upstream, without a prompt."""
        return self.away_s[record.group.region] + self.speed.first_s

    def limit_s(self) -> float:
        """Return the cost above which upstreams are not wanted."""
        if not self.near_best_s:
            return self.best_s - ROUNDING_S
        return self.best_s + self.near_best_s + ROUNDING_S

    def examine(
        self,
        record: UpstreamRecord,
        *,
        is_owner: bool = False,
        reread_s: float = 0.0,
    ) -> bool:
        """Add an upstream to those found, if it can accept the request."""
        ranked = self.evaluate(record, is_owner=is_owner)
        if ranked is None:
            return False
        if reread_s:
            ranked = add_reread_cost(ranked, self.request.demand, self.speed)
        cost_s = ranked.cost_s
        self.best_s = min(self.best_s, cost_s)
        self.found.append((cost_s, record.order, ranked))
        return True

    def evaluate(
        self, record: UpstreamRecord, *, is_owner: bool = False
    ) -> RankedCandidate | None:
        """Return the cost of an upstream; None if it was examined or may not.

        Parameters
        ----------
        is_owner : bool
            Whether it owns the prefix by hashing.
        """
        if record.name in self.examined:
            return None
        self.examined.add(record.name)
        if is_full(record.group.emptiest, self.request):
            return None
        if not self.is_eligible(record):
            return None
        candidate = self.make_candidate(record.upstream)
        if is_full(candidate, self.request):
            return None
        return estimate(candidate, self.request.demand, self.speed, is_owner)

    def fastest(self) -> RankedCandidate | None:
        """Return the upstream with the earliest first event, of all."""
        self.examine_special()
        best = min(
            (entry[2] for entry in self.found),
            key=lambda entry: entry.predicted_s,
            default=None,
        )
        limit_s = inf if best is None else best.predicted_s - ROUNDING_S
        groups = [(self.group_first_s(group), group) for group in self.groups]
        groups.sort(key=itemgetter(0))
        for group_s, group in groups:
            for member in group.members:
                if not self.may_be_faster(member, group_s, limit_s):
                    continue
                other = self.evaluate(member[2])
                if other is not None and other.predicted_s < limit_s:
                    best = other
                    limit_s = other.predicted_s - ROUNDING_S
        return best

    def group_first_s(self, group: LoadGroup) -> float:
        """Return the predicted time of a group's upstreams without tokens."""
        first_s = self.bound.first_event_s(group.slots, group.in_flight)
        return first_s + self.away_s[group.region]

    def may_be_faster(
        self,
        member: tuple[float, int, UpstreamRecord],
        group_s: float,
        limit_s: float,
    ) -> bool:
        """Return whether an upstream's first event may be before a limit."""
        tokens, _, record = member
        first_s = group_s + self.bound.token_s * tokens
        health = self.health.get(record.name)
        if health is None:
            return first_s < limit_s
        # The delay becomes smaller with time, so that most upstreams are
        # excluded without computing it.
        if first_s + min(0, health.delay_s) >= limit_s:
            return False
        first_s += health.expected_delay_s(self.request.now_s)
        return max(self.idle_s(record), first_s) < limit_s


def in_order(weights: Sequence[int]) -> Iterator[int]:
    """Yield the positions of weights, the highest first."""
    places = range(len(weights))
    yield from sorted(places, key=weights.__getitem__, reverse=True)
