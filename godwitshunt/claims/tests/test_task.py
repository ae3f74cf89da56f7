"""Claims between tasks: with faults in virtual time, and over sockets."""

import asyncio
import random
from contextlib import AsyncExitStack
from dataclasses import replace

import pytest

from godwitshunt.claims import (
    AlreadyAnswered,
    ClaimsTask,
    Granted,
    InProgress,
    KeyExpired,
    KeyMalformed,
    KeyReused,
    NoMajority,
    RunUnknown,
    StoredAnswer,
)
from godwitshunt.claims.holder import EPOCH_S
from godwitshunt.configuration.revision import HolderSet
from godwitshunt.exceptions import StorageError
from godwitshunt.membership.tests.network import (
    FakeNetwork,
    entry_settings,
    make_revision,
    vm_record,
)
from godwitshunt.peer import PeerLinks, PeerOptions
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import TimerService
from standins.ports import free_address

NAMES = 'abcde'
ANSWER = StoredAnswer(
    201, ((b'content-type', b'text/plain'),), b'certificate 7'
)
DIGEST = b'd' * 32


async def run_inline(call, *arguments):
    """Run a blocking call directly on the event loop."""
    return call(*arguments)


class Region:
    """The claims tasks of a region's VMs on a fake network."""

    def __init__(self, count: int, folder=None, journaled='', seed=1) -> None:
        self.network = FakeNetwork()
        self.vms = {
            name: vm_record(name, 'split', number)
            for number, name in enumerate(NAMES[:count])
        }
        self.folder = folder
        self.journaled = journaled
        self.tasks: dict[str, ClaimsTask] = {}
        self.revision = None
        self.generation = 0
        self.random = random.Random(seed)

    async def start(self, name: str) -> ClaimsTask:
        """Start a VM, for the first time or after a kill."""
        vm = self.vms[name]
        data_folder = self.folder if name in self.journaled else None
        task = ClaimsTask.from_config(
            entry_settings(vm, data_folder=data_folder),
            self.network.join(name, vm.peer),
            self.network.timer,
            Metrics(),
        )
        if data_folder is not None:
            # Virtual time must not advance while a thread syncs.
            task.holder.journal.journal.run_blocking = run_inline
        task.holder_client.draw_number = lambda: self.random.getrandbits(62) + 1
        await task.start()
        self.tasks[name] = task
        if self.revision is not None:
            task.apply_revision(self.revision)
        return task

    async def start_all(self) -> 'Region':
        """Start every VM and commit their holder set."""
        for name in self.vms:
            await self.start(name)
        self.commit()
        await self.network.advance(0.1)
        return self

    def commit(self) -> None:
        """Commit a holder set with the current sessions."""
        self.generation += 1
        sessions = tuple(task.session for task in self.tasks.values())
        holders = () if self.revision is None else self.revision.holders
        newest = HolderSet('split', self.generation, tuple(self.vms), sessions)
        self.revision = make_revision(
            tuple(self.vms.values()),
            (*holders, newest),
            self.generation,
        )
        for task in self.tasks.values():
            task.apply_revision(self.revision)

    def kill(self, name: str) -> None:
        """Stop a VM abruptly: it sends and answers nothing more."""
        self.network.links.pop(self.vms[name].peer)
        task = self.tasks.pop(name)
        for part in (task.stamp_source, task.holder):
            for subscription in part.subscriptions:
                subscription.cancel()
        if task.holder.journal is not None:
            task.holder.journal.journal.failure = StorageError('', 'killed')

    async def restart(self, name: str, pause_s: float = 4.0) -> None:
        """Kill and start a VM, then give it time to recover."""
        self.kill(name)
        await self.start(name)
        await self.network.advance(pause_s)

    def key(self, own_part: str = 'caller-1') -> str:
        """Return a key with the current key stamp."""
        return f'{self.tasks["a"].stamp()}.{own_part}'

    async def claim(self, name, key, digest=DIGEST, timeout_s=1.0):
        """Claim a key at one VM and return the outcome."""
        return (await self.claim_all([(name, key, digest)], timeout_s))[0]

    async def claim_all(self, claims, timeout_s=1.0):
        """Claim keys at several VMs concurrently."""
        jobs = [
            asyncio.ensure_future(
                self.tasks[name].claim(key, digest, timeout_s),
            )
            for name, key, digest in claims
        ]
        end_s = self.network.timer.now() + timeout_s + 3
        while self.network.timer.now() < end_s:
            await self.network.advance(0.005)
            if all(job.done() for job in jobs):
                break
        return [job.result() for job in jobs]

    async def run(self, coroutine):
        """Run a coroutine while virtual time advances."""
        job = asyncio.ensure_future(coroutine)
        await self.network.advance(0.2)
        return job


