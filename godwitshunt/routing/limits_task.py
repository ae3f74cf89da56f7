"""Exchange of limit updates with peers.

The task does the I/O; the logic is in `CallerLimits`, which does none.
"""

import secrets
from typing import Self

from godwitshunt.configuration.revision import Revision, VmRecord
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.routing.gen.wire.ttypes import LimitGossip
from godwitshunt.routing.limits import (
    Admission,
    CallerLimits,
    Limited,
    LimitUpdate,
    Stamp,
)
from godwitshunt.routing.quotas import LimitPlan, entry_vms
from godwitshunt.settings import NodeSettings
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import Subscription, Timer

GOSSIP_PERIOD_S = 1.0
INCARNATION_BITS = 62


class LimitsTask:
    """Limits of callers at this VM, coordinated with its peers.

    Parameters
    ----------
    settings : NodeSettings
        The VM's name and region.
    links : PeerLinks
        Connections to the other VMs.
    timer : Timer
        Provides the time and the gossip period.
    metrics : Metrics
        Counts limited requests, by caller.
    """

    def __init__(
        self,
        settings: NodeSettings,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.links = links
        self.timer = timer
        self.metrics = metrics
        incarnation = secrets.randbits(INCARNATION_BITS)
        self.limits = CallerLimits.from_config({}, incarnation)
        self.vms: dict[str, VmRecord] = {}
        self.applied_revision: Revision | None = None
        self.subscription: Subscription | None = None

    @classmethod
    def from_config(
        cls,
        settings: NodeSettings,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> Self:
        """Return the task of an entry VM."""
        return cls(settings, links, timer, metrics)

    async def start(self) -> None:
        """Start exchanging updates."""
        self.links.subscribe(MessageKind.limit_gossip, self.receive)
        self.subscription = self.timer.every(GOSSIP_PERIOD_S, self.notify_peers)

    async def close(self) -> None:
        """Stop sending updates."""
        if self.subscription is not None:
            self.subscription.cancel()

    def configure(self, revision: Revision) -> None:
        """Apply a newer revision's limits and VMs."""
        self.vms = {vm.name: vm for vm in entry_vms(revision.vms)}
        if self.applied_revision is None or limits_differ(
            self.applied_revision, revision
        ):
            plan = LimitPlan.from_revision(revision, self.settings.name)
            self.limits.configure(plan.quotas, plan.grantors)
        self.applied_revision = revision

    def admit(self, caller: str) -> Admission:
        """Admit one request of a caller, or return when to retry."""
        admission = self.limits.admit(caller, self.timer.now())
        if isinstance(admission, Limited):
            self.metrics.count('limit_refusals_total', caller=caller)
        return admission

    def notify_peers(self) -> None:
        """Request leases, and grant leases to peers that requested them."""
        now = self.timer.now()
        self.limits.expire(now)
        for name in sorted(self.limits.peers_to_notify(now)):
            vm = self.vms.get(name)
            if vm is not None:
                update = self.limits.compose_update(name, now)
                body = encode(update_to_wire(update))
                self.links.notify(vm.peer, MessageKind.limit_gossip, body)

    async def receive(self, sender: str, body: bytes) -> None:
        """Apply a peer's update; ignore senders that are no admitted VM."""
        update = update_from_wire(decode(LimitGossip, body))
        if sender in self.vms:
            self.limits.receive(sender, update, self.timer.now())


def limits_differ(before: Revision, after: Revision) -> bool:
    """Return whether a new revision divides the limits differently.

    Most changes affect neither callers nor VMs, and dividing the limits of a
    thousand callers takes tens of milliseconds.
    """
    same_callers = before.manifest.callers == after.manifest.callers
    return not same_callers or before.vms != after.vms


def update_to_wire(update: LimitUpdate) -> LimitGossip:
    """Return the thrift struct of an update."""
    echo = update.echo or Stamp(0, 0.0)
    return LimitGossip(
        incarnation=update.stamp.incarnation,
        stamp_s=update.stamp.time_s,
        echo_incarnation=echo.incarnation,
        echo_stamp_s=echo.time_s,
        unmet_per_s=dict(update.unmet),
        lent_per_s=dict(update.granted),
    )


def update_from_wire(wire: LimitGossip) -> LimitUpdate:
    """Return the update of a thrift struct; absent fields become defaults."""
    return LimitUpdate(
        stamp=Stamp(wire.incarnation or 0, wire.stamp_s or 0.0),
        echo=Stamp(wire.echo_incarnation or 0, wire.echo_stamp_s or 0.0),
        unmet=positive_rates(wire.unmet_per_s),
        granted=positive_rates(wire.lent_per_s),
    )


def positive_rates(rates: dict[str, float] | None) -> dict[str, float]:
    """Return the rates that are finite and positive."""
    return {
        caller: rate
        for caller, rate in (rates or {}).items()
        if 0 < rate < float('inf')
    }
