"""Limit of an organisation over all VMs, enforced by the pickers; no I/O.

Each picker counts exactly what it admits and receives the totals of the other
pickers a few times a second. While all are reachable, it uses a token bucket
of the whole limit and charges the others' units to it as they are reported. A
picker that is unreachable is assumed to admit its fixed share, so the bucket
is smaller and fills more slowly meanwhile. In any partition, the shares that
are admitted add up to no more than the limit. Because an unreachable picker is
detected with a delay, no picker admits more than its fixed share of what the
limit has allowed since the others' last reports.

Totals never decrease and are sent in full, so a lost message only causes a
delay.

References
----------
O'Neil, "The escrow transactional method", ACM TODS, 1986.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf

from godwitshunt.manifest import Manifest, OrganisationLimit

# Units admitted by a process since its start, by organisation.
AdmittedTotals = Mapping[str, float]
# A picker without a report for this long is unreachable. Pickers poll each
# other every 0.2 s, over a network delay of 0.1 s.
PEER_TIMEOUT_S = 0.6
MIN_WAIT_S = 0.05
# Share of the allowance beyond a limit that may be used deliberately.
USABLE_ALLOWANCE_SHARE = 0.5
# Minimum bucket size, in seconds of the limit's rate.
MIN_BURST_S = 0.25


def limits_of(manifest: Manifest) -> dict[str, OrganisationLimit]:
    """Return the limit of each organisation that has one."""
    return {
        organisation.name: organisation.limit
        for organisation in manifest.organisations
        if organisation.limit is not None
    }


@dataclass(frozen=True)
class AdmissionShare:
    """Share of the limits that a process may admit.

    Parameters
    ----------
    part : float
        Usable share of each limit, 0 to 1: the whole limit without the fixed
        shares of unreachable processes.
    share : float
        Fixed share of this process.
    peers_seen_s : float
        Time of the oldest last report of a reachable process; infinite if
        there are no others.
    allowance : float
        Units beyond a limit that operators tolerate per window.
    """

    part: float = 1.0
    share: float = 1.0
    peers_seen_s: float = inf
    allowance: float = 0.0


@dataclass
class LimitBucket:
    """Token bucket of one organisation's limit.

    Parameters
    ----------
    remaining : float
        Available units; negative if other processes admitted more than was
        known here.
    updated_s : float
        Time of the last refill.
    recent : deque
        Times and units of recent admissions here that other processes may not
        know yet.
    part : float
        Usable share of the limit at the last refill.
    """

    limit: OrganisationLimit
    remaining: float
    updated_s: float
    recent: deque[tuple[float, float]] = field(default_factory=deque)
    part: float = 1.0

    @property
    def capacity(self) -> float:
        """Units that may be admitted at once.

        The minimum applies to a limit without a burst, which could otherwise
        admit nothing.
        """
        return max(self.limit.burst, self.limit.per_s * MIN_BURST_S)

    def refill(self, part: float, now_s: float) -> None:
        """Add the units of the elapsed time for a share of the limit.

        A process that became unreachable has used its share since its last
        report, not only since the timeout. So its units of that period are
        subtracted.
        """
        lost_part = max(0.0, self.part - part)
        self.part = part
        self.remaining -= lost_part * self.limit.per_s * PEER_TIMEOUT_S
        passed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = max(self.updated_s, now_s)
        gained = self.limit.per_s * part * passed_s
        self.remaining = min(self.capacity * part, self.remaining + gained)

    def wait_s(
        self, cost: float, admission_share: AdmissionShare, now_s: float
    ) -> float:
        """Return the seconds until a request is within the limit.

        A full bucket admits a request that is larger than the bucket. A
        request without cost is always admitted.
        """
        if not cost:
            return 0.0
        missing = (
            min(cost, self.capacity * admission_share.part) - self.remaining
        )
        unreported = self.unreported_units(admission_share, now_s)
        if unreported:
            missing = max(
                missing,
                unreported + cost - self.entitled_units(admission_share, now_s),
            )
        if missing <= 0:
            return 0.0
        per_s = self.limit.per_s * admission_share.part
        return max(MIN_WAIT_S, missing / per_s) if per_s else PEER_TIMEOUT_S

    def entitled_units(
        self, admission_share: AdmissionShare, now_s: float
    ) -> float:
        """Return this process's share of the units since the peers' reports.

        The other processes may have admitted their shares meanwhile. A part of
        the allowance is added because the share of a small organisation may be
        less than two of its prompts.
        """
        passed_s = max(0.0, now_s - admission_share.peers_seen_s)
        allowed = self.capacity + self.limit.per_s * passed_s
        return admission_share.share * (
            allowed + USABLE_ALLOWANCE_SHARE * admission_share.allowance
        )

    def unreported_units(
        self, admission_share: AdmissionShare, now_s: float
    ) -> float:
        """Return the units admitted here since the peers' last reports."""
        while self.recent and self.recent[0][0] < now_s - PEER_TIMEOUT_S:
            self.recent.popleft()
        return sum(
            units
            for at_s, units in self.recent
            if at_s > admission_share.peers_seen_s
        )

    def charge_peer_units(self, units: float, silent_s: float) -> None:
        """Charge units that another picker has admitted.

        Units that it admitted while it was unreachable were also refilled
        during that time, although a full bucket could not hold them. So they
        don't make the balance negative.

        Parameters
        ----------
        silent_s : float
            Seconds for which the picker was unreachable.
        """
        floor = min(self.remaining, 0.0)
        self.remaining -= units
        if silent_s > 0:
            self.remaining = max(self.remaining, floor)


