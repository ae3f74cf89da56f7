"""Gossip of upstream changes between the VMs of one region."""

import secrets
from collections.abc import Callable

from result import Err

from godwitshunt.exceptions import FrameError
from godwitshunt.membership.background_tasks import BackgroundTasks
from godwitshunt.membership.batches import (
    BatchBuilder,
    BatchReader,
    table_digest,
)
from godwitshunt.membership.events import (
    DetailsMissing,
    Tick,
    UpstreamChange,
    UpstreamEvent,
)
from godwitshunt.membership.gen.wire.ttypes import Batch, Fetch, Gossip
from godwitshunt.membership.peers import RegionPeers
from godwitshunt.membership.region_poller import RegionPoller
from godwitshunt.membership.summaries import rendezvous_order
from godwitshunt.membership.table import UpstreamTable
from godwitshunt.membership.transit import TransitEstimator
from godwitshunt.membership.wire import reading_from_wire, report_from_wire
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import Subscription, Timer

SESSION_BITS = 24
# The flush interval grows with the number of peers, which limits a VM to 33
# messages per second. With one peer, a load reaches it within 0.1 s.
FLUSH_INTERVAL_PER_PEER_S = 0.04
MIN_FLUSH_INTERVAL_S = 0.1
KEEPALIVE_PERIOD_S = 1.0
PREFIX_PERIOD_S = 5.0
DIGEST_PERIOD_S = 1.0
MIN_FETCH_INTERVAL_S = 2.0
FETCH_TIMEOUT_S = 1.0
TOLERATED_MISMATCHES = 1

ApplyEvent = Callable[[UpstreamEvent], tuple[UpstreamChange, ...]]


