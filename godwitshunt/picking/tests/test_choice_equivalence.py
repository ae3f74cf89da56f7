"""The chooser against a plain ranking of all upstreams, on random states.

The reference ranks every upstream for each request. It guards against a
search that stops before the best upstream, uses an outdated load, or refuses a
request that an upstream could serve.
"""

from copy import deepcopy
from dataclasses import dataclass, field, replace
from random import Random
from types import SimpleNamespace

import pytest

from godwitshunt.backpressure import RateLimitNotice
from godwitshunt.backpressure.rate_shares import FIRST_PICKER
from godwitshunt.manifest import ColdStart
from godwitshunt.picking.choices import (
    ChoiceRequest,
    HandOver,
    NoPlace,
    SendHere,
)
from godwitshunt.picking.chooser import UNRESPONSIVE_AFTER_S, Chooser
from godwitshunt.picking.filters import MIN_REMAINING_S, is_full
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.upstreams import Upstreams, of_service
from godwitshunt.registry import EntryRecord, Load, RegistryView, UpstreamSeen
from godwitshunt.registry.ledger import LoadLedger, SummedLoads
from godwitshunt.registry.load_table import LoadTable
from godwitshunt.registry.records import UpstreamAnnounced
from godwitshunt.routing import outliers
from godwitshunt.routing.hashing import name_hash
from godwitshunt.routing.selection import (
    Candidate,
    Demand,
    rank,
)
from godwitshunt.settings import Address

NOW_S = 500.0
ADDRESS = Address(host='10.0.0.1', port=80)
REGIONS = ('kochi', 'tvm', 'kozhikode')
SLOTS = (12, 24, 6)
# Costs that differ by rounding only are equal.
EPSILON_S = 1e-9


class MeanRandom(Random):
    """Random numbers without jitter, so that delays can be compared."""

    def uniform(self, a, b):
        return (a + b) / 2


