"""Carries out what a replica asks for: saves, messages, applying."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

from godwitshunt.consensus.batches import arrange, merge_proposals
from godwitshunt.consensus.events import (
    Action,
    Apply,
    Event,
    InstallState,
    ProposalAccepted,
    ProposalRefused,
    ReadReady,
    ReadRefused,
    Received,
    Save,
    Send,
    SnapshotTaken,
    Synced,
    Tick,
)
from godwitshunt.consensus.folder import DataFolder
from godwitshunt.consensus.machine import StateMachine
from godwitshunt.consensus.messages import Entry, EntryKind, Message
from godwitshunt.consensus.pending import Waiters
from godwitshunt.consensus.replica import Replica
from godwitshunt.consensus.state import Role
from godwitshunt.consensus.transport import Transport
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Timer

INBOX_EVENTS = 8192


@dataclass
class ReplicaDriver:
    """Steps a replica and carries its actions out, one batch after another.

    Several events are taken at once, and all that they have to save goes to
    disk with one sync, in a thread; meanwhile further events wait.

    Parameters
    ----------
    replica : Replica
        The state machine of the protocol.
    folder : DataFolder
        Its open data folder.
    transport : Transport
        Carries its messages.
    machine : StateMachine
        Gets what is committed.
    waiters : Waiters
        Callers that wait for an outcome.
    timer : Timer
        Monotonic time.
    metrics : Metrics
        Counters, gauges, and the histogram of syncs.
    snapshot_entries : int
        Applied entries between snapshots.
    """

    replica: Replica
    folder: DataFolder
    transport: Transport
    machine: StateMachine
    waiters: Waiters
    timer: Timer
    metrics: Metrics
    snapshot_entries: int
    inbox: asyncio.Queue[Event] = field(
        default_factory=lambda: asyncio.Queue(INBOX_EVENTS),
    )
    known: tuple[str | None, int] = (None, 0)
    tick_waits: bool = False
    saving: asyncio.Future[None] | None = None

    def put_tick(self) -> None:
        """Tell the replica that time has passed."""
        # While a sync is slow the ticks that wait would all say the same; but
        # one must wait, or a busy replica would never notice a lost quorum.
        self.tick_waits = True
        if self.inbox.empty():
            self.inbox.put_nowait(Tick())

    def put_message(self, message: Message) -> None:
        """Give the replica a message; one too many is lost, as on the way."""
        try:
            self.inbox.put_nowait(Received(message))
        except asyncio.QueueFull:
            self.metrics.count('consensus_messages_dropped_total')

    async def run(self) -> None:
        """Take events until the storage fails or the task is cancelled.

        Raises
        ------
        StorageError
            Where a save failed; the replica must then stop.
        """
        while True:
            await self.take(await self.next_events())

    async def next_events(self) -> list[Event]:
        """Wait for an event; return it with all that came meanwhile."""
        events = [await self.inbox.get()]
        while not self.inbox.empty():
            events.append(self.inbox.get_nowait())
        if self.tick_waits and Tick() not in events:
            events.append(Tick())
        self.tick_waits = False
        return merge_proposals(events)

    async def take(self, events: Iterable[Event]) -> None:
        """Step the replica and carry its actions out."""
        actions: list[Action] = []
        for event in events:
            actions.extend(self.replica.step(event, self.timer.now()))
        await self.carry_out(actions)
        await self.carry_out(self.snapshot_when_due())
        self.note_changes()

    async def carry_out(self, actions: list[Action]) -> None:
        """Carry actions out, and those that follow from their sync."""
        while actions:
            batch = arrange(actions)
            for early in batch.early:
                self.act(early)
            if batch.saves:
                await self.save(batch.saves)
            for late in batch.late:
                self.act(late)
            actions = self.synced() if batch.saves else []

    def synced(self) -> list[Action]:
        """Tell the replica that all it asked to save is on disk."""
        log = self.replica.state.log
        event = Synced(log.last_index, log.last_term)
        return list(self.replica.step(event, self.timer.now()))

    def snapshot_when_due(self) -> list[Action]:
        """Take a snapshot once enough entries were applied.

        Only when no actions wait: they may include the applying of entries
        that the replica counts as applied already. And after every batch, or
        the log of a follower would grow as long as each brings entries.
        """
        state = self.replica.state
        take_snapshot = self.machine.take_snapshot
        covered = 0 if state.snapshot is None else state.snapshot.index
        fresh = state.applied_index - covered
        if take_snapshot is None or fresh < self.snapshot_entries:
            return []
        event = SnapshotTaken(state.applied_index, take_snapshot())
        return list(self.replica.step(event, self.timer.now()))

    async def save(self, saves: tuple[Save, ...]) -> None:
        """Put saves on disk in a thread, all with one sync."""
        started_s = self.timer.now()
        thread = asyncio.to_thread(self.folder.save, saves)
        self.saving = asyncio.ensure_future(thread)
        await asyncio.shield(self.saving)
        duration_s = self.timer.now() - started_s
        self.metrics.observe('consensus_sync_seconds', duration_s)

    async def close(self) -> None:
        """Let a save that is under way end, then close the folder.

        Its thread cannot be cancelled. If the files were closed under it,
        it could write to whatever file is opened next under their numbers.
        """
        if self.saving is not None:
            await asyncio.wait((self.saving,))
        self.folder.close()

    def act(self, action: Action) -> None:
        """Carry out an action that is not a save."""
        match action:
            case Send(message):
                self.transport.send(message)
            case Apply(entries):
                self.apply(entries)
            case InstallState(snapshot):
                self.machine.install(snapshot.state)
                self.waiters.skipped(snapshot.index)
            case ProposalAccepted(number, index, term):
                self.waiters.placed(number, index, term)
            case ReadReady(number, index):
                self.waiters.readable(number, index)
            case ProposalRefused(number, failure) | ReadRefused(
                number, failure
            ):
                self.waiters.refused(number, failure)
        if isinstance(action, (Apply, InstallState, ReadReady)):
            self.waiters.release_reads(self.replica.state.applied_index)

    def apply(self, entries: tuple[Entry, ...]) -> None:
        """Give committed entries to the state machine and their callers."""
        for entry in entries:
            if entry.kind is EntryKind.payload:
                self.machine.apply(entry.index, entry.term, entry.payload)
            self.waiters.applied(entry.index, entry.term)
        self.metrics.count('consensus_entries_applied_total', len(entries))

    def note_changes(self) -> None:
        """Show where the replica stands; log a change of leader or term."""
        state = self.replica.state
        age_s = self.replica.quorum_age_s(self.timer.now())
        self.metrics.gauge('consensus_quorum_age_seconds', age_s)
        self.metrics.gauge('consensus_commit_index', state.commit_index)
        leader = None if state.leader is None else state.leader.name
        if self.known == (leader, state.term):
            return
        self.known = (leader, state.term)
        self.metrics.count('consensus_leader_changes_total')
        self.metrics.gauge('consensus_term', state.term)
        self.metrics.gauge('consensus_leads', int(state.role is Role.leader))
        log_change('consensus:leader', leader=leader, term=state.term)
