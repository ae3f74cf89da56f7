"""What a region tells others of itself, and who asks whom for it.

A VM asks another region only when what it knows has grown old. VMs of a
region wait the longer the lower they rank for that region, and pass on what
they learn, so that in calm one VM a region asks, and another takes over by
itself when that one is gone. Messages grow with the square of the regions
over the VMs of one, never with the square of all VMs.
"""

import hashlib
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from godwitshunt.membership.peers import NamedAddresses
from godwitshunt.membership.views import RegionSummary, UpstreamView

SUMMARY_PERIOD_S = 2.0
# Ranks beyond this wait no longer than it, so that a region with all of its
# best ranked VMs gone is asked in time.
MAX_RANK = 4
# A summary that old says nothing of free capacity any more.
SUMMARY_LIMIT_S = 30.0
# How long a request in a full upstream keeps its slot: unknown to a summary,
# which only has to tell short queues from long ones.
SLOT_TURN_S = 1.0


@dataclass(frozen=True)
class RegionCapacity:
    """Capacity of a region for one service and model."""

    service: str
    model: str | None
    free_slots: int
    slots: int
    wait_s: float
    price: float


@dataclass(frozen=True)
class RegionReport:
    """A region in sum, as one of its VMs told it.

    Parameters
    ----------
    made_s : float
        When it was made at the latest possible, in the holder's monotonic
        seconds.
    round_trip_s : float
        Round trip to the region, measured by the VM that asked.
    absent : frozenset of str
        Names of the region's VMs that take no requests.
    """

    region: str
    made_s: float
    round_trip_s: float
    capacities: tuple[RegionCapacity, ...]
    absent: frozenset[str] = frozenset()


def predicted_wait_s(upstream: UpstreamView) -> float:
    """Return the seconds until an upstream would give a first token."""
    tokens = upstream.queued_tokens + upstream.sent_tokens_since
    prefill_s = tokens / upstream.prefill_tokens_per_s
    ahead = upstream.running + upstream.queued + upstream.sent_since
    excess = max(0, ahead + 1 - upstream.slots)
    return prefill_s + excess * SLOT_TURN_S / upstream.slots


def free_slots(upstream: UpstreamView) -> int:
    """Return the slots of an upstream that nothing runs in or waits for."""
    taken = upstream.running + upstream.queued + upstream.sent_since
    return max(0, upstream.slots - taken)


def summarize(views: Iterable[UpstreamView]) -> tuple[RegionCapacity, ...]:
    """Return a region's capacity for each service and model."""
    groups: dict[tuple, list[UpstreamView]] = defaultdict(list)
    for view in views:
        if view.leaving:
            continue
        for model in sorted(view.models) or (None,):
            groups[view.service, model].append(view)
    return tuple(
        summarize_group(*offered, group) for offered, group in groups.items()
    )


def summarize_group(
    service: str,
    model: str | None,
    group: list[UpstreamView],
) -> RegionCapacity:
    """Return the capacity of the upstreams of one service and model."""
    best = min(group, key=lambda view: (predicted_wait_s(view), view.price))
    return RegionCapacity(
        service=service,
        model=model,
        free_slots=sum(free_slots(view) for view in group),
        slots=sum(view.slots for view in group),
        wait_s=predicted_wait_s(best),
        price=best.price,
    )


def rendezvous_order(names: Iterable[str], topic: str) -> tuple[str, ...]:
    """Return names by their hash with a topic, highest first.

    Each topic has an order of its own, and a name that comes or goes moves
    no other. [1]_

    References
    ----------
    .. [1] Thaler, D. and Ravishankar, C. (1998). Using name-based mappings to
       increase hit rates. IEEE/ACM Transactions on Networking, 6(1), 1-14.
    """
    return tuple(
        sorted(names, key=lambda name: weight(name, topic), reverse=True),
    )


def weight(name: str, topic: str) -> bytes:
    """Return the rendezvous weight of a name for a topic."""
    text = f'{name}\0{topic}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


@dataclass
class RegionTable:
    """The newest report of each other region."""

    reports: dict[str, RegionReport] = field(default_factory=dict)
    asked_s: dict[str, float] = field(default_factory=dict)

    def learn(self, report: RegionReport) -> bool:
        """Take a report; return False where a newer one is known."""
        known = self.reports.get(report.region)
        if known is not None and known.made_s >= report.made_s:
            return False
        self.reports[report.region] = report
        return True

    def is_due(self, region: str, rank: int, now_s: float) -> bool:
        """Return whether a VM of this rank asks a region now."""
        known = self.reports.get(region)
        asked_s = self.asked_s.get(region)
        newest_s = max(
            float('-inf') if known is None else known.made_s,
            float('-inf') if asked_s is None else asked_s,
        )
        patience = 1 + min(rank, MAX_RANK)
        return now_s - newest_s >= SUMMARY_PERIOD_S * patience

    def note_asked(self, region: str, now_s: float) -> None:
        """Wait a period before a silent region is asked again."""
        self.asked_s[region] = now_s

    def youngest_age_s(self, now_s: float) -> float:
        """Return the seconds since any other region was heard of."""
        ages = (now_s - report.made_s for report in self.reports.values())
        return min(ages, default=float('inf'))

    def views(
        self,
        vms: dict[str, NamedAddresses],
        now_s: float,
    ) -> tuple[RegionSummary, ...]:
        """Return the summaries that routing sees.

        Parameters
        ----------
        vms : dict
            Names and HTTP addresses of each region's entry VMs.
        """
        return tuple(
            summary
            for report in self.reports.values()
            if now_s - report.made_s < SUMMARY_LIMIT_S
            for summary in report_views(report, vms, now_s)
        )


def report_views(
    report: RegionReport,
    vms: dict[str, NamedAddresses],
    now_s: float,
) -> tuple[RegionSummary, ...]:
    """Return one region's summaries with their present age."""
    present = tuple(
        (name, address)
        for name, address in vms.get(report.region, ())
        if name not in report.absent
    )
    return tuple(
        RegionSummary(
            region=report.region,
            service=capacity.service,
            model=capacity.model,
            free_slots=capacity.free_slots,
            slots=capacity.slots,
            wait_s=capacity.wait_s,
            price=capacity.price,
            round_trip_s=report.round_trip_s,
            age_s=now_s - report.made_s,
            vms=present,
        )
        for capacity in report.capacities
    )
