"""Choice of an upstream, another region, or a refusal for one request."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from functools import partial
from itertools import islice
from math import inf, isinf
from random import Random

from godwitshunt.configuration.revision import Revision
from godwitshunt.picking.choices import (
    Choice,
    ChoiceRequest,
    HandOver,
    NoPlace,
    SendHere,
)
from godwitshunt.picking.filters import UpstreamFilter, is_full
from godwitshunt.picking.load_index import (
    UpstreamIndex,
    UpstreamRecord,
)
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.search import Search
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import (
    EntryRecord,
    Load,
    RegistryView,
    UpstreamSeen,
)
from godwitshunt.routing.hashing import name_hash, rank_weight
from godwitshunt.routing.selection import (
    NEAR_BEST_S,
    Candidate,
    RankedCandidate,
    near_best,
)
from godwitshunt.routing.upstream_health import UpstreamHealth

NO_LOAD = Load()
# Seconds added to the cost of an upstream that is cold, that no control VM has
# heard from lately, or that does not respond to requests.
COLD_PENALTY_S = 0.5
SILENT_PENALTY_S = 2.0
UNRESPONSIVE_PENALTY_S = 1.0
# An upstream that sends nothing for this long while requests wait may hang or
# have lost power.
UNRESPONSIVE_AFTER_S = 0.6
MIN_RETRY_S = 0.1
# Retry delays for a pause that an upstream has asked for are longer by up to
# this factor.
MAX_PAUSE_SPREAD = 1.2
# Number of entry VMs per other region to which an entry VM hands requests
# over. One alone could fail, or be busy with requests of other VMs.
PREFERRED_ENTRIES = 2
# Retry delay if it is not known when an upstream becomes available. A VM that
# has just started learns of the VMs of other regions with its second poll, a
# third of a second later.
NO_UPSTREAM_RETRY_S = 0.4


def unrestricted(
    regions: frozenset[str], request: ChoiceRequest, view: RegistryView
) -> frozenset[str]:
    """Permit all regions, where no grants are used."""
    return regions


@dataclass
class Chooser:
    """Chooses by the control VMs' tables and by this process's statistics.

    Parameters
    ----------
    region : str
        This VM's region.
    upstreams : Upstreams
        Statistics of the upstreams.
    neighbours : Neighbours
        Other entry VMs and regions, and which of them to avoid.
    random : Random
        Breaks ties and adds jitter.
    remote_penalty_s : float
        Seconds of waiting that are accepted to keep a request in its region.
    near_best_s : float
        The choice is random among upstreams whose cost is within this many
        seconds of the best; 0 if no other process chooses at the same time.
    restrict : callable
        Returns those of some regions in which grants permit a request.
    """

    region: str
    upstreams: Upstreams
    neighbours: Neighbours
    random: Random
    remote_penalty_s: float = 0.0
    near_best_s: float = NEAR_BEST_S
    restrict: Callable[
        [frozenset[str], ChoiceRequest, RegistryView], frozenset[str]
    ] = unrestricted

    def __post_init__(self) -> None:
        self.filter = UpstreamFilter(self.region, self.upstreams)
        self.index = UpstreamIndex()
        self.late_kinds: set[tuple[str, bool]] = set()
        # Ranking of each region's entry VMs for each VM that hands over.
        self.ranked_entries: dict[tuple[str, str], list[EntryRecord]] = {}
        self.ranked_for: Mapping[str, tuple[EntryRecord, ...]] | None = None

    def choose(
        self,
        request: ChoiceRequest,
        view: RegistryView,
        revision: Revision,
    ) -> Choice:
        """Return the destination of a request, or its refusal."""
        service = self.index.of_service(view, request.service.name)
        if not service.has_room(request):
            return NoPlace(
                overloaded=False,
                retry_after_s=self.retry_wait_s(request, view),
                exclusions=service.full_counts(),
            )
        if late_key(request) in self.late_kinds:
            search = self.search(request, view, revision)
            late = self.late_choice(request, search)
            if late is not None:
                return late
        first_search = self.search(request, view, revision)
        search = first_search
        ranked = search.ranked()
        if not ranked and search.groups and not request.local:
            search = self.fallback_search(request, view, revision)
            ranked = search.ranked()
        if not ranked:
            return NoPlace(
                overloaded=False,
                retry_after_s=self.retry_wait_s(request, view),
                exclusions=self.exclusions(first_search),
            )
        if not self.is_in_time(request, search, ranked):
            late = self.late_choice(request, search)
            if late is not None:
                return late
        chosen = self.random.choice(near_best(ranked, self.near_best_s))
        return self.make_choice(chosen, request, view, tuple(ranked[:3]))

    def make_choice(
        self,
        chosen: RankedCandidate,
        request: ChoiceRequest,
        view: RegistryView,
        ranked: tuple[RankedCandidate, ...],
    ) -> Choice:
        """Return the choice that sends a request to a ranked upstream."""
        candidate = chosen.candidate
        upstream = view.upstreams[candidate.instance]
        if candidate.region == self.region:
            return SendHere(
                upstream,
                chosen.predicted_s,
                self.filter.may_be_cold(upstream, request),
                ranked,
                chosen.unread_tokens,
                candidate.cached,
                candidate.pending_tokens,
                reserved_tokens=request.demand.reserved_tokens,
            )
        entries = self.preferred_entries(candidate.region, request, view)
        entry = self.random.choice(entries)
        return HandOver(entry, chosen.predicted_s, ranked, chosen)

    def search(
        self,
        request: ChoiceRequest,
        view: RegistryView,
        revision: Revision,
    ) -> Search:
        """Return the search among the upstreams that may get a request."""
        ejected = self.upstreams.ejected(request.service.name, request.now_s)
        return Search(
            request=request,
            revision=revision,
            service=self.index.of_service(view, request.service.name),
            speed=self.upstreams.speed(request.service),
            filter=self.filter,
            away_s={
                region: self.away_s(region)
                for region in self.reachable_regions(request, view)
            },
            excluded=request.excluded | ejected,
            make_candidate=partial(
                self.make_candidate, request=request, view=view
            ),
            penalty_s=penalty_s,
            near_best_s=self.near_best_s,
        )

    def choose_relay(
        self, request: ChoiceRequest, view: RegistryView
    ) -> HandOver | None:
        """Return a hand-over to another VM of this region; None for none.

        For a VM that does not reach the upstreams of its region.
        """
        key = f'{self.region} {request.service.name}'
        if self.region in request.excluded:
            return None
        if self.neighbours.is_avoided(key, request.now_s):
            return None
        entries = self.preferred_entries(self.region, request, view)
        if not entries:
            return None
        return HandOver(self.random.choice(entries), 0.0)

    def fallback_search(
        self,
        request: ChoiceRequest,
        view: RegistryView,
        revision: Revision,
    ) -> Search:
        """Return the search among ejected upstreams of this region.

        If the VMs of every region eject their upstream, all requests would be
        refused although most would be answered. On a day on which all three
        upstreams of a plain service failed two requests in five for four
        seconds, 146 requests were refused for this reason.
        """
        search = self.search(replace(request, local=True), view, revision)
        search.excluded = request.excluded
        return search

    def is_in_time(
        self,
        request: ChoiceRequest,
        search: Search,
        ranked: list[RankedCandidate],
    ) -> bool:
        """Return whether an upstream is fast enough by the strictest limit.

        The fastest one is then fast enough by its own limit.
        """
        tokens = request.demand.unread_tokens(cached=True)
        limit_s = wait_limit_s(request, search.speed.prefill_s(tokens))
        return any(entry.predicted_s <= limit_s for entry in ranked)

    def late_choice(
        self, request: ChoiceRequest, search: Search
    ) -> NoPlace | None:
        """Return a refusal if even the fastest upstream would be late.

        The next request of this kind is then probably late at all upstreams,
        too, and begins with this check instead of the ranking.
        """
        best = search.fastest()
        prefill_s = search.speed.prefill_s(best.unread_tokens) if best else 0
        if best is None or best.predicted_s <= wait_limit_s(request, prefill_s):
            self.late_kinds.discard(late_key(request))
            return None
        self.late_kinds.add(late_key(request))
        self.relax_speed(request, search, best)
        over_s = best.predicted_s - request.route.objective_s
        wait_s = self.jitter(max(MIN_RETRY_S, over_s))
        return NoPlace(True, wait_s, (best,))

    def relax_speed(
        self, request: ChoiceRequest, search: Search, best: RankedCandidate
    ) -> None:
        """Lower a learned time for which an idle upstream gets no requests.

        Only an answer could correct it otherwise, and there will be none.
        """
        is_idle = not best.candidate.in_flight
        if is_idle and search.speed.first_s > wait_limit_s(request, 0):
            self.upstreams.learned_speed(request.service).decrease()

    def retry_wait_s(self, request: ChoiceRequest, view: RegistryView) -> float:
        """Return the retry delay of a request without an upstream."""
        if not request.pauses and not self.filter.limits:
            return self.jitter(self.opens_in_s(request, view))
        held = {}
        free = []
        for record in self.records(request, view):
            wait_s = self.held_s(record.upstream, request)
            if wait_s:
                held[record.name] = wait_s
            else:
                free.append(record)
        if not held:
            return self.jitter(self.opens_in_s(request, view))
        first = min(held, key=held.__getitem__)
        backoffs = self.backoffs_s(free, request.now_s)
        if isinf(held[first]):
            # This process has no share of the limits. No time is known.
            wait_s = min(backoffs, default=NO_UPSTREAM_RETRY_S)
            return self.jitter(max(MIN_RETRY_S, wait_s))
        limiter = self.upstreams.rate_limiter
        limiter.record_retry(first, request.now_s + held[first])
        return min((*backoffs, held[first]))

    def held_s(self, upstream: UpstreamSeen, request: ChoiceRequest) -> float:
        """Return for how long an upstream itself asks to get no request."""
        now_s = request.now_s
        incarnation = upstream.announcement.incarnation
        # Callers that were refused at different times would come back together
        # at the end of the pause.
        spread = self.random.uniform(1.0, MAX_PAUSE_SPREAD)
        wait_s = request.pauses.get(incarnation, 0.0) * spread
        if self.filter.rate_wait_s(upstream, now_s):
            limiter = self.upstreams.rate_limiter
            wait_s = max(wait_s, limiter.retry_wait_s(incarnation, now_s))
        return wait_s

    def opens_in_s(self, request: ChoiceRequest, view: RegistryView) -> float:
        """Return the seconds until an upstream may accept a request again.

        Callers retry once or twice. After a short delay they are refused
        again; after a long one their answers are late. No time can be given
        for upstreams that drain or have not announced themselves yet.
        """
        avoided_until = self.neighbours.avoided_until
        opens = [
            avoided_until.get(f'{region} {request.service.name}', 0.0)
            - request.now_s
            for region in view.entry_points
        ]
        opens = [open_s for open_s in opens if open_s > 0]
        records = self.records(request, view)
        opens.extend(self.backoffs_s(records, request.now_s))
        return max(MIN_RETRY_S, min(opens, default=NO_UPSTREAM_RETRY_S))

    def backoffs_s(
        self, records: Iterable[UpstreamRecord], now_s: float
    ) -> list[float]:
        """Return remaining backoffs after failed connections and refusals."""
        known = self.upstreams.health
        waits = []
        for record in records:
            health = known.get(record.name)
            if health is None:
                continue
            if health.down_until_s > now_s:
                waits.append(health.down_until_s - now_s)
            if health.full_until_s > now_s:
                waits.append(health.full_until_s - now_s)
        return waits

    def records(
        self, request: ChoiceRequest, view: RegistryView
    ) -> Iterator[UpstreamRecord]:
        """Yield all upstreams of a request's service."""
        return self.index.of_service(view, request.service.name).records()

    def exclusions(self, search: Search) -> tuple[str, ...]:
        """Return for logs how many upstreams are excluded for each reason.

        The name is that of one of them, if each was examined.
        """
        counts: Counter[str] = Counter()
        names: dict[str, str] = {}
        for group in search.service.groups.values():
            if group.region not in search.away_s:
                counts[f'unreachable@{group.region}'] += len(group.members)
            elif is_full(group.emptiest, search.request):
                counts[f'full@{group.region}'] += len(group.members)
            else:
                for member in group.members:
                    reason = self.exclusion(search, member[2])
                    counts[reason] += 1
                    names[reason] = member[2].name
        return tuple(
            f'{count} {reason} {names.get(reason, "")}'.rstrip()
            for reason, count in counts.items()
        )

    def exclusion(self, search: Search, record: UpstreamRecord) -> str:
        """Return why an upstream in reach is excluded."""
        upstream = record.upstream
        request = search.request
        reason = self.filter.refusal(upstream, request, search.revision)
        if record.name in request.excluded:
            reason = 'failed this request'
        elif record.name in search.excluded:
            reason = 'fails'
        return f'{reason or "full"}@{upstream.region}'

    def reachable_regions(
        self, request: ChoiceRequest, view: RegistryView
    ) -> frozenset[str]:
        """Return the regions in which a request from here may be served."""
        regions = {self.region}
        if not request.local:
            regions.update(
                region
                for region in view.entry_points
                if region not in request.excluded
                and not self.neighbours.is_avoided(
                    f'{region} {request.service.name}',
                    request.now_s,
                )
                and any(self.available(view.entry_points[region], request))
            )
        if request.route.homes:
            regions.intersection_update(request.route.homes)
        return self.restrict(frozenset(regions), request, view)

    def available(
        self, entries: Iterable[EntryRecord], request: ChoiceRequest
    ) -> Iterator[EntryRecord]:
        """Yield the other entry VMs that accept hand-overs."""
        for entry in entries:
            if entry.name in request.excluded or not entry.reaches_upstreams:
                continue
            if entry.name == request.entry:
                continue
            if not self.neighbours.is_avoided(entry.name, request.now_s):
                yield entry

    def preferred_entries(
        self, region: str, request: ChoiceRequest, view: RegistryView
    ) -> list[EntryRecord]:
        """Return the entry VMs of a region that get a VM's hand-overs.

        A few fixed VMs keep their connections open; with a random VM each time,
        most hand-overs would need a new connection and thus another round trip
        between regions. Rendezvous hashing gives each sender different VMs, so
        that the load is spread.
        """
        if self.ranked_for is not view.entry_points:
            self.ranked_for = view.entry_points
            self.ranked_entries.clear()
        key = (region, request.entry)
        if key not in self.ranked_entries:
            self.ranked_entries[key] = rank_entries(
                view.entry_points.get(region, ()), request.entry
            )
        available = self.available(self.ranked_entries[key], request)
        return list(islice(available, PREFERRED_ENTRIES))

    def away_s(self, region: str) -> float:
        """Return the cost in seconds of sending a request to a region."""
        if region == self.region:
            return 0.0
        round_trip_s = self.neighbours.round_trip_s(region)
        return self.remote_penalty_s + round_trip_s

    def make_candidate(
        self,
        upstream: UpstreamSeen,
        request: ChoiceRequest,
        view: RegistryView,
    ) -> Candidate:
        """Return an upstream with its current load and statistics."""
        announcement = upstream.announcement
        health = self.upstreams.health_of(announcement.incarnation)
        load = view.loads.get(announcement.incarnation, NO_LOAD)
        if health.in_flight:
            load += health.load
        free_tokens = inf
        if request.memory_bound and request.service.engine is not None:
            memory_tokens = request.service.engine.memory_tokens
            free_tokens = memory_tokens - load.reserved_tokens
        return Candidate(
            instance=announcement.incarnation,
            region=upstream.region,
            slots=announcement.slots,
            in_flight=load.in_flight,
            pending_tokens=load.pending_tokens,
            delay_s=health.expected_delay_s(request.now_s),
            away_s=self.away_s(upstream.region),
            cached=announcement.incarnation in request.holders,
            affinity=request.affinity(upstream.region),
            penalty_s=penalty_s(upstream, health, request.now_s),
            free_tokens=free_tokens,
            shares_prefix=announcement.incarnation in request.sharing,
        )

    def jitter(self, wait_s: float) -> float:
        """Randomise a retry delay so that callers don't retry together."""
        return wait_s * self.random.uniform(0.8, 1.4)


