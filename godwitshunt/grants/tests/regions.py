"""Simulated regions that hand requests over to each other.

Each region has a number of slots and a picker that counts its own requests
exactly. Loads, demands and grants of other regions arrive with a delay. Times
are simulated; nothing waits.
"""

import heapq
import itertools
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from math import inf
from random import Random

from godwitshunt.grants import (
    Capacity,
    GrantQuery,
    GrantUse,
    Redemption,
    RegionGrants,
)
from godwitshunt.picking.handover_loads import HandoverLoads

SERVICE = 'chat'
ONE_WAY_S = 0.055
NEWS_PERIOD_S = 0.2
OBJECTIVE_S = 0.823
# Interval at which a waiting request is placed again.
RETRY_S = 0.05
# A request that was refused in another region returns and tries a third one.
QUERY = GrantQuery(SERVICE, 1.0)


def one_way_s(region: str) -> float:
    """Return the one-way delay to a region."""
    return ONE_WAY_S


def never_cut(sender: str, receiver: str, now_s: float) -> bool:
    """Return that no link is cut."""
    return False


@dataclass
class Simulation:
    """A clock and the events to come."""

    now_s: float = 0.0
    events: list = field(default_factory=list)
    order: itertools.count = field(default_factory=itertools.count)

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call an action after a delay."""
        event = (self.now_s + delay_s, next(self.order), action)
        heapq.heappush(self.events, event)

    def run(self, until_s: float) -> None:
        """Run the events up to a time."""
        while self.events and self.events[0][0] <= until_s:
            event = heapq.heappop(self.events)
            self.now_s = event[0]
            event[-1]()


@dataclass
class Tally:
    """What became of the requests."""

    served: int = 0
    late: int = 0
    refused: int = 0
    refused_despite_room: int = 0
    handed_over: int = 0
    turned_away: int = 0

    @property
    def served_share(self) -> float:
        """Share of the requests that were started within the objective."""
        return self.served / max(1, self.served + self.refused + self.late)


@dataclass
class Request:
    """A request and what it was refused by."""

    region: str
    arrived_s: float
    excluded: set[str] = field(default_factory=set)


@dataclass
class Region:
    """A region's slots and its exact counts."""

    name: str
    slots: int
    running: int = 0
    arriving: int = 0

    @property
    def free(self) -> int:
        """Slots in which a request may start now."""
        return self.slots - self.running


@dataclass
class World:
    """Regions, their requests and the delay between them.

    Parameters
    ----------
    rates : callable
        Returns a region's requests per second at a time.
    lasts_s : float
        Seconds for which a request holds its slot, on average.
    wait_s : float
        Seconds for which a request without room waits in its region.
    """

    regions: Mapping[str, Region]
    rates: Callable[[str, float], float]
    random: Random
    lasts_s: float = 0.8
    simulation: Simulation = field(default_factory=Simulation)
    tally: Tally = field(default_factory=Tally)
    is_cut: Callable[[str, str, float], bool] = never_cut
    wait_s: float = 0.0

    @property
    def now_s(self) -> float:
        """The simulated time."""
        return self.simulation.now_s

    def play(self, until_s: float) -> Tally:
        """Send requests until a time; return what became of them."""
        for name in self.regions:
            self.arrive_next(name)
        self.start()
        self.simulation.run(until_s)
        return self.tally

    def start(self) -> None:
        """Start periodic work."""

    def arrive_next(self, name: str) -> None:
        """Schedule a region's next request."""
        rate = self.rates(name, self.now_s)
        self.simulation.after(
            self.random.expovariate(rate), partial(self.arrive, name)
        )

    def arrive(self, name: str) -> None:
        """Place a request that has just arrived, and schedule the next."""
        self.arrive_next(name)
        self.place(Request(name, self.now_s))

    def run(self, region: Region, request: Request) -> None:
        """Run a request in a region's free slot."""
        assert region.free > 0, 'a slot was assigned twice'
        region.running += 1
        if self.now_s - request.arrived_s <= OBJECTIVE_S:
            self.tally.served += 1
        else:
            self.tally.late += 1
        lasts_s = self.random.gammavariate(4, self.lasts_s / 4)
        self.simulation.after(lasts_s, partial(self.end, region))

    def end(self, region: Region) -> None:
        """End a request."""
        region.running -= 1

    def refuse(self, request: Request) -> None:
        """Let a request wait, or refuse it after its longest wait."""
        if self.now_s + RETRY_S - request.arrived_s < self.wait_s:
            self.simulation.after(RETRY_S, partial(self.place, request))
            return
        self.tally.refused += 1
        if any(region.free > region.arriving for region in self.others('')):
            self.tally.refused_despite_room += 1

    def others(self, name: str) -> list[Region]:
        """Return the regions but one."""
        return [
            region for region in self.regions.values() if region.name != name
        ]

    def send(
        self, request: Request, region: Region, use: GrantUse | None = None
    ) -> None:
        """Hand a request over to another region."""
        self.tally.handed_over += 1
        region.arriving += 1
        self.simulation.after(
            ONE_WAY_S, partial(self.accept, request, region, use)
        )

    def accept(
        self, request: Request, region: Region, use: GrantUse | None
    ) -> None:
        """Run a request that was handed over, or return it."""
        region.arriving -= 1
        if self.has_room(region, use):
            self.run(region, request)
            return
        self.tally.turned_away += 1
        request.excluded.add(region.name if use is None else use.grant_name)
        self.simulation.after(ONE_WAY_S, partial(self.place, request))

    def has_room(self, region: Region, use: GrantUse | None) -> bool:
        """Return whether a request that was handed over may run."""
        return region.free > 0

    def place(self, request: Request) -> None:
        """Choose where a request runs."""
        raise NotImplementedError


