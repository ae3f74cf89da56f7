"""Membership tasks that gossip, on virtual time and over real sockets."""

import asyncio
from contextlib import AsyncExitStack

import pytest
from result import Err, Ok

from godwitshunt.membership import MembershipTask, UpstreamAnnouncement
from godwitshunt.membership.tests.network import (
    FakeNetwork,
    entry_settings,
    make_revision,
    vm_record,
)
from godwitshunt.peer import MessageKind, PeerLinks, PeerOptions
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import TimerService
from standins.ports import free_address

VMS = (
    vm_record('a', 'split', 1),
    vm_record('b', 'split', 2),
    vm_record('c', 'split', 3),
    vm_record('z', 'zagreb', 4),
)


def announcement(sequence: int, **fields) -> UpstreamAnnouncement:
    """Return an announcement of a model engine."""
    return UpstreamAnnouncement(
        incarnation=fields.pop('incarnation', 1),
        sequence=sequence,
        service='chat',
        models=('review',),
        slots=4,
        address=Address(host='127.0.0.1', port=9000),
        **fields,
    )


class Region:
    """Tasks of the VMs above on one fake network."""

    def __init__(self) -> None:
        self.network = FakeNetwork()
        self.tasks: dict[str, MembershipTask] = {}

    async def start(self, name: str) -> MembershipTask:
        """Start a VM, or start it again with an empty memory."""
        vm = next(vm for vm in VMS if vm.name == name)
        earlier = self.tasks.pop(name, None)
        if earlier is not None:
            await earlier.close()
        links = self.network.join(name, vm.peer)
        task = MembershipTask.from_config(
            entry_settings(vm),
            links,
            self.network.timer,
            Metrics(),
        )
        await task.start()
        task.apply_revision(make_revision(VMS))
        self.tasks[name] = task
        return task

    def seen(self, name: str) -> list[str]:
        """Return the upstreams that a VM would use."""
        view = self.tasks[name].view(0)
        return [upstream.name for upstream in view.upstreams]

    async def announce(self, vm: str, seconds: int, first: int = 1) -> None:
        """Let an upstream announce to a VM each second."""
        for sequence in range(first, first + seconds):
            self.tasks[vm].announce('e1', announcement(sequence))
            await self.network.advance(1.0)


@pytest.fixture
async def region():
    """Yield the started region."""
    made = Region()
    for vm in VMS:
        await made.start(vm.name)
    await made.network.advance(1.5)
    yield made
    for task in made.tasks.values():
        await task.close()


async def test_announcements_reach_every_vm_and_summaries_the_others(region):
    """One VM hears an upstream; the region uses it, others see the sum."""
    await region.announce('a', 4)
    assert all(region.seen(name) == ['e1'] for name in 'abc')
    assert not region.seen('z')
    summary = region.tasks['z'].view(0).summaries[0]
    assert (summary.region, summary.model) == ('split', 'review')
    assert (summary.free_slots, summary.slots) == (4, 4)
    assert [name for name, _ in summary.vms] == ['a', 'b', 'c']
    assert summary.round_trip_s == pytest.approx(0.005, abs=0.004)
    region.tasks['b'].announce_draining()
    await region.announce('a', 5, first=5)
    summary = region.tasks['z'].view(0).summaries[0]
    assert [name for name, _ in summary.vms] == ['a', 'c']


@pytest.mark.parametrize('fault', ['none', 'lost', 'doubled', 'frozen'])
async def test_leaving_takes_effect_everywhere_within_three_seconds(
    region,
    fault,
):
    """An upstream leaves; the news to one VM is lost, doubled, or delayed.

    A VM that went on sending would have its callers wait for a machine that
    was switched off.
    """
    await region.announce('a', 3)
    region.network.copies = 2 if fault == 'doubled' else 1
    if fault == 'lost':
        region.network.partitioned.add(('a', 'c'))
    if fault == 'frozen':
        region.network.stalled.add(('a', 'c'))
    # Between two batches: the news must not wait for the next.
    await region.network.advance(0.03)
    region.tasks['a'].announce('e1', announcement(4, leaving=True))
    assert not region.seen('a')
    await region.network.advance(0.02)
    assert not region.seen('b')
    await region.network.advance(2.9)
    assert not region.seen('c')


async def test_late_gossip_revives_nothing(region):
    """Links keep messages for 5 s, as to a frozen VM, then deliver all.

    They tell of an upstream that has died since. The VM must not use it, not
    even for one lease.
    """
    region.network.stalled.update({('a', 'c'), ('b', 'c')})
    await region.announce('a', 2)
    await region.network.advance(5.0)
    region.network.release()
    for _ in range(60):
        await region.network.advance(0.005)
        assert not region.seen('c')


async def test_news_of_unknown_age_is_not_used(region):
    """A VM restarts, and a peer's first messages to it are held up.

    The peer has not heard from it yet, so they echo no reading of its clock
    and their age is unknown; it drops them and asks.
    """
    region.network.partitioned.update({('c', 'a'), ('c', 'b')})
    await region.start('c')
    region.network.stalled.add(('a', 'c'))
    region.tasks['a'].announce('e1', announcement(1))
    await region.network.advance(3.0)
    region.network.partitioned.clear()
    region.network.release()
    for _ in range(10):
        await region.network.advance(0.005)
        assert not region.seen('c')


