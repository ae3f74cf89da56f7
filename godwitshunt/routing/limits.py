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

LOAN_S = 3.0
# The lender's clock may run a little slower than the borrower's.
CLOCK_MARGIN = 1.05
# Kept by the lender, so that its own callers are served while it waits for
# the end of its loans.
KEPT_SHARE = 0.1
HEADROOM = 2.0
SMALLEST_LOAN_PER_S = 0.01


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
    unmet, lent : mapping of str to float
        Requests a second by caller: wanted beyond the sender's quota, and
        lent to the receiver.
    """

    stamp: Stamp
    echo: Stamp | None = None
    unmet: Mapping[str, float] = field(default_factory=dict)
    lent: Mapping[str, float] = field(default_factory=dict)


@dataclass
class Loan:
    """Rates lent to one peer for one caller, each until its own end.

    A smaller loan does not shorten an earlier one, since the message that
    tells of it may be lost.
    """

    ends: list[tuple[float, float]] = field(default_factory=list)

    def held(self, now: float) -> float:
        """Return the rate that the borrower may still be using."""
        self.ends = [end for end in self.ends if end[0] > now]
        return max((rate for _, rate in self.ends), default=0.0)


@dataclass
class Peer:
    """What is known of one peer.

    Parameters
    ----------
    heard_s : float
        When its newest message came, on the own clock.
    borrowed_from_s : float
        The own clock when the request for its loans was sent.
    """

    stamp: Stamp
    heard_s: float
    unmet: Mapping[str, float] = field(default_factory=dict)
    borrowed: Mapping[str, float] = field(default_factory=dict)
    borrowed_from_s: float = float('-inf')


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
    times `LOAN_S`; while a change of N is under way, VMs that do not know it
    yet go on with their larger quota of before.
    """

    quotas: Mapping[str, CallerQuota]
    incarnation: int = 0
    grantors: Mapping[str, frozenset[str]] | None = None
    buckets: dict[str, Bucket] = field(default_factory=dict)
    meters: dict[str, DemandMeter] = field(default_factory=dict)
    loans: dict[tuple[str, str], Loan] = field(default_factory=dict)
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
            return Limited(LOAN_S)
        meter = self.meters.setdefault(caller, DemandMeter())
        # Limited requests count as well: demand is what callers want.
        meter.record(now)
        rate = self.rate(caller, now)
        bucket = self.buckets.get(caller)
        if bucket is None:
            bucket = Bucket(quota.burst, now, rate)
            self.buckets[caller] = bucket
        wait_s = bucket.take(rate, quota.burst, now)
        return Limited(wait_s) if wait_s else Admitted()

    def rate(self, caller: str, now: float) -> float:
        """Return the requests a second that this VM may admit now."""
        borrowed = sum(
            peer.borrowed.get(caller, 0.0)
            for peer in self.peers.values()
            if now < peer.borrowed_from_s + LOAN_S
        )
        return self.owned(caller, now) + borrowed

    def owned(self, caller: str, now: float) -> float:
        """Return the own quota less what peers may still be using."""
        quota = self.quotas[caller].rate_per_s
        lent = sum(
            loan.held(now)
            for (borrowed_by, _), loan in self.loans.items()
            if borrowed_by == caller
        )
        return max(0.0, quota - lent)

    def receive(self, peer: str, news: LimitUpdate, now: float) -> None:
        """Take a peer's message; one that is older than the last is ignored."""
        known = self.peers.get(peer)
        if known is not None and is_older(news.stamp, known.stamp):
            return
        current = Peer(news.stamp, now, news.unmet)
        if known is not None:
            current.borrowed = known.borrowed
            current.borrowed_from_s = known.borrowed_from_s
        echo = news.echo
        # An echo of another process of this VM says nothing of its clock.
        if echo is not None and echo.incarnation == self.incarnation:
            self.settle(set(current.borrowed).union(news.lent), now)
            current.borrowed = news.lent
            current.borrowed_from_s = min(echo.time_s, now)
        self.peers[peer] = current

    def settle(self, callers: Iterable[str], now: float) -> None:
        """Count buckets up to now, before their rates change."""
        for caller in callers:
            bucket = self.buckets.get(caller)
            if bucket is not None:
                burst = self.quotas[caller].burst
                bucket.settle(self.rate(caller, now), burst, now)

    def compose_update(self, peer: str, now: float) -> LimitUpdate:
        """Return the message for a peer, lending it what it may use."""
        known = self.peers.get(peer)
        return LimitUpdate(
            stamp=Stamp(self.incarnation, now),
            echo=None if known is None else known.stamp,
            unmet=self.unmet_for(peer, now),
            lent=self.lend(peer, now),
        )

    def peers_to_notify(self, now: float) -> frozenset[str]:
        """Return peers to ask for loans, and those that asked lately."""
        asked = [
            name
            for name, peer in self.peers.items()
            if peer.unmet and now - peer.heard_s <= LOAN_S
        ]
        grantors = self.grantors or {}
        for caller in self.unmet(now):
            asked.extend(grantors.get(caller, ()))
        return frozenset(asked)

    def unmet_for(self, peer: str, now: float) -> dict[str, float]:
        """Return the unmet demand that a peer is asked for."""
        wanted = self.unmet(now)
        if self.grantors is None:
            return wanted
        return {
            caller: missing
            for caller, missing in wanted.items()
            if peer in self.grantors.get(caller, ())
        }

    def unmet(self, now: float) -> dict[str, float]:
        """Return the demand beyond the own quota, by caller."""
        wanted = {}
        for caller, meter in self.meters.items():
            missing = meter.per_s(now) * HEADROOM - self.owned(caller, now)
            if missing > SMALLEST_LOAN_PER_S:
                wanted[caller] = missing
        return wanted

    def lend(self, peer: str, now: float) -> dict[str, float]:
        """Lend a peer its part of what is spare, and note the loans."""
        known = self.peers.get(peer)
        if known is None or now - known.heard_s > LOAN_S:
            return {}
        lent = {}
        for caller, missing in known.unmet.items():
            if caller in self.quotas:
                rate = self.loan_rate(caller, peer, missing, now)
                if rate > SMALLEST_LOAN_PER_S:
                    lent[caller] = rate
        for caller, rate in lent.items():
            end_s = now + LOAN_S * CLOCK_MARGIN
            self.loans[caller, peer].ends.append((end_s, rate))
        return lent

    def loan_rate(
        self,
        caller: str,
        peer: str,
        missing: float,
        now: float,
    ) -> float:
        """Return the rate to lend, within what no other loan holds."""
        loan = self.loans.setdefault((caller, peer), Loan())
        held = loan.held(now)
        asked = sum(
            other.unmet.get(caller, 0.0)
            for other in self.peers.values()
            if now - other.heard_s <= LOAN_S
        )
        target = min(missing, self.spare(caller, now) * missing / asked)
        free = max(0.0, self.owned(caller, now) - self.kept(caller))
        return min(target, held + free)

    def spare(self, caller: str, now: float) -> float:
        """Return the part of the own quota that own demand leaves."""
        quota = self.quotas[caller].rate_per_s
        meter = self.meters.get(caller)
        wanted = 0.0 if meter is None else meter.per_s(now) * HEADROOM
        return quota - min(quota, max(wanted, self.kept(caller)))

    def kept(self, caller: str) -> float:
        """Return the rate that is never lent."""
        return self.quotas[caller].rate_per_s * KEPT_SHARE

    def expire(self, now: float) -> None:
        """Drop peers, loans and meters that no longer matter."""
        self.settle(self.meters, now)
        for name, peer in tuple(self.peers.items()):
            if now - peer.heard_s > 2 * LOAN_S:
                self.peers.pop(name)
        for key, loan in tuple(self.loans.items()):
            if not loan.held(now):
                self.loans.pop(key)
        for caller, meter in tuple(self.meters.items()):
            if meter.idle(now):
                self.meters.pop(caller)


def is_older(stamp: Stamp, known: Stamp) -> bool:
    """Return whether a stamp was made before another of the same process."""
    same = stamp.incarnation == known.incarnation
    return same and stamp.time_s < known.time_s