@dataclass
class Reference:
    """A chooser that ranks all upstreams, without any state between choices."""

    chooser: Chooser

    def choose(self, request, view, revision):
        """Return what a choice must be: near-best candidates or a refusal."""
        ejected = self.chooser.upstreams.ejected('llm', request.now_s)
        candidates = self.usable(
            request, view, revision, request.excluded | ejected
        )
        if not candidates and not request.local:
            here = replace(request, local=True)
            candidates = self.usable(here, view, revision, request.excluded)
        if not candidates:
            return NoPlace(False, self.retry_wait_s(request, view))
        speed = self.chooser.upstreams.speed(request.service)
        ranked = rank(candidates, request.demand, speed)
        best = min(ranked, key=lambda candidate: candidate.predicted_s)
        limit_s = min(
            request.remaining_s,
            request.route.objective_s * 0.8
            + speed.prefill_s(best.unread_tokens),
        )
        if best.predicted_s > limit_s:
            over_s = best.predicted_s - request.route.objective_s
            return NoPlace(True, 1.1 * max(0.1, over_s))
        near_s = ranked[0].cost_s + self.chooser.near_best_s + EPSILON_S
        return [entry for entry in ranked if entry.cost_s <= near_s]

    def usable(self, request, view, revision, excluded):
        """Return the reachable upstreams that can accept a request."""
        reachable = self.reachable(request, view)
        found = []
        for upstream in of_service(view, 'llm'):
            if upstream.region not in reachable:
                continue
            if upstream.announcement.incarnation in excluded:
                continue
            if self.is_refused(upstream, request, revision):
                continue
            candidate = self.candidate(upstream, request, view)
            if not is_full(candidate, request):
                found.append(candidate)
        return found

    def reachable(self, request, view):
        """Return the regions in which a request may be served."""
        regions = {self.chooser.region}
        if not request.local:
            regions.update(
                region
                for region in view.entry_points
                if region not in request.excluded
                and not self.is_avoided(f'{region} llm', request)
                and self.has_entry(region, request, view)
            )
        if request.route.homes:
            regions.intersection_update(request.route.homes)
        return regions

    def has_entry(self, region, request, view):
        """Return whether an entry VM of a region accepts hand-overs."""
        return any(
            entry.name not in request.excluded
            and not self.is_avoided(entry.name, request)
            for entry in view.entry_points[region]
        )

    def is_avoided(self, destination, request):
        """Return whether a destination is avoided now."""
        avoided_until = self.chooser.neighbours.avoided_until
        return avoided_until.get(destination, 0) > request.now_s

    def is_refused(self, upstream, request, revision):
        """Return whether an upstream is not eligible."""
        now_s = request.now_s
        upstreams = self.chooser.upstreams
        if upstream.announcement.failure_domain in revision.evacuated:
            return True
        ends_at_s = upstream.ends_at_s
        ends_soon = (
            ends_at_s is not None and ends_at_s - now_s < MIN_REMAINING_S
        )
        if upstream.announcement.draining or ends_soon:
            return True
        is_cold = upstream.cold_until_s > now_s
        if upstream.region != self.chooser.region:
            return is_cold
        name = upstream.announcement.incarnation
        health = upstreams.health_of(name)
        cold = request.service.cold_start
        if cold is not None:
            since_s = now_s - health.connect_failed_s
            is_cold = is_cold or since_s < cold.duration_s
        has_capacity = self.chooser.filter.has_cold_capacity
        reasons = (
            name in upstreams.departures,
            now_s < max(health.down_until_s, health.full_until_s),
            name in request.pauses,
            upstreams.rate_limiter.wait_s(name, now_s) > 0,
            is_cold and not has_capacity(upstream, request),
        )
        return any(reasons)

    def candidate(self, upstream, request, view):
        """Return an upstream with its load and statistics."""
        name = upstream.announcement.incarnation
        health = self.chooser.upstreams.health_of(name)
        neighbours = self.chooser.neighbours
        away_s = 0.0
        if upstream.region != self.chooser.region:
            away_s = neighbours.round_trip_s(upstream.region)
            away_s += self.chooser.remote_penalty_s
        load = view.loads.get(name, Load()) + health.load
        penalty_s = 0.5 if upstream.cold_until_s > request.now_s else 0
        quiet_s = request.now_s - health.last_seen_s
        if upstream.silent and quiet_s > UNRESPONSIVE_AFTER_S:
            penalty_s += 2
        if health.unresponsive_s(request.now_s) > UNRESPONSIVE_AFTER_S:
            penalty_s += 1
        penalty_s += health.rejections.cost_s(request.now_s)
        return Candidate(
            instance=name,
            region=upstream.region,
            slots=upstream.announcement.slots,
            in_flight=load.in_flight,
            pending_tokens=load.pending_tokens,
            delay_s=health.expected_delay_s(request.now_s),
            away_s=away_s,
            cached=name in request.holders,
            affinity=request.affinity(upstream.region),
            penalty_s=penalty_s,
        )

    def retry_wait_s(self, request, view):
        """Return the retry delay of a request without an upstream."""
        now_s = request.now_s
        upstreams = self.chooser.upstreams
        limiter = upstreams.rate_limiter
        held, ends = {}, []
        for upstream in of_service(view, 'llm'):
            name = upstream.announcement.incarnation
            wait_s = request.pauses.get(name, 0.0) * 1.1
            is_local = upstream.region == self.chooser.region
            if is_local and limiter.wait_s(name, now_s):
                wait_s = max(wait_s, limiter.retry_wait_s(name, now_s))
            if wait_s:
                held[name] = wait_s
            health = upstreams.health_of(name)
            if not wait_s:
                ends += [health.down_until_s, health.full_until_s]
        backoffs = [end_s - now_s for end_s in ends if end_s > now_s]
        if held:
            return min((*backoffs, min(held.values())))
        avoided_until = self.chooser.neighbours.avoided_until
        opens = [
            avoided_until.get(f'{region} llm', 0) - now_s
            for region in view.entry_points
        ]
        opens = [open_s for open_s in opens if open_s > 0] + backoffs
        return 1.1 * max(0.1, min(opens, default=0.4))


