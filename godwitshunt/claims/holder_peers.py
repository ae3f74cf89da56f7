"""What holders of one generation tell each other: epochs and restarts."""

import asyncio
from collections.abc import Awaitable, Callable

from result import Ok

from godwitshunt.claims.gen.wire import ttypes
from godwitshunt.claims.holder import Holder
from godwitshunt.claims.holder_table import GenerationId, HolderTable
from godwitshunt.claims.recovery import (
    Recovered,
    Recovery,
    RecoveryStep,
    TellIncarnation,
)
from godwitshunt.claims.standing import Standing
from godwitshunt.claims.wire import standing_from_wire, standing_to_wire
from godwitshunt.configuration.revision import HolderSet
from godwitshunt.exceptions import FrameError
from godwitshunt.membership.background_tasks import BackgroundTasks
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Timer

PEER_TIMEOUT_S = 1.0


class HolderPeers:
    """Exchanges epochs, and brings holders that forgot back to voting.

    Parameters
    ----------
    table : HolderTable
        The process's holders.
    make_durable : callable
        Waits until what the holders changed is in the journal; its result is
        False where the disk refuses.
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
        self.recoveries: set[GenerationId] = set()

    def start(self) -> None:
        """Answer fellow holders and VMs that ask for epochs."""
        self.links.subscribe(MessageKind.claim_epoch, self.answer)
        self.links.subscribe(MessageKind.claim_recovery, self.answer)

    async def close(self) -> None:
        """End the questions under way."""
        await self.background_tasks.close()

    async def answer(self, sender: str, body: bytes) -> bytes | None:
        """Answer a VM that asks for the epoch, or a holder that recovers."""
        call = decode(ttypes.HolderCall, body)
        holder = self.table.holders.get((call.region, call.generation))
        if holder is None:
            return None
        standing = holder.answer_peer(
            sender,
            call.incarnation or 0,
            call.epoch or 0,
            self.timer.now(),
        )
        if standing is None or not await self.make_durable():
            return None
        return encode(ttypes.HolderReply(standing_to_wire(standing)))

    def exchange_epochs(self) -> None:
        """Tell fellow holders this one's epoch, and hear theirs.

        Only in the newest set of each region: no keys are stamped under an
        earlier one, and its holders drop their claims by their own clocks.
        """
        newest = dict(sorted(self.table.sets))
        for generation in newest.items():
            holder = self.table.holders[generation]
            for peer in self.fellows(self.table.sets[generation]):
                self.background_tasks.run(
                    self.ask_epoch(generation, holder, peer)
                )

    async def ask_epoch(
        self,
        generation: GenerationId,
        holder: Holder,
        peer: str,
    ) -> None:
        """Exchange epochs with one fellow holder."""
        epoch = 0 if holder.recovering else holder.epoch
        standing = await self.ask_holder(
            MessageKind.claim_epoch,
            generation,
            peer,
            ttypes.HolderCall(*generation, epoch=epoch),
        )
        if standing is not None:
            holder.adopt(standing.epoch, self.timer.now())

    def fellows(self, holder_set: HolderSet) -> list[str]:
        """Return the other holders of a set that can be reached."""
        return [
            name
            for name in holder_set.names
            if name != self.name and name in self.addresses
        ]

    def recover_all(self) -> None:
        """Begin the recovery of each generation that needs it."""
        waiting = self.table.recovering()
        self.metrics.gauge('claims_recovering_generations', len(waiting))
        for generation in waiting:
            if generation not in self.recoveries:
                self.recoveries.add(generation)
                self.background_tasks.run(self.recover(generation))

    async def recover(self, generation: GenerationId) -> None:
        """Try once to recover one generation; the next tick tries again."""
        try:
            await self.try_recover(generation)
        finally:
            self.recoveries.discard(generation)

    async def try_recover(self, generation: GenerationId) -> None:
        """Ask, tell, and vote again where enough fellow holders answered."""
        holder_set = self.table.sets[generation]
        recovery = Recovery(self.name, holder_set.names)
        step = await self.ask_all(generation, recovery)
        if isinstance(step, TellIncarnation):
            step = await self.ask_all(generation, recovery)
        holder = self.table.holders.get(generation)
        if isinstance(step, Recovered) and holder is not None:
            holder.recover(step, self.timer.now())
            await self.make_durable()
            log_change('claims:holder_recovered', floor_epoch=step.floor)
            self.exchange_epochs()

    async def ask_all(
        self,
        generation: GenerationId,
        recovery: Recovery,
    ) -> RecoveryStep:
        """Ask every fellow holder; return the step that the replies allow."""
        call = ttypes.HolderCall(
            *generation,
            epoch=0,
            incarnation=recovery.incarnation,
        )
        kind = MessageKind.claim_recovery
        peers = self.fellows(self.table.sets[generation])
        standings = await asyncio.gather(
            *(self.ask_holder(kind, generation, peer, call) for peer in peers),
        )
        replies = {
            peer: standing
            for peer, standing in zip(peers, standings, strict=True)
            if standing is not None
        }
        return recovery.take_round(replies)

    async def ask_holder(
        self,
        kind: MessageKind,
        generation: GenerationId,
        peer: str,
        call: ttypes.HolderCall,
    ) -> Standing | None:
        """Return a fellow holder's standing, if it answers."""
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
            return standing_from_wire(wire.standing)
        except FrameError:
            self.metrics.count('claims_replies_malformed_total')
            return None