class RegionGossip:
    """Gossips first-hand changes to the region and applies those of peers.

    Parameters
    ----------
    peers : RegionPeers
        Entry VMs of the local region and of the other regions.
    table : UpstreamTable
        Source of what is sent; modified only through `apply_event`.
    apply_event : callable
        Applies an event to the table.
    region_poller : RegionPoller
        Receives the reports of other regions that peers relay.
    """

    def __init__(
        self,
        peers: RegionPeers,
        table: UpstreamTable,
        apply_event: ApplyEvent,
        region_poller: RegionPoller,
    ) -> None:
        self.peers = peers
        self.table = table
        self.apply_event = apply_event
        self.region_poller = region_poller
        self.links: PeerLinks = region_poller.links
        self.timer: Timer = region_poller.timer
        self.metrics: Metrics = region_poller.metrics
        self.transit_estimator = TransitEstimator(
            secrets.randbits(SESSION_BITS)
        )
        self.batch_builder = BatchBuilder()
        self.batch_reader = BatchReader()
        self.background_tasks = BackgroundTasks()
        self.subscriptions: list[Subscription] = []
        self.draining = False
        self.flushed_s = float('-inf')
        self.sent_s = float('-inf')
        self.prefixes_sent_s = float('-inf')
        self.digest_sent_s = float('-inf')
        self.fetched_s: dict[str, float] = {}
        self.consecutive_mismatches = 0

    def start(self) -> None:
        """Subscribe to messages and start sending."""
        kinds = MessageKind
        self.links.subscribe(kinds.upstream_gossip, self.handle_gossip)
        self.links.subscribe(kinds.upstream_fetch, self.handle_fetch)
        self.region_poller.subscribe(self.batch_builder.record_report)
        self.subscriptions = [
            self.timer.every(MIN_FLUSH_INTERVAL_S, self.flush_if_due),
        ]

    async def close(self) -> None:
        """Stop sending and cancel pending fetches."""
        for subscription in self.subscriptions:
            subscription.cancel()
        await self.background_tasks.close()

    def handle_peer_change(self, previous: frozenset[str]) -> None:
        """Handle a change of the region's VMs.

        Parameters
        ----------
        previous : frozenset of str
            The region's other VMs before the change.
        """
        names = frozenset(self.peers.local_peers)
        self.transit_estimator.retain(names)
        # A recently started VM knows no upstreams. It fetches them from a peer
        # instead of waiting for their announcements.
        if not previous and names and not self.table.records:
            first = rendezvous_order(names, self.peers.name)[0]
            self.background_tasks.run(self.fetch(first, own_only=False))

    def announce_draining(self) -> None:
        """Announce to the region that this VM accepts no new requests."""
        self.draining = True
        self.flush()

    def unavailable_vms(self) -> frozenset[str]:
        """Return the region's VMs that are draining or unresponsive."""
        unavailable = self.peers.unavailable(
            self.transit_estimator.last_readings, self.timer.now()
        )
        if self.draining:
            return unavailable | {self.peers.name}
        return unavailable

    def flush_if_due(self) -> None:
        """Expire leases, and send a batch if the flush interval has passed."""
        now_s = self.timer.now()
        self.apply_event(Tick())
        interval_s = max(
            MIN_FLUSH_INTERVAL_S,
            FLUSH_INTERVAL_PER_PEER_S * len(self.peers.local_peers),
        )
        # Timer callbacks jitter. The tolerance of half a period avoids that a
        # slightly early callback delays the flush by another period.
        if now_s - self.flushed_s >= interval_s - MIN_FLUSH_INTERVAL_S / 2:
            self.flush()

    def flush(self) -> None:
        """Send pending changes or a keepalive to every peer of the region."""
        now_s = self.timer.now()
        self.flushed_s = now_s
        prefixes_due = now_s - self.prefixes_sent_s >= PREFIX_PERIOD_S
        batch = self.batch_builder.next_batch(
            self.table,
            now_s,
            with_prefixes=prefixes_due,
        )
        if prefixes_due:
            self.prefixes_sent_s = now_s
        keepalive_due = (
            self.draining or now_s - self.sent_s >= KEEPALIVE_PERIOD_S
        )
        if batch is None and not keepalive_due:
            return
        self.sent_s = now_s
        body = None if batch is None else encode(batch)
        digest_peer = self.digest_receiver(now_s)
        for name in self.peers.local_peers:
            digest = table_digest(self.table) if name == digest_peer else None
            self.send(name, body, digest)

    def digest_receiver(self, now_s: float) -> str | None:
        """Return the next peer to get a table digest, if one is due."""
        if now_s - self.digest_sent_s < DIGEST_PERIOD_S:
            return None
        self.digest_sent_s = now_s
        return self.peers.next_peer()

    def send(self, peer: str, batch: bytes | None, digest: int | None) -> None:
        """Send one message to one peer."""
        reading = self.transit_estimator.make_reading(peer, self.timer.now())
        message = Gossip(
            session=reading.session,
            clock_ms=reading.clock_ms,
            echo_session=reading.echo_session,
            echo_ms=reading.echo_ms,
            held_ms=reading.held_ms,
            digest=digest,
            draining=True if self.draining else None,
            batch=batch,
        )
        self.links.notify(
            self.peers.local_peers[peer],
            MessageKind.upstream_gossip,
            encode(message),
        )

    async def handle_gossip(self, sender: str, body: bytes) -> None:
        """Handle one gossip message from a peer."""
        if sender not in self.peers.local_peers:
            self.metrics.count('membership_dropped_total', reason='stranger')
            return
        message = decode(Gossip, body)
        reading = reading_from_wire(message)
        transit_s = self.transit_estimator.receive(
            sender, reading, self.timer.now()
        )
        self.peers.record_draining(sender, draining=bool(message.draining))
        if transit_s is None:
            # The age is unknown. If it were assumed to be zero, a message
            # delayed in a suspended process would revive departed upstreams.
            self.metrics.count('membership_dropped_total', reason='ageless')
        if message.batch:
            batch = decode(Batch, message.batch)
            self.apply_batch(sender, reading.session, batch, transit_s)
        if message.digest is not None:
            self.compare_digest(sender, message.digest)

    def compare_digest(self, sender: str, digest: int) -> None:
        """Fetch a peer's table after consecutive digest mismatches.

        A single mismatch is expected while a change propagates.
        """
        if digest == table_digest(self.table):
            self.consecutive_mismatches = 0
            return
        self.consecutive_mismatches += 1
        if self.consecutive_mismatches > TOLERATED_MISMATCHES:
            self.consecutive_mismatches = 0
            self.metrics.count('membership_mismatches_total')
            self.fetch_unless_recent(sender, own_only=False)

    def apply_batch(
        self,
        sender: str,
        session: int,
        batch: Batch,
        transit_s: float | None,
    ) -> None:
        """Apply a batch; fetch the details that are missing.

        If the transit time is unknown, loads and summaries are ignored.
        """
        events, unknown = self.batch_reader.read(
            sender, session, batch, transit_s
        )
        missing = unknown
        for event in events:
            changes = self.apply_event(event)
            missing |= any(
                isinstance(change, DetailsMissing) for change in changes
            )
        now_s = self.timer.now()
        if transit_s is not None:
            for wire in batch.summaries or ():
                self.region_poller.apply_report(
                    report_from_wire(wire, transit_s, now_s)
                )
        if missing:
            self.fetch_unless_recent(sender, own_only=True)

    def fetch_unless_recent(self, peer: str, *, own_only: bool) -> None:
        """Fetch a peer's table, at most once per minimum fetch interval."""
        now_s = self.timer.now()
        if (
            now_s - self.fetched_s.get(peer, float('-inf'))
            < MIN_FETCH_INTERVAL_S
        ):
            return
        self.fetched_s[peer] = now_s
        self.background_tasks.run(self.fetch(peer, own_only=own_only))

    async def fetch(self, peer: str, *, own_only: bool) -> None:
        """Fetch and apply a peer's table."""
        address = self.peers.local_peers.get(peer)
        if address is None:
            return
        requested_s = self.timer.now()
        self.metrics.count('membership_fetches_total')
        reply = await self.links.call(
            address,
            MessageKind.upstream_fetch,
            encode(Fetch(own_only)),
            FETCH_TIMEOUT_S,
        )
        if isinstance(reply, Err):
            self.metrics.count('membership_fetches_failed_total')
            return
        transit_s = self.timer.now() - requested_s
        try:
            self.apply_fetched(peer, reply.ok_value, transit_s)
        except FrameError:
            self.metrics.count('membership_fetches_failed_total')

    def apply_fetched(self, peer: str, body: bytes, transit_s: float) -> None:
        """Apply the table in a peer's reply."""
        message = decode(Gossip, body)
        reading = reading_from_wire(message)
        batch = decode(Batch, message.batch or b'')
        self.apply_batch(peer, reading.session, batch, transit_s)

    async def handle_fetch(self, sender: str, body: bytes) -> bytes | None:
        """Reply to a peer of the region with the upstream table."""
        if sender not in self.peers.local_peers:
            return None
        request = decode(Fetch, body)
        now_s = self.timer.now()
        batch = self.batch_builder.full_batch(
            self.table,
            now_s,
            own_only=bool(request.own_only),
        )
        reading = self.transit_estimator.make_reading(sender, now_s)
        message = Gossip(
            session=reading.session,
            clock_ms=reading.clock_ms,
            batch=encode(batch),
        )
        return encode(message)
