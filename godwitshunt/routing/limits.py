"""Distributed rate limits for each caller, without central coordination.

Each VM owns a fixed quota of each caller's rate. A VM that does not need all
of its quota leases a part of it to a peer that requested more. The lessee
counts the lease from the time of its request, the grantor from the time of
the grant, which is later. So the grantor uses that part again only after the
lessee has stopped using it, even if messages are lost or delayed, and clocks
of different VMs are never compared. The quotas in use never add up to more
than the rate.

References
----------
O'Neil, "The escrow transactional method", ACM TODS, 1986.
Gray and Cheriton, "Leases", SOSP 1989.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Self

from godwitshunt.routing.meters import DemandMeter, TokenBucket

LEASE_S = 3.0
# Tolerated difference between the speeds of the two VMs' clocks: the grantor
# waits this much longer than the lessee.
CLOCK_DRIFT_FACTOR = 1.05
# Share of a quota that is never leased, so that a VM can serve its own callers
# while it waits for its leases to end.
RESERVED_SHARE = 0.1
# Quota wanted, as a multiple of the measured demand.
HEADROOM_RATIO = 2.0
MIN_LEASE_PER_S = 0.01


@dataclass(frozen=True)
class CallerQuota:
    """A VM's own part of a caller's limit.

    Parameters
    ----------
    rate_per_s : float
        Requests per second.
    burst : float
        Bucket capacity in requests; below 1 the VM could never admit one.
    """

    rate_per_s: float
    burst: float


@dataclass(frozen=True)
class Admitted:
    """The request is within its caller's limit."""


@dataclass(frozen=True)
class Limited:
    """The caller is over its limit and may retry after some seconds."""

    retry_after_s: float


Admission = Admitted | Limited


@dataclass(frozen=True)
class Stamp:
    """A point in time on one process's clock."""

    incarnation: int
    time_s: float


@dataclass(frozen=True)
class LimitUpdate:
    """Message of one VM to one peer.

    Parameters
    ----------
    stamp : Stamp
        Time of sending on the sender's clock.
    echo : Stamp or None
        The newest stamp that the sender has received from the receiver.
    unmet, granted : mapping of str to float
        Requests per second by caller: demand beyond the sender's quota, and
        rates leased to the receiver.
    """

    stamp: Stamp
    echo: Stamp | None = None
    unmet: Mapping[str, float] = field(default_factory=dict)
    granted: Mapping[str, float] = field(default_factory=dict)


@dataclass
class QuotaLease:
    """Rates leased to one peer for one caller.

    A smaller grant does not replace an earlier one, since the message that
    carries it may be lost.

    Parameters
    ----------
    grants : list of tuple of float
        End on the own clock and rate of each grant.
    """

    grants: list[tuple[float, float]] = field(default_factory=list)

    def active_rate(self, now: float) -> float:
        """Return the rate that the lessee may still be using."""
        self.grants = [grant for grant in self.grants if grant[0] > now]
        return max((rate for _, rate in self.grants), default=0.0)


@dataclass
class Peer:
    """State of one peer.

    Parameters
    ----------
    last_seen_s : float
        When its newest message was received, on the own clock.
    unmet : mapping of str to float
        Its unmet demand in requests per second, by caller.
    leased : mapping of str to float
        Rates that it has leased to this VM, by caller.
    leased_from_s : float
        When the request for these leases was sent, on the own clock.
    """

    stamp: Stamp
    last_seen_s: float
    unmet: Mapping[str, float] = field(default_factory=dict)
    leased: Mapping[str, float] = field(default_factory=dict)
    leased_from_s: float = float('-inf')