async def test_a_restarted_vm_knows_the_upstreams_at_once(region):
    """A VM without a disk restarts; its callers come before announcements."""
    await region.announce('a', 1)
    await region.start('c')
    await region.network.advance(0.1)
    assert region.seen('c') == ['e1']


async def test_lost_details_are_fetched(region):
    """The one message with an upstream's address is lost to one VM.

    The loads that follow are of no use to it until it fetches the rest.
    """
    region.network.partitioned.add(('a', 'c'))
    region.tasks['a'].announce('e1', announcement(1))
    await region.network.advance(0.3)
    region.network.partitioned.clear()
    region.tasks['a'].announce('e1', announcement(2))
    await region.network.advance(0.3)
    assert region.seen('c') == ['e1']


async def test_announcing_to_two_vms_and_restarting_under_one_name(region):
    """An upstream tells two VMs, restarts, and an old message comes again."""
    region.tasks['a'].announce('e1', announcement(1, running=1))
    region.tasks['b'].announce('e1', announcement(2, running=2))
    await region.network.advance(0.3)
    for name in 'abc':
        assert region.tasks[name].view(0).upstreams[0].running == 2
    region.tasks['a'].announce('e1', announcement(1, incarnation=2))
    await region.network.advance(0.3)
    late = region.tasks['c'].announce('e1', announcement(3))
    assert isinstance(late, Err)
    assert (late.err_value.incarnation, late.err_value.sequence) == (2, 1)
    assert isinstance(region.tasks['b'].withdraw('e1', 1), Err)
    assert isinstance(region.tasks['b'].withdraw('e1', 2), Ok)
    await region.network.advance(0.1)
    assert not any(region.seen(name) for name in 'abc')


async def test_a_view_tells_of_isolation_and_is_kept_between_changes(region):
    """Control falls silent: the view says so, and upstreams stay in it."""
    await region.announce('a', 1)
    task = region.tasks['a']
    view = task.view(0)
    assert task.view(2.9) is view
    isolated = task.view(3.0)
    assert (view.isolated, isolated.isolated) == (False, True)
    assert isolated.upstreams


async def test_strangers_change_nothing(region):
    """A VM of another region, or a removed one, sends gossip by mistake."""
    await region.announce('a', 1)
    handlers = region.network.links[VMS[2].peer].handlers
    before = region.tasks['c'].table.records.copy()
    await handlers[MessageKind.upstream_gossip]('z', b'\x00')
    assert await handlers[MessageKind.upstream_fetch]('z', b'') is None
    assert region.tasks['c'].table.records == before


async def test_one_vm_of_a_region_asks_and_another_takes_over(region):
    """The VM that asks another region dies.

    The region would soon know nothing of the others' capacity, and send no
    request there; another of its VMs must ask in its place.
    """
    region.tasks['z'].announce('e1', announcement(1))

    def asking() -> set[str]:
        return {
            sender
            for sender, _, kind, _ in region.network.sent
            if kind == MessageKind.region_summary and sender != 'z'
        }

    await region.network.advance(6.0)
    region.network.sent.clear()
    await region.network.advance(10.0)
    asker = asking()
    assert len(asker) == 1
    await region.tasks[next(iter(asker))].close()
    await region.network.advance(6.0)
    region.network.sent.clear()
    await region.network.advance(10.0)
    assert len(asking() - asker) == 1


async def test_gossip_over_real_sockets():
    """Two VMs that listen on loopback share an upstream and its departure."""
    vms = tuple(
        vm_record(name, 'split', 1).__class__(
            **(vm_record(name, 'split', 1).__dict__ | {'peer': free_address()}),
        )
        for name in 'ab'
    )
    async with AsyncExitStack() as stack:
        tasks = []
        for vm in vms:
            metrics = Metrics()
            links = PeerLinks(PeerOptions(vm.name, vm.peer, b'key'), metrics)
            await links.start()
            stack.push_async_callback(links.close)
            timer = TimerService()
            stack.callback(timer.close)
            task = MembershipTask(entry_settings(vm), links, timer, metrics)
            await task.start()
            stack.push_async_callback(task.close)
            task.apply_revision(make_revision(vms))
            tasks.append(task)
        async with asyncio.timeout(20):
            sequence = 0
            while not tasks[1].view(0).upstreams:
                sequence += 1
                tasks[0].announce('e1', announcement(sequence))
                await asyncio.sleep(0.1)
            tasks[0].withdraw('e1', 1)
            await until_gone(tasks[1], 'e1')
        assert tasks[1].table.tombstones['e1'].incarnation == 1


async def until_gone(task: MembershipTask, name: str) -> None:
    """Wait until an upstream's departure has reached a VM."""
    while name not in task.table.tombstones:  # noqa: ASYNC110 (as a caller)
        await asyncio.sleep(0.02)