@dataclass
class World:
    """A random state of a region's upstreams, and its changes.

    Parameters
    ----------
    calm : float
        Share of the upstreams without any fault.
    load : float
        Mean requests for each slot.
    """

    seed: int
    size: int
    near_best_s: float
    calm: float = 0.7
    load: float = 0.8
    ledger: LoadLedger = field(default_factory=LoadLedger)

    def __post_init__(self):
        self.random = Random(self.seed)
        self.now_s = NOW_S
        self.chooser = Chooser(
            'kochi',
            Upstreams(),
            Neighbours('k-e', 'kochi'),
            MeanRandom(self.seed),
            near_best_s=self.near_best_s,
        )
        self.chooser.filter.has_cold_capacity = lambda upstream, request: (
            name_hash(upstream.announcement.incarnation) % 2 == 0
        )
        limiter = self.chooser.upstreams.rate_limiter
        limiter.share = FIRST_PICKER
        # Entry VMs have loads that do not tell which of them have changed.
        self.reported = {} if self.seed % 2 else LoadTable()
        self.loads = SummedLoads((self.ledger.totals, self.reported))
        self.make_view()
        for _ in range(int(self.load * 12 * self.size)):
            self.reserve(self.random.choice(self.names))

    def make_view(self):
        """Announce all upstreams and entry VMs."""
        upstreams = [self.upstream(number) for number in range(self.size)]
        upstreams.append(
            replace(
                upstreams[0],
                announcement=replace(
                    upstreams[0].announcement, instance='o', service='other'
                ),
            )
        )
        entry_points = {
            region: tuple(
                EntryRecord(
                    f'{region}-{number}', 's', region, 'a', ADDRESS, ADDRESS, 1
                )
                for number in range(4)
            )
            for region in REGIONS
        }
        self.view = RegistryView(
            upstreams={
                upstream.announcement.incarnation: upstream
                for upstream in upstreams
            },
            entry_points=entry_points,
            loads=self.loads,
        )
        self.names = list(self.view.upstreams)

    def upstream(self, number):
        """Return an upstream, which may be cold, silent or leaving."""
        odd = self.chance(1 - self.calm)
        draw = self.random.randrange(5) if odd else -1
        announcement = UpstreamAnnounced(
            f'i-{number}',
            'llm',
            ADDRESS,
            self.random.choice('abcdef'),
            self.random.choice(SLOTS),
            draw == 0,
            0.0,
            1,
            born_ms=number or None,
        )
        return UpstreamSeen(
            announcement,
            self.random.choices(REGIONS, (3, 2, 1))[0],
            self.now_s + 2 if draw in {1, 2} else 0.0,
            self.now_s + 1 if draw == 3 else None,
            silent=draw == 4,
        )

    def chance(self, share):
        """Return True with a probability."""
        return self.random.random() < share

    def reserve(self, name):
        """Assign a request to an upstream."""
        tokens = self.random.choice((0, 384, 12_000))
        self.ledger.reserve('e', name, tokens, self.now_s)

    def change(self):
        """Change some loads, statistics and announcements."""
        self.now_s += self.random.choice((0.0, 0.002, 0.3))
        if self.chance(0.2):
            self.make_view()
        for _ in range(self.random.randrange(6)):
            self.reserve(self.random.choice(self.names))
        if self.chance(0.3):
            self.ledger.tick(self.now_s)
        for name in self.random.sample(self.names, min(3, self.size)):
            if self.chance(0.5):
                self.reported.pop(name, None)
            else:
                self.reported[name] = Load(self.random.randrange(9), 700)
            self.change_health(name)
        if self.chance(0.2):
            region = self.random.choice(REGIONS[1:])
            until_s = self.now_s + 0.4
            self.chooser.neighbours.avoid(f'{region} llm', until_s)
            self.chooser.neighbours.avoid(f'{region}-1', until_s)

    def change_health(self, name):
        """Record an attempt at an upstream."""
        upstreams = self.chooser.upstreams
        health = upstreams.health_of(name)
        if self.chance(0.1):
            for _ in range(4):
                health.rejections.record_accepted(2, self.now_s)
            health.rejections.record_rejected(1, 8, self.now_s)
        match self.random.randrange(9):
            case 0 | 1 | 2:
                late_s = self.random.uniform(-1, 2)
                health.record_response_time(2 + late_s, 2.0, self.now_s)
            case 3 if self.chance(1 - self.calm):
                health.record_connect_failure(self.now_s)
            case 4 if self.chance(1 - self.calm):
                health.full_until_s = self.now_s + 0.15
            case 5:
                health.begin(self.random.randrange(99), 500, self.now_s)
            case 6:
                health.record_report('e', self.now_s - 0.5, self.now_s - 2)
            case 7 if self.chance(1 - self.calm):
                notice = RateLimitNotice(name, 3.0, self.now_s)
                upstreams.rate_limiter.table.record(notice)
                upstreams.departures.record(self.names[0], self.now_s)
            case 8:
                for _ in range(8):
                    upstreams.record_outcome(
                        'llm', name, outliers.Failed(), self.names, self.now_s
                    )

    def request(self):
        """Return a random request."""
        chance = self.chance
        objective_s = self.random.choice((0.3, 0.8, 2.0))
        key = self.random.getrandbits(64)
        demand = Demand(
            383, 92, key, urgent=chance(0.5), objective_s=objective_s
        )
        if chance(0.5):
            demand = replace(demand, prompt_tokens=17_020, shared_tokens=13_300)
        holders = self.random.sample(self.names, min(2, self.size))
        homes = self.random.sample(REGIONS, 2)
        low_urgency = frozenset((self.random.choice(REGIONS),))
        excluded = frozenset((self.names[0], 'tvm', 'kozhikode-2'))
        return ChoiceRequest(
            SimpleNamespace(
                homes=tuple(homes) if chance(0.3) else (),
                objective_s=objective_s,
                rank=0,
            ),
            SimpleNamespace(
                name='llm',
                engine=True,
                cold_start=ColdStart(duration_s=3.0, requests_per_s=4.0),
            ),
            demand,
            self.random.choice((0.2, 5.0)),
            self.now_s,
            excluded=excluded if chance(0.2) else frozenset(),
            local=chance(0.2),
            low_urgency_regions=low_urgency if chance(0.5) else frozenset(),
            holders=frozenset(holders) if chance(0.5) else frozenset(),
            entry='k-e',
            pauses={self.names[-1]: 0.3} if chance(0.2) else {},
        )


