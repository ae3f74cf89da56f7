"""Messages between the holders of a generation: epochs and recovery."""

import asyncio
from collections.abc import Awaitable, Callable

from result import Ok

from godwitshunt.claims.gen.wire import ttypes
from godwitshunt.claims.holder import Holder
from godwitshunt.claims.holder_status import HolderStatus
from godwitshunt.claims.holder_table import GenerationId, HolderTable
from godwitshunt.claims.recovery import (
    AnnounceIncarnation,
    Recovered,
    Recovery,
    RecoveryStep,
)
from godwitshunt.claims.wire import status_from_wire, status_to_wire
from godwitshunt.configuration.revision import HolderSet
from godwitshunt.exceptions import FrameError
from godwitshunt.membership.background_tasks import BackgroundTasks
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Timer

PEER_TIMEOUT_S = 1.0


class HolderPeers:
    """Exchanges epochs with peers and recovers holders that lost votes.

    Parameters
    ----------
    table : HolderTable
        The holders of this process.
    make_durable : callable
        Waits until the changes of the holders are in the journal. Returns
        False if the disk fails.
    """

    def __init__(
        self,
        table: HolderTable,
        make_durable: Callable[[], Awaitable[bool]],
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> None:
        self.table = table
        self.name = table.name
        self.make_durable = make_durable
        self.links = links
        self.timer = timer
        self.metrics = metrics
        self.addresses: dict[str, Address] = {}
        self.background_tasks = BackgroundTasks()
        self.active_recoveries: set[GenerationId] = set()

    def start(self) -> None:
        """Start to answer epoch queries and recovering peers."""
        self.links.subscribe(MessageKind.claim_epoch, self.handle_call)
        self.links.subscribe(MessageKind.claim_recovery, self.handle_call)

    async def close(self) -> None:
        """Cancel pending queries and recoveries."""
        await self.background_tasks.close()

    async def handle_call(self, sender: str, body: bytes) -> bytes | None:
        """Answer a VM that queries the epoch, or a holder that recovers."""
        call = decode(ttypes.HolderCall, body)
        holder = self.table.holders.get((call.region, call.generation))
        if holder is None:
            return None
        status = holder.answer_peer(
            sender,
            call.incarnation or 0,
            call.epoch or 0,
            self.timer.now(),
        )
        if status is None or not await self.make_durable():
            return None
        return encode(ttypes.HolderReply(status_to_wire(status)))

    def exchange_epochs(self) -> None:
        """Exchange epochs with the peers of each region's newest holder set.

        Earlier sets need no exchange: no new keys are stamped under them, and
        their holders drop claims by their own clocks.
        """
        newest = dict(sorted(self.table.holder_sets))
        for generation in newest.items():
            holder = self.table.holders[generation]
            for peer in self.reachable_peers(
                self.table.holder_sets[generation]
            ):
                self.background_tasks.run(
                    self.exchange_epoch(generation, holder, peer)
                )

    async def exchange_epoch(
        self,
        generation: GenerationId,
        holder: Holder,
        peer: str,
    ) -> None:
        """Exchange epochs with one peer."""
        epoch = 0 if holder.recovering else holder.epoch
        status = await self.query_holder(
            MessageKind.claim_epoch,
            generation,
            peer,
            ttypes.HolderCall(*generation, epoch=epoch),
        )
        if status is not None:
            holder.advance_epoch(status.epoch, self.timer.now())

    def reachable_peers(self, holder_set: HolderSet) -> list[str]:
        """Return the other holders of a set whose address is known."""
        return [
            name
            for name in holder_set.names
            if name != self.name and name in self.addresses
        ]

    def start_recoveries(self) -> None:
        """Start the recovery of each generation that needs one."""
        recovering = self.table.recovering_generations()
        self.metrics.gauge('claims_recovering_generations', len(recovering))
        for generation in recovering:
            if generation not in self.active_recoveries:
                self.active_recoveries.add(generation)
                self.background_tasks.run(self.recover(generation))

    async def recover(self, generation: GenerationId) -> None:
        """Try once to recover a generation; the next tick retries."""
        try:
            await self.run_recovery(generation)
        finally:
            self.active_recoveries.discard(generation)

    async def run_recovery(self, generation: GenerationId) -> None:
        """Query peers, announce the incarnation, and resume voting.

        Voting resumes only if enough peers replied in both rounds.
        """
        holder_set = self.table.holder_sets[generation]
        recovery = Recovery(self.name, holder_set.names)
        step = await self.query_peers(generation, recovery)
        if isinstance(step, AnnounceIncarnation):
            step = await self.query_peers(generation, recovery)
        holder = self.table.holders.get(generation)
        if isinstance(step, Recovered) and holder is not None:
            holder.recover(step, self.timer.now())
            await self.make_durable()
            log_change('claims:holder_recovered', floor_epoch=step.floor_epoch)
            self.exchange_epochs()

    async def query_peers(
        self,
        generation: GenerationId,
        recovery: Recovery,
    ) -> RecoveryStep:
        """Query every peer; return the next step of the recovery."""
        call = ttypes.HolderCall(
            *generation,
            epoch=0,
            incarnation=recovery.incarnation,
        )
        kind = MessageKind.claim_recovery
        peers = self.reachable_peers(self.table.holder_sets[generation])
        statuses = await asyncio.gather(
            *(
                self.query_holder(kind, generation, peer, call)
                for peer in peers
            ),
        )
        replies = {
            peer: status
            for peer, status in zip(peers, statuses, strict=True)
            if status is not None
        }
        return recovery.process_replies(replies)

    async def query_holder(
        self,
        kind: MessageKind,
        generation: GenerationId,
        peer: str,
        call: ttypes.HolderCall,
    ) -> HolderStatus | None:
        """Return a peer's status, or None without a valid reply."""
        address = self.addresses.get(peer)
        if address is None:
            return None
        reply = await self.links.call(
            address,
            kind,
            encode(call),
            PEER_TIMEOUT_S,
        )
        if not isinstance(reply, Ok):
            return None
        try:
            wire = decode(ttypes.HolderReply, reply.ok_value)
            return status_from_wire(wire.standing)
        except FrameError:
            self.metrics.count('claims_replies_malformed_total')
            return None
