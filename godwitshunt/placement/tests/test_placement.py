"""Tests of orders: leases, fencing, lost answers and the weight store."""

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

PREVIOUS_LEASE_S = 1
UNFENCED_WAIT_S = 6.2  # previous lease, maximum transit and two ticks
BUCKET = BucketOptions(units_per_s=1, burst=4)


@dataclass
class FakeEngine:
    """An upstream that may check fencing numbers."""

    checks_fencing: bool
    highest: int = 0
    applied: list[int] = field(default_factory=list)
    resumed: asyncio.Event = field(default_factory=asyncio.Event)
    answers_to_lose: int = 0

    async def handle_order(self, address, call, permit):
        """Connect, wait while the sender is suspended, then apply the order."""
        await self.resumed.wait()
        if not permit():
            return Err(NotPermitted(str(address)))
        number = int(dict(call.headers)['godwitshunt-fencing'])
        if self.checks_fencing and number < self.highest:
            return Ok(HttpAnswer(412, b''))
        self.highest = number
        self.applied.append(number)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return Err(AnswerLost(str(address), 'reset'))
        return Ok(HttpAnswer(200, b''))


@dataclass
class SharedLog:
    """A log whose leader is chosen by the test."""

    leader: str = 'c1'
    term: int = 1
    has_quorum: bool = True
    followers: list = field(default_factory=list)


@dataclass
class ReplicaLog:
    """One replica's access to the shared log."""

    log: SharedLog
    name: str

    async def propose(self, payload):
        """Commit if this replica leads and has a quorum."""
        if self.log.leader != self.name:
            return Err(NotLeader(self.log.leader))
        if not self.log.has_quorum:
            return Err(CommitUnknown('no commit in time'))
        for apply in self.log.followers:
            apply(1, self.log.term, payload)
        return Ok(Committed(1))

    def leadership(self) -> Leadership:
        """Return the leadership; only a leader with a quorum has a lease."""
        leads = self.log.leader == self.name
        lease_s = 0.8 if leads and self.log.has_quorum else 0
        return Leadership(
            self.log.leader,
            self.log.term,
            leads,
            lease_s,
            0 if self.log.has_quorum else 9,
        )

    def subscribe(self, apply, take_snapshot, install) -> None:
        """Subscribe to committed entries."""
        self.log.followers.append(apply)


class ReplicaPair:
    """Two control replicas and one upstream, on virtual time."""

    def __init__(self, *, checks_fencing: bool) -> None:
        self.timer = VirtualTimerService()
        self.log = SharedLog()
        self.engine = FakeEngine(checks_fencing)
        self.engine.resumed.set()
        self.tasks = {
            name: self.make_task(name, port)
            for name, port in (('c1', 100), ('c2', 200))
        }

    def make_task(self, name: str, port: int) -> PlacementTask:
        """Start the placement task of one replica."""
        record = vm(name, 'zagreb', port, 'control')
        links = Network().links(record.peer)
        service = ConfigurationService(
            record,
            (),
            ReplicaLog(self.log, name),
            links,
            self.timer,
            Metrics(),
        )
        service.machine.start()
        task = PlacementTask(
            PlacementOptions(PREVIOUS_LEASE_S, BUCKET),
            service,
            links,
            self.timer,
            Metrics(),
            self.engine.handle_order,
        )
        task.start()
        return task

    async def report(self) -> None:
        """Report the upstream to both replicas."""
        address = Address(host='127.0.0.1', port=9)
        upstream = UpstreamView(
            'engine',
            'zagreb',
            'chat',
            address,
            1,
            honours_fencing=self.engine.checks_fencing,
        )
        for task in self.tasks.values():
            await task.handle_report('entry', encode_report([upstream]))

    async def run(self, duration_s: float) -> None:
        """Advance virtual time."""
        for _ in range(round(duration_s * 10)):
            self.timer.advance(0.1)
            for _ in range(10):
                await asyncio.sleep(0)

    async def issue(self, name: str, replica: str = 'c1', units: int = 0):
        """Request an order from a replica."""
        order = IssueOrder(name, 'engine', 'load-model', 'review', units)
        return await self.tasks[replica].issue(order)

    def elect(self, name: str) -> None:
        """Make another replica the leader of a higher term."""
        self.log.leader = name
        self.log.term += 1

    def order_endings(self) -> list[OrderEnding]:
        """Return the state of each order."""
        state = self.tasks['c2'].service.state
        return [order.ending for order in state.orders.values()]


