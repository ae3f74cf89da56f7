"""Task that maintains a VM's view of upstreams and regions."""

from typing import Self

from result import Err, Ok, Result

from godwitshunt.configuration.revision import Revision
from godwitshunt.membership.announcements import (
    AnnounceAccepted,
    AnnounceRefused,
    StaleAnnouncement,
    TableFull,
    UpstreamAnnouncement,
)
from godwitshunt.membership.events import (
    Announced,
    DetailsMissing,
    Full,
    Joined,
    Lapsed,
    Late,
    Left,
    RequestFinished,
    RequestSent,
    Stale,
    UpstreamChange,
    UpstreamEvent,
    Withdrawn,
)
from godwitshunt.membership.isolation import (
    ConnectionState,
    ContactAges,
    connection_state,
    requires_isolation,
)
from godwitshunt.membership.peers import RegionPeers
from godwitshunt.membership.region_gossip import RegionGossip
from godwitshunt.membership.region_poller import RegionPoller
from godwitshunt.membership.summaries import RegionReport, summarize
from godwitshunt.membership.table import MAX_UPSTREAMS, UpstreamTable
from godwitshunt.membership.views import RegionView
from godwitshunt.membership.wire import report_to_wire
from godwitshunt.peer import MessageKind, PeerLinks, encode
from godwitshunt.settings import EntrySettings
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Subscription, Timer

REGION_CHECK_S = 0.5
# Summaries in a view may be older than their stated age by this much.
SUMMARY_REFRESH_S = 0.2


