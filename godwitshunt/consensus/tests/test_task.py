"""Replicas as tasks over real sockets and real folders."""

import asyncio
import os
import time
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from random import Random

from result import Err, Ok

from godwitshunt.consensus import (
    AlreadyInitialised,
    CommitUnknown,
    ConsensusOptions,
    ConsensusTask,
    DiskFileSystem,
    EntryTooLarge,
    NotLeader,
    ReplicaOptions,
    StorageFailed,
    bootstrap,
)
from godwitshunt.consensus.events import ReadAsked, Received, Tick
from godwitshunt.consensus.members import ReplicaId
from godwitshunt.consensus.messages import (
    AppendRequest,
    Entry,
    EntryKind,
    Header,
)
from godwitshunt.exceptions import StorageFull
from godwitshunt.peer import PeerLinks, PeerOptions
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import TimerService
from standins.ports import free_address

# Long enough for a sync that waits on a busy machine's disk.
FAST = ReplicaOptions(
    election_timeout_s=1.5,
    heartbeat_s=0.1,
    retained_entries=5,
)


class Machine:
    """A state machine that keeps every payload."""

    def __init__(self) -> None:
        self.payloads: list[bytes] = []

    def apply(self, index: int, term: int, payload: bytes) -> None:
        """Keep a payload."""
        self.payloads.append(payload)

    def take(self) -> bytes:
        """Return all payloads."""
        return b','.join(self.payloads)

    def install(self, state: bytes) -> None:
        """Replace all payloads."""
        self.payloads = state.split(b',') if state else []


@asynccontextmanager
async def started(name: str, folder: Path, address: Address):
    """Yield a running replica with its state machine, and close it."""
    links = PeerLinks.from_config(
        PeerOptions(name=name, listen=address, key=b'key'),
        Metrics(),
    )
    timer = TimerService()
    task = ConsensusTask.from_config(
        ConsensusOptions(
            name,
            address,
            FAST,
            snapshot_entries=20,
            outcome_timeout_s=10,
        ),
        DiskFileSystem.from_config(folder),
        links,
        timer,
        Metrics(),
        Random(name),
    )
    machine = Machine()
    task.subscribe(machine.apply, machine.take, machine.install)
    task.kept = machine
    await links.start()
    await task.start()
    async with AsyncExitStack() as stack:
        stack.callback(timer.close)
        stack.push_async_callback(links.close)
        stack.push_async_callback(task.close)
        yield task


async def until(condition) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(30):
        while True:
            if condition():
                return
            await asyncio.sleep(0.01)


async def commit(tasks, payload: bytes) -> None:
    """Commit a payload at whichever replica leads."""
    async with asyncio.timeout(30):
        while True:
            for task in tasks:
                if isinstance(await task.propose(payload), Ok):
                    return
            await asyncio.sleep(0.02)


async def test_cluster_elects_commits_snapshots_and_restarts(tmp_path):
    """Three replicas start, one after the other is restarted.

    Every payload whose commit was told is on each replica, in one order, and
    a replica whose entries were compacted meanwhile gets a snapshot.
    """
    addresses = {name: free_address() for name in 'abc'}
    async with AsyncExitStack() as stack:
        tasks = [
            await stack.enter_async_context(
                started(name, tmp_path / name, addresses[name]),
            )
            for name in 'abc'
        ]
        others = tuple(addresses.values())[1:]
        # The operator's program is stopped after the second replica; the
        # resend goes on, and a further one changes nothing.
        await bootstrap(tasks[0], others[:1])
        voters = await bootstrap(tasks[0], others)
        assert len(voters.ok_value.voters) == 3
        for task, named in ((tasks[0], others), (tasks[1], others[1:])):
            refused = await bootstrap(task, named)
            assert isinstance(refused, Err)
            assert isinstance(refused.err_value, AlreadyInitialised)
        large = await tasks[0].propose(bytes(FAST.entry_bytes + 1))
        assert isinstance(large.err_value, EntryTooLarge)
        assert isinstance((await tasks[1].propose(b'x')).err_value, NotLeader)
        await asyncio.gather(
            *(tasks[0].propose(b'p%d' % number) for number in range(10)),
        )
        assert (await tasks[0].read_barrier()).is_ok()
        await tasks[2].close()
        for number in range(10, 60):
            await commit(tasks[:2], b'p%d' % number)
        assert tasks[0].survives_one_loss() is False
    async with AsyncExitStack() as stack:
        tasks = [
            await stack.enter_async_context(
                started(name, tmp_path / name, addresses[name]),
            )
            for name in 'cba'
        ]
        assert not tasks[2].identity().unused
        await commit(tasks, b'last')
        await until(lambda: all(b'last' in x.kept.payloads for x in tasks))
        first = tasks[0].kept.payloads
        assert {b'p%d' % number for number in range(60)} < set(first)
        assert all(x.kept.payloads == first for x in tasks)
        await until(lambda: any(x.survives_one_loss() for x in tasks))
        ages = [x.leadership().quorum_age_s for x in tasks]
        assert max(ages) < 10


