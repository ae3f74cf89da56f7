"""Claims over tasks: on virtual time with faults, and over real sockets."""

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


async def run_at_once(call, *arguments):
    """Run a blocking call on the event loop."""
    return call(*arguments)


class Region:
    """Claims tasks of a region's VMs on a fake network."""

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
        self.number = 0
        self.random = random.Random(seed)

    async def start(self, name: str) -> ClaimsTask:
        """Start a VM, or start it again as after a kill."""
        vm = self.vms[name]
        data_folder = self.folder if name in self.journaled else None
        task = ClaimsTask.from_config(
            entry_settings(vm, data_folder=data_folder),
            self.network.join(name, vm.peer),
            self.network.timer,
            Metrics(),
        )
        if data_folder is not None:
            # Virtual time must not run on while a thread syncs.
            task.holder.journal.journal.run_blocking = run_at_once
        task.links.draw_number = lambda: self.random.getrandbits(62) + 1
        await task.start()
        self.tasks[name] = task
        if self.revision is not None:
            task.apply_revision(self.revision)
        return task

    async def start_all(self) -> 'Region':
        """Start every VM, and commit their holder set."""
        for name in self.vms:
            await self.start(name)
        self.commit()
        await self.network.advance(0.1)
        return self

    def commit(self) -> None:
        """Commit a holder set with the sessions that run now."""
        self.number += 1
        sessions = tuple(task.session for task in self.tasks.values())
        holders = () if self.revision is None else self.revision.holders
        newest = HolderSet('split', self.number, tuple(self.vms), sessions)
        self.revision = make_revision(
            tuple(self.vms.values()),
            (*holders, newest),
            self.number,
        )
        for task in self.tasks.values():
            task.apply_revision(self.revision)

    def kill(self, name: str) -> None:
        """End a VM at once: it sends and answers nothing more."""
        self.network.links.pop(self.vms[name].peer)
        task = self.tasks.pop(name)
        for part in (task.stamps, task.holder):
            for subscription in part.subscriptions:
                subscription.cancel()
        if task.holder.journal is not None:
            task.holder.journal.journal.failed = StorageError('', 'killed')

    async def restart(self, name: str, pause_s: float = 4.0) -> None:
        """Kill and start a VM, and give it time to recover."""
        self.kill(name)
        await self.start(name)
        await self.network.advance(pause_s)

    def key(self, own: str = 'caller-1') -> str:
        """Return a key under the present stamp."""
        return f'{self.tasks["a"].stamp()}.{own}'

    async def claim(self, name, key, digest=DIGEST, timeout_s=1.0):
        """Claim at one VM and return what came of it."""
        return (await self.claim_all([(name, key, digest)], timeout_s))[0]

    async def claim_all(self, claims, timeout_s=1.0):
        """Claim at several VMs at once."""
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

    async def do(self, work):
        """Run a coroutine while time passes."""
        job = asyncio.ensure_future(work)
        await self.network.advance(0.2)
        return job