@pytest.mark.parametrize('count', [1, 2, 3, 5])
async def test_stored_answer_is_returned_at_every_vm(count):
    """A caller resends because it did not receive the answer."""
    region = await Region(count).start_all()
    key = region.key()
    assert isinstance(await region.claim('a', key), Granted)
    last = NAMES[count - 1]
    waiting = await region.claim(last, key, timeout_s=0.3)
    assert waiting == InProgress('a')
    await region.run(region.tasks['a'].finish(key, ANSWER))
    assert await region.claim(last, key) == AlreadyAnswered(ANSWER)
    reused = await region.claim(last, key, b'e' * 32)
    assert isinstance(reused, KeyReused)


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('count', [2, 3, 4, 5])
async def test_concurrent_sends_run_once_and_get_the_same_answer(count, seed):
    """A caller sends to several VMs at once, and the votes are split.

    One attempt runs; the others get its answer instead of waiting forever.
    """
    region = await Region(count, seed=seed).start_all()
    for number in range(10):
        key = region.key(f'parallel-{number}')
        sends = [(name, key, DIGEST) for name in region.vms]
        outcomes = await region.claim_all(sends, timeout_s=0.5)
        kinds = [type(outcome) for outcome in outcomes]
        assert kinds.count(Granted) == 1
        assert kinds.count(InProgress) == count - 1
        winner = list(region.vms)[kinds.index(Granted)]
        await region.run(region.tasks[winner].finish(key, ANSWER))
        again = await region.claim_all(sends)
        assert set(map(type, again)) == {AlreadyAnswered}


@pytest.mark.parametrize(
    ('count', 'failed', 'expected'),
    [(3, 'c', Granted), (3, 'bc', NoMajority), (2, 'b', NoMajority)],
)
@pytest.mark.parametrize('fault', ['killed', 'frozen', 'cut'])
async def test_majority_decides(count, failed, expected, fault):
    """Some holders are killed, frozen, or cut off in one direction.

    Without a majority nothing runs, since the other side may run the call.
    """
    region = await Region(count).start_all()
    key = region.key()
    for name in failed:
        if fault == 'killed':
            region.kill(name)
        elif fault == 'frozen':
            region.network.stalled.add(('a', name))
        else:
            region.network.partitioned.add((name, 'a'))
    assert isinstance(await region.claim('a', key), expected)


async def test_late_votes_for_a_withdrawn_attempt_do_not_block_its_key():
    """A claim reaches a frozen holder long after its VM gave up.

    The holder must not reserve the key for an attempt that never runs.
    """
    region = await Region(2).start_all()
    key = region.key()
    region.network.stalled.add(('a', 'b'))
    assert isinstance(await region.claim('a', key), NoMajority)
    region.network.release()
    await region.network.advance(3.0)
    assert isinstance(await region.claim('b', key), Granted)


async def test_released_claim_may_run_elsewhere():
    """The connection to the upstream failed, which proves that nothing ran."""
    region = await Region(3).start_all()
    key = region.key()
    assert isinstance(await region.claim('a', key), Granted)
    await region.run(region.tasks['a'].release(key))
    assert isinstance(await region.claim('b', key), Granted)


async def test_waiting_resend_is_granted_a_released_claim():
    """A resend waits for an attempt whose connection then fails."""
    region = await Region(3).start_all()
    key = region.key()
    await region.claim('a', key)
    resend = asyncio.ensure_future(region.tasks['b'].claim(key, DIGEST, 2.0))
    await region.network.advance(0.2)
    await region.run(region.tasks['a'].release(key))
    await region.network.advance(0.5)
    assert isinstance(resend.result(), Granted)


