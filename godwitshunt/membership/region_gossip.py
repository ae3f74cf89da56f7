"""Gossip of upstream changes between the VMs of one region."""

import secrets
from collections.abc import Callable

from result import Err

from godwitshunt.exceptions import FrameError
from godwitshunt.membership.background_tasks import BackgroundTasks
from godwitshunt.membership.events import (
    DetailsMissing,
    Tick,
    UpstreamChange,
    UpstreamEvent,
)
from godwitshunt.membership.gen.wire.ttypes import Batch, Fetch, Gossip
from godwitshunt.membership.gossip import (
    GossipReader,
    GossipSender,
    table_digest,
)
from godwitshunt.membership.peers import RegionPeers
from godwitshunt.membership.regions import RegionWatch
from godwitshunt.membership.summaries import rendezvous_order
from godwitshunt.membership.table import UpstreamTable
from godwitshunt.membership.transit import TransitClock
from godwitshunt.membership.wire import reading_from_wire, report_from_wire
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import Subscription, Timer

SESSION_BITS = 24
# Batches wait the longer the more peers get them: messages a second from one
# VM stay at 33, and the first of two VMs learns a load within 0.1 s.
FLUSH_S_PER_PEER = 0.04
SHORTEST_FLUSH_S = 0.1
KEEPALIVE_S = 1.0
PREFIX_PERIOD_S = 5.0
DIGEST_PERIOD_S = 1.0
FETCH_PAUSE_S = 2.0
FETCH_TIMEOUT_S = 1.0
TOLERATED_MISMATCHES = 1

Take = Callable[[UpstreamEvent], tuple[UpstreamChange, ...]]


