"""Gossip between membership tasks, on virtual time and real sockets."""

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
    """Membership tasks of the VMs in `VMS` on one fake network."""

    def __init__(self) -> None:
        self.network = FakeNetwork()
        self.tasks: dict[str, MembershipTask] = {}

    async def start(self, name: str) -> MembershipTask:
        """Start a VM, or restart it without its state."""
        vm = next(vm for vm in VMS if vm.name == name)
        previous = self.tasks.pop(name, None)
        if previous is not None:
            await previous.close()
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

    def upstream_names(self, name: str) -> list[str]:
        """Return the names of the upstreams that a VM would use."""
        view = self.tasks[name].view(0)
        return [upstream.name for upstream in view.upstreams]

    async def announce(self, vm: str, seconds: int, first: int = 1) -> None:
        """Announce an upstream to a VM once a second."""
        for sequence in range(first, first + seconds):
            self.tasks[vm].announce('e1', announcement(sequence))
            await self.network.advance(1.0)


@pytest.fixture
async def region():
    """Yield a region whose VMs are started."""
    started = Region()
    for vm in VMS:
        await started.start(vm.name)
    await started.network.advance(1.5)
    yield started
    for task in started.tasks.values():
        await task.close()


async def test_announcements_reach_all_vms_and_summaries_other_regions(region):
    """An upstream announces itself to one VM.

    All VMs of its region must use it; other regions only get a summary.
    """
    await region.announce('a', 4)
    assert all(region.upstream_names(name) == ['e1'] for name in 'abc')
    assert not region.upstream_names('z')
    summary = region.tasks['z'].view(0).summaries[0]
    assert (summary.region, summary.model) == ('split', 'review')
    assert (summary.free_slots, summary.slots) == (4, 4)
    assert [name for name, _ in summary.vms] == ['a', 'b', 'c']
    assert summary.round_trip_s == pytest.approx(0.005, abs=0.004)
    region.tasks['b'].announce_draining()
    await region.announce('a', 5, first=5)
    summary = region.tasks['z'].view(0).summaries[0]
    assert [name for name, _ in summary.vms] == ['a', 'c']


@pytest.mark.parametrize('fault', ['none', 'lost', 'duplicated', 'stalled'])
async def test_leaving_takes_effect_everywhere_within_three_seconds(
    region,
    fault,
):
    """The departure of an upstream is lost, duplicated or delayed for one VM.

    If that VM kept sending requests, its callers would wait for a machine that
    is switched off.
    """
    await region.announce('a', 3)
    region.network.copies = 2 if fault == 'duplicated' else 1
    if fault == 'lost':
        region.network.partitioned.add(('a', 'c'))
    if fault == 'stalled':
        region.network.stalled.add(('a', 'c'))
    # Between two batches: the departure must not wait for the next one.
    await region.network.advance(0.03)
    region.tasks['a'].announce('e1', announcement(4, leaving=True))
    assert not region.upstream_names('a')
    await region.network.advance(0.02)
    assert not region.upstream_names('b')
    await region.network.advance(2.9)
    assert not region.upstream_names('c')


async def test_delayed_gossip_does_not_revive_upstreams(region):
    """Links to a suspended VM deliver their messages 5 s late.

    The messages announce an upstream that has failed since. The VM must not
    use it, not even for one lease.
    """
    region.network.stalled.update({('a', 'c'), ('b', 'c')})
    await region.announce('a', 2)
    await region.network.advance(5.0)
    region.network.release()
    for _ in range(60):
        await region.network.advance(0.005)
        assert not region.upstream_names('c')


