"""The receiving side: grants of other regions and their exact spending.

Answers the load of a region's peak: its picker knows without asking how many
requests each other region accepts. No I/O; times are seconds on this VM's
monotonic clock.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass, field

from godwitshunt.grants.division import slots_of_picker
from godwitshunt.grants.records import (
    NO_CAPACITY,
    Capacity,
    Grant,
    GrantUse,
    grant_name,
)

# Time of a hand-over beyond the network delay: writing, parsing and querying
# the picker there.
ACCEPT_S = 0.03


@dataclass
class HeldGrant:
    """A grant that this region received.

    Parameters
    ----------
    region : str
        The granting region.
    free_slots : list of int
        Indexes of the slots that this picker may use and has not used, in
        descending order.
    free_tokens : float
        Tokens that this picker may use and has not used.
    """

    region: str
    grant: Grant
    free_slots: list[int]
    free_tokens: float

    @property
    def name(self) -> str:
        """Name of the grant in exclusions and log lines."""
        return grant_name(self.grant.source, self.grant.number)


@dataclass
class GrantHolder:
    """The grants of other regions that one picker may spend.

    Examples
    --------
    >>> holder = GrantHolder('p2')
    >>> grant = Grant('p1', 7, 'here', 'chat', Capacity(1, 500), 2.0)
    >>> holder.receive('tvm', grant, ('p2',), now_s=1.5)
    True
    >>> holder.spend('tvm', 'chat', 100, (), 0.05, now_s=1.6)
    GrantUse(source='p1', number=7, slot=0)
    >>> holder.spend('tvm', 'chat', 100, (), 0.05, now_s=1.6) is None
    True
    >>> holder.receive('tvm', grant, ('p2',), now_s=1.7)
    False
    """

    own: str
    grants: dict[tuple[str, int], HeldGrant] = field(default_factory=dict)
    # Highest number of a removed grant of each process. A process numbers its
    # grants in the order of their ends, so a late copy with a number up to it
    # has expired, whatever end it states.
    removed: dict[str, int] = field(default_factory=dict)

    def receive(
        self,
        region: str,
        grant: Grant,
        pickers: Collection[str],
        now_s: float,
    ) -> bool:
        """Record a grant; return False if it is known or has expired.

        Parameters
        ----------
        region : str
            The granting region.
        pickers : collection of str
            Pickers of this region that divide the grant.
        """
        key = (grant.source, grant.number)
        is_late = grant.number <= self.removed.get(grant.source, 0)
        if is_late or key in self.grants or now_s >= grant.expires_s:
            return False
        slots = slots_of_picker(grant.capacity.slots, self.own, pickers)
        total = max(1, grant.capacity.slots)
        self.grants[key] = HeldGrant(
            region=region,
            grant=grant,
            free_slots=list(reversed(slots)),
            free_tokens=grant.capacity.tokens * len(slots) / total
            if slots
            else 0.0,
        )
        return True

    def spend(
        self,
        region: str,
        service: str,
        tokens: float,
        excluded: Collection[str],
        travel_s: float,
        now_s: float,
    ) -> GrantUse | None:
        """Spend one slot of a region's grant; None if there is none.

        The grant that expires first is spent first.

        Parameters
        ----------
        tokens : float
            Tokens that the request needs there.
        excluded : collection of str
            Names of grants that were refused for this request.
        travel_s : float
            One-way network delay to the region.
        """
        usable = self.usable(service, tokens, excluded, travel_s, now_s)
        held = min(
            (held for held in usable if held.region == region),
            key=expiry,
            default=None,
        )
        if held is None:
            return None
        held.free_tokens -= tokens
        grant = held.grant
        return GrantUse(grant.source, grant.number, held.free_slots.pop())

    def has_grant(
        self,
        region: str,
        service: str,
        tokens: float,
        excluded: Collection[str],
        travel_s: float,
        now_s: float,
    ) -> bool:
        """Return whether a region's grants permit one more request."""
        return any(
            held.region == region
            for held in self.usable(service, tokens, excluded, travel_s, now_s)
        )

    def usable(
        self,
        service: str,
        tokens: float,
        excluded: Collection[str],
        travel_s: float,
        now_s: float,
    ) -> Iterator[HeldGrant]:
        """Yield the grants that are valid when a request arrives there."""
        arrives_s = now_s + travel_s + ACCEPT_S
        for held in self.grants.values():
            is_valid = arrives_s < held.grant.expires_s
            has_room = bool(held.free_slots) and tokens <= held.free_tokens
            if held.grant.service != service or (
                excluded and held.name in excluded
            ):
                continue
            if is_valid and has_room:
                yield held

    def held(self, service: str, now_s: float) -> Capacity:
        """Return the unspent capacity of all regions for a service."""
        return sum(
            (
                Capacity(len(held.free_slots), held.free_tokens)
                for held in self.grants.values()
                if held.grant.service == service
                and now_s < held.grant.expires_s
                and held.free_slots
            ),
            start=NO_CAPACITY,
        )

    def expire(self, now_s: float) -> None:
        """Remove the expired grants."""
        for key, held in tuple(self.grants.items()):
            if now_s >= held.grant.expires_s:
                self.grants.pop(key)
                source, number = key
                last = self.removed.get(source, 0)
                self.removed[source] = max(last, number)


def expiry(held: HeldGrant) -> float:
    """Return when a grant expires."""
    return held.grant.expires_s