def late_key(request: ChoiceRequest) -> tuple[str, bool]:
    """Return the kind of a request: its service and whether it is urgent."""
    return request.service.name, request.demand.urgent


def wait_limit_s(request: ChoiceRequest, prefill_s: float) -> float:
    """Return the predicted time above which a request is refused.

    Parameters
    ----------
    prefill_s : float
        Prefill time of the prompt.
    """
    limit_s = request.route.objective_s * request.wait_share + prefill_s
    return min(request.remaining_s, limit_s)


def rank_entries(
    entries: Iterable[EntryRecord], vm_name: str
) -> list[EntryRecord]:
    """Return entry VMs by rendezvous hashing for a VM, the first one first."""
    key = name_hash(vm_name)
    return sorted(
        entries,
        key=lambda entry: (rank_weight(key, entry.name), entry.name),
        reverse=True,
    )


def penalty_s(
    upstream: UpstreamSeen,
    health: UpstreamHealth,
    now_s: float,
) -> float:
    """Return the cost in seconds of an upstream beyond that of its load."""
    total_s = 0.0
    if upstream.cold_until_s > now_s:
        total_s += COLD_PENALTY_S
    if upstream.silent and now_s - health.last_seen_s > UNRESPONSIVE_AFTER_S:
        total_s += SILENT_PENALTY_S
    if health.unresponsive_s(now_s) > UNRESPONSIVE_AFTER_S:
        total_s += UNRESPONSIVE_PENALTY_S
    return total_s + health.rejections.cost_s(now_s)