class MembershipTask:
    """Maintains upstream leases, gossips them, and exchanges summaries.

    Parameters
    ----------
    settings : EntrySettings
        The VM's name and region, and the lease durations.
    links : PeerLinks
        Links to the other VMs.
    timer : Timer
        Monotonic time.
    metrics : Metrics
        Counts upstream changes and dropped messages.
    """

    def __init__(
        self,
        settings: EntrySettings,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.links = links
        self.timer = timer
        self.metrics = metrics
        self.table = UpstreamTable(settings.region, settings.upstream_lease_s)
        self.peers = RegionPeers(settings.name, settings.region)
        self.region_poller = RegionPoller(self.peers, links, timer, metrics)
        self.gossip = RegionGossip(
            self.peers,
            self.table,
            self.apply_event,
            self.region_poller,
        )
        self.subscriptions: list[Subscription] = []
        self.connection_state = ConnectionState.connected
        self.cached_view = RegionView(settings.region)
        self.summaries_built_s = float('-inf')

    @classmethod
    def from_config(
        cls,
        settings: EntrySettings,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> Self:
        """Create the task of an entry VM."""
        return cls(settings, links, timer, metrics)

    async def start(self) -> None:
        """Subscribe to messages and start gossip and region polls."""
        self.links.subscribe(
            MessageKind.region_summary, self.handle_summary_request
        )
        self.subscriptions = [
            self.timer.every(
                REGION_CHECK_S, self.region_poller.poll_due_regions
            ),
        ]
        self.gossip.start()

    async def close(self) -> None:
        """Stop gossip and region polls."""
        for subscription in self.subscriptions:
            subscription.cancel()
        await self.gossip.close()
        await self.region_poller.close()

    def apply_revision(self, revision: Revision) -> None:
        """Apply the VMs of a newer revision."""
        previous = frozenset(self.peers.local_peers)
        self.peers.apply_revision(revision)
        self.gossip.handle_peer_change(previous)

    def announce(
        self,
        name: str,
        announcement: UpstreamAnnouncement,
    ) -> Result[AnnounceAccepted, AnnounceRefused]:
        """Apply an announcement that an upstream sent to this VM."""
        changes = self.apply_event(Announced(name, announcement))
        match changes[-1]:
            case Stale() as stale:
                return Err(StaleAnnouncement(stale.incarnation, stale.sequence))
            case Full():
                return Err(TableFull(MAX_UPSTREAMS))
            case Left() as left:
                self.gossip.batch_builder.record_departure(left)
                self.gossip.flush()
                return Ok(AnnounceAccepted(0))
        self.gossip.batch_builder.record_load(name)
        self.gossip.batch_builder.record_prefixes(
            name,
            announcement.cached_added,
            announcement.cached_dropped,
        )
        if isinstance(changes[-1], Joined):
            self.gossip.flush()
        return Ok(AnnounceAccepted(self.table.lease_s))

    def withdraw(
        self,
        name: str,
        incarnation: int,
    ) -> Result[AnnounceAccepted, AnnounceRefused]:
        """End an upstream's incarnation; it gets no new requests."""
        change = self.apply_event(Withdrawn(name, incarnation))[-1]
        if isinstance(change, Stale):
            return Err(StaleAnnouncement(change.incarnation, change.sequence))
        self.gossip.batch_builder.record_departure(change)
        self.gossip.flush()
        return Ok(AnnounceAccepted(0))

    def view(self, quorum_age_s: float) -> RegionView:
        """Return the view for routing; the same object if unchanged.

        Parameters
        ----------
        quorum_age_s : float
            Seconds since a control quorum was known to be alive.
        """
        now_s = self.timer.now()
        upstreams = self.table.views(now_s)
        isolated = self.is_isolated(quorum_age_s, now_s)
        cached = self.cached_view
        summaries = cached.summaries
        if now_s - self.summaries_built_s >= SUMMARY_REFRESH_S:
            summaries = self.region_poller.table.current_summaries(
                self.peers.remote_http, now_s
            )
            self.summaries_built_s = now_s
        if (
            upstreams is cached.upstreams
            and summaries is cached.summaries
            and isolated == cached.isolated
        ):
            return cached
        self.cached_view = RegionView(
            region=self.settings.region,
            upstreams=upstreams,
            summaries=summaries,
            isolated=isolated,
        )
        return self.cached_view

    def is_isolated(self, quorum_age_s: float, now_s: float) -> bool:
        """Return whether this VM is isolated; log state changes."""
        ages = ContactAges(
            quorum_age_s, self.region_poller.table.newest_report_age_s(now_s)
        )
        state = connection_state(ages, self.settings.isolation_lease_s)
        if state is not self.connection_state:
            log_change('membership:connection', state=str(state))
            self.connection_state = state
        return requires_isolation(state)

    def record_sent(self, upstream: str, tokens: int) -> None:
        """Record a request sent to an upstream of this region."""
        self.table.apply(RequestSent(upstream, tokens), self.timer.now())

    def record_finished(self, upstream: str, tokens: int) -> None:
        """Record the end of a request sent to an upstream."""
        self.table.apply(RequestFinished(upstream, tokens), self.timer.now())

    def announce_draining(self) -> None:
        """Announce to the region that this VM accepts no new requests."""
        self.gossip.announce_draining()

    def unavailable_vms(self) -> frozenset[str]:
        """Return the region's VMs that are draining or unresponsive."""
        return self.gossip.unavailable_vms()

    def apply_event(self, event: UpstreamEvent) -> tuple[UpstreamChange, ...]:
        """Apply an event to the table; count and log the changes."""
        changes = self.table.apply(event, self.timer.now())
        for change in changes:
            self.record_change(change)
        return changes

    def record_change(self, change: UpstreamChange) -> None:
        """Count a change; log it if an upstream joined or departed."""
        match change:
            case Joined() | Left() | Lapsed():
                kind = type(change).__name__.lower()
                self.metrics.count('membership_upstreams_total', change=kind)
                log_change(f'membership:upstream_{kind}', upstream=change.name)
            case Stale() | Late() | DetailsMissing() | Full():
                reason = type(change).__name__.lower()
                self.metrics.count('membership_dropped_total', reason=reason)

    async def handle_summary_request(
        self, sender: str, body: bytes
    ) -> bytes | None:
        """Reply to a VM with the summary of this region."""
        if sender not in self.peers.all_names:
            return None
        now_s = self.timer.now()
        report = RegionReport(
            region=self.settings.region,
            created_s=now_s,
            round_trip_s=0,
            capacities=summarize(self.table.views(now_s)),
            absent=self.unavailable_vms(),
        )
        return encode(report_to_wire(report, now_s))
