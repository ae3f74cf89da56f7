"""The task that exchanges limit news with peers.

It owns the state of `CallerLimits` and talks by messages; the logic is pure.
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
    """Limits of this VM's callers, kept in step with its peers.

    Parameters
    ----------
    settings : NodeSettings
        The VM's name and region.
    links : PeerLinks
        Links to the other VMs.
    timer : Timer
        Gives the time and the gossip's period.
    metrics : Metrics
        Counts what is admitted and limited, by caller.
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
        self.divided: Revision | None = None
        self.subscription: Subscription | None = None

    @classmethod
    def from_config(
        cls,
        settings: NodeSettings,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> Self:
        """Make the task of an entry VM."""
        return cls(settings, links, timer, metrics)

    async def start(self) -> None:
        """Begin to exchange news."""
        self.links.subscribe(MessageKind.limit_gossip, self.receive)
        self.subscription = self.timer.every(GOSSIP_PERIOD_S, self.tell_peers)

    async def close(self) -> None:
        """Exchange no more news."""
        if self.subscription is not None:
            self.subscription.cancel()

    def configure(self, revision: Revision) -> None:
        """Take a newer revision's limits and VMs."""
        self.vms = {vm.name: vm for vm in entry_vms(revision.vms)}
        if self.divided is None or limits_differ(self.divided, revision):
            plan = LimitPlan.from_revision(revision, self.settings.name)
            self.limits.configure(plan.quotas, plan.grantors)
        self.divided = revision

    def admit(self, caller: str) -> Admission:
        """Take one request of a caller, or tell when to come back."""
        admission = self.limits.admit(caller, self.timer.now())
        if isinstance(admission, Limited):
            self.metrics.count('limit_refusals_total', caller=caller)
        return admission

    def tell_peers(self) -> None:
        """Ask for loans, and lend to peers that asked."""
        now = self.timer.now()
        self.limits.expire(now)
        for name in sorted(self.limits.peers_to_notify(now)):
            vm = self.vms.get(name)
            if vm is not None:
                news = self.limits.compose_update(name, now)
                body = encode(update_to_wire(news))
                self.links.notify(vm.peer, MessageKind.limit_gossip, body)

    async def receive(self, sender: str, body: bytes) -> None:
        """Take a peer's news; only admitted VMs are listened to."""
        news = read_news(decode(LimitGossip, body))
        if sender in self.vms:
            self.limits.receive(sender, news, self.timer.now())


def limits_differ(before: Revision, after: Revision) -> bool:
    """Return whether limits are divided otherwise than before.

    Most changes of a day touch neither callers nor VMs, and dividing the
    limits of a thousand callers takes tens of milliseconds.
    """
    same_callers = before.manifest.callers == after.manifest.callers
    return not same_callers or before.vms != after.vms


def update_to_wire(news: LimitUpdate) -> LimitGossip:
    """Return the thrift struct of a message."""
    echo = news.echo or Stamp(0, 0.0)
    return LimitGossip(
        incarnation=news.stamp.incarnation,
        stamp_s=news.stamp.time_s,
        echo_incarnation=echo.incarnation,
        echo_stamp_s=echo.time_s,
        unmet_per_s=dict(news.unmet),
        lent_per_s=dict(news.lent),
    )


def read_news(wire: LimitGossip) -> LimitUpdate:
    """Return the message of a thrift struct; absent fields mean nothing."""
    return LimitUpdate(
        stamp=Stamp(wire.incarnation or 0, wire.stamp_s or 0.0),
        echo=Stamp(wire.echo_incarnation or 0, wire.echo_stamp_s or 0.0),
        unmet=positive(wire.unmet_per_s),
        lent=positive(wire.lent_per_s),
    )


def positive(rates: dict[str, float] | None) -> dict[str, float]:
    """Return rates that are finite and above zero."""
    return {
        caller: rate
        for caller, rate in (rates or {}).items()
        if 0 < rate < float('inf')
    }