@dataclass
class PeerTotals:
    """Totals that another process has reported.

    Parameters
    ----------
    asof_s : float
        Time as of which they were reported.
    """

    totals: AdmittedTotals
    asof_s: float


@dataclass
class LimitPool:
    """Limits of all organisations as one process enforces them.

    Parameters
    ----------
    admitted : dict
        Units admitted by this process since its start, by organisation; these
        totals are sent to the other processes.
    buckets : dict
        Token bucket of each organisation with a limit.
    peer_totals : dict
        Last totals of each other process.

    Examples
    --------
    >>> limit = OrganisationLimit(per_s=10.0, burst=10.0)
    >>> pool = LimitPool()
    >>> pool.configure({'wards': limit}, now_s=0.0, starts=False)
    >>> pool.wait_s('wards', 8.0, AdmissionShare(), now_s=0.0)
    0.0
    >>> pool.charge('wards', 8.0, now_s=0.0)
    >>> round(pool.wait_s('wards', 8.0, AdmissionShare(), now_s=0.1), 3)
    0.5
    """

    admitted: dict[str, float] = field(default_factory=dict)
    buckets: dict[str, LimitBucket] = field(default_factory=dict)
    peer_totals: dict[str, PeerTotals] = field(default_factory=dict)

    def configure(
        self,
        limits: Mapping[str, OrganisationLimit],
        now_s: float,
        *,
        starts: bool,
    ) -> None:
        """Apply the limits of a newer revision.

        Parameters
        ----------
        starts : bool
            True for the first limits of a picker. It doesn't know then what
            other pickers or its previous process have just admitted, so the
            buckets are empty at first.
        """
        for name in self.buckets.keys() - limits.keys():
            self.buckets.pop(name)
        for name, limit in limits.items():
            bucket = self.buckets.get(name)
            if bucket is None:
                bucket = LimitBucket(limit, 0.0, now_s)
                bucket.remaining = 0.0 if starts else bucket.capacity
                self.buckets[name] = bucket
            bucket.limit = limit

    def wait_s(
        self,
        name: str,
        cost: float,
        admission_share: AdmissionShare,
        now_s: float,
    ) -> float:
        """Return the seconds until a request is within its limit; 0 for now."""
        bucket = self.buckets.get(name)
        if bucket is None:
            return 0.0
        bucket.refill(admission_share.part, now_s)
        return bucket.wait_s(cost, admission_share, now_s)

    def charge(self, name: str, cost: float, now_s: float) -> None:
        """Charge a request that is admitted here."""
        bucket = self.buckets.get(name)
        if bucket is not None:
            bucket.remaining -= cost
            bucket.recent.append((now_s, cost))
            self.admitted[name] = self.admitted.get(name, 0.0) + cost

    def apply_peer_totals(
        self,
        source: str,
        totals: AdmittedTotals,
        asof_s: float,
        share: float = 0.0,
    ) -> None:
        """Charge the units that another picker admitted since its last report.

        Units before its first report are not charged: they were admitted
        before this process started, or the other picker had not assigned any
        request yet.

        Parameters
        ----------
        source : str
            The other picker's process.
        share : float
            Fixed share of that picker, which was reserved for it while it was
            unreachable.
        """
        previous = self.peer_totals.get(source)
        if previous is not None and asof_s <= previous.asof_s:
            return
        self.peer_totals[source] = PeerTotals(totals, asof_s)
        if previous is None:
            return
        silent_s = max(0.0, asof_s - previous.asof_s - PEER_TIMEOUT_S)
        for name, units in increases(previous.totals, totals):
            bucket = self.buckets.get(name)
            if bucket is not None:
                # Refill first: charging before the refill would let the
                # elapsed time refill units that a full bucket can't hold.
                bucket.refill(bucket.part, asof_s)
                granted = bucket.limit.per_s * share * silent_s
                bucket.charge_peer_units(max(0.0, units - granted), silent_s)

    def apply_vm_totals(
        self, session: str, totals: AdmittedTotals, now_s: float
    ) -> None:
        """Charge the units that an entry VM admitted without a picker.

        They count as admitted here, so that the other pickers learn of them.
        """
        previous = self.peer_totals.get(session)
        self.peer_totals[session] = PeerTotals(totals, now_s)
        if previous is not None:
            for name, units in increases(previous.totals, totals):
                self.charge(name, units, now_s)

    def expire(self, before_s: float) -> None:
        """Remove processes whose last report is older than a time."""
        for source, last in tuple(self.peer_totals.items()):
            if last.asof_s < before_s:
                self.peer_totals.pop(source)


def increases(
    before: AdmittedTotals, after: AdmittedTotals
) -> list[tuple[str, float]]:
    """Return the names and differences of totals that have increased.

    Examples
    --------
    >>> increases({'one': 2.0, 'two': 1.0}, {'one': 5.0, 'two': 1.0})
    [('one', 3.0)]
    """
    differences = [
        (name, total - before.get(name, 0.0)) for name, total in after.items()
    ]
    return [(name, units) for name, units in differences if units > 0]
