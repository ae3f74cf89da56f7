"""The task of a control replica: what the other slices ask of consensus."""

import asyncio
from collections.abc import Coroutine
from contextlib import suppress
from random import Random, SystemRandom
from typing import Self

from result import Err, Result

from godwitshunt.consensus import status
from godwitshunt.consensus.driver import ReplicaDriver
from godwitshunt.consensus.events import (
    AddLearner,
    ChangeProposed,
    Event,
    MemberChange,
    PromoteLearner,
    Proposed,
    ReadAsked,
    RemoveMember,
)
from godwitshunt.consensus.failures import (
    ChangeFailure,
    ChangeUnderway,
    NotCaughtUp,
    ProposalFailure,
    StorageFailed,
    UnknownMember,
)
from godwitshunt.consensus.files import FileSystem
from godwitshunt.consensus.folder import DataFolder, make_incarnation
from godwitshunt.consensus.formation import first_entry
from godwitshunt.consensus.machine import (
    ApplyCallback,
    InstallCallback,
    StateMachine,
    TakeCallback,
)
from godwitshunt.consensus.members import ReplicaId
from godwitshunt.consensus.options import ConsensusOptions
from godwitshunt.consensus.pending import Waiters
from godwitshunt.consensus.replica import Replica
from godwitshunt.consensus.transport import Transport
from godwitshunt.peer import PeerLinks
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Subscription, Timer

TICKS_PER_HEARTBEAT = 2