@pytest.mark.parametrize(
    'run_result',
    [StoredAnswer(200, (), b'x' * 70_000), 'the upstream broke the connection'],
)
async def test_run_without_stored_answer_is_unknown(run_result):
    """An answer is too large to store, or its connection broke."""
    region = await Region(3).start_all()
    key = region.key()
    await region.claim('a', key)
    task = region.tasks['a']
    if isinstance(run_result, str):
        await region.run(task.finish_unknown(key, run_result))
    else:
        await region.run(task.finish(key, run_result))
    assert isinstance(await region.claim('b', key), RunUnknown)


@pytest.mark.parametrize('count', [2, 3, 5])
async def test_holder_that_lost_its_votes_does_not_grant_again(count):
    """Every holder restarts in turn after a call was granted.

    None has a disk, so that in the end no holder knows of the first run. A
    resend must still not run.
    """
    region = await Region(count).start_all()
    key = region.key()
    assert isinstance(await region.claim('a', key), Granted)
    for name in region.vms:
        await region.restart(name)
        assert not region.tasks[name].is_recovering()
    for name in region.vms:
        outcome = await region.claim(name, key)
        assert isinstance(outcome, KeyExpired | InProgress | NoMajority)
    assert isinstance(
        await region.claim('a', region.key('next-call-1')), Granted
    )


async def test_holders_abstain_after_a_full_restart_until_a_new_set():
    """Every VM of a region loses power, and none has a disk.

    Calls under old keys do not run. Calls under keys of the new holder set
    that control commits do.
    """
    region = await Region(3).start_all()
    key = region.key()
    assert isinstance(await region.claim('a', key), Granted)
    for name in region.vms:
        region.kill(name)
    for name in region.vms:
        await region.start(name)
    await region.network.advance(5.0)
    assert all(task.is_recovering() for task in region.tasks.values())
    assert region.tasks['a'].stamp() is None
    assert isinstance(await region.claim('b', key), NoMajority)
    region.commit()
    await region.network.advance(0.1)
    assert isinstance(await region.claim('b', key), NoMajority)
    assert isinstance(await region.claim('b', region.key()), Granted)


async def test_journaled_holders_keep_claims_over_a_full_restart(tmp_path):
    """Every VM of a region loses power, and all have disks."""
    region = await Region(3, tmp_path, 'abc').start_all()
    key, second = region.key(), region.key('second-1')
    assert isinstance(await region.claim('a', key), Granted)
    await region.run(region.tasks['a'].finish(key, ANSWER))
    assert isinstance(await region.claim('a', second), Granted)
    for name in region.vms:
        region.kill(name)
    for name in region.vms:
        await region.start(name)
    await region.network.advance(0.5)
    assert await region.claim('b', key) == AlreadyAnswered(ANSWER)
    # The VM that ran the call has restarted, so its outcome is unknown.
    assert isinstance(await region.claim('b', second), RunUnknown)
    assert isinstance(await region.claim('c', region.key('3rd-key-1')), Granted)


async def test_keys_last_one_to_two_epochs_and_their_memory_is_freed():
    """A caller resends a key an hour later, when its claim has been dropped.

    The resend must be refused and not run.
    """
    region = await Region(3).start_all()
    old_key = region.key()
    await region.network.advance(1.0)
    await region.claim('a', old_key)
    timer = region.network.timer
    for _ in range(2):
        timer.advance(EPOCH_S / 2)
        await region.network.advance(3.0)
        outcome = await region.claim('b', old_key, timeout_s=0.2)
        assert outcome == InProgress('a')
    timer.advance(EPOCH_S)
    await region.network.advance(3.0)
    assert isinstance(await region.claim('b', old_key), KeyExpired)
    assert all(
        holder.store.count == 0
        for task in region.tasks.values()
        for holder in task.holder.table.holders.values()
    )
    assert isinstance(await region.claim('b', region.key()), Granted)


