"""Exchange of grants between the pickers of all regions."""

from collections.abc import Callable
from typing import Self

from godwitshunt.configuration.revision import Revision
from godwitshunt.grants import Grant, GrantNews, RegionGrants
from godwitshunt.picking.grant_gate import GrantGate
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import RegistryService
from godwitshunt.registry.views import ControlTable
from godwitshunt.settings import SchedulingSettings
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Timer

# Each control VM of another region polls five times a second; grants that are
# made for one poll are sent to the next ones, too.
ISSUE_PERIOD_S = 0.1


class GrantExchange:
    """Makes a picker's grants and receives those of others.

    Parameters
    ----------
    registry : RegistryService
        Sends and receives the messages.
    gate : GrantGate
        The picker's grants and the room of its region.
    neighbours : Neighbours
        Round trips to other regions.
    revision : callable
        Returns the newest committed revision; None before the first.
    timer : Timer
        Monotonic time.
    metrics : Metrics
        Counts the granted slots.
    """

    def __init__(
        self,
        registry: RegistryService,
        gate: GrantGate,
        neighbours: Neighbours,
        revision: Callable[[], Revision | None],
        timer: Timer,
        metrics: Metrics,
    ) -> None:
        self.registry = registry
        self.gate = gate
        self.neighbours = neighbours
        self.revision = revision
        self.timer = timer
        self.metrics = metrics
        self.issued_s = float('-inf')

    @classmethod
    def from_config(
        cls,
        registry: RegistryService,
        neighbours: Neighbours,
        upstreams: Upstreams,
        scheduling: SchedulingSettings,
        revision: Callable[[], Revision | None],
        timer: Timer,
        metrics: Metrics,
    ) -> Self:
        """Create the exchange of a picker that starts now.

        Parameters
        ----------
        upstreams : Upstreams
            The picker's statistics of the upstreams.
        scheduling : SchedulingSettings
            Services whose requests are handed over within grants only.
        """
        gate = GrantGate.from_config(
            neighbours,
            upstreams,
            registry.source,
            scheduling.needs_grants,
            timer.now(),
        )
        return cls(registry, gate, neighbours, revision, timer, metrics)

    @property
    def grants(self) -> RegionGrants:
        """The picker's grants."""
        return self.gate.grants

    def start(self) -> None:
        """Send and receive grants from now on."""
        self.registry.make_grants = self.make_news
        self.registry.tables.on_grants = self.receive

    def make_news(self, now_s: float) -> GrantNews | None:
        """Return the grants and the demand of this picker.

        Returns
        -------
        GrantNews or None
            None if no service is scheduled, or during the warm-up, when the
            loads are unknown.
        """
        revision = self.revision()
        if revision is None or not self.registry.picker_active:
            return None
        if not any(map(self.gate.is_scheduled, revision.manifest.services)):
            return None
        self.grants.record_reporters(len(self.registry.ledger.entries), now_s)
        if now_s - self.issued_s >= ISSUE_PERIOD_S:
            self.issued_s = now_s
            self.issue(revision, now_s)
        return self.grants.make_news(self.neighbours.round_trips, now_s)

    def issue(self, revision: Revision, now_s: float) -> None:
        """Grant what is free here to the regions that were heard lately."""
        view = self.registry.view()
        rooms = {
            service.name: self.gate.room(service, view, revision, now_s)
            for service in revision.manifest.services
            if self.gate.is_scheduled(service)
        }
        self.count_expired(now_s)
        regions = self.grants.other_regions(now_s)
        issued = self.grants.issue(rooms, regions, now_s)
        self.count(issued, 'issued')
        for name, room in rooms.items():
            held = self.grants.held(name, now_s).slots
            self.metrics.gauge('picking_grant_held', held, service=name)
            unmet = self.grants.unmet.get(name)
            self.metrics.gauge(
                'picking_grant_demand',
                unmet.slots if unmet else 0,
                service=name,
            )
            new = [grant for grant in issued if grant.service == name]
            if new:
                log_change(
                    'picking:granted',
                    service=name,
                    room=room.slots,
                    own_need=self.grants.meter(name).own_need(now_s),
                    held=held,
                    demands=self.grants.demands(name, regions, now_s),
                    grants=[describe_grant(grant) for grant in new],
                )

    def count_expired(self, now_s: float) -> None:
        """Count the slots of grants that expired unused."""
        for expired in self.grants.issuer.expire(now_s):
            self.metrics.count(
                'picking_grant_slots_total',
                expired.unused.slots,
                service=expired.grant.service,
                kind='expired',
            )

    def receive(self, control: str, table: ControlTable) -> None:
        """Receive another picker's grants and demand."""
        now_s = self.timer.now()
        received = self.grants.receive(
            control, table.region, table.grants, table.grants_asof_s, now_s
        )
        self.count(received, 'received')
        self.measure_link(control, table, now_s)
        # A control VM that is not reached from here may reach this region's
        # other control VMs and entry VMs; the round trip is the same.
        round_trip_s = table.grants.round_trips.get(self.neighbours.region)
        if round_trip_s is not None:
            self.neighbours.round_trips.setdefault(table.region, round_trip_s)

    def measure_link(
        self, control: str, table: ControlTable, now_s: float
    ) -> None:
        """Adjust the budget of bytes to a region by a poll's round trip."""
        if table.region in {'', self.neighbours.region}:
            return
        contact = self.registry.tables.contacts.get(control)
        # Other tables were relayed; their age is not that of a round trip.
        if contact is None or contact.answered_s != table.asof_s:
            return
        link = self.gate.link(table.region)
        was_queueing = link.is_queueing
        link.measure(now_s - table.asof_s, now_s)
        if link.is_queueing != was_queueing:
            log_change(
                'picking:link_queue',
                region=table.region,
                is_queueing=link.is_queueing,
                queue_s=round(link.last_queue_s, 3),
                bytes_per_s=round(link.rate),
            )
        self.metrics.gauge(
            'picking_link_budget_bytes', link.rate, region=table.region
        )
        self.metrics.gauge(
            'picking_link_queue_seconds',
            link.last_queue_s,
            region=table.region,
        )

    def count(self, grants: tuple[Grant, ...], kind: str) -> None:
        """Count the slots of grants."""
        for grant in grants:
            self.metrics.count(
                'picking_grant_slots_total',
                grant.capacity.slots,
                service=grant.service,
                kind=kind,
            )


def describe_grant(grant: Grant) -> str:
    """Format a grant as number, region and slots."""
    return f'{grant.number}@{grant.region}={grant.capacity.slots}'