@pytest.mark.parametrize('count', [1, 2, 3, 5])
async def test_one_run_and_its_answer_at_every_vm(count):
    """A caller resends after an answer that it did not get."""
    region = await Region(count).start_all()
    key = region.key()
    assert isinstance(await region.claim('a', key), Granted)
    last = NAMES[count - 1]
    waiting = await region.claim(last, key, timeout_s=0.3)
    assert waiting == InProgress('a')
    await region.do(region.tasks['a'].finish(key, ANSWER))
    assert await region.claim(last, key) == AlreadyAnswered(ANSWER)
    reused = await region.claim(last, key, b'e' * 32)
    assert isinstance(reused, KeyReused)


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('count', [2, 3, 4, 5])
async def test_parallel_sends_run_once_and_get_one_answer(count, seed):
    """A caller sends to several VMs at once, and the votes are split.

    One attempt runs; the others get its answer and do not wait for ever.
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
        await region.do(region.tasks[winner].finish(key, ANSWER))
        again = await region.claim_all(sends)
        assert set(map(type, again)) == {AlreadyAnswered}


@pytest.mark.parametrize(
    ('count', 'gone', 'expected'),
    [(3, 'c', Granted), (3, 'bc', NoMajority), (2, 'b', NoMajority)],
)
@pytest.mark.parametrize('how', ['killed', 'frozen', 'cut'])
async def test_a_majority_decides(count, gone, expected, how):
    """Some holders are gone, frozen, or cut off in one direction.

    Without a majority nothing runs, since the other side may run it.
    """
    region = await Region(count).start_all()
    key = region.key()
    for name in gone:
        if how == 'killed':
            region.kill(name)
        elif how == 'frozen':
            region.network.stalled.add(('a', name))
        else:
            region.network.partitioned.add((name, 'a'))
    assert isinstance(await region.claim('a', key), expected)


async def test_late_votes_of_a_given_up_attempt_block_nobody():
    """A claim reaches a frozen holder long after its VM gave up.

    The holder must not keep the key for an attempt that never runs.
    """
    region = await Region(2).start_all()
    key = region.key()
    region.network.stalled.add(('a', 'b'))
    assert isinstance(await region.claim('a', key), NoMajority)
    region.network.release()
    await region.network.advance(3.0)
    assert isinstance(await region.claim('b', key), Granted)


async def test_a_released_claim_may_run_elsewhere():
    """The connection to the upstream failed, which proves that nothing ran."""
    region = await Region(3).start_all()
    key = region.key()
    assert isinstance(await region.claim('a', key), Granted)
    await region.do(region.tasks['a'].release(key))
    assert isinstance(await region.claim('b', key), Granted)


async def test_a_waiting_resend_takes_over_a_released_claim():
    """A resend waits for an attempt whose connection then fails."""
    region = await Region(3).start_all()
    key = region.key()
    await region.claim('a', key)
    resend = asyncio.ensure_future(region.tasks['b'].claim(key, DIGEST, 2.0))
    await region.network.advance(0.2)
    await region.do(region.tasks['a'].release(key))
    await region.network.advance(0.5)
    assert isinstance(resend.result(), Granted)


@pytest.mark.parametrize(
    'ending',
    [StoredAnswer(200, (), b'x' * 70_000), 'the upstream broke the connection'],
)
async def test_what_is_not_kept_is_unknown(ending):
    """An answer is too large to keep, or broke before its end."""
    region = await Region(3).start_all()
    key = region.key()
    await region.claim('a', key)
    task = region.tasks['a']
    if isinstance(ending, str):
        await region.do(task.finish_unknown(key, ending))
    else:
        await region.do(task.finish(key, ending))
    assert isinstance(await region.claim('b', key), RunUnknown)


@pytest.mark.parametrize('count', [2, 3, 5])
async def test_a_holder_that_forgot_does_not_grant_again(count):
    """The VM that ran a call dies; then each holder restarts in turn.

    None has a disk. The first run is known to nobody in the end, and a
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


