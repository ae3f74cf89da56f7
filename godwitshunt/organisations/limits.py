"""An organisation's limit over all VMs, kept by the regions' pickers; pure.

Each picker counts exactly what it admits, and hears a few times a second what
the others have admitted. While it hears them, it admits by the sum: a bucket
of the whole limit, from which others' units are taken as they are heard. Of a
picker that it doesn't hear it presumes that it takes its fixed share, and
leaves that: its own bucket is smaller and fills more slowly meanwhile. So
whatever is cut from whatever, the parts that admit never add up to more than
the limit. And since a silence is noticed late only, no picker ever admits more
than its fixed share of what the limit allows since it has heard the others.

Counts rise for ever and are told whole: a lost message costs nothing but time.

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
Sums = Mapping[str, float]
# Pickers tell each other each 0.2 s, over 0.1 s; one that was not heard for so
# long is taken to be out of reach.
PEER_TIMEOUT_S = 0.6
LEAST_WAIT_S = 0.05
# Of what operators bear beyond a limit, this part may be used up knowingly.
USED_SHARE = 0.5
# A limit without a burst is kept in pieces of so long.
LEAST_BURST_S = 0.25


def limits_of(manifest: Manifest) -> dict[str, OrganisationLimit]:
    """Return the limit of each organisation that has one."""
    return {
        one.name: one.limit
        for one in manifest.organisations
        if one.limit is not None
    }


@dataclass(frozen=True)
class AdmissionShare:
    """How a process stands to the others that admit requests.

    Parameters
    ----------
    part : float
        Part of each limit that may be admitted here, 0 to 1: all but the
        fixed shares of those that are not heard.
    share : float
        Its own fixed share.
    peers_seen_s : float
        All others that count as heard were heard since then; infinite where
        there are none.
    allowance : float
        Units beyond a limit that operators bear in a window.
    """

    part: float = 1.0
    share: float = 1.0
    peers_seen_s: float = inf
    allowance: float = 0.0


@dataclass
class LimitBucket:
    """What is left of one organisation's limit, in its units.

    Parameters
    ----------
    left : float
        Below 0 where others took more than was known.
    asof_s : float
        Filled until then.
    recent : deque
        When what was admitted here, for as long as others may not know it.
    part : float
        Part of the limit that it was filled by last.
    """

    limit: OrganisationLimit
    left: float
    asof_s: float
    recent: deque[tuple[float, float]] = field(default_factory=deque)
    part: float = 1.0

    @property
    def capacity(self) -> float:
        """What may be admitted at once.

        Without any burst nothing could be admitted between two moments.
        """
        return max(self.limit.burst, self.limit.per_s * LEAST_BURST_S)

    def fill(self, part: float, now_s: float) -> None:
        """Add what time has brought to a part of the limit.

        Who is not heard any more has had its share since it was heard last,
        and not only since its silence was noticed.
        """
        lost = max(0.0, self.part - part)
        self.part = part
        self.left -= lost * self.limit.per_s * PEER_TIMEOUT_S
        passed_s = max(0.0, now_s - self.asof_s)
        self.asof_s = max(self.asof_s, now_s)
        gained = self.limit.per_s * part * passed_s
        self.left = min(self.capacity * part, self.left + gained)

    def wait_s(
        self, cost: float, standing: AdmissionShare, now_s: float
    ) -> float:
        """Return the seconds until a request is within the limit.

        A request that is larger than the bucket is admitted by a full one,
        and one that counts for nothing always.
        """
        if not cost:
            return 0.0
        missing = min(cost, self.capacity * standing.part) - self.left
        untold = self.untold(standing, now_s)
        if untold:
            missing = max(missing, untold + cost - self.own(standing, now_s))
        if missing <= 0:
            return 0.0
        per_s = self.limit.per_s * standing.part
        return max(LEAST_WAIT_S, missing / per_s) if per_s else PEER_TIMEOUT_S

    def own(self, standing: AdmissionShare, now_s: float) -> float:
        """Return this process's share of what the limit has allowed.

        That is since the others were heard: all of them may have admitted
        their shares of it meanwhile. A small organisation's share may be less
        than two of its prompts; a part of what operators bear goes to those.
        """
        passed_s = max(0.0, now_s - standing.peers_seen_s)
        allowed = self.capacity + self.limit.per_s * passed_s
        return standing.share * (allowed + USED_SHARE * standing.allowance)

    def untold(self, standing: AdmissionShare, now_s: float) -> float:
        """Return what was admitted here since the others were heard."""
        while self.recent and self.recent[0][0] < now_s - PEER_TIMEOUT_S:
            self.recent.popleft()
        return sum(
            units for at_s, units in self.recent if at_s > standing.peers_seen_s
        )

    def take_heard(self, units: float, silent_s: float) -> None:
        """Count what another picker has admitted.

        What it admitted through a silence was refilled meanwhile, which a
        full bucket here did not show; so the silence leaves no debt.
        """
        least = min(self.left, 0.0)
        self.left -= units
        if silent_s > 0:
            self.left = max(self.left, least)


@dataclass
class HeardSums:
    """What another process has told of its counts.

    Parameters
    ----------
    asof_s : float
        They are as of then.
    """

    sums: Sums
    asof_s: float


@dataclass
class LimitPool:
    """One process's counts of what organisations were admitted.

    Parameters
    ----------
    admitted : dict
        Admitted by this process since its start; what others are told.

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
    heard: dict[str, HeardSums] = field(default_factory=dict)

    def configure(
        self,
        limits: Mapping[str, OrganisationLimit],
        now_s: float,
        *,
        starts: bool,
    ) -> None:
        """Take the limits of a newer revision.

        Parameters
        ----------
        starts : bool
            True for the first limits of a picker. What others, or the
            process before it, have just admitted is not known then, so the
            buckets begin empty.
        """
        for name in self.buckets.keys() - limits.keys():
            self.buckets.pop(name)
        for name, limit in limits.items():
            bucket = self.buckets.get(name)
            if bucket is None:
                bucket = LimitBucket(limit, 0.0, now_s)
                bucket.left = 0.0 if starts else bucket.capacity
                self.buckets[name] = bucket
            bucket.limit = limit

    def wait_s(
        self,
        name: str,
        cost: float,
        standing: AdmissionShare,
        now_s: float,
    ) -> float:
        """Return the seconds until a request is within its limit; 0 for now."""
        bucket = self.buckets.get(name)
        if bucket is None:
            return 0.0
        bucket.fill(standing.part, now_s)
        return bucket.wait_s(cost, standing, now_s)

    def charge(self, name: str, cost: float, now_s: float) -> None:
        """Count a request that is admitted here."""
        bucket = self.buckets.get(name)
        if bucket is not None:
            bucket.left -= cost
            bucket.recent.append((now_s, cost))
            self.admitted[name] = self.admitted.get(name, 0.0) + cost

    def apply_peer_totals(
        self,
        source: str,
        sums: Sums,
        asof_s: float,
        share: float = 0.0,
    ) -> None:
        """Take what another picker has admitted since it was heard last.

        What it admitted before it was first heard was admitted before this
        process began, or before the other one gave its first place.

        Parameters
        ----------
        share : float
            Its fixed share, which was left to it while it was not heard.
        """
        known = self.heard.get(source)
        if known is not None and asof_s <= known.asof_s:
            return
        self.heard[source] = HeardSums(sums, asof_s)
        if known is None:
            return
        silent_s = max(0.0, asof_s - known.asof_s - PEER_TIMEOUT_S)
        for name, units in gained(known.sums, sums):
            bucket = self.buckets.get(name)
            if bucket is not None:
                # Time that has passed fills a bucket once, not once more
                # after what was taken at its end.
                bucket.fill(bucket.part, asof_s)
                left_to_it = bucket.limit.per_s * share * silent_s
                bucket.take_heard(max(0.0, units - left_to_it), silent_s)

    def apply_vm_totals(self, session: str, sums: Sums, now_s: float) -> None:
        """Take what an entry VM admitted by itself, without a picker.

        It counts as admitted here, so that the other pickers hear of it.
        """
        known = self.heard.get(session)
        self.heard[session] = HeardSums(sums, now_s)
        if known is not None:
            for name, units in gained(known.sums, sums):
                self.charge(name, units, now_s)

    def expire(self, before_s: float) -> None:
        """Drop processes that were heard last before a time."""
        for source, known in tuple(self.heard.items()):
            if known.asof_s < before_s:
                self.heard.pop(source)


def gained(before: Sums, after: Sums) -> list[tuple[str, float]]:
    """Return by how much counts have risen, where they have.

    Examples
    --------
    >>> gained({'one': 2.0, 'two': 1.0}, {'one': 5.0, 'two': 1.0})
    [('one', 3.0)]
    """
    risen = [
        (name, total - before.get(name, 0.0)) for name, total in after.items()
    ]
    return [(name, units) for name, units in risen if units > 0]