class RegionGossip:
    """Sends this VM's own news to its region, and takes in that of others.

    Parameters
    ----------
    peers : RegionPeers
        VMs of the own region and of the others.
    table : UpstreamTable
        Read for what is sent; changed only by `take`.
    take : callable
        Applies an event to the table.
    watch : RegionWatch
        Learns the reports of other regions that peers pass on.
    """

    def __init__(
        self,
        peers: RegionPeers,
        table: UpstreamTable,
        take: Take,
        watch: RegionWatch,
    ) -> None:
        self.peers = peers
        self.table = table
        self.take = take
        self.watch = watch
        self.links: PeerLinks = watch.links
        self.timer: Timer = watch.timer
        self.metrics: Metrics = watch.metrics
        self.transit = TransitClock(secrets.randbits(SESSION_BITS))
        self.sender = GossipSender()
        self.reader = GossipReader()
        self.background_tasks = BackgroundTasks()
        self.subscriptions: list[Subscription] = []
        self.leaving = False
        self.flushed_s = float('-inf')
        self.sent_s = float('-inf')
        self.prefixes_sent_s = float('-inf')
        self.digest_sent_s = float('-inf')
        self.fetched_s: dict[str, float] = {}
        self.mismatches = 0

    def start(self) -> None:
        """Take messages of peers and begin to send."""
        kinds = MessageKind
        self.links.subscribe(kinds.upstream_gossip, self.take_gossip)
        self.links.subscribe(kinds.upstream_fetch, self.answer_fetch)
        self.watch.subscribe(self.sender.note_report)
        self.subscriptions = [
            self.timer.every(SHORTEST_FLUSH_S, self.flush_if_due),
        ]

    async def close(self) -> None:
        """Send no more."""
        for subscription in self.subscriptions:
            subscription.cancel()
        await self.background_tasks.close()

    def follow_peers(self, known: frozenset[str]) -> None:
        """Follow a change of the region's VMs.

        Parameters
        ----------
        known : frozenset of str
            The region's other VMs before the change.
        """
        names = frozenset(self.peers.own)
        self.transit.forget(names)
        # A VM that has just started knows no upstream: it asks a peer for
        # all of them, so that it need not wait for their announcements.
        if not known and names and not self.table.records:
            first = rendezvous_order(names, self.peers.name)[0]
            self.background_tasks.run(self.fetch(first, own_only=False))

    def announce_draining(self) -> None:
        """Tell the region that this VM takes no new requests."""
        self.leaving = True
        self.flush()

    def unavailable_vms(self) -> frozenset[str]:
        """Return the region's VMs that drain or are not heard of."""
        absent = self.peers.absent(self.transit.heard, self.timer.now())
        if self.leaving:
            return absent | {self.peers.name}
        return absent

    def flush_if_due(self) -> None:
        """Send a batch where the last one is long enough ago."""
        now_s = self.timer.now()
        self.take(Tick())
        pause_s = max(
            SHORTEST_FLUSH_S,
            FLUSH_S_PER_PEER * len(self.peers.own),
        )
        # The notices come a little early or late; half a notice does not
        # double the pause.
        if now_s - self.flushed_s >= pause_s - SHORTEST_FLUSH_S / 2:
            self.flush()

    def flush(self) -> None:
        """Send what has changed to every peer of the region."""
        now_s = self.timer.now()
        self.flushed_s = now_s
        prefixes_due = now_s - self.prefixes_sent_s >= PREFIX_PERIOD_S
        batch = self.sender.take_batch(
            self.table,
            now_s,
            with_prefixes=prefixes_due,
        )
        if prefixes_due:
            self.prefixes_sent_s = now_s
        keeps_alive = self.leaving or now_s - self.sent_s >= KEEPALIVE_S
        if batch is None and not keeps_alive:
            return
        self.sent_s = now_s
        body = None if batch is None else encode(batch)
        checked = self.digest_receiver(now_s)
        for name in self.peers.own:
            digest = table_digest(self.table) if name == checked else None
            self.send(name, body, digest)

    def digest_receiver(self, now_s: float) -> str | None:
        """Return the peer whose turn it is to compare tables."""
        if now_s - self.digest_sent_s < DIGEST_PERIOD_S:
            return None
        self.digest_sent_s = now_s
        return self.peers.next_in_turn()

    def send(self, peer: str, batch: bytes | None, digest: int | None) -> None:
        """Send one message to one peer."""
        reading = self.transit.reading(peer, self.timer.now())
        message = Gossip(
            session=reading.session,
            clock_ms=reading.clock_ms,
            echo_session=reading.echo_session,
            echo_ms=reading.echo_ms,
            held_ms=reading.held_ms,
            digest=digest,
            draining=True if self.leaving else None,
            batch=batch,
        )
        self.links.tell(
            self.peers.own[peer],
            MessageKind.upstream_gossip,
            encode(message),
        )

    async def take_gossip(self, sender: str, body: bytes) -> None:
        """Take one message of a peer of the region."""
        if sender not in self.peers.own:
            self.metrics.count('membership_dropped_total', reason='stranger')
            return
        message = decode(Gossip, body)
        reading = reading_from_wire(message)
        transit_s = self.transit.receive(sender, reading, self.timer.now())
        self.peers.note_draining(sender, draining=bool(message.draining))
        if transit_s is None:
            # Its age is unknown: taken as fresh, news that waited in a
            # frozen process would revive upstreams that are gone.
            self.metrics.count('membership_dropped_total', reason='ageless')
        if message.batch:
            batch = decode(Batch, message.batch)
            self.take_batch(sender, reading.session, batch, transit_s)
        if message.digest is not None:
            self.compare_digest(sender, message.digest)

    def compare_digest(self, sender: str, digest: int) -> None:
        """Fetch a peer's table where tables differ again and again.

        An upstream that comes or goes differs for a moment by itself.
        """
        if digest == table_digest(self.table):
            self.mismatches = 0
            return
        self.mismatches += 1
        if self.mismatches > TOLERATED_MISMATCHES:
            self.mismatches = 0
            self.metrics.count('membership_mismatches_total')
            self.fetch_soon(sender, own_only=False)

    def take_batch(
        self,
        sender: str,
        session: int,
        batch: Batch,
        transit_s: float | None,
    ) -> None:
        """Apply the changes of a batch; without its age, few of them."""
        events, unknown = self.reader.read(sender, session, batch, transit_s)
        missing = unknown
        for event in events:
            changes = self.take(event)
            missing |= any(isinstance(one, DetailsMissing) for one in changes)
        now_s = self.timer.now()
        if transit_s is not None:
            for wire in batch.summaries or ():
                self.watch.learn(report_from_wire(wire, transit_s, now_s))
        if missing:
            self.fetch_soon(sender, own_only=True)

    def fetch_soon(self, peer: str, *, own_only: bool) -> None:
        """Fetch a peer's table, unless that was done just now."""
        now_s = self.timer.now()
        if now_s - self.fetched_s.get(peer, float('-inf')) < FETCH_PAUSE_S:
            return
        self.fetched_s[peer] = now_s
        self.background_tasks.run(self.fetch(peer, own_only=own_only))

    async def fetch(self, peer: str, *, own_only: bool) -> None:
        """Fetch and apply a peer's table."""
        address = self.peers.own.get(peer)
        if address is None:
            return
        asked_s = self.timer.now()
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
        transit_s = self.timer.now() - asked_s
        try:
            self.take_fetched(peer, reply.ok_value, transit_s)
        except FrameError:
            self.metrics.count('membership_fetches_failed_total')

    def take_fetched(self, peer: str, body: bytes, transit_s: float) -> None:
        """Apply the table that a peer answered with."""
        message = decode(Gossip, body)
        reading = reading_from_wire(message)
        batch = decode(Batch, message.batch or b'')
        self.take_batch(peer, reading.session, batch, transit_s)

    async def answer_fetch(self, sender: str, body: bytes) -> bytes | None:
        """Answer with everything known to a peer of the region."""
        if sender not in self.peers.own:
            return None
        asked = decode(Fetch, body)
        now_s = self.timer.now()
        batch = self.sender.whole_batch(
            self.table,
            now_s,
            own_only=bool(asked.own_only),
        )
        reading = self.transit.reading(sender, now_s)
        message = Gossip(
            session=reading.session,
            clock_ms=reading.clock_ms,
            batch=encode(batch),
        )
        return encode(message)
