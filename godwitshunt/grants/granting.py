"""The granting side: what other regions may start in this one.

Answers the load of a region whose peak exceeds its capacity while this one is
idle. Loads of other regions are half a second old when they arrive, so
requests sent by them meet others that were sent by the same information. A
grant names slots that this picker holds until they are used or expire. No I/O;
times are seconds on this VM's monotonic clock.
"""

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from godwitshunt.grants.division import divide_room
from godwitshunt.grants.records import (
    GRANT_TTL_S,
    NO_CAPACITY,
    Capacity,
    Grant,
    GrantUse,
)


class Redemption(StrEnum):
    """Whether a hand-over's grant is honoured, or why not."""

    honoured = 'honoured'
    unknown = 'unknown'
    expired = 'expired'
    used = 'used'
    exceeded = 'exceeded'


@dataclass
class IssuedGrant:
    """A grant and how much of it is used.

    Parameters
    ----------
    used : set of int
        Indexes of the used slots.
    used_tokens : float
        Tokens that the requests in them need.
    """

    grant: Grant
    used: set[int] = field(default_factory=set)
    used_tokens: float = 0.0

    @property
    def unused(self) -> Capacity:
        """Capacity that is still held for the grant."""
        used = Capacity(len(self.used), self.used_tokens)
        return self.grant.capacity - used


@dataclass
class GrantIssuer:
    """Grants of one picker to the other regions.

    Parameters
    ----------
    source : str
        This picker's process.
    started_s : float
        Start of the process, or when entry VMs began to query it. A previous
        process may have granted capacity that is not known here, so nothing is
        granted until its grants have expired.

    Examples
    --------
    >>> issuer = GrantIssuer('p1', started_s=0)
    >>> room = Capacity(10, 1000)
    >>> issuer.issue('chat', room, {'tvm': 4}, ('tvm',), now_s=0.5)
    ()
    >>> (grant,) = issuer.issue('chat', room, {'tvm': 4}, ('tvm',), now_s=1.0)
    >>> grant.capacity
    Capacity(slots=5, tokens=500.0)
    >>> use = GrantUse('p1', grant.number, slot=0)
    >>> issuer.redeem(use, 'chat', tokens=100, now_s=1.1)
    <Redemption.honoured: 'honoured'>
    >>> issuer.redeem(use, 'chat', tokens=100, now_s=1.1)
    <Redemption.used: 'used'>
    >>> issuer.held('chat', now_s=1.2)
    Capacity(slots=4, tokens=400.0)
    >>> issuer.held('chat', now_s=1.7)
    Capacity(slots=0, tokens=0.0)
    """

    source: str
    started_s: float
    issued: dict[int, IssuedGrant] = field(default_factory=dict)
    last_number: int = 0
    turn: int = 0

    def issue(
        self,
        service: str,
        spare: Capacity,
        demands: Mapping[str, int],
        regions: Collection[str],
        now_s: float,
    ) -> tuple[Grant, ...]:
        """Grant spare capacity to other regions; return the new grants.

        Parameters
        ----------
        spare : Capacity
            This picker's share of the region's free capacity, less the own
            need. It includes what unexpired grants hold.
        demands : mapping
            Slots that each region demands.
        regions : collection of str
            Regions that may receive a grant.
        """
        self.expire(now_s)
        if now_s - self.started_s < GRANT_TTL_S:
            return ()
        self.turn += 1
        parts = divide_room(max(0, spare.slots), demands, regions, self.turn)
        free = spare - self.held(service, now_s)
        grants = []
        for region, part in parts.items():
            slots = part - self.held(service, now_s, region).slots
            slots = min(slots, free.slots)
            if slots <= 0 or free.tokens <= 0:
                continue
            tokens = free.tokens * slots / free.slots
            capacity = Capacity(slots, tokens)
            free -= capacity
            grants.append(self.add(region, service, capacity, now_s))
        return tuple(grants)

    def add(
        self, region: str, service: str, capacity: Capacity, now_s: float
    ) -> Grant:
        """Record a new grant and return it."""
        self.last_number += 1
        grant = Grant(
            source=self.source,
            number=self.last_number,
            region=region,
            service=service,
            capacity=capacity,
            expires_s=now_s + GRANT_TTL_S,
        )
        self.issued[grant.number] = IssuedGrant(grant)
        return grant

    def redeem(
        self, use: GrantUse, service: str, tokens: float, now_s: float
    ) -> Redemption:
        """Use one slot of a grant for a request that was handed over.

        From then on the request counts in the ledger, so the slot is no longer
        held here.
        """
        issued = self.issued.get(use.number)
        if use.source != self.source or issued is None:
            return Redemption.unknown
        grant = issued.grant
        if grant.service != service or use.slot not in range(
            grant.capacity.slots
        ):
            return Redemption.unknown
        if now_s >= grant.expires_s:
            return Redemption.expired
        if use.slot in issued.used:
            return Redemption.used
        if tokens > issued.unused.tokens:
            return Redemption.exceeded
        issued.used.add(use.slot)
        issued.used_tokens += tokens
        return Redemption.honoured

    def held(
        self, service: str, now_s: float, region: str | None = None
    ) -> Capacity:
        """Return the capacity that unexpired grants hold."""
        return sum(
            (
                issued.unused
                for issued in self.unexpired(now_s)
                if issued.grant.service == service
                and region in {None, issued.grant.region}
            ),
            start=NO_CAPACITY,
        )

    def held_slots(self, service: str, now_s: float) -> int:
        """Return the slots that unexpired grants hold; asked by each choice."""
        return sum(
            issued.grant.capacity.slots - len(issued.used)
            for issued in self.issued.values()
            if issued.grant.service == service
            and now_s < issued.grant.expires_s
        )

    def unexpired(self, now_s: float) -> Iterator[IssuedGrant]:
        """Yield the grants that have not expired."""
        for issued in self.issued.values():
            if now_s < issued.grant.expires_s:
                yield issued

    def current(self, now_s: float) -> tuple[Grant, ...]:
        """Return the grants that are worth telling: unexpired and unused."""
        return tuple(
            issued.grant
            for issued in self.unexpired(now_s)
            if issued.unused.slots
        )

    def expire(self, now_s: float) -> tuple[IssuedGrant, ...]:
        """Remove the expired grants; return them."""
        expired = tuple(
            issued
            for issued in self.issued.values()
            if now_s >= issued.grant.expires_s
        )
        for issued in expired:
            self.issued.pop(issued.grant.number)
        return expired
