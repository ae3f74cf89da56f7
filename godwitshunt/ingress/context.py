"""What every request of a route is served with."""

from collections.abc import Callable
from dataclasses import dataclass

from godwitshunt.exchange.upstream_pool import (
    UpstreamPool,
)
from godwitshunt.ingress.active_revision import ActiveRevision
from godwitshunt.ingress.authorization import Authorizer
from godwitshunt.ingress.crash_detector import CrashWitness
from godwitshunt.ingress.header_names import HeaderNames
from godwitshunt.organisations import AdmissionShare
from godwitshunt.picking.attempt_recorder import AttemptRecorder
from godwitshunt.picking.choices import ChoiceRequest
from godwitshunt.picking.chooser import (
    Chooser,
)
from godwitshunt.picking.client import PickerClient
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.quarantine import Quarantine
from godwitshunt.registry import RegistryWatch, UpstreamSeen
from godwitshunt.routing.cold_budget import ColdBudget
from godwitshunt.routing.retry_window import RetryBounds, RetryWindow
from godwitshunt.settings import NodeSettings
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import Timer


@dataclass
class Budgets:
    """What all VMs together may repeat, and send to cold upstreams."""

    bounds: RetryBounds
    cold: ColdBudget
    retries: dict[str, RetryWindow]

    def retry_window(self, service: str) -> RetryWindow:
        """Return the repeats of one service."""
        known = self.retries.get(service)
        if known is None:
            known = RetryWindow(self.bounds)
            self.retries[service] = known
        return known


@dataclass
class IngressContext:
    """What every request is served with.

    Parameters
    ----------
    active_revision : callable
        Returns the revision in force; None before the first.
    authorizer : Authorizer
        Whether what is known of keys still holds.
    chooser : Chooser
        Chooses where the region's picker does not answer.
    witness : CrashWitness
        Finds out which upstreams ended while they had requests.
    pool : UpstreamPool
        Connections to upstreams of this region.
    hops : UpstreamPool
        Connections to entry VMs of other regions.
    """

    settings: NodeSettings
    names: HeaderNames
    cluster_key: bytes
    active_revision: Callable[[], ActiveRevision | None]
    authorizer: Authorizer
    watch: RegistryWatch
    upstreams: Upstreams
    neighbours: Neighbours
    chooser: Chooser
    attempt_recorder: AttemptRecorder
    picker: PickerClient
    budgets: Budgets
    witness: CrashWitness
    pool: UpstreamPool
    hops: UpstreamPool
    timer: Timer
    metrics: Metrics

    @property
    def quarantine(self) -> Quarantine:
        """What is held against requests that upstreams ended under."""
        return self.watch.quarantine

    def limit_standing(self) -> AdmissionShare:
        """Return this VM's part of organisations' limits, without a picker.

        The region's share is left by all other pickers while they don't hear
        this region's; its entry VMs have equal parts of it.
        """
        regions = set(self.settings.domains.values())
        regions.add(self.settings.region)
        part = 1 / len(regions) / self.neighbours.count_in_region()
        return AdmissionShare(part, part)

    def cold_share(self) -> float:
        """Return this VM's part of what cold upstreams of its region may get.

        Where the region has control VMs their pickers share it all; a VM that
        gave some besides could send more than the upstreams bear.
        """
        if self.watch.has_local_control():
            return 0.0
        return 1 / self.neighbours.count_in_region()

    def has_cold_capacity(
        self, upstream: UpstreamSeen, ask: ChoiceRequest
    ) -> bool:
        """Tell whether this VM may send a cold upstream one more request."""
        cold = ask.service.cold_start
        return cold is None or self.budgets.cold.has_room(
            upstream.announcement.incarnation,
            cold.requests_per_s,
            self.cold_share(),
            ask.now_s,
        )
