"""Task of a claim holder: answers claimants and writes the journal."""

import functools
from pathlib import Path
from types import MappingProxyType
from typing import Self

from godwitshunt.claims.gen.wire import ttypes
from godwitshunt.claims.holder_journal import HolderJournal
from godwitshunt.claims.holder_peers import HolderPeers
from godwitshunt.claims.holder_table import HolderTable
from godwitshunt.claims.journal import ClaimJournal
from godwitshunt.claims.verdicts import (
    Claim,
    Finish,
    HolderAnswer,
    HolderRequest,
    Query,
    Release,
    Verdict,
)
from godwitshunt.claims.wire import (
    attempt_from_wire,
    holder_answer_to_wire,
    run_result_from_wire,
)
from godwitshunt.configuration.revision import Revision
from godwitshunt.exceptions import FrameError
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.peer.links import PeerHandler
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import Subscription, Timer

TICK_INTERVAL_S = 1.0
EPOCH_EXCHANGE_INTERVAL_S = 5.0
MESSAGE_KINDS = MappingProxyType(
    {
        Claim: MessageKind.claim_request,
        Query: MessageKind.claim_query,
        Release: MessageKind.claim_release,
        Finish: MessageKind.claim_finish,
    },
)


class ClaimHolderTask:
    """Votes on claims of the generations that include this VM.

    Parameters
    ----------
    name : str
        The VM's name, as in holder sets.
    session : str
        Random id of this process.
    data_folder : Path or None
        None if the VM has no disk.
    """

    def __init__(
        self,
        name: str,
        session: str,
        data_folder: Path | None,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> None:
        self.name = name
        self.table = HolderTable(name, session)
        self.links = links
        self.timer = timer
        self.metrics = metrics
        self.journal: HolderJournal | None = None
        if data_folder is not None:
            journal = ClaimJournal(data_folder / f'claims-{name}')
            self.journal = HolderJournal(journal, metrics)
        self.peers = HolderPeers(
            self.table,
            self.make_durable,
            links,
            timer,
            metrics,
        )
        self.subscriptions: list[Subscription] = []

    @classmethod
    def from_config(
        cls,
        name: str,
        session: str,
        data_folder: Path | None,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> Self:
        """Create the task, with a journal if there is a data folder."""
        return cls(name, session, data_folder, links, timer, metrics)

    async def start(self) -> None:
        """Read the journal and start to answer requests.

        Raises
        ------
        StorageError
            If the data folder cannot be used.
        """
        if self.journal is not None:
            self.journal.restore(self.table, self.timer.now())
        for kind in MESSAGE_KINDS.values():
            self.links.subscribe(kind, self.make_handler(kind))
        self.peers.start()
        self.subscriptions = [
            self.timer.every(TICK_INTERVAL_S, self.tick),
            self.timer.every(
                EPOCH_EXCHANGE_INTERVAL_S, self.peers.exchange_epochs
            ),
        ]

    async def close(self) -> None:
        """Stop the periodic work and close the journal."""
        for subscription in self.subscriptions:
            subscription.cancel()
        await self.peers.close()
        if self.journal is not None:
            await self.journal.journal.close()

    def apply_revision(self, revision: Revision) -> None:
        """Apply the committed holder sets."""
        self.peers.addresses = {vm.name: vm.peer for vm in revision.vms}
        self.table.apply_holder_sets(revision.holders, self.timer.now())
        self.write_changes()
        self.peers.start_recoveries()

    def make_handler(self, kind: MessageKind) -> PeerHandler:
        """Return the handler for one kind of claimant's request."""
        return functools.partial(self.handle_call, kind)

    async def handle_call(
        self,
        kind: MessageKind,
        sender: str,
        body: bytes,
    ) -> bytes:
        """Answer a claimant's request from the wire."""
        call = decode(ttypes.ClaimCall, body)
        request = request_from_wire(kind, call)
        answer = await self.answer(request, call.epoch)
        return encode(holder_answer_to_wire(answer))

    async def answer(
        self,
        request: HolderRequest,
        epoch: int,
    ) -> HolderAnswer:
        """Answer a claimant once the change is in the journal."""
        key = request.attempt.key
        holder = self.table.holders.get((key.region, key.generation))
        if holder is None:
            return HolderAnswer(Verdict.abstained)
        answer = holder.apply(request, epoch, self.timer.now())
        self.metrics.count('claims_verdicts_total', verdict=answer.verdict.name)
        if not await self.make_durable():
            return HolderAnswer(Verdict.abstained)
        return answer

    async def make_durable(self) -> bool:
        """Write and sync pending changes; return False if the disk fails."""
        if not self.write_changes():
            return False
        return self.journal is None or await self.journal.sync()

    def write_changes(self) -> bool:
        """Append pending changes to the journal, if there is one."""
        changes = tuple(self.table.drain_changes())
        return self.journal is None or self.journal.write(changes)

    def tick(self) -> None:
        """Advance epochs, drop expired claims, and rotate the journal."""
        self.table.tick(self.timer.now())
        self.write_changes()
        self.peers.start_recoveries()
        if self.journal is not None:
            self.journal.rotate(self.table)


def request_from_wire(
    kind: MessageKind,
    call: ttypes.ClaimCall,
) -> HolderRequest:
    """Decode a claimant's request.

    Raises
    ------
    FrameError
        If a field is missing or malformed.
    """
    attempt = attempt_from_wire(call)
    match kind:
        case MessageKind.claim_request:
            return Claim(attempt)
        case MessageKind.claim_query:
            return Query(attempt)
        case MessageKind.claim_release:
            return Release(attempt)
    run_result = run_result_from_wire(call.answer, call.unknown)
    if run_result is None:
        raise FrameError('ClaimCall: a finish without answer or unknown')
    return Finish(attempt, run_result)