class ConsensusTask:
    """A replica at work: one task that owns its state, disk and messages.

    Parameters
    ----------
    options : ConsensusOptions
        Name, address, durations.
    folder : FileSystem
        Files of the data folder; opened by `start`.
    links : PeerLinks
        Carry the messages; started and closed by the program.
    timer : Timer
        Monotonic time and ticks.
    metrics : Metrics
        Counters, gauges, and the histogram of syncs.
    random : random.Random
        Draws election timeouts.
    """

    def __init__(
        self,
        options: ConsensusOptions,
        folder: FileSystem,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
        random: Random,
    ) -> None:
        self.options = options
        self.files = folder
        self.timer = timer
        self.metrics = metrics
        self.random = random
        self.transport = Transport(links, options.address)
        self.machine = StateMachine()
        self.waiters = Waiters()
        self.driver: ReplicaDriver | None = None
        self.failure: Exception | None = None
        self.failed = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.spawned: set[asyncio.Task[None]] = set()
        self.ticks: Subscription | None = None

    @classmethod
    def from_config(
        cls,
        options: ConsensusOptions,
        folder: FileSystem,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
        random: Random | None = None,
    ) -> Self:
        """Make the task of a control replica."""
        return cls(
            options,
            folder,
            links,
            timer,
            metrics,
            SystemRandom() if random is None else random,
        )

    def subscribe(
        self,
        apply_callback: ApplyCallback,
        take_snapshot: TakeCallback | None = None,
        install_snapshot: InstallCallback | None = None,
    ) -> None:
        """Name the state machine that committed payloads go to.

        Parameters
        ----------
        apply_callback : callable
            Gets index, term and payload of each committed entry, in order.
        take_snapshot : callable, optional
            Returns the state machine's state as bytes; without it no
            snapshot is taken.
        install_snapshot : callable, optional
            Replaces the state machine's state by such bytes.
        """
        self.machine = StateMachine(
            apply_callback,
            take_snapshot,
            install_snapshot,
        )

    async def start(self) -> None:
        """Open the data folder and take part.

        Raises
        ------
        StorageError
            Where the folder is locked, corrupt, full or read-only.
        """
        first = None
        if self.options.first_voters:
            first = first_entry(self.options.first_voters)
        folder = await asyncio.to_thread(
            DataFolder.open,
            self.files,
            self.options.name,
            make_incarnation,
            first,
        )
        self.driver = self.make_driver(folder)
        if folder.stored.snapshot is not None:
            self.machine.install(folder.stored.snapshot.state)
        self.transport.start(self.replica.state, self.driver.put_message)
        period_s = self.options.replica.heartbeat_s / TICKS_PER_HEARTBEAT
        self.ticks = self.timer.every(period_s, self.driver.put_tick)
        self.task = asyncio.create_task(self.run())

    def make_driver(self, folder: DataFolder) -> ReplicaDriver:
        """Return the driver of a replica that goes on from a data folder."""
        replica = Replica.from_stored(
            folder.stored,
            self.options.replica,
            self.random,
            self.timer.now(),
        )
        return ReplicaDriver(
            replica,
            folder,
            self.transport,
            self.machine,
            self.waiters,
            self.timer,
            self.metrics,
            self.options.snapshot_entries,
        )

    @property
    def replica(self) -> Replica:
        """The running replica."""
        return self.driver.replica

    async def run(self) -> None:
        """Take part until a fault, or until the task is closed."""
        try:
            await self.driver.run()
        # Also a fault of the state machine's callbacks: a replica that goes
        # on without its task would look alive and never answer.
        except Exception as fault:
            self.stop_after(fault)

    def spawn(
        self,
        work: Coroutine[None, None, None],
    ) -> asyncio.Task[None]:
        """Run work in a task that ends at the latest with this one."""
        task = asyncio.create_task(work)
        self.spawned.add(task)
        task.add_done_callback(self.spawned.discard)
        return task

    async def close(self) -> None:
        """Stop taking part; what is under way ends as unknown."""
        for spawned in tuple(self.spawned):
            spawned.cancel()
        await asyncio.gather(*self.spawned, return_exceptions=True)
        if self.ticks is not None:
            self.ticks.cancel()
        if self.task is not None:
            self.task.cancel()
            with suppress(asyncio.CancelledError):
                await self.task
        self.waiters.fail_all('the replica was closed')
        if self.driver is not None:
            self.transport.stop()
            await self.driver.close()

    async def propose(
        self,
        payload: bytes,
    ) -> Result[status.Committed, ProposalFailure]:
        """Commit a payload.

        Returns
        -------
        Result
            `Committed` once it is committed and applied here. `NotLeader` and
            `NoQuorum` mean that it will never take effect; `CommitUnknown`
            that it may have, or may yet.
        """
        number = self.waiters.add()
        return await self.ask(number, Proposed(((number, payload),)))

    async def read_barrier(
        self,
    ) -> Result[status.Committed, ProposalFailure]:
        """Wait until the state here includes every commit before the call.

        Answered at once under a live lease, else after a quorum's replies.
        """
        number = self.waiters.add()
        return await self.ask(number, ReadAsked(number))

    async def change_members(
        self,
        change: MemberChange,
    ) -> Result[status.Committed, ChangeFailure]:
        """Commit one change of the membership."""
        number = self.waiters.add()
        return await self.ask(number, ChangeProposed(number, change))

    async def add_learner(
        self,
        name: str,
        incarnation: str,
        address: Address,
    ) -> Result[status.Committed, ChangeFailure]:
        """Let a replica get the log without counting for a quorum."""
        replica = ReplicaId(name, incarnation)
        return await self.change_members(AddLearner(replica, address))

    async def promote(
        self,
        name: str,
    ) -> Result[status.Committed, ChangeFailure]:
        """Make the learner of a name a voter, once it is caught up."""
        deadline_s = self.timer.now() + self.options.promotion_timeout_s
        learner = self.learner(name)
        if learner is None:
            return Err(UnknownMember(ReplicaId(name, '')))
        while True:
            changed = await self.change_members(PromoteLearner(learner))
            if not is_worth_repeating(changed):
                return changed
            if self.timer.now() > deadline_s:
                return changed
            await asyncio.sleep(self.options.replica.heartbeat_s)

    async def remove(
        self,
        name: str,
        incarnation: str,
    ) -> Result[status.Committed, ChangeFailure]:
        """Take a voter or a learner out."""
        replica = ReplicaId(name, incarnation)
        return await self.change_members(RemoveMember(replica))

    def learner(self, name: str) -> ReplicaId | None:
        """Return the newest learner of a name, None without one."""
        found = None
        for member in self.replica.state.membership.members:
            if member.replica.name == name and not member.voter:
                found = member.replica
        return found

    def identity(self) -> status.Identity:
        """Return who this replica is, and whether its folder is unused."""
        return self.transport.identity()

    def leadership(self) -> status.Leadership:
        """Return who leads, as this replica knows it."""
        if self.driver is None or self.failure is not None:
            return status.UNKNOWN
        return status.leadership(self.replica.state, self.timer.now())

    def members(self) -> tuple[status.MemberStatus, ...]:
        """Return every member, as this replica knows it."""
        return status.members(self.replica.state, self.timer.now())

    def survives_one_loss(self) -> bool:
        """Tell whether the log would go on after the loss of any voter."""
        return status.survives_one_loss(self.replica.state, self.timer.now())

    async def ask(
        self,
        number: int,
        event: Event,
    ) -> Result[status.Committed, ChangeFailure]:
        """Give the replica a caller's event and wait for the outcome."""
        if self.failure is not None:
            self.waiters.refused(number, StorageFailed(str(self.failure)))
        else:
            await self.driver.inbox.put(event)
        return await self.waiters.outcome(
            number,
            self.options.outcome_timeout_s,
        )

    def stop_after(self, fault: Exception) -> None:
        """Take part no more: what is on disk or applied is not known."""
        self.failure = fault
        self.transport.stop()
        if self.ticks is not None:
            self.ticks.cancel()
        self.waiters.fail_all(str(fault))
        self.metrics.count('consensus_failures_total')
        log_change('consensus:failed', error=repr(fault))
        self.failed.set()


def is_worth_repeating(
    changed: Result[status.Committed, ChangeFailure],
) -> bool:
    """Tell whether a change was refused for what passes by itself."""
    match changed:
        case Err(NotCaughtUp() | ChangeUnderway()):
            return True
        case _:
            return False
