"""Orders under failure: leases, fencing, lost answers, the weight store."""

import asyncio
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from godwitshunt.configuration import ConfigurationService
from godwitshunt.configuration.commands import IssueOrder, OrderEnding
from godwitshunt.configuration.http_calls import (
    AnswerLost,
    HttpAnswer,
    NotPermitted,
)
from godwitshunt.configuration.tests.fakes import Network, vm
from godwitshunt.consensus import (
    Committed,
    CommitUnknown,
    Leadership,
    NoQuorum,
    NotLeader,
)
from godwitshunt.membership.views import UpstreamView
from godwitshunt.placement.bucket import BucketOptions, WeightBucket
from godwitshunt.placement.reports import encode_report
from godwitshunt.placement.task import (
    BurstExceeded,
    PlacementOptions,
    PlacementTask,
    UpstreamUnknown,
    WeightStoreBusy,
)
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import VirtualTimerService

OLD_LEASE_S = 1
WAIT_S = 6.2  # the old lease, the longest transit, and two ticks
BUCKET = BucketOptions(units_per_s=1, burst=4)


@dataclass
class Engine:
    """An upstream that checks fencing numbers, or does not."""

    checks: bool
    highest: int = 0
    obeyed: list[int] = field(default_factory=list)
    gate: asyncio.Event = field(default_factory=asyncio.Event)
    lose_answers: int = 0

    async def take(self, address, call, permit):
        """Connect, wait while the sender is frozen, then take the order."""
        await self.gate.wait()
        if not permit():
            return Err(NotPermitted(str(address)))
        number = int(dict(call.headers)['godwitshunt-fencing'])
        if self.checks and number < self.highest:
            return Ok(HttpAnswer(412, b''))
        self.highest = number
        self.obeyed.append(number)
        if self.lose_answers:
            self.lose_answers -= 1
            return Err(AnswerLost(str(address), 'reset'))
        return Ok(HttpAnswer(200, b''))


@dataclass
class SharedLog:
    """One log with a leader that the test names."""

    leader: str = 'c1'
    term: int = 1
    has_quorum: bool = True
    followers: list = field(default_factory=list)


@dataclass
class View:
    """What one replica sees of the shared log."""

    shared: SharedLog
    name: str

    async def propose(self, payload):
        """Commit where this replica leads a quorum."""
        if self.shared.leader != self.name:
            return Err(NotLeader(self.shared.leader))
        if not self.shared.has_quorum:
            return Err(CommitUnknown('no commit in time'))
        for apply in self.shared.followers:
            apply(1, self.shared.term, payload)
        return Ok(Committed(1))

    def leadership(self) -> Leadership:
        """Tell the lease of a leader with a quorum."""
        leads = self.shared.leader == self.name
        lease_s = 0.8 if leads and self.shared.has_quorum else 0
        return Leadership(
            self.shared.leader,
            self.shared.term,
            leads,
            lease_s,
            0 if self.shared.has_quorum else 9,
        )

    def subscribe(self, apply, take, install) -> None:
        """Follow the log."""
        self.shared.followers.append(apply)


class Replicas:
    """Two control replicas and one upstream, on virtual time."""

    def __init__(self, *, checks: bool) -> None:
        self.timer = VirtualTimerService()
        self.log = SharedLog()
        self.engine = Engine(checks)
        self.engine.gate.set()
        self.tasks = {
            name: self.make_task(name, port)
            for name, port in (('c1', 100), ('c2', 200))
        }

    def make_task(self, name: str, port: int) -> PlacementTask:
        """Start one replica's placement."""
        record = vm(name, 'zagreb', port, 'control')
        links = Network().links(record.peer)
        service = ConfigurationService(
            record,
            (),
            View(self.log, name),
            links,
            self.timer,
            Metrics(),
        )
        service.machine.start()
        task = PlacementTask(
            PlacementOptions(OLD_LEASE_S, BUCKET),
            service,
            links,
            self.timer,
            Metrics(),
            self.engine.take,
        )
        task.start()
        return task

    async def report(self) -> None:
        """Tell both replicas of the upstream."""
        address = Address(host='127.0.0.1', port=9)
        view = UpstreamView(
            'engine',
            'zagreb',
            'chat',
            address,
            1,
            honours_fencing=self.engine.checks,
        )
        for task in self.tasks.values():
            await task.handle_report('entry', encode_report([view]))

    async def run(self, duration_s: float) -> None:
        """Let virtual time pass."""
        for _ in range(round(duration_s * 10)):
            self.timer.advance(0.1)
            for _ in range(10):
                await asyncio.sleep(0)

    async def issue(self, name: str, at: str = 'c1', units: int = 0):
        """Ask a replica for an order."""
        order = IssueOrder(name, 'engine', 'load-model', 'review', units)
        return await self.tasks[at].issue(order)

    def elect(self, name: str) -> None:
        """Make another replica the leader of a higher term."""
        self.log.leader = name
        self.log.term += 1

    def endings(self) -> list[OrderEnding]:
        """Return what became of each order."""
        state = self.tasks['c2'].service.state
        return [order.ending for order in state.orders.values()]