@pytest.mark.parametrize('checks_fencing', [True, False])
async def test_order_is_delayed_only_without_fencing(checks_fencing):
    """A new leader issues an order while an old one may be in transit.

    An upstream that ignores fencing numbers would apply the delayed order of
    the previous leader after the new one.
    """
    replicas = ReplicaPair(checks_fencing=checks_fencing)
    await replicas.report()
    await replicas.run(0.2)
    issued = await replicas.issue('o1')
    assert issued.ok_value.fencing == 1
    await replicas.run(1)
    assert bool(replicas.engine.applied) == checks_fencing
    await replicas.run(UNFENCED_WAIT_S)
    assert replicas.engine.applied == [1]
    assert replicas.order_endings() == [OrderEnding.done]


@pytest.mark.parametrize('checks_fencing', [True, False])
async def test_resumed_leader_does_not_send_old_order(checks_fencing):
    """The leader is suspended after it connected, beyond its lease.

    Meanwhile another leader finishes that order and sends a newer one. If the
    resumed leader sent the old one, it would undo the newer one.
    """
    replicas = ReplicaPair(checks_fencing=checks_fencing)
    await replicas.report()
    await replicas.run(UNFENCED_WAIT_S)
    leader_resumed = replicas.engine.resumed
    leader_resumed.clear()
    await replicas.issue('o1')
    await replicas.run(0.2)
    replicas.elect('c2')
    replicas.engine.resumed = asyncio.Event()
    replicas.engine.resumed.set()
    await replicas.issue('o2', replica='c2')
    await replicas.run(2 * UNFENCED_WAIT_S)
    leader_resumed.set()
    await replicas.run(1)
    assert replicas.engine.applied == [1, 2]
    assert replicas.order_endings() == [OrderEnding.done, OrderEnding.done]


async def test_order_delayed_after_last_check_is_fenced():
    """The leader is suspended after its last check, so the order is late.

    Only an upstream that checks fencing numbers can refuse it.
    """
    engine = FakeEngine(checks_fencing=True, highest=2)
    engine.resumed.set()
    replicas = ReplicaPair(checks_fencing=True)
    replicas.engine = engine
    suspended_task = replicas.tasks['c1']
    suspended_task.call = engine.handle_order
    await replicas.report()
    await replicas.run(0.2)
    await replicas.issue('o1')
    await replicas.run(1)
    assert not engine.applied
    assert replicas.order_endings() == [OrderEnding.fenced]


@pytest.mark.parametrize('lost_answers', [1, 3])
async def test_lost_answer_resends_same_fencing_number(lost_answers):
    """The upstream applies the order, but its answer is lost repeatedly.

    The order is resent with the same fencing number and finishes once.
    """
    replicas = ReplicaPair(checks_fencing=True)
    replicas.engine.answers_to_lose = lost_answers
    await replicas.report()
    await replicas.run(0.2)
    await replicas.issue('o1')
    await replicas.issue('o1')
    await replicas.run(8)
    assert len(replicas.engine.applied) == lost_answers + 1
    assert set(replicas.engine.applied) == {1}
    assert replicas.order_endings() == [OrderEnding.done]


async def test_no_order_without_quorum():
    """The leader is partitioned from the other voters, undetected so far.

    It neither commits a new order nor sends an open one.
    """
    replicas = ReplicaPair(checks_fencing=True)
    await replicas.run(0.2)
    assert (await replicas.issue('o1')).err_value == UpstreamUnknown('engine')
    await replicas.report()
    await replicas.issue('o1')
    replicas.log.has_quorum = False
    await replicas.run(3)
    assert isinstance((await replicas.issue('o2')).err_value, NoQuorum)
    assert isinstance((await replicas.issue('o2', 'c2')).err_value, NotLeader)
    assert not replicas.engine.applied
    replicas.log.has_quorum = True
    await replicas.run(1)
    assert replicas.engine.applied == [1]


async def test_weight_store_limit_holds_across_leaders():
    """Orders exceed the weight store's rate across elections.

    A new leader starts with an empty bucket, since the previous one may have
    just acquired the whole burst.
    """
    replicas = ReplicaPair(checks_fencing=True)
    await replicas.report()
    await replicas.run(3)
    first = await replicas.issue('o1', units=2)
    busy = await replicas.issue('o2', units=2)
    assert isinstance(first, Ok)
    assert isinstance(busy.err_value, WeightStoreBusy)
    exceeded = await replicas.issue('o3', units=5)
    assert exceeded.err_value == BurstExceeded(5, 4)
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
def test_bucket_never_exceeds_burst_and_rate(requests, data):
    """For any timing of orders and elections, the limit is not exceeded."""
    bucket = WeightBucket.empty(BUCKET, 0, 0)
    now = 0
    acquired = 0
    for pause_s, units in requests:
        now += pause_s
        if data.draw(st.booleans()):
            bucket = WeightBucket.empty(BUCKET, acquired, now)
        bucket = bucket.observe(acquired, now)
        if not bucket.wait_s(units):
            acquired += units
        assert acquired <= BUCKET.burst + BUCKET.units_per_s * now
