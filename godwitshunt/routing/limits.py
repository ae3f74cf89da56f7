"""Limits for each caller that hold over all VMs without a central step.

Each VM owns a fixed quota of each caller's rate. A VM that does not need its
quota lends a part to a peer that asked for more. A loan is a lease: the
borrower counts it from the moment it asked, the lender from the moment it
lent, which is later. So a lender takes its quota back only when the borrower
has stopped using it, whatever messages were lost or delayed, and no clocks
are compared: the quotas in use never add up to more than the rate.

References
----------
O'Neil, "The escrow transactional method", ACM TODS, 1986.
Gray and Cheriton, "Leases", SOSP 1989.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Self

from godwitshunt.routing.meters import Bucket, DemandMeter

LEASE_S = 3.0
# The lender's clock may run a little slower than the borrower's.
CLOCK_DRIFT_FACTOR = 1.05
# Kept by the lender, so that its own callers are served while it waits for
# the end of its loans.
RESERVED_SHARE = 0.1
DEMAND_HEADROOM = 2.0
MIN_LEASE_PER_S = 0.01


@dataclass(frozen=True)
class CallerQuota:
    """A VM's own part of a caller's limit.

    Parameters
    ----------
    rate_per_s : float
        Requests a second.
    burst : float
        Requests at once; at least 1, else the VM could never admit one.
    """

    rate_per_s: float
    burst: float


@dataclass(frozen=True)
class Admitted:
    """The request is within its caller's limit."""


@dataclass(frozen=True)
class Limited:
    """The caller is over its limit; it may come back after some seconds."""

    retry_after_s: float


Admission = Admitted | Limited


@dataclass(frozen=True)
class Stamp:
    """A moment on one process's clock."""

    incarnation: int
    time_s: float


@dataclass(frozen=True)
class LimitUpdate:
    """What one VM tells one peer.

    Parameters
    ----------
    stamp : Stamp
        When it was sent, by the sender's clock.
    echo : Stamp or None
        The newest stamp that the sender has of the receiver.
    unmet, granted : mapping of str to float
        Requests a second by caller: wanted beyond the sender's quota, and
        lent to the receiver.
    """

    stamp: Stamp
    echo: Stamp | None = None
    unmet: Mapping[str, float] = field(default_factory=dict)
    granted: Mapping[str, float] = field(default_factory=dict)


@dataclass
class QuotaLease:
    """Rates lent to one peer for one caller, each until its own end.

    A smaller loan does not shorten an earlier one, since the message that
    tells of it may be lost.
    """

    grants: list[tuple[float, float]] = field(default_factory=list)

    def active_rate(self, now: float) -> float:
        """Return the rate that the borrower may still be using."""
        self.grants = [end for end in self.grants if end[0] > now]
        return max((rate for _, rate in self.grants), default=0.0)


@dataclass
class Peer:
    """What is known of one peer.

    Parameters
    ----------
    last_seen_s : float
        When its newest message came, on the own clock.
    leased_from_s : float
        The own clock when the request for its loans was sent.
    """

    stamp: Stamp
    last_seen_s: float
    unmet: Mapping[str, float] = field(default_factory=dict)
    leased: Mapping[str, float] = field(default_factory=dict)
    leased_from_s: float = float('-inf')