@dataclass
class CallerLimits:
    """Token buckets of one VM, and its leases from and to peers.

    Parameters
    ----------
    quotas : mapping of str to CallerQuota
        The VM's own part of each caller's limit.
    incarnation : int
        Random number of this process.
    grantors : mapping of str to frozenset of str, or None
        Peers to request leases from, by caller; with None, unmet demand is
        sent to every peer that a message is composed for.

    Notes
    -----
    Let R be a caller's rate, B its burst and N the number of VMs. All VMs
    together admit at most ``R t + B + N`` requests in any ``t`` seconds. A VM
    that restarts loses its leases and may exceed that once by at most its own
    quota times `LEASE_S`. While N increases, VMs that do not know it yet still
    use their previous, larger quota.
    """

    quotas: Mapping[str, CallerQuota]
    incarnation: int = 0
    grantors: Mapping[str, frozenset[str]] | None = None
    buckets: dict[str, TokenBucket] = field(default_factory=dict)
    meters: dict[str, DemandMeter] = field(default_factory=dict)
    leases: dict[tuple[str, str], QuotaLease] = field(default_factory=dict)
    peers: dict[str, Peer] = field(default_factory=dict)

    @classmethod
    def from_config(
        cls,
        quotas: Mapping[str, CallerQuota],
        incarnation: int,
    ) -> Self:
        """Return the limits of a VM."""
        return cls(quotas, incarnation)

    def configure(
        self,
        quotas: Mapping[str, CallerQuota],
        grantors: Mapping[str, frozenset[str]] | None = None,
    ) -> None:
        """Apply the quotas of a newer manifest or set of VMs."""
        self.quotas = quotas
        self.grantors = grantors
        for table in (self.buckets, self.meters):
            for caller in tuple(table):
                if caller not in quotas:
                    table.pop(caller)

    def admit(self, caller: str, now: float) -> Admission:
        """Admit or limit one request of a caller.

        Callers without a quota are limited: the manifest names every caller.
        """
        quota = self.quotas.get(caller)
        if quota is None:
            return Limited(LEASE_S)
        meter = self.meters.setdefault(caller, DemandMeter())
        # Limited requests are counted too, since they are part of the demand.
        meter.record(now)
        rate = self.rate(caller, now)
        bucket = self.buckets.get(caller)
        if bucket is None:
            bucket = TokenBucket(quota.burst, now, rate)
            self.buckets[caller] = bucket
        wait_s = bucket.acquire(rate, quota.burst, now)
        return Limited(wait_s) if wait_s else Admitted()

    def rate(self, caller: str, now: float) -> float:
        """Return the requests per second that this VM may admit now."""
        leased = sum(
            peer.leased.get(caller, 0.0)
            for peer in self.peers.values()
            if now < peer.leased_from_s + LEASE_S
        )
        return self.own_rate(caller, now) + leased

    def own_rate(self, caller: str, now: float) -> float:
        """Return the own quota minus what peers may still be using."""
        quota = self.quotas[caller].rate_per_s
        granted = sum(
            lease.active_rate(now)
            for (leased_caller, _), lease in self.leases.items()
            if leased_caller == caller
        )
        return max(0.0, quota - granted)

    def receive(self, peer: str, update: LimitUpdate, now: float) -> None:
        """Apply a peer's message, unless it is older than the last one."""
        known = self.peers.get(peer)
        if known is not None and is_older(update.stamp, known.stamp):
            return
        current = Peer(update.stamp, now, update.unmet)
        if known is not None:
            current.leased = known.leased
            current.leased_from_s = known.leased_from_s
        echo = update.echo
        # An echo of another incarnation of this VM refers to another clock.
        if echo is not None and echo.incarnation == self.incarnation:
            self.refill(set(current.leased).union(update.granted), now)
            current.leased = update.granted
            current.leased_from_s = min(echo.time_s, now)
        self.peers[peer] = current

    def refill(self, callers: Iterable[str], now: float) -> None:
        """Refill buckets up to now, before their rates change."""
        for caller in callers:
            bucket = self.buckets.get(caller)
            if bucket is not None:
                burst = self.quotas[caller].burst
                bucket.refill(self.rate(caller, now), burst, now)

    def compose_update(self, peer: str, now: float) -> LimitUpdate:
        """Return the message for a peer and record the leases it grants."""
        known = self.peers.get(peer)
        return LimitUpdate(
            stamp=Stamp(self.incarnation, now),
            echo=None if known is None else known.stamp,
            unmet=self.unmet_for(peer, now),
            granted=self.grant(peer, now),
        )

    def peers_to_notify(self, now: float) -> frozenset[str]:
        """Return peers to request leases from, and recent requesters."""
        peers = [
            name
            for name, peer in self.peers.items()
            if peer.unmet and now - peer.last_seen_s <= LEASE_S
        ]
        grantors = self.grantors or {}
        for caller in self.unmet(now):
            peers.extend(grantors.get(caller, ()))
        return frozenset(peers)

    def unmet_for(self, peer: str, now: float) -> dict[str, float]:
        """Return the unmet demand to report to a peer."""
        unmet_rates = self.unmet(now)
        if self.grantors is None:
            return unmet_rates
        return {
            caller: unmet_rate
            for caller, unmet_rate in unmet_rates.items()
            if peer in self.grantors.get(caller, ())
        }

    def unmet(self, now: float) -> dict[str, float]:
        """Return the demand beyond the own quota, by caller, per second."""
        unmet_rates = {}
        for caller, meter in self.meters.items():
            unmet_rate = meter.per_s(now) * HEADROOM_RATIO - self.own_rate(
                caller, now
            )
            if unmet_rate > MIN_LEASE_PER_S:
                unmet_rates[caller] = unmet_rate
        return unmet_rates

    def grant(self, peer: str, now: float) -> dict[str, float]:
        """Lease a peer its part of the spare quota, and record the leases."""
        known = self.peers.get(peer)
        if known is None or now - known.last_seen_s > LEASE_S:
            return {}
        granted = {}
        for caller, unmet_rate in known.unmet.items():
            if caller in self.quotas:
                rate = self.lease_rate(caller, peer, unmet_rate, now)
                if rate > MIN_LEASE_PER_S:
                    granted[caller] = rate
        for caller, rate in granted.items():
            end_s = now + LEASE_S * CLOCK_DRIFT_FACTOR
            self.leases[caller, peer].grants.append((end_s, rate))
        return granted

    def lease_rate(
        self,
        caller: str,
        peer: str,
        unmet_rate: float,
        now: float,
    ) -> float:
        """Return the rate to lease, limited by what other leases leave."""
        lease = self.leases.setdefault((caller, peer), QuotaLease())
        active_rate = lease.active_rate(now)
        requested = sum(
            other.unmet.get(caller, 0.0)
            for other in self.peers.values()
            if now - other.last_seen_s <= LEASE_S
        )
        target = min(
            unmet_rate, self.spare_rate(caller, now) * unmet_rate / requested
        )
        free = max(0.0, self.own_rate(caller, now) - self.reserved_rate(caller))
        return min(target, active_rate + free)

    def spare_rate(self, caller: str, now: float) -> float:
        """Return the part of the own quota that own demand does not need."""
        quota = self.quotas[caller].rate_per_s
        meter = self.meters.get(caller)
        demand = 0.0 if meter is None else meter.per_s(now) * HEADROOM_RATIO
        return quota - min(quota, max(demand, self.reserved_rate(caller)))

    def reserved_rate(self, caller: str) -> float:
        """Return the rate that is never leased."""
        return self.quotas[caller].rate_per_s * RESERVED_SHARE

    def expire(self, now: float) -> None:
        """Remove peers, leases and meters that have expired."""
        self.refill(self.meters, now)
        for name, peer in tuple(self.peers.items()):
            if now - peer.last_seen_s > 2 * LEASE_S:
                self.peers.pop(name)
        for key, lease in tuple(self.leases.items()):
            if not lease.active_rate(now):
                self.leases.pop(key)
        for caller, meter in tuple(self.meters.items()):
            if meter.is_idle(now):
                self.meters.pop(caller)


def is_older(stamp: Stamp, known: Stamp) -> bool:
    """Return whether a stamp was made before another of the same process."""
    same = stamp.incarnation == known.incarnation
    return same and stamp.time_s < known.time_s
