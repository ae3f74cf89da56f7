"""Choice of an upstream, another region, or a refusal for one request."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from math import isinf
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
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.upstreams import Upstreams, of_service
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
    rank,
)
from godwitshunt.routing.upstream_health import UpstreamHealth

# Seconds added to the cost of an upstream that is cold, that no control VM has
# heard from lately, or that does not respond to requests.
COLD_PENALTY_S = 0.5
SILENT_PENALTY_S = 2.0
UNRESPONSIVE_PENALTY_S = 1.0
# An upstream that sends nothing for this long while requests wait may hang or
# have lost power.
UNRESPONSIVE_AFTER_S = 0.6
# A request whose predicted wait for other requests exceeds this share of its
# objective is refused at once: it would be late and delay those behind it. The
# prefill time of its own prompt is added to the bound, since otherwise idle
# engines would refuse the longest prompts.
MAX_WAIT_SHARE = 0.8
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
    """

    region: str
    upstreams: Upstreams
    neighbours: Neighbours
    random: Random
    remote_penalty_s: float = 0.0
    near_best_s: float = NEAR_BEST_S

    def __post_init__(self) -> None:
        self.filter = UpstreamFilter(self.region, self.upstreams)

    def choose(
        self,
        request: ChoiceRequest,
        view: RegistryView,
        revision: Revision,
    ) -> Choice:
        """Return the destination of a request, or its refusal."""
        candidates = tuple(self.candidates(request, view, revision))
        if not candidates and not request.local:
            candidates = tuple(self.fallbacks(request, view, revision))
        if not candidates:
            return NoPlace(
                overloaded=False,
                retry_after_s=self.retry_wait_s(request, view),
                exclusions=self.exclusions(request, view, revision),
            )
        speed = self.upstreams.speed(request.service)
        ranked = rank(candidates, request.demand, speed)
        best = min(ranked, key=lambda candidate: candidate.predicted_s)
        limit_s = min(
            request.remaining_s,
            request.route.objective_s * MAX_WAIT_SHARE
            + speed.prefill_s(best.unread_tokens),
        )
        if best.predicted_s > limit_s:
            over_s = best.predicted_s - request.route.objective_s
            wait_s = self.jitter(max(MIN_RETRY_S, over_s))
            return NoPlace(True, wait_s, tuple(ranked[:3]))
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
            )
        entries = self.entries_in(candidate.region, request, view)
        entry = self.random.choice(preferred_entries(entries, request.entry))
        return HandOver(entry, chosen.predicted_s, ranked, chosen)

    def candidates(
        self,
        request: ChoiceRequest,
        view: RegistryView,
        revision: Revision,
    ) -> Iterator[Candidate]:
        """Yield the upstreams that may get a request."""
        ejected = self.upstreams.ejected(request.service.name, request.now_s)
        return self.usable_candidates(
            request, view, revision, request.excluded | ejected
        )

    def retry_wait_s(self, request: ChoiceRequest, view: RegistryView) -> float:
        """Return the retry delay of a request without an upstream."""
        held = {}
        free = []
        for upstream in of_service(view, request.service.name):
            wait_s = self.held_s(upstream, request)
            if wait_s:
                held[upstream.announcement.incarnation] = wait_s
            else:
                free.append(upstream)
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
        upstreams = of_service(view, request.service.name)
        opens.extend(self.backoffs_s(upstreams, request.now_s))
        return max(MIN_RETRY_S, min(opens, default=NO_UPSTREAM_RETRY_S))

    def backoffs_s(
        self, upstreams: Iterable[UpstreamSeen], now_s: float
    ) -> list[float]:
        """Return remaining backoffs after failed connections and refusals."""
        ends = []
        for upstream in upstreams:
            health = self.upstreams.health_of(upstream.announcement.incarnation)
            ends.extend((health.down_until_s, health.full_until_s))
        return [end_s - now_s for end_s in ends if end_s > now_s]

    def fallbacks(
        self,
        request: ChoiceRequest,
        view: RegistryView,
        revision: Revision,
    ) -> Iterator[Candidate]:
        """Yield ejected upstreams of this region if no other is left.

        If the VMs of every region eject their upstream, all requests would be
        refused although most would be answered. On a day on which all three
        upstreams of a plain service failed two requests in five for four
        seconds, 146 requests were refused for this reason.
        """
        here = replace(request, local=True)
        return self.usable_candidates(here, view, revision, request.excluded)

    def usable_candidates(
        self,
        request: ChoiceRequest,
        view: RegistryView,
        revision: Revision,
        excluded: frozenset[str],
    ) -> Iterator[Candidate]:
        """Yield the reachable upstreams that can accept a request.

        Parameters
        ----------
        excluded : frozenset of str
            Incarnations to skip.
        """
        reachable = self.reachable_regions(request, view)
        for upstream in of_service(view, request.service.name):
            if upstream.region not in reachable:
                continue
            if upstream.announcement.incarnation in excluded:
                continue
            if self.filter.refusal(upstream, request, revision) is None:
                candidate = self.make_candidate(upstream, request, view)
                if not is_full(candidate, request):
                    yield candidate

    def exclusions(
        self,
        request: ChoiceRequest,
        view: RegistryView,
        revision: Revision,
    ) -> tuple[str, ...]:
        """Return for logs why each upstream is excluded."""
        reachable = self.reachable_regions(request, view)
        ejected = self.upstreams.ejected(request.service.name, request.now_s)
        reasons = []
        for upstream in of_service(view, request.service.name):
            instance = upstream.announcement.incarnation
            reason = self.filter.refusal(upstream, request, revision)
            if upstream.region not in reachable:
                reason = 'unreachable'
            elif instance in request.excluded:
                reason = 'failed this request'
            elif instance in ejected:
                reason = 'fails'
            elif reason is None:
                candidate = self.make_candidate(upstream, request, view)
                reason = f'full: {candidate.in_flight} of {candidate.slots}'
            reasons.append(f'{instance}@{upstream.region} {reason}')
        return tuple(reasons)

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
                and self.entries_in(region, request, view)
            )
        if request.route.homes:
            regions.intersection_update(request.route.homes)
        return frozenset(regions)

    def entries_in(
        self,
        region: str,
        request: ChoiceRequest,
        view: RegistryView,
    ) -> list[EntryRecord]:
        """Return the entry VMs of a region that accept hand-overs."""
        return [
            entry
            for entry in view.entry_points.get(region, ())
            if entry.name not in request.excluded
            and not self.neighbours.is_avoided(entry.name, request.now_s)
        ]

    def make_candidate(
        self,
        upstream: UpstreamSeen,
        request: ChoiceRequest,
        view: RegistryView,
    ) -> Candidate:
        """Return an upstream with its current load and statistics."""
        announcement = upstream.announcement
        health = self.upstreams.health_of(announcement.incarnation)
        here = upstream.region == self.region
        away_s = 0.0
        if not here:
            away_s = self.remote_penalty_s + self.neighbours.round_trip_s(
                upstream.region
            )
        load = view.loads.get(announcement.incarnation, Load()) + health.load
        return Candidate(
            instance=announcement.incarnation,
            region=upstream.region,
            slots=announcement.slots,
            in_flight=load.in_flight,
            pending_tokens=load.pending_tokens,
            delay_s=health.expected_delay_s(request.now_s),
            away_s=away_s,
            cached=announcement.incarnation in request.holders,
            affinity=request.affinity(upstream.region),
            penalty_s=penalty_s(upstream, health, request.now_s),
        )

    def jitter(self, wait_s: float) -> float:
        """Randomise a retry delay so that callers don't retry together."""
        return wait_s * self.random.uniform(0.8, 1.4)


def preferred_entries(
    entries: list[EntryRecord], vm_name: str
) -> list[EntryRecord]:
    """Return the entry VMs of a region to which a VM hands requests over.

    A few fixed VMs keep their connections open; with a random VM each time,
    most hand-overs would need a new connection and thus another round trip
    between regions. Rendezvous hashing gives each sender different VMs, so
    that the load is spread.

    Parameters
    ----------
    entries : list of EntryRecord
        Available entry VMs of the region.
    vm_name : str
        The VM that hands requests over.
    """
    key = name_hash(vm_name)
    ranked = sorted(
        entries,
        key=lambda entry: (rank_weight(key, entry.name), entry.name),
        reverse=True,
    )
    return ranked[:PREFERRED_ENTRIES]


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
    return total_s