@dataclass
class CallerLimits:
    """Token buckets of one VM, and its loans from and to peers.

    Parameters
    ----------
    quotas : mapping of str to CallerQuota
        The VM's own part of each caller's limit.
    incarnation : int
        Random number of this process.
    grantors : mapping of str to frozenset of str, or None
        Peers to ask for a caller's loans; None asks whoever is told.

    Notes
    -----
    Let R be a caller's rate, B its burst and N the VMs. All VMs together
    admit at most ``R t + B + N`` requests in any ``t`` seconds. A VM that
    restarts forgets its loans and exceeds that once by at most its own quota
    times `LEASE_S`; while a change of N is under way, VMs that do not know it
    yet go on with their larger quota of before.
    """

    quotas: Mapping[str, CallerQuota]
    incarnation: int = 0
    grantors: Mapping[str, frozenset[str]] | None = None
    buckets: dict[str, Bucket] = field(default_factory=dict)
    meters: dict[str, DemandMeter] = field(default_factory=dict)
    leases: dict[tuple[str, str], QuotaLease] = field(default_factory=dict)
    peers: dict[str, Peer] = field(default_factory=dict)

    @classmethod
    def from_config(
        cls,
        quotas: Mapping[str, CallerQuota],
        incarnation: int,
    ) -> Self:
        """Make the limits of a VM."""
        return cls(quotas, incarnation)

    def configure(
        self,
        quotas: Mapping[str, CallerQuota],
        grantors: Mapping[str, frozenset[str]] | None = None,
    ) -> None:
        """Take the quotas of a newer manifest or set of VMs."""
        self.quotas = quotas
        self.grantors = grantors
        for table in (self.buckets, self.meters):
            for caller in tuple(table):
                if caller not in quotas:
                    table.pop(caller)

    def admit(self, caller: str, now: float) -> Admission:
        """Take one request of a caller.

        Callers without a quota are limited: the manifest names every caller.
        """
        quota = self.quotas.get(caller)
        if quota is None:
            return Limited(LEASE_S)
        meter = self.meters.setdefault(caller, DemandMeter())
        # Limited requests count as well: demand is what callers want.
        meter.record(now)
        rate = self.rate(caller, now)
        bucket = self.buckets.get(caller)
        if bucket is None:
            bucket = Bucket(quota.burst, now, rate)
            self.buckets[caller] = bucket
        wait_s = bucket.acquire(rate, quota.burst, now)
        return Limited(wait_s) if wait_s else Admitted()

    def rate(self, caller: str, now: float) -> float:
        """Return the requests a second that this VM may admit now."""
        leased = sum(
            peer.leased.get(caller, 0.0)
            for peer in self.peers.values()
            if now < peer.leased_from_s + LEASE_S
        )
        return self.own_rate(caller, now) + leased

    def own_rate(self, caller: str, now: float) -> float:
        """Return the own quota less what peers may still be using."""
        quota = self.quotas[caller].rate_per_s
        granted = sum(
            lease.active_rate(now)
            for (leased_caller, _), lease in self.leases.items()
            if leased_caller == caller
        )
        return max(0.0, quota - granted)

    def receive(self, peer: str, update: LimitUpdate, now: float) -> None:
        """Take a peer's message; one that is older than the last is ignored."""
        known = self.peers.get(peer)
        if known is not None and is_older(update.stamp, known.stamp):
            return
        current = Peer(update.stamp, now, update.unmet)
        if known is not None:
            current.leased = known.leased
            current.leased_from_s = known.leased_from_s
        echo = update.echo
        # An echo of another process of this VM says nothing of its clock.
        if echo is not None and echo.incarnation == self.incarnation:
            self.refill(set(current.leased).union(update.granted), now)
            current.leased = update.granted
            current.leased_from_s = min(echo.time_s, now)
        self.peers[peer] = current

    def refill(self, callers: Iterable[str], now: float) -> None:
        """Count buckets up to now, before their rates change."""
        for caller in callers:
            bucket = self.buckets.get(caller)
            if bucket is not None:
                burst = self.quotas[caller].burst
                bucket.refill(self.rate(caller, now), burst, now)

    def compose_update(self, peer: str, now: float) -> LimitUpdate:
        """Return the message for a peer, lending it what it may use."""
        known = self.peers.get(peer)
        return LimitUpdate(
            stamp=Stamp(self.incarnation, now),
            echo=None if known is None else known.stamp,
            unmet=self.unmet_for(peer, now),
            granted=self.grant(peer, now),
        )

    def peers_to_notify(self, now: float) -> frozenset[str]:
        """Return peers to ask for loans, and those that asked lately."""
        requested = [
            name
            for name, peer in self.peers.items()
            if peer.unmet and now - peer.last_seen_s <= LEASE_S
        ]
        grantors = self.grantors or {}
        for caller in self.unmet(now):
            requested.extend(grantors.get(caller, ()))
        return frozenset(requested)

    def unmet_for(self, peer: str, now: float) -> dict[str, float]:
        """Return the unmet demand that a peer is asked for."""
        unmet_rates = self.unmet(now)
        if self.grantors is None:
            return unmet_rates
        return {
            caller: missing
            for caller, missing in unmet_rates.items()
            if peer in self.grantors.get(caller, ())
        }

    def unmet(self, now: float) -> dict[str, float]:
        """Return the demand beyond the own quota, by caller."""
        unmet_rates = {}
        for caller, meter in self.meters.items():
            missing = meter.per_s(now) * DEMAND_HEADROOM - self.own_rate(
                caller, now
            )
            if missing > MIN_LEASE_PER_S:
                unmet_rates[caller] = missing
        return unmet_rates

    def grant(self, peer: str, now: float) -> dict[str, float]:
        """Lend a peer its part of what is spare, and note the loans."""
        known = self.peers.get(peer)
        if known is None or now - known.last_seen_s > LEASE_S:
            return {}
        granted = {}
        for caller, missing in known.unmet.items():
            if caller in self.quotas:
                rate = self.lease_rate(caller, peer, missing, now)
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
        missing: float,
        now: float,
    ) -> float:
        """Return the rate to lend, within what no other loan holds."""
        lease = self.leases.setdefault((caller, peer), QuotaLease())
        active_rate = lease.active_rate(now)
        requested = sum(
            other.unmet.get(caller, 0.0)
            for other in self.peers.values()
            if now - other.last_seen_s <= LEASE_S
        )
        target = min(
            missing, self.spare_rate(caller, now) * missing / requested
        )
        free = max(0.0, self.own_rate(caller, now) - self.reserved_rate(caller))
        return min(target, active_rate + free)

    def spare_rate(self, caller: str, now: float) -> float:
        """Return the part of the own quota that own demand leaves."""
        quota = self.quotas[caller].rate_per_s
        meter = self.meters.get(caller)
        unmet_rates = (
            0.0 if meter is None else meter.per_s(now) * DEMAND_HEADROOM
        )
        return quota - min(quota, max(unmet_rates, self.reserved_rate(caller)))

    def reserved_rate(self, caller: str) -> float:
        """Return the rate that is never lent."""
        return self.quotas[caller].rate_per_s * RESERVED_SHARE

    def expire(self, now: float) -> None:
        """Drop peers, loans and meters that no longer matter."""
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
