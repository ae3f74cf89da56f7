"""Where one request goes now: an upstream here, another region, nowhere."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
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

# An upstream that is cold, silent or mute is the last resort: its time is
# taken to be so many seconds longer.
COLD_PENALTY_S = 0.5
SILENT_PENALTY_S = 2.0
MUTE_PENALTY_S = 1.0
# Shown nothing for so long although requests wait: it may hang, or be dark.
MUTE_AFTER_S = 0.6
# A request that is predicted to wait for others for longer than its objective
# times this is refused at once: it would be late, and make those behind it
# late. Reading its own prompt counts besides, or the longest prompts would be
# refused by idle engines. Two heavy days were worth 0.01 and 0.02 more than
# with 1.3, the own reading in it; single plays differ by as much.
LONGEST_WAIT_SHARE = 0.8
LEAST_RETRY_S = 0.1
# An entry VM hands requests over to so many VMs of each other region: one
# could be lost, or busy with another asker's.
USUAL_DOORS = 2
# Where no upstream is known to open at a time. A VM that has just started
# hears of other regions' VMs with its second poll, a third of a second later.
NO_UPSTREAM_RETRY_S = 0.4


@dataclass
class Chooser:
    """Chooses by what control tells and what this VM's requests have shown.

    Parameters
    ----------
    region : str
        This VM's region.
    away_s : float
        Seconds of waiting that serving a request in its own region is worth.
    near_s : float
        Upstreams whose cost differs by less are drawn from; 0 for a process
        that no other one chooses beside.
    """

    region: str
    upstreams: Upstreams
    neighbours: Neighbours
    random: Random
    away_s: float = 0.0
    near_s: float = NEAR_BEST_S

    def __post_init__(self) -> None:
        self.filter = UpstreamFilter(self.region, self.upstreams)

    def choose(
        self,
        ask: ChoiceRequest,
        view: RegistryView,
        revision: Revision,
    ) -> Choice:
        """Return where a request goes."""
        found = tuple(self.candidates(ask, view, revision))
        if not found and not ask.local:
            found = tuple(self.last_resorts(ask, view, revision))
        if not found:
            wait_s = self.jitter(self.opens_in_s(ask, view))
            return NoPlace(
                overloaded=False,
                retry_after_s=wait_s,
                exclusions=self.exclusions(ask, view, revision),
            )
        speed = self.upstreams.speed(ask.service)
        ranked = rank(found, ask.demand, speed)
        best = min(ranked, key=lambda one: one.predicted_s)
        limit_s = min(
            ask.remaining_s,
            ask.route.objective_s * LONGEST_WAIT_SHARE
            + speed.prefill_s(best.unread_tokens),
        )
        if best.predicted_s > limit_s:
            over_s = best.predicted_s - ask.route.objective_s
            wait_s = self.jitter(max(LEAST_RETRY_S, over_s))
            return NoPlace(True, wait_s, tuple(ranked[:3]))
        chosen = self.random.choice(near_best(ranked, self.near_s))
        return self.go(chosen, ask, view, tuple(ranked[:3]))

    def go(
        self,
        chosen: RankedCandidate,
        ask: ChoiceRequest,
        view: RegistryView,
        ranked: tuple[RankedCandidate, ...],
    ) -> Choice:
        """Return the way to a chosen upstream."""
        candidate = chosen.candidate
        upstream = view.upstreams[candidate.instance]
        if candidate.region == self.region:
            return SendHere(
                upstream,
                chosen.predicted_s,
                self.filter.may_be_cold(upstream, ask),
                ranked,
                chosen.unread_tokens,
                candidate.cached,
                candidate.pending_tokens,
            )
        doors = self.doors(candidate.region, ask, view)
        entry = self.random.choice(usual_doors(doors, ask.entry))
        return HandOver(entry, chosen.predicted_s, ranked, chosen)

    def candidates(
        self,
        ask: ChoiceRequest,
        view: RegistryView,
        revision: Revision,
    ) -> Iterator[Candidate]:
        """Give the upstreams that may get a request."""
        ejected = self.upstreams.ejected(ask.service.name, ask.now_s)
        return self.usable(ask, view, revision, ask.excluded | ejected)

    def opens_in_s(self, ask: ChoiceRequest, view: RegistryView) -> float:
        """Return the seconds until an upstream may take a request again.

        Callers come back once or twice: too early, they are refused for good;
        too late, their answers are. Nothing is known of when an upstream
        announces itself that was never heard of, or drains.
        """
        avoided = self.neighbours.avoided
        ends = [
            avoided.get(f'{region} {ask.service.name}', 0.0)
            for region in view.entry_points
        ]
        for upstream in of_service(view, ask.service.name):
            health = self.upstreams.health_of(upstream.announcement.incarnation)
            ends.extend((health.down_until_s, health.full_until_s))
        opens = [end_s - ask.now_s for end_s in ends if end_s > ask.now_s]
        return max(LEAST_RETRY_S, min(opens, default=NO_UPSTREAM_RETRY_S))

    def last_resorts(
        self,
        ask: ChoiceRequest,
        view: RegistryView,
        revision: Revision,
    ) -> Iterator[Candidate]:
        """Give upstreams here that failed of late, where no other is left.

        Each region's VMs leave out the one that fails there, and where all
        regions' do, every request would be refused although most would be
        answered. On a day in which three plain upstreams of three failed two
        requests in five for four seconds, 146 were refused so.
        """
        here = replace(ask, local=True)
        return self.usable(here, view, revision, ask.excluded)

    def usable(
        self,
        ask: ChoiceRequest,
        view: RegistryView,
        revision: Revision,
        exclusions: frozenset[str],
    ) -> Iterator[Candidate]:
        """Give the upstreams that would take a request, without some."""
        reachable = self.reachable(ask, view)
        for upstream in of_service(view, ask.service.name):
            if upstream.region not in reachable:
                continue
            if upstream.announcement.incarnation in exclusions:
                continue
            if self.filter.refusal(upstream, ask, revision) is None:
                candidate = self.candidate(upstream, ask, view)
                if not is_full(candidate):
                    yield candidate

    def exclusions(
        self,
        ask: ChoiceRequest,
        view: RegistryView,
        revision: Revision,
    ) -> tuple[str, ...]:
        """Return why each upstream gets no request, for logs."""
        reachable = self.reachable(ask, view)
        ejected = self.upstreams.ejected(ask.service.name, ask.now_s)
        told = []
        for upstream in of_service(view, ask.service.name):
            instance = upstream.announcement.incarnation
            why = self.filter.refusal(upstream, ask, revision)
            if upstream.region not in reachable:
                why = 'out of reach'
            elif instance in ask.excluded:
                why = 'failed this request'
            elif instance in ejected:
                why = 'fails'
            elif why is None:
                one = self.candidate(upstream, ask, view)
                why = f'full: {one.in_flight} of {one.slots}'
            told.append(f'{instance}@{upstream.region} {why}')
        return tuple(told)

    def reachable(
        self, ask: ChoiceRequest, view: RegistryView
    ) -> frozenset[str]:
        """Return the regions that a request may be served in from here."""
        regions = {self.region}
        if not ask.local:
            regions.update(
                region
                for region in view.entry_points
                if region not in ask.excluded
                and not self.neighbours.is_avoided(
                    f'{region} {ask.service.name}',
                    ask.now_s,
                )
                and self.doors(region, ask, view)
            )
        if ask.route.homes:
            regions.intersection_update(ask.route.homes)
        return frozenset(regions)

    def doors(
        self,
        region: str,
        ask: ChoiceRequest,
        view: RegistryView,
    ) -> list[EntryRecord]:
        """Return the entry VMs of a region that take requests over."""
        return [
            entry
            for entry in view.entry_points.get(region, ())
            if entry.name not in ask.excluded
            and not self.neighbours.is_avoided(entry.name, ask.now_s)
        ]

    def candidate(
        self,
        upstream: UpstreamSeen,
        ask: ChoiceRequest,
        view: RegistryView,
    ) -> Candidate:
        """Return an upstream as it stands now."""
        told = upstream.announcement
        health = self.upstreams.health_of(told.incarnation)
        here = upstream.region == self.region
        away_s = 0.0
        if not here:
            away_s = self.away_s + self.neighbours.round_trip_s(upstream.region)
        load = view.loads.get(told.incarnation, Load()) + health.load
        return Candidate(
            instance=told.incarnation,
            region=upstream.region,
            slots=told.slots,
            in_flight=load.in_flight,
            pending_tokens=load.pending_tokens,
            delay_s=health.expected_delay_s(ask.now_s),
            away_s=away_s,
            cached=told.incarnation in ask.holders,
            affinity=ask.affinity(upstream.region),
            penalty_s=penalty_s(upstream, health, ask.now_s),
        )

    def jitter(self, wait_s: float) -> float:
        """Spread callers that are refused together."""
        return wait_s * self.random.uniform(0.8, 1.4)


def usual_doors(doors: list[EntryRecord], asker: str) -> list[EntryRecord]:
    """Return the few entry VMs of a region that another VM hands over to.

    With any of them at random, each hand-over would need a new connection,
    and so one more round trip between regions. The few keep theirs open. Each
    asker has others, by rendezvous hashing, so that the load is spread.
    """
    key = name_hash(asker)
    ranked = sorted(
        doors,
        key=lambda one: (rank_weight(key, one.name), one.name),
        reverse=True,
    )
    return ranked[:USUAL_DOORS]


def penalty_s(
    upstream: UpstreamSeen,
    health: UpstreamHealth,
    now_s: float,
) -> float:
    """Return by how many seconds an upstream is worse than its load tells."""
    worse_s = 0.0
    if upstream.cold_until_s > now_s:
        worse_s += COLD_PENALTY_S
    if upstream.silent and now_s - health.last_seen_s > MUTE_AFTER_S:
        worse_s += SILENT_PENALTY_S
    if health.unresponsive_s(now_s) > MUTE_AFTER_S:
        worse_s += MUTE_PENALTY_S
    return worse_s
