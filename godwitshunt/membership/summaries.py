"""Summaries of regions, and the schedule of requests for them.

A VM requests another region's summary only when its report of that region is
old. The VMs of a region are ranked for each other region; lower ranked VMs
wait longer, and each VM gossips the reports that it receives. Without
failures, one VM per region therefore polls a given region, and the next
ranked VM takes over if that VM fails. The number of messages grows with the
square of the number of regions, not with the square of the number of VMs.
"""

import hashlib
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from godwitshunt.membership.peers import NamedAddresses
from godwitshunt.membership.views import RegionSummary, UpstreamView

SUMMARY_PERIOD_S = 2.0
# Higher ranks wait as long as this one, so that a region is polled in time
# even if all of the best ranked VMs have failed.
MAX_RANK = 4
# Older summaries no longer indicate free capacity.
SUMMARY_TTL_S = 30.0
# Assumed time for which a request occupies its slot. Summaries have no actual
# figure; the estimate only has to distinguish short queues from long ones.
SLOT_HOLD_S = 1.0


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
    """Summary of a region, as reported by one of its VMs.

    Parameters
    ----------
    created_s : float
        When it was created at the earliest, in seconds of this VM's
        monotonic clock.
    round_trip_s : float
        Round-trip time to the region, measured by the VM that requested it.
    capacities : tuple of RegionCapacity
        Capacity for each service and model.
    absent : frozenset of str
        Names of the region's VMs that are draining or unresponsive.
    """

    region: str
    created_s: float
    round_trip_s: float
    capacities: tuple[RegionCapacity, ...]
    absent: frozenset[str] = frozenset()


def predicted_wait_s(upstream: UpstreamView) -> float:
    """Return the predicted seconds to the first token of a new request."""
    tokens = upstream.queued_tokens + upstream.sent_tokens_since
    prefill_s = tokens / upstream.prefill_tokens_per_s
    requests = upstream.running + upstream.queued + upstream.sent_since
    excess = max(0, requests + 1 - upstream.slots)
    return prefill_s + excess * SLOT_HOLD_S / upstream.slots


def free_slots(upstream: UpstreamView) -> int:
    """Return the slots not needed by running and queued requests."""
    occupied = upstream.running + upstream.queued + upstream.sent_since
    return max(0, upstream.slots - occupied)


def summarize(views: Iterable[UpstreamView]) -> tuple[RegionCapacity, ...]:
    """Return the capacity of upstreams for each service and model."""
    groups: dict[tuple, list[UpstreamView]] = defaultdict(list)
    for view in views:
        if view.leaving:
            continue
        for model in sorted(view.models) or (None,):
            groups[view.service, model].append(view)
    return tuple(summarize_group(*key, group) for key, group in groups.items())


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
    """Return names in rendezvous hashing order, highest weight first.

    Each topic has its own order, and adding or removing a name does not
    reorder the others [1]_.

    References
    ----------
    .. [1] Thaler, D. and Ravishankar, C. (1998). Using name-based mappings to
       increase hit rates. IEEE/ACM Transactions on Networking, 6(1), 1-14.
    """
    return tuple(
        sorted(
            names, key=lambda name: rendezvous_weight(name, topic), reverse=True
        ),
    )


def rendezvous_weight(name: str, topic: str) -> bytes:
    """Return the rendezvous weight of a name for a topic."""
    text = f'{name}\0{topic}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


@dataclass
class RegionTable:
    """The newest report of each other region.

    Parameters
    ----------
    reports : dict
        Reports by region.
    requested_s : dict
        When this VM last polled each region.
    """

    reports: dict[str, RegionReport] = field(default_factory=dict)
    requested_s: dict[str, float] = field(default_factory=dict)

    def apply_report(self, report: RegionReport) -> bool:
        """Store a report; return False if one as new is known."""
        known = self.reports.get(report.region)
        if known is not None and known.created_s >= report.created_s:
            return False
        self.reports[report.region] = report
        return True

    def is_due(self, region: str, rank: int, now_s: float) -> bool:
        """Return whether a VM of this rank is due to poll a region."""
        known = self.reports.get(region)
        requested_s = self.requested_s.get(region)
        newest_s = max(
            float('-inf') if known is None else known.created_s,
            float('-inf') if requested_s is None else requested_s,
        )
        periods = 1 + min(rank, MAX_RANK)
        return now_s - newest_s >= SUMMARY_PERIOD_S * periods

    def record_request(self, region: str, now_s: float) -> None:
        """Record a request, which delays the next one by a period."""
        self.requested_s[region] = now_s

    def newest_report_age_s(self, now_s: float) -> float:
        """Return the age of the newest report of any other region."""
        ages = (now_s - report.created_s for report in self.reports.values())
        return min(ages, default=float('inf'))

    def current_summaries(
        self,
        vms: dict[str, NamedAddresses],
        now_s: float,
    ) -> tuple[RegionSummary, ...]:
        """Return the summaries for routing, without outdated ones.

        Parameters
        ----------
        vms : dict
            Names and HTTP addresses of each region's entry VMs.
        """
        return tuple(
            summary
            for report in self.reports.values()
            if now_s - report.created_s < SUMMARY_TTL_S
            for summary in summaries_of_report(report, vms, now_s)
        )


def summaries_of_report(
    report: RegionReport,
    vms: dict[str, NamedAddresses],
    now_s: float,
) -> tuple[RegionSummary, ...]:
    """Return the summaries in one report, with their current age."""
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
            age_s=now_s - report.created_s,
            vms=present,
        )
        for capacity in report.capacities
    )