def check_choice(world, request, revision):
    """Compare one choice with the reference; return its kind."""
    reference = Reference(deepcopy(world.chooser))
    expected = reference.choose(request, world.view, revision)
    chosen = world.chooser.choose(request, world.view, revision)
    if isinstance(chosen, NoPlace):
        assert isinstance(expected, NoPlace)
        assert chosen.overloaded == expected.overloaded
        assert chosen.retry_after_s == pytest.approx(expected.retry_after_s)
        return 'overloaded' if chosen.overloaded else 'no upstream'
    assert isinstance(expected, list)
    near = {entry.candidate.instance: entry for entry in expected}
    if isinstance(chosen, SendHere):
        name = chosen.upstream.announcement.incarnation
        wanted = near[name]
        assert chosen.unread_tokens == wanted.unread_tokens
        assert chosen.is_cached == wanted.candidate.cached
        assert chosen.waiting_tokens == wanted.candidate.pending_tokens
    else:
        assert isinstance(chosen, HandOver)
        wanted = near[chosen.expected.candidate.instance]
        assert chosen.entry.region == wanted.candidate.region
        assert chosen.expected == wanted
    assert chosen.predicted_s == pytest.approx(wanted.predicted_s)
    return type(chosen).__name__


@pytest.mark.parametrize('near_best_s', [0.0, 0.01])
@pytest.mark.parametrize(
    ('size', 'calm', 'load', 'choices'),
    [
        (1, 0.5, 0.5, 400),
        (8, 0.5, 1.0, 600),
        (62, 0.9, 0.4, 300),
        (62, 0.6, 0.9, 300),
        (62, 0.7, 2.2, 300),
        (300, 0.8, 1.0, 60),
    ],
)
def test_the_choice_is_that_of_a_full_ranking(
    near_best_s, size, calm, load, choices
):
    """Loads, statistics and announcements change between the choices."""
    world = World(size, size, near_best_s, calm, load)
    kinds = set()
    for _ in range(choices):
        world.change()
        evacuated = frozenset('a') if world.chance(0.2) else ''
        revision = SimpleNamespace(evacuated=frozenset(evacuated))
        kinds.add(check_choice(world, world.request(), revision))
    assert {'SendHere', 'no upstream'} <= kinds
