"""Asks other regions for their summaries, as ranked for each."""

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

REGION_TIMEOUT_S = 1.5
# VMs of a region that are asked before it is held silent for this time.
REGION_ATTEMPTS = 2


class RegionWatch:
    """Keeps the newest report of each other region.

    Parameters
    ----------
    peers : RegionPeers
        VMs of the own region and of the others.
    links : PeerLinks
        Links to them.
    timer : Timer
        Monotonic time.
    metrics : Metrics
        Counts regions that did not answer.
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
        self.notices: list[Callable[[RegionReport], None]] = []

    def subscribe(self, notice: Callable[[RegionReport], None]) -> None:
        """Give each report that this VM asked for to a notice."""
        self.notices.append(notice)

    async def close(self) -> None:
        """End the questions under way."""
        await self.background_tasks.close()

    def learn(self, report: RegionReport) -> bool:
        """Keep another region's report where it is newer."""
        if report.region not in self.peers.others:
            return False
        return self.table.learn(report)

    def ask_regions(self) -> None:
        """Ask each region whose report has grown old."""
        now_s = self.timer.now()
        own = (self.peers.name, *self.peers.own)
        for region in self.peers.others:
            rank = rendezvous_order(own, region).index(self.peers.name)
            if self.table.is_due(region, rank, now_s):
                self.table.note_asked(region, now_s)
                self.background_tasks.run(self.ask_region(region))

    async def ask_region(self, region: str) -> None:
        """Ask a region's VMs in this VM's own order until one answers."""
        vms = self.peers.others[region]
        order = rendezvous_order(vms, self.peers.name)
        for name in order[:REGION_ATTEMPTS]:
            asked_s = self.timer.now()
            reply = await self.links.call(
                vms[name],
                MessageKind.region_summary,
                b'',
                REGION_TIMEOUT_S,
            )
            if isinstance(reply, Ok):
                self.take_summary(reply.ok_value, asked_s)
                return
            self.metrics.count('membership_summaries_failed_total')

    def take_summary(self, body: bytes, asked_s: float) -> None:
        """Keep and pass on a region's answer."""
        now_s = self.timer.now()
        round_trip_s = now_s - asked_s
        try:
            wire = decode(Summary, body)
            wire.round_trip_ms = int(round_trip_s * MILLISECONDS)
            report = report_from_wire(wire, round_trip_s, now_s)
        except FrameError:
            self.metrics.count('membership_summaries_failed_total')
            return
        if self.learn(report):
            for notice in self.notices:
                notice(report)