async def test_all_holders_restarted_abstain_until_a_new_set():
    """Every VM of a region loses power; none has a disk.

    No old key runs. Keys under a new set, which control commits, do.
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


async def test_journaled_holders_remember_over_a_restart_of_all(tmp_path):
    """Every VM of a region loses power; all have disks."""
    region = await Region(3, tmp_path, 'abc').start_all()
    key, second = region.key(), region.key('second-1')
    assert isinstance(await region.claim('a', key), Granted)
    await region.do(region.tasks['a'].finish(key, ANSWER))
    assert isinstance(await region.claim('a', second), Granted)
    for name in region.vms:
        region.kill(name)
    for name in region.vms:
        await region.start(name)
    await region.network.advance(0.5)
    assert await region.claim('b', key) == AlreadyAnswered(ANSWER)
    # The VM that ran it has restarted: nobody can say any more how it ended.
    assert isinstance(await region.claim('b', second), RunUnknown)
    assert isinstance(await region.claim('c', region.key('3rd-key-1')), Granted)


async def test_keys_live_one_to_two_epochs_and_memory_is_given_back():
    """A caller resends a key an hour later.

    Its claim is dropped by then; it must be refused, not run.
    """
    region = await Region(3).start_all()
    early = region.key()
    await region.network.advance(1.0)
    await region.claim('a', early)
    timer = region.network.timer
    for _ in range(2):
        timer.advance(EPOCH_S / 2)
        await region.network.advance(3.0)
        outcome = await region.claim('b', early, timeout_s=0.2)
        assert outcome == InProgress('a')
    timer.advance(EPOCH_S)
    await region.network.advance(3.0)
    assert isinstance(await region.claim('b', early), KeyExpired)
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
async def test_keys_that_no_directory_gave_run_nothing(key, expected):
    """A caller makes up a key, or one of an epoch that has not begun.

    A made-up epoch must not move the holders' epoch either, which would end
    the life of everyone else's keys.
    """
    region = await Region(3).start_all()
    outcome = await region.claim('a', key, timeout_s=0.2)
    assert isinstance(outcome, expected)
    assert region.key() == 'split.1.0.caller-1'


async def test_claims_over_real_sockets():
    """Three VMs on loopback: a claim, a parallel one, and the kept answer."""
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
        sessions = tuple(known.session for known in tasks)
        holders = HolderSet('split', 1, ('a', 'b', 'c'), sessions)
        for task in tasks:
            task.apply_revision(make_revision(tuple(vms), (holders,)))
        async with asyncio.timeout(20):
            while tasks[0].stamp() is None:  # noqa: ASYNC110 (as a caller)
                await asyncio.sleep(0.02)
            key = f'{tasks[0].stamp()}.caller-1'
            outcomes = await asyncio.gather(
                *(asker.claim(key, DIGEST, 0.5) for asker in tasks),
            )
            kinds = [type(outcome) for outcome in outcomes]
            assert kinds.count(Granted) == 1
            await tasks[kinds.index(Granted)].finish(key, ANSWER)
            again = await tasks[2].claim(key, DIGEST, 5)
            assert again == AlreadyAnswered(ANSWER)


async def test_new_holder_set_leaves_callers_no_moment_without_a_stamp():
    """A holder restarts and control commits a new set with its session.

    Until a majority of the new set has been heard, the directory goes on
    giving the stamp before; without one, callers could file nothing.
    """
    region = await Region(3).start_all()
    await region.network.advance(3)
    before = region.tasks['a'].stamp()
    region.commit()
    at_once = region.tasks['a'].stamp()
    await region.network.advance(3)
    assert at_once == before
    assert region.tasks['a'].stamp() > before


@pytest.mark.parametrize('restarts', [False, True])
async def test_resend_is_answered_at_once_where_the_vm_that_ran_it_is_gone(
    restarts,
):
    """A VM is killed between the run of a call and the news of its end.

    Resends at other VMs waited until their deadline for an answer that could
    never come; now they are told at once that the outcome is unknown.
    """
    region = await Region(3).start_all()
    key = region.key()
    assert isinstance(await region.claim('a', key), Granted)
    region.kill('a')
    if restarts:
        await region.start('a')
        await region.network.advance(0.5)
    before_s = region.network.timer.now()
    outcome = await region.claim('b', key, timeout_s=20.0)
    if restarts:
        assert isinstance(outcome, RunUnknown)
    else:
        assert outcome == InProgress('a', unresponsive=True)
    assert region.network.timer.now() - before_s < 3


async def test_resend_waits_for_a_vm_that_still_runs_the_call():
    """A caller resends while its call takes long at another VM."""
    region = await Region(3).start_all()
    key = region.key()
    assert isinstance(await region.claim('a', key), Granted)
    resend = asyncio.ensure_future(region.tasks['b'].claim(key, DIGEST, 20.0))
    await region.network.advance(5.0)
    assert not resend.done()
    await region.do(region.tasks['a'].finish(key, ANSWER))
    await region.network.advance(1.0)
    assert resend.result() == AlreadyAnswered(ANSWER)