@pytest.mark.parametrize('checks', [True, False])
async def test_order_waits_only_where_numbers_are_ignored(checks):
    """A replica has just become leader; the last one's order may be under way.

    An upstream that ignores numbers would obey that late order after ours.
    """
    replicas = Replicas(checks=checks)
    await replicas.report()
    await replicas.run(0.2)
    issued = await replicas.issue('o1')
    assert issued.ok_value.fencing == 1
    await replicas.run(1)
    assert bool(replicas.engine.obeyed) == checks
    await replicas.run(WAIT_S)
    assert replicas.engine.obeyed == [1]
    assert replicas.endings() == [OrderEnding.done]


@pytest.mark.parametrize('checks', [True, False])
async def test_frozen_leader_wakes_with_an_order_under_way(checks):
    """The leader is frozen after it connected, and wakes past its lease.

    Meanwhile another leader finished that order and sent a newer one. If the
    woken leader sent the old one, the upstream would go back to it.
    """
    replicas = Replicas(checks=checks)
    await replicas.report()
    await replicas.run(WAIT_S)
    frozen_at = replicas.engine.gate
    frozen_at.clear()
    await replicas.issue('o1')
    await replicas.run(0.2)
    replicas.elect('c2')
    replicas.engine.gate = asyncio.Event()
    replicas.engine.gate.set()
    await replicas.issue('o2', at='c2')
    await replicas.run(2 * WAIT_S)
    frozen_at.set()
    await replicas.run(1)
    assert replicas.engine.obeyed == [1, 2]
    assert replicas.endings() == [OrderEnding.done, OrderEnding.done]


async def test_frozen_between_check_and_write_is_refused_by_number():
    """The freeze falls after the last check, so the old order arrives late.

    Only an upstream that checks numbers can refuse it; it does.
    """
    engine = Engine(checks=True, highest=2)
    engine.gate.set()
    replicas = Replicas(checks=True)
    replicas.engine = engine
    late = replicas.tasks['c1']
    late.call = engine.take
    await replicas.report()
    await replicas.run(0.2)
    await replicas.issue('o1')
    await replicas.run(1)
    assert not engine.obeyed
    assert replicas.endings() == [OrderEnding.fenced]


@pytest.mark.parametrize('lost', [1, 3])
async def test_lost_answer_repeats_the_same_number(lost):
    """The upstream obeys and its answer is lost, once or often.

    The order is sent again under its own number, and ends once.
    """
    replicas = Replicas(checks=True)
    replicas.engine.lose_answers = lost
    await replicas.report()
    await replicas.run(0.2)
    await replicas.issue('o1')
    await replicas.issue('o1')
    await replicas.run(8)
    assert len(replicas.engine.obeyed) == lost + 1
    assert set(replicas.engine.obeyed) == {1}
    assert replicas.endings() == [OrderEnding.done]


async def test_no_order_without_quorum():
    """The leader is cut from the other voters before it has noticed.

    It neither commits a new order nor sends an open one.
    """
    replicas = Replicas(checks=True)
    await replicas.run(0.2)
    assert (await replicas.issue('o1')).err_value == UpstreamUnknown('engine')
    await replicas.report()
    await replicas.issue('o1')
    replicas.log.has_quorum = False
    await replicas.run(3)
    assert isinstance((await replicas.issue('o2')).err_value, NoQuorum)
    assert isinstance((await replicas.issue('o2', 'c2')).err_value, NotLeader)
    assert not replicas.engine.obeyed
    replicas.log.has_quorum = True
    await replicas.run(1)
    assert replicas.engine.obeyed == [1]


async def test_weight_store_limit_outlives_leaders():
    """Orders come faster than the weight store allows, through elections.

    A new leader starts with an empty bucket: the last one may have taken the
    whole burst a moment ago.
    """
    replicas = Replicas(checks=True)
    await replicas.report()
    await replicas.run(3)
    first = await replicas.issue('o1', units=2)
    busy = await replicas.issue('o2', units=2)
    assert isinstance(first, Ok)
    assert isinstance(busy.err_value, WeightStoreBusy)
    never = await replicas.issue('o3', units=5)
    assert never.err_value == BurstExceeded(5, 4)
    replicas.elect('c2')
    busy = await replicas.issue('o2', 'c2', units=2)
    assert busy.err_value == WeightStoreBusy(2)
    await replicas.run(2.2)
    assert isinstance(await replicas.issue('o2', 'c2', units=2), Ok)


@given(
    st.lists(st.tuples(st.integers(0, 1), st.integers(1, 4)), min_size=4),
    st.data(),
)
@settings(max_examples=100, deadline=None, derandomize=True)
def test_bucket_never_exceeds_burst_and_rate(takes, data):
    """Whatever the timing of orders and elections, the store is not overrun."""
    bucket = WeightBucket.empty(BUCKET, 0, 0)
    now = 0
    taken = 0
    for pause_s, units in takes:
        now += pause_s
        if data.draw(st.booleans()):
            bucket = WeightBucket.empty(BUCKET, taken, now)
        bucket = bucket.observe(taken, now)
        if not bucket.wait_s(units):
            taken += units
        assert taken <= BUCKET.burst + BUCKET.units_per_s * now