@dataclass
class AllKnowing(World):
    """A chooser that knows all regions without delay."""

    def place(self, request: Request) -> None:
        """Choose the own region or the one with most room."""
        home = self.regions[request.region]
        if home.free > home.arriving:
            self.run(home, request)
            return
        best = max(self.others(request.region), key=room)
        if room(best) > 0:
            self.send(request, best)
        else:
            self.refuse(request)


def room(region: Region) -> int:
    """Return the slots for which no request is on its way."""
    return region.free - region.arriving


@dataclass
class ByOldLoads(World):
    """The choice by loads that are old, and by own hand-overs since."""

    age_s: float = 0.5

    def start(self) -> None:
        """Start reporting loads."""
        self.history = {name: [(-inf, 0)] for name in self.regions}
        self.handovers = {
            name: HandoverLoads(
                reported_s=self.reported_s,
                one_way_s=one_way_s,
            )
            for name in self.regions
        }
        self.report()

    def reported_s(self, name: str) -> float:
        """Return when the loads that others know were current."""
        return self.now_s - self.age_s

    def report(self) -> None:
        """Record the loads for the time at which others learn of them."""
        for name, region in self.regions.items():
            self.history[name].append((self.now_s, region.running))
            self.history[name] = self.history[name][-80:]
        self.simulation.after(0.02, self.report)

    def seen(self, name: str) -> int:
        """Return a region's load as others know it."""
        return next(
            running
            for at_s, running in reversed(self.history[name])
            if at_s <= self.now_s - self.age_s
        )

    def place(self, request: Request) -> None:
        """Choose the own region, or one that had room half a second ago."""
        home = self.regions[request.region]
        if home.free > 0:
            self.run(home, request)
            return
        pending = self.handovers[home.name]
        pending.remove_reported(self.now_s)
        rooms = {
            other.name: other.slots
            - self.seen(other.name)
            - getattr(pending.totals.get(other.name), 'in_flight', 0)
            for other in self.others(home.name)
            if other.name not in request.excluded
        }
        best = max(rooms, key=rooms.__getitem__, default='')
        if rooms.get(best, 0) <= 0:
            self.refuse(request)
            return
        pending.add(best, best, 0, self.lasts_s, self.now_s)
        self.send(request, self.regions[best])


@dataclass
class ByGrants(World):
    """The choice within grants."""

    loss: float = 0.0

    def start(self) -> None:
        """Start the exchange of grants."""
        self.grants = {
            name: RegionGrants.from_config(
                f'{name}-1', name, f'{name}-1', one_way_s, -1.0
            )
            for name in self.regions
        }
        for offset, name in enumerate(self.regions):
            self.grants[name].reporters = 1
            self.simulation.after(offset * 0.07, partial(self.issue, name))

    def room_of(self, region: Region) -> Capacity:
        """Return a region's free capacity."""
        return Capacity(region.free, inf)

    def issue(self, name: str) -> None:
        """Grant, and tell the other regions."""
        now_s = self.now_s
        self.simulation.after(NEWS_PERIOD_S, partial(self.issue, name))
        own = self.grants[name]
        others = [region.name for region in self.others(name)]
        region = self.regions[name]
        own.issue({SERVICE: self.room_of(region)}, others, now_s)
        held = own.held(SERVICE, now_s)
        assert held.slots <= max(0, region.free), 'more granted than free'
        news = own.make_news({}, now_s)
        for other in others:
            is_lost = self.random.random() < self.loss
            if not is_lost and not self.is_cut(name, other, now_s):
                tell = partial(
                    self.grants[other].receive, own.own, name, news, now_s
                )
                self.simulation.after(ONE_WAY_S, partial(self.deliver, tell))

    def deliver(self, tell: Callable[[float], object]) -> None:
        """Deliver news."""
        tell(self.now_s)

    def place(self, request: Request) -> None:
        """Choose the own region, or one that granted capacity."""
        now_s = self.now_s
        home = self.regions[request.region]
        own = self.grants[home.name]
        if own.unheld(SERVICE, self.room_of(home), now_s).slots > 0:
            own.record_start(SERVICE, 1.0, now_s)
            self.run(home, request)
            return
        if now_s == request.arrived_s:
            own.record_overflow(SERVICE, 1.0, now_s)
        query = GrantQuery(SERVICE, 1.0, request.excluded)
        for other in self.others(home.name):
            use = own.spend(other.name, query, now_s)
            if use is not None:
                self.send(request, other, use)
                return
        self.refuse(request)

    def has_room(self, region: Region, use: GrantUse | None) -> bool:
        """Return whether the grant is honoured or there is room besides."""
        own = self.grants[region.name]
        if own.redeem(use, QUERY, self.now_s) is Redemption.honoured:
            return True
        return own.unheld(SERVICE, self.room_of(region), self.now_s).slots > 0
