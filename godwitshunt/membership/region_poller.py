"""Polls other regions for their summaries."""

from collections.abc import Callable

from result import Ok

from godwitshunt.exceptions import FrameError
from godwitshunt.membership.background_tasks import BackgroundTasks
from godwitshunt.membership.events import MILLISECONDS
from godwitshunt.membership.gen.wire.ttypes import Summary
from godwitshunt.membership.peers import RegionPeers
from godwitshunt.membership.summaries import (
    RegionReport,
    RegionTable,
    rendezvous_order,
)
from godwitshunt.membership.wire import report_from_wire
from godwitshunt.peer import MessageKind, PeerLinks, decode
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import Timer

REGION_POLL_TIMEOUT_S = 1.5
# If none of these VMs replies, the region is polled again after a period.
MAX_VMS_PER_POLL = 2


class RegionPoller:
    """Polls other regions and holds the newest report of each.

    Parameters
    ----------
    peers : RegionPeers
        Entry VMs of the local region and of the other regions.
    links : PeerLinks
        Links to those VMs.
    timer : Timer
        Monotonic time.
    metrics : Metrics
        Counts failed requests for a summary.
    """

    def __init__(
        self,
        peers: RegionPeers,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> None:
        self.peers = peers
        self.links = links
        self.timer = timer
        self.metrics = metrics
        self.table = RegionTable()
        self.background_tasks = BackgroundTasks()
        self.listeners: list[Callable[[RegionReport], None]] = []

    def subscribe(self, listener: Callable[[RegionReport], None]) -> None:
        """Call a listener with each new report that this VM requested."""
        self.listeners.append(listener)

    async def close(self) -> None:
        """Cancel pending requests."""
        await self.background_tasks.close()

    def apply_report(self, report: RegionReport) -> bool:
        """Store a report of another region if it is newer."""
        if report.region not in self.peers.remote_peers:
            return False
        return self.table.apply_report(report)

    def poll_due_regions(self) -> None:
        """Poll each region whose report is due for a refresh."""
        now_s = self.timer.now()
        local_names = (self.peers.name, *self.peers.local_peers)
        for region in self.peers.remote_peers:
            rank = rendezvous_order(local_names, region).index(self.peers.name)
            if self.table.is_due(region, rank, now_s):
                self.table.record_request(region, now_s)
                self.background_tasks.run(self.poll_region(region))

    async def poll_region(self, region: str) -> None:
        """Request the summary from VMs of a region until one replies.

        Their order depends on this VM's name, which spreads the requests of
        several VMs.
        """
        vms = self.peers.remote_peers[region]
        order = rendezvous_order(vms, self.peers.name)
        for name in order[:MAX_VMS_PER_POLL]:
            requested_s = self.timer.now()
            reply = await self.links.call(
                vms[name],
                MessageKind.region_summary,
                b'',
                REGION_POLL_TIMEOUT_S,
            )
            if isinstance(reply, Ok):
                self.handle_summary(reply.ok_value, requested_s)
                return
            self.metrics.count('membership_summaries_failed_total')

    def handle_summary(self, body: bytes, requested_s: float) -> None:
        """Store a region's summary and notify the listeners."""
        now_s = self.timer.now()
        round_trip_s = now_s - requested_s
        try:
            wire = decode(Summary, body)
            wire.round_trip_ms = int(round_trip_s * MILLISECONDS)
            report = report_from_wire(wire, round_trip_s, now_s)
        except FrameError:
            self.metrics.count('membership_summaries_failed_total')
            return
        if self.apply_report(report):
            for listener in self.listeners:
                listener(report)
