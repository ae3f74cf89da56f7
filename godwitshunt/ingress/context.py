"""The context that all requests of an entry VM share."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from godwitshunt.backpressure import NO_SHARE, RateShare, entry_share
from godwitshunt.exchange.buffer_budget import BufferBudget
from godwitshunt.exchange.upstream_pool import UpstreamPool
from godwitshunt.ingress.active_revision import ActiveRevision
from godwitshunt.ingress.authorization import Authorizer
from godwitshunt.ingress.crash_detector import CrashDetector
from godwitshunt.ingress.header_names import HeaderNames
from godwitshunt.ingress.path_monitor import PathMonitor
from godwitshunt.ingress.reachability import Reachability
from godwitshunt.ingress.upstream_headers import AnswerHeaderReader
from godwitshunt.manifest import Service
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
from godwitshunt.routing.allowance_lease import AllowanceLease
from godwitshunt.routing.cold_budget import STARTUP_HOLD_S, ColdBudget
from godwitshunt.routing.retry_window import RetryBounds, RetryWindow
from godwitshunt.routing.slot_shares import slot_share
from godwitshunt.settings import NodeSettings
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import Timer


@dataclass
class Budgets:
    """Budgets that all VMs share for retries and for cold upstreams."""

    bounds: RetryBounds
    cold: ColdBudget
    retries: dict[str, RetryWindow]
    lease: AllowanceLease

    def retry_window(self, service: str) -> RetryWindow:
        """Return the retry window of a service."""
        window = self.retries.get(service)
        if window is None:
            window = RetryWindow(self.bounds)
            self.retries[service] = window
        return window


@dataclass
class IngressContext:
    """Shared state and components that serve the requests of an entry VM.

    Parameters
    ----------
    active_revision : callable
        Returns the active revision; None before the first.
    authorizer : Authorizer
        Decides which keys may be relied on.
    chooser : Chooser
        Chooses where the region's picker does not answer.
    answer_headers : AnswerHeaderReader
        Reads what upstreams state in their answers.
    crash_detector : CrashDetector
        Detects upstreams that crashed while they had requests.
    path_monitor : PathMonitor
        Watches whether this VM reaches the upstreams of its region.
    reachability : Reachability
        Tells which of them it reaches.
    pool : UpstreamPool
        Connections to upstreams of this region.
    hops : UpstreamPool
        Connections to other entry VMs.
    buffers : BufferBudget or None
        Bounds what is held for slow callers and slow upstreams; None for no
        bound.
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
    answer_headers: AnswerHeaderReader
    crash_detector: CrashDetector
    path_monitor: PathMonitor
    reachability: Reachability
    pool: UpstreamPool
    hops: UpstreamPool
    timer: Timer
    metrics: Metrics
    buffers: BufferBudget | None = None

    @property
    def quarantine(self) -> Quarantine:
        """Requests that are suspected of crashing upstreams."""
        return self.watch.quarantine

    def limit_share(self) -> AdmissionShare:
        """Return this VM's share of organisations' limits without a picker.

        The pickers of other regions leave this region's share unused while
        they do not hear from its picker; the entry VMs of the region split it
        equally.
        """
        regions = set(self.settings.domains.values())
        regions.add(self.settings.region)
        share = 1 / len(regions) / self.neighbours.count_in_region()
        return AdmissionShare(share, share)

    def allowance_sharers(self) -> int:
        """Return into how many equal parts all VMs divide an allowance.

        By failure domains of the settings: a VM that is cut off may know no VM
        of the others. Without any in the settings, by all known VMs.
        """
        if not self.settings.domains:
            return self.neighbours.count()
        domains = {self.settings.failure_domain, *self.settings.domains}
        return len(domains) * self.neighbours.count_in_domain()

    def renew_lease(self) -> None:
        """Renew the lease of the allowance where control VMs list this VM."""
        own = self.watch.own_state().record
        listed = self.watch.view().entries.get(own.name)
        if listed is not None and listed.session == own.session:
            age_s = self.watch.age_s()
            self.budgets.lease.renew(self.timer.now() - age_s)

    def cold_share(self) -> float:
        """Return this VM's share of requests to cold upstreams of its region.

        Zero where the region has control VMs: their pickers share the whole,
        and anything that VMs send besides could exceed what the upstreams can
        serve.
        """
        if self.watch.has_local_control():
            return 0.0
        return 1 / self.neighbours.count_in_region()

    def rate_share(self) -> RateShare:
        """Return this VM's share of the rate limits of upstreams.

        None for a VM that has just started: it does not know yet how many VMs
        divide the limits.
        """
        if self.timer.now() - self.budgets.cold.started_s < STARTUP_HOLD_S:
            return NO_SHARE
        return entry_share(
            has_pickers=self.watch.has_local_control(),
            count=self.neighbours.count_in_region(),
        )

    def services(self) -> Mapping[str, Service]:
        """Return the services of the active revision, by name."""
        active_revision = self.active_revision()
        return {} if active_revision is None else active_revision.services

    def has_slot(self, upstream: UpstreamSeen) -> bool:
        """Tell whether this VM's share of an upstream's slots has a free one.

        A VM that chooses by itself does not know the others' requests.
        """
        announcement = upstream.announcement
        share = slot_share(
            announcement.incarnation,
            announcement.slots,
            self.neighbours.name,
            self.neighbours.names_in_region(),
        )
        health = self.upstreams.health_of(announcement.incarnation)
        return health.in_flight < share

    def has_cold_capacity(
        self, upstream: UpstreamSeen, request: ChoiceRequest
    ) -> bool:
        """Tell whether this VM may send a cold upstream another request."""
        cold = request.service.cold_start
        return cold is None or self.budgets.cold.has_room(
            upstream.announcement.incarnation,
            cold.requests_per_s,
            self.cold_share(),
            request.now_s,
        )