async def test_disk_that_fails_stops_the_replica(tmp_path, monkeypatch):
    """The disk fails while a replica of one voter runs.

    Its operator sees a typed failure; the replica leads no more, since it
    cannot know what the failed sync left behind. What was under way may have
    reached a follower's disk, so its outcome is unknown.
    """
    async with started('a', tmp_path / 'a', free_address()) as task:
        assert (await bootstrap(task, ())).is_ok()
        await commit([task], b'one')

        def full(descriptor, blob):
            raise OSError(28, 'No space left on device')

        monkeypatch.setattr('os.write', full)
        failed = await task.propose(b'two')
        monkeypatch.undo()
        assert isinstance(failed.err_value, CommitUnknown)
        assert isinstance(task.failure, StorageFull)
        assert task.leadership().is_leader is False
        assert isinstance((await task.propose(b'x')).err_value, StorageFailed)


async def test_close_waits_for_a_save_under_way(tmp_path, monkeypatch):
    """The program is stopped while a slow disk syncs.

    The thread that syncs must not find its files closed, or their numbers
    used for other files.
    """
    calls = []
    real = os.fsync

    def slow(descriptor):
        calls.append('begin')
        time.sleep(0.2)
        real(descriptor)
        calls.append('end')

    async with started('a', tmp_path / 'a', free_address()) as task:
        assert (await bootstrap(task, ())).is_ok()
        monkeypatch.setattr('os.fsync', slow)
        proposal = asyncio.create_task(task.propose(b'one'))
        await until(lambda: calls)
        await task.close()
        assert calls == ['begin', 'end']
        assert isinstance((await proposal).err_value, CommitUnknown)


async def test_busy_replica_still_notices_time(tmp_path):
    """Messages come faster than they are handled.

    A tick must still get through, or a leader would keep a lost quorum.
    """
    async with started('a', tmp_path / 'a', free_address()) as task:
        task.task.cancel()
        driver = task.driver
        await driver.inbox.put(ReadAsked(0))
        driver.put_tick()
        driver.put_tick()
        assert await driver.next_events() == [ReadAsked(0), Tick()]


async def test_follower_takes_snapshots_while_entries_keep_coming(tmp_path):
    """Each message brings new entries, as under steady load.

    The follower's log must not grow until the load ends.
    """
    async with started('a', tmp_path / 'a', free_address()) as task:
        task.task.cancel()
        leader = ReplicaId('z', '1')
        header = Header(1, leader, task.identity().replica)
        for end in range(10, 50, 10):
            entries = tuple(
                Entry(index, 1, EntryKind.payload, b'x')
                for index in range(end - 9, end + 1)
            )
            prev = (end - 10, 1 if end > 10 else 0)
            request = AppendRequest(header, *prev, entries, end, 0, 0, 0)
            await task.driver.take([Received(request)])
        state = task.replica.state
        assert state.applied_index - state.snapshot.index < 20


async def test_fault_of_the_state_machine_stops_the_replica(tmp_path):
    """A callback of the embedding program raises on a committed payload.

    The replica stops visibly; it must not look alive and never answer.
    """
    async with started('a', tmp_path / 'a', free_address()) as task:
        task.machine.apply = None
        assert (await bootstrap(task, ())).is_ok()
        async with asyncio.timeout(30):
            while not task.failed.is_set():
                await task.propose(b'one')
        assert isinstance(task.failure, TypeError)
        assert not task.leadership().is_leader
