"""Grants of one region's picker: those that it makes and those it received.

Answers peaks that move from region to region: overflow is stated as demand,
idle regions grant capacity for it, and the picker of the overflowing region
spends it without a question across regions. No I/O; times are seconds on this
VM's monotonic clock.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace

from godwitshunt.grants.division import picker_share
from godwitshunt.grants.granting import GrantIssuer, Redemption
from godwitshunt.grants.holding import GrantHolder
from godwitshunt.grants.meters import DemandMeter
from godwitshunt.grants.records import (
    GRANT_TTL_S,
    NO_CAPACITY,
    Capacity,
    Grant,
    GrantNews,
    GrantUse,
    UnmetDemand,
)

# News of a picker are sent each 0.2 s and relayed by entry VMs each 0.7 s. A
# demand that is older than this is probably served or refused by now.
NEWS_TTL_S = 1.0


@dataclass(frozen=True)
class ReceivedNews:
    """The last news of another picker.

    Parameters
    ----------
    region : str
        Its region.
    asof_s : float
        The news is at least as recent as this.
    """

    region: str
    news: GrantNews
    asof_s: float


@dataclass(frozen=True)
class GrantQuery:
    """A request for which capacity of another region is wanted.

    Parameters
    ----------
    service : str
        Its service.
    tokens : float
        Engine memory that it needs.
    excluded : collection of str
        Names of the grants that were refused for it.
    """

    service: str
    tokens: float
    excluded: Collection[str] = ()


@dataclass
class RegionGrants:
    """The grants of one picker.

    Parameters
    ----------
    own : str
        Name of this picker's control VM.
    region : str
        Its region.
    issuer : GrantIssuer
        Grants of this picker to others.
    holder : GrantHolder
        Grants of others to this picker.
    one_way_s : callable
        Returns the one-way network delay to a region.
    reporters : int
        Entry VMs that query this picker now.
    received : dict
        Last news of each other picker, by its control VM.
    meters : dict
        Demand for each scheduled service.
    bound : dict
        The part of it that only this region may serve.
    unmet : dict
        Demand that this region could not serve at the last `issue`.
    """

    own: str
    region: str
    issuer: GrantIssuer
    holder: GrantHolder
    one_way_s: Callable[[str], float]
    reporters: int = 0
    received: dict[str, ReceivedNews] = field(default_factory=dict)
    meters: dict[str, DemandMeter] = field(default_factory=dict)
    bound: dict[str, DemandMeter] = field(default_factory=dict)
    unmet: dict[str, Capacity] = field(default_factory=dict)

    @classmethod
    def from_config(
        cls,
        own: str,
        region: str,
        source: str,
        one_way_s: Callable[[str], float],
        now_s: float,
    ) -> 'RegionGrants':
        """Create the grants of a picker that starts now.

        Parameters
        ----------
        source : str
            The picker's process.
        """
        return cls(
            own,
            region,
            GrantIssuer(source, now_s),
            GrantHolder(own),
            one_way_s,
        )

    def meter(self, service: str) -> DemandMeter:
        """Return the meter of a service."""
        return self.meters.setdefault(service, DemandMeter())

    def record_start(self, service: str, tokens: float, now_s: float) -> None:
        """Record a request of this region that was assigned here."""
        self.meter(service).starts.add(Capacity(1, tokens), now_s)

    def bound_meter(self, service: str) -> DemandMeter:
        """Return the meter of the requests that only this region may serve."""
        return self.bound.setdefault(service, DemandMeter())

    def bound_need(self, service: str, now_s: float) -> int:
        """Return the slots to keep for requests that are bound to the region.

        Requests that other regions may serve are handed over before they take
        these.
        """
        meter = self.bound.get(service)
        if meter is None:
            return 0
        overflow = meter.overflow.total(now_s).slots
        return meter.own_need(now_s) + overflow

    def record_overflow(
        self, service: str, tokens: float, now_s: float
    ) -> None:
        """Record a request of this region for which there was no room here."""
        self.meter(service).overflow.add(Capacity(1, tokens), now_s)

    def record_reporters(self, count: int, now_s: float) -> None:
        """Record how many entry VMs query this picker.

        When they begin to, another picker of the region may still grant all
        of its capacity. Nothing is granted here until that one has learnt of
        the change, or has not heard of this picker for so long that it divides
        with it, and its grants have expired.
        """
        if count and not self.reporters and len(self.active_pickers(now_s)) > 1:
            self.issuer.started_s = now_s + NEWS_TTL_S
        self.reporters = count

    def receive(
        self,
        control: str,
        region: str,
        news: GrantNews,
        asof_s: float,
        now_s: float,
    ) -> tuple[Grant, ...]:
        """Record another picker's news; return new grants to this region.

        Parameters
        ----------
        control : str
            The other picker's control VM.
        region : str
            Its region.
        asof_s : float
            The news is at least as recent as this. It may have come over
            several paths, so older news may follow newer ones.
        """
        known = self.received.get(control)
        if known is None or asof_s > known.asof_s:
            self.received[control] = ReceivedNews(region, news, asof_s)
        self.holder.expire(now_s)
        pickers = self.active_pickers(now_s)
        latest_s = now_s + GRANT_TTL_S
        return tuple(
            grant
            for grant in news.grants
            if grant.region == self.region
            and self.holder.receive(
                region,
                replace(grant, expires_s=min(grant.expires_s, latest_s)),
                pickers,
                now_s,
            )
        )

    def other_regions(self, now_s: float) -> tuple[str, ...]:
        """Return the regions that may receive a grant.

        A region whose pickers are not heard here may not hear this one, and
        one without a picker cannot spend a grant.
        """
        return tuple(
            sorted(
                {
                    heard.region
                    for heard in self.received.values()
                    if heard.news.reporters
                    and now_s - heard.asof_s <= NEWS_TTL_S
                }
                - {self.region, ''}
            )
        )

    def active_pickers(self, now_s: float) -> frozenset[str]:
        """Return the pickers of this region that divide its capacity.

        One that was not heard lately may be cut off from here while entry VMs
        query it.
        """
        others = {
            control
            for control, heard in self.received.items()
            if heard.region == self.region
            and (heard.news.reporters or now_s - heard.asof_s > NEWS_TTL_S)
        }
        return frozenset(others | {self.own})

    def issue(
        self,
        rooms: Mapping[str, Capacity],
        regions: Collection[str],
        now_s: float,
    ) -> tuple[Grant, ...]:
        """Grant what is free beyond the own need; return the new grants.

        Parameters
        ----------
        rooms : mapping
            Free capacity of this region for each scheduled service.
        regions : collection of str
            The other regions.
        """
        self.issuer.expire(now_s)
        self.holder.expire(now_s)
        self.unmet.clear()
        grants: list[Grant] = []
        for service, room in rooms.items():
            meter = self.meter(service)
            meter.expire(now_s)
            unmet = meter.unmet(self.unheld(service, room, now_s), now_s)
            if unmet.slots:
                self.unmet[service] = unmet
            if self.reporters:
                grants.extend(
                    self.issuer.issue(
                        service,
                        self.spare(service, room, now_s),
                        self.demands(service, regions, now_s),
                        regions,
                        now_s,
                    )
                )
        return tuple(grants)

    def spare(self, service: str, room: Capacity, now_s: float) -> Capacity:
        """Return what this picker may have granted of a region's capacity.

        It gets its share, less what grants of the region's other pickers hold
        beyond their shares.
        """
        share = picker_share(self.own, self.active_pickers(now_s))
        need = self.meter(service).own_need(now_s)
        slots = max(0, room.slots - need)
        of_others = self.held_by_others(service, now_s)
        granted = min(int(share * slots), slots - of_others.slots)
        if granted <= 0:
            return NO_CAPACITY
        tokens = min(share * room.tokens, (room - of_others).tokens)
        return Capacity(granted, tokens * granted / (share * room.slots))

    def demands(
        self, service: str, regions: Iterable[str], now_s: float
    ) -> dict[str, int]:
        """Return the slots that the pickers of each region demand."""
        demanded = dict.fromkeys(regions, 0)
        for heard in self.received.values():
            if now_s - heard.asof_s > NEWS_TTL_S:
                continue
            for demand in heard.news.demands:
                if demand.service == service and heard.region in demanded:
                    demanded[heard.region] += demand.capacity.slots
        return demanded

    def held(self, service: str, now_s: float) -> Capacity:
        """Return the capacity that grants to other regions hold here."""
        of_others = self.held_by_others(service, now_s)
        return self.issuer.held(service, now_s) + of_others

    def held_slots(self, service: str, now_s: float) -> int:
        """Return the slots that grants to other regions hold here."""
        of_others = self.held_by_others(service, now_s)
        return self.issuer.held_slots(service, now_s) + of_others.slots

    def held_by_others(self, service: str, now_s: float) -> Capacity:
        """Return what grants of the region's other pickers hold.

        This is as of their news, so grants that were used since count, too.
        """
        return sum(
            (
                grant.capacity
                for heard in self.received.values()
                if heard.region == self.region
                for grant in heard.news.grants
                if grant.service == service and now_s < grant.expires_s
            ),
            start=NO_CAPACITY,
        )

    def unheld(self, service: str, room: Capacity, now_s: float) -> Capacity:
        """Return the free capacity that no grant holds."""
        return room - self.held(service, now_s)

    def may_hand_over(
        self, region: str, query: GrantQuery, now_s: float
    ) -> bool:
        """Return whether a grant of a region permits one more request."""
        return self.holder.has_grant(
            region,
            query.service,
            query.tokens,
            query.excluded,
            self.one_way_s(region),
            now_s,
        )

    def spend(
        self, region: str, query: GrantQuery, now_s: float
    ) -> GrantUse | None:
        """Spend one slot of a region's grants; None if there is none."""
        return self.holder.spend(
            region,
            query.service,
            query.tokens,
            query.excluded,
            self.one_way_s(region),
            now_s,
        )

    def redeem(
        self, use: GrantUse, query: GrantQuery, now_s: float
    ) -> Redemption:
        """Honour the grant that a hand-over names, or say why not."""
        return self.issuer.redeem(use, query.service, query.tokens, now_s)

    def make_news(
        self, round_trips: Mapping[str, float], now_s: float
    ) -> GrantNews:
        """Return what the pickers of all regions should know now."""
        demands = (
            UnmetDemand(service, capacity)
            for service, capacity in self.unmet.items()
        )
        return GrantNews(
            self.issuer.current(now_s),
            tuple(demands) if self.reporters else (),
            self.reporters,
            dict(round_trips),
        )