@pytest.mark.parametrize(
    ('key', 'expected'),
    [
        ('', KeyMalformed),
        ('split.1.0.short', KeyMalformed),
        ('split.01.0.caller-1', KeyMalformed),
        ('split.1.-1.caller-1', KeyMalformed),
        ('split.1.0.caller 1', KeyMalformed),
        (f'split.1.0.{"x" * 129}', KeyMalformed),
        ('rijeka.1.0.caller-1', NoMajority),
        ('split.0.0.caller-1', KeyExpired),
        ('split.9.0.caller-1', NoMajority),
        ('split.1.7.caller-1', NoMajority),
    ],
)
async def test_forged_keys_are_not_granted(key, expected):
    """A caller forges a key or uses an epoch that has not begun.

    A forged epoch must not advance the holders' epoch either, which would
    expire the keys of all other callers.
    """
    region = await Region(3).start_all()
    outcome = await region.claim('a', key, timeout_s=0.2)
    assert isinstance(outcome, expected)
    assert region.key() == 'split.1.0.caller-1'


async def test_claims_over_real_sockets():
    """Three VMs on loopback: concurrent claims, then the stored answer."""
    async with AsyncExitStack() as stack:
        vms, tasks = [], []
        for number, name in enumerate('abc'):
            record = vm_record(name, 'split', number)
            vm = replace(record, peer=free_address())
            metrics, timer = Metrics(), TimerService()
            links = PeerLinks(PeerOptions(name, vm.peer, b'key'), metrics)
            await links.start()
            stack.push_async_callback(links.close)
            stack.callback(timer.close)
            task = ClaimsTask(entry_settings(vm), links, timer, metrics)
            await task.start()
            stack.push_async_callback(task.close)
            vms.append(vm)
            tasks.append(task)
        sessions = tuple(started.session for started in tasks)
        holders = HolderSet('split', 1, ('a', 'b', 'c'), sessions)
        for task in tasks:
            task.apply_revision(make_revision(tuple(vms), (holders,)))
        async with asyncio.timeout(20):
            while tasks[0].stamp() is None:  # noqa: ASYNC110 (as a caller)
                await asyncio.sleep(0.02)
            key = f'{tasks[0].stamp()}.caller-1'
            outcomes = await asyncio.gather(
                *(claimant.claim(key, DIGEST, 0.5) for claimant in tasks),
            )
            kinds = [type(outcome) for outcome in outcomes]
            assert kinds.count(Granted) == 1
            await tasks[kinds.index(Granted)].finish(key, ANSWER)
            again = await tasks[2].claim(key, DIGEST, 5)
            assert again == AlreadyAnswered(ANSWER)


async def test_key_stamp_is_available_throughout_a_holder_set_change():
    """A holder restarts and control commits a new set with its session.

    Until a majority of the new set has replied, the directory continues to
    issue the previous stamp. Without a stamp callers could not send keyed
    calls.
    """
    region = await Region(3).start_all()
    await region.network.advance(3)
    previous = region.tasks['a'].stamp()
    region.commit()
    immediate = region.tasks['a'].stamp()
    await region.network.advance(3)
    assert immediate == previous
    assert region.tasks['a'].stamp() > previous


@pytest.mark.parametrize('restarts', [False, True])
async def test_resend_does_not_wait_for_a_vm_that_was_killed(restarts):
    """A VM is killed after it ran a call and before it reported the result.

    Resends at other VMs used to wait until their deadline for an answer that
    could never arrive. They must get an unknown outcome immediately.
    """
    region = await Region(3).start_all()
    key = region.key()
    assert isinstance(await region.claim('a', key), Granted)
    region.kill('a')
    if restarts:
        await region.start('a')
        await region.network.advance(0.5)
    started_s = region.network.timer.now()
    outcome = await region.claim('b', key, timeout_s=20.0)
    if restarts:
        assert isinstance(outcome, RunUnknown)
    else:
        assert outcome == InProgress('a', unresponsive=True)
    assert region.network.timer.now() - started_s < 3


async def test_resend_waits_for_a_vm_that_still_runs_the_call():
    """A caller resends while its call is still running at another VM."""
    region = await Region(3).start_all()
    key = region.key()
    assert isinstance(await region.claim('a', key), Granted)
    resend = asyncio.ensure_future(region.tasks['b'].claim(key, DIGEST, 20.0))
    await region.network.advance(5.0)
    assert not resend.done()
    await region.run(region.tasks['a'].finish(key, ANSWER))
    await region.network.advance(1.0)
    assert resend.result() == AlreadyAnswered(ANSWER)