async def test_gossip_of_unknown_age_is_not_applied(region):
    """A VM restarts, and a peer's first messages to it are delayed.

    The peer has received nothing from the restarted VM yet, so its messages
    echo no clock reading and their age is unknown. The VM must not apply them.
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
        assert not region.upstream_names('c')


async def test_a_restarted_vm_fetches_the_upstreams_immediately(region):
    """A VM without a disk restarts and gets requests immediately."""
    await region.announce('a', 1)
    await region.start('c')
    await region.network.advance(0.1)
    assert region.upstream_names('c') == ['e1']


async def test_lost_details_are_fetched(region):
    """The only message with an upstream's details is lost for one VM.

    That VM cannot use the loads that follow until it fetches the details.
    """
    region.network.partitioned.add(('a', 'c'))
    region.tasks['a'].announce('e1', announcement(1))
    await region.network.advance(0.3)
    region.network.partitioned.clear()
    region.tasks['a'].announce('e1', announcement(2))
    await region.network.advance(0.3)
    assert region.upstream_names('c') == ['e1']


async def test_announcing_to_two_vms_and_restarting_with_the_same_name(region):
    """An upstream switches VMs and restarts; an old message is delayed."""
    region.tasks['a'].announce('e1', announcement(1, running=1))
    region.tasks['b'].announce('e1', announcement(2, running=2))
    await region.network.advance(0.3)
    for name in 'abc':
        assert region.tasks[name].view(0).upstreams[0].running == 2
    region.tasks['a'].announce('e1', announcement(1, incarnation=2))
    await region.network.advance(0.3)
    delayed = region.tasks['c'].announce('e1', announcement(3))
    assert isinstance(delayed, Err)
    assert (delayed.err_value.incarnation, delayed.err_value.sequence) == (2, 1)
    assert isinstance(region.tasks['b'].withdraw('e1', 1), Err)
    assert isinstance(region.tasks['b'].withdraw('e1', 2), Ok)
    await region.network.advance(0.1)
    assert not any(region.upstream_names(name) for name in 'abc')


async def test_a_view_reports_isolation_and_is_cached_between_changes(region):
    """Contact with control is lost; the view still contains upstreams."""
    await region.announce('a', 1)
    task = region.tasks['a']
    view = task.view(0)
    assert task.view(2.9) is view
    isolated = task.view(3.0)
    assert (view.isolated, isolated.isolated) == (False, True)
    assert isolated.upstreams


async def test_gossip_of_other_regions_is_ignored(region):
    """A VM of another region or a removed VM sends gossip."""
    await region.announce('a', 1)
    handlers = region.network.links[VMS[2].peer].handlers
    before = region.tasks['c'].table.records.copy()
    await handlers[MessageKind.upstream_gossip]('z', b'\x00')
    assert await handlers[MessageKind.upstream_fetch]('z', b'') is None
    assert region.tasks['c'].table.records == before


async def test_one_vm_polls_a_region_and_another_takes_over(region):
    """The VM that polls another region fails.

    Another VM of its region must poll instead. Otherwise the region would lose
    the summaries of the other region and stop forwarding requests to it.
    """
    region.tasks['z'].announce('e1', announcement(1))

    def polling_vms() -> set[str]:
        return {
            sender
            for sender, _, kind, _ in region.network.sent
            if kind == MessageKind.region_summary and sender != 'z'
        }

    await region.network.advance(6.0)
    region.network.sent.clear()
    await region.network.advance(10.0)
    pollers = polling_vms()
    assert len(pollers) == 1
    await region.tasks[next(iter(pollers))].close()
    await region.network.advance(6.0)
    region.network.sent.clear()
    await region.network.advance(10.0)
    assert len(polling_vms() - pollers) == 1


async def test_gossip_over_real_sockets():
    """Two VMs on loopback share an upstream and its departure."""
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
            await until_departed(tasks[1], 'e1')
        assert tasks[1].table.tombstones['e1'].incarnation == 1


async def until_departed(task: MembershipTask, name: str) -> None:
    """Wait until a VM has recorded an upstream's departure."""
    while name not in task.table.tombstones:  # noqa: ASYNC110 (no event)
        await asyncio.sleep(0.02)
