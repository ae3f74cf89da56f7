"""Tests of caller limits over VMs that lose messages, and of budgets."""

import random

import pytest

from godwitshunt.configuration.revision import Revision, VmRecord, VmRole
from godwitshunt.manifest import Manifest
from godwitshunt.routing.directory import order_entries
from godwitshunt.routing.limits import (
    LEASE_S,
    Admitted,
    CallerLimits,
    CallerQuota,
    Limited,
)
from godwitshunt.routing.limits_task import (
    LimitsTask,
    update_from_wire,
    update_to_wire,
)
from godwitshunt.routing.quotas import LimitPlan
from godwitshunt.routing.retry_budget import RESERVE_RETRIES, RetryBudget
from godwitshunt.settings import Address, NodeSettings
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import VirtualTimerService

RATE = 20.0
BURST = 6.0
STEP_S = 0.02
CLOCK_OFFSET_S = 1000


def make_vms(count):
    """Return the limits of VMs that own equal quotas of one caller."""
    quota = CallerQuota(RATE / count, max(1.0, BURST / count))
    return [
        CallerLimits.from_config({'ward': quota}, number)
        for number in range(count)
    ]


class UnreliableNetwork:
    """VMs with unsynchronised clocks and an unreliable network."""

    def __init__(self, vms, loss_share=0.0, delay_s=0.01, seed=1):
        self.vms = vms
        self.loss_share = loss_share
        self.delay_s = delay_s
        self.random_source = random.Random(seed)
        self.in_transit = []
        self.admitted = []

    def run(self, demand_per_s, seconds):
        """Return the admitted requests as (time, VM)."""
        for step in range(int(seconds / STEP_S)):
            now = step * STEP_S
            for number, per_s in enumerate(demand_per_s):
                if self.random_source.random() < per_s * STEP_S:
                    self.admit_at(number, now)
                if step % 50 == number:
                    self.send_updates(number, now)
            self.deliver(now)
        return self.admitted

    def admit_at(self, number, now):
        local_now = now + CLOCK_OFFSET_S * number
        if self.vms[number].admit('ward', local_now) == Admitted():
            self.admitted.append((now, number))

    def send_updates(self, number, now):
        local_now = now + CLOCK_OFFSET_S * number
        self.vms[number].expire(local_now)
        for receiver, _ in enumerate(self.vms):
            update = self.vms[number].compose_update(str(receiver), local_now)
            if (
                receiver != number
                and self.random_source.random() >= self.loss_share
            ):
                self.schedule(
                    number,
                    receiver,
                    update_from_wire(update_to_wire(update)),
                    now,
                )

    def schedule(self, number, receiver, update, now):
        due = now + self.random_source.uniform(0, 2 * self.delay_s)
        self.in_transit.append((due, receiver, str(number), update))
        if self.random_source.randrange(10) < 1:
            self.in_transit.append((due + 4, receiver, str(number), update))

    def deliver(self, now):
        due = [message for message in self.in_transit if message[0] <= now]
        for message in due:
            self.in_transit.remove(message)
            _, receiver, sender, update = message
            local_now = now + CLOCK_OFFSET_S * receiver
            self.vms[receiver].receive(sender, update, local_now)


def worst_excess(admitted, rate):
    """Return the maximum excess over the rate in any window."""
    excess = 0.0
    worst = 0.0
    last = 0.0
    for admitted_s, _ in admitted:
        excess = max(0.0, excess - (admitted_s - last) * rate) + 1
        last = admitted_s
        worst = max(worst, excess)
    return worst


@pytest.mark.parametrize(
    ('loss_share', 'delay_s'),
    [(0.0, 0.01), (0.3, 0.2), (0.9, 1.0), (1.0, 0.01), (0.2, 3.0)],
)
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_total_stays_within_rate(loss_share, delay_s, seed):
    """Messages are lost, delayed, duplicated and reordered.

    If a grantor used its quota again while the lessee still used it, all VMs
    together would admit more than the manifest allows, and the caller's burst
    would take capacity from other callers.
    """
    vms = make_vms(4)
    admitted = UnreliableNetwork(vms, loss_share, delay_s, seed).run(
        [60, 2, 0, 30], 20
    )
    assert worst_excess(admitted, RATE) <= max(BURST, len(vms)) + 1e-6


def test_leases_follow_demand():
    """One VM gets most of the demand and soon may admit most of the rate."""
    admitted = UnreliableNetwork(make_vms(4)).run([60, 1, 0, 0], 20)
    late = [number for admitted_s, number in admitted if admitted_s > 5]
    assert late.count(0) > 0.75 * RATE * 15
    assert late.count(1) >= 8


def test_partitioned_vms_admit_only_their_own_quota():
    """All messages are lost; each VM admits no more than its own quota."""
    admitted = UnreliableNetwork(make_vms(4), loss_share=1.0).run(
        [60, 60, 0, 0], 20
    )
    for number in (0, 1):
        count = [vm for _, vm in admitted].count(number)
        assert 0.8 * RATE / 4 * 20 <= count <= RATE / 4 * 20 + 2


def test_lease_ends_when_grantor_fails():
    """The grantor fails; its quota is not used beyond the lease."""
    vms = make_vms(2)
    UnreliableNetwork(vms).run([60, 0], 6)
    assert vms[0].rate('ward', 6.0) > RATE * 0.8
    assert vms[0].rate('ward', 6.0 + LEASE_S) == pytest.approx(RATE / 2)


def test_restarted_vm_ignores_lease_of_previous_process():
    """A VM restarts and receives a reply to its previous process."""
    grantor, previous = make_vms(2)
    for number in range(100):
        previous.admit('ward', number * 0.01)
    grantor.receive('1', previous.compose_update('0', 1.0), 1.0)
    reply = grantor.compose_update('1', 1.0)
    assert reply.granted
    restarted = CallerLimits.from_config(previous.quotas, incarnation=9)
    restarted.receive('0', reply, 1.1)
    assert restarted.rate('ward', 1.1) == RATE / 2


def test_limited_callers_get_a_retry_time():
    """A limited caller is told when a token will be available."""
    limits = CallerLimits.from_config({'ward': CallerQuota(2.0, 1.0)}, 1)
    assert limits.admit('stranger', 0.0) == Limited(LEASE_S)
    assert limits.admit('ward', 0.0) == Admitted()
    assert limits.admit('ward', 0.0) == Limited(0.5)
    limits.configure({})
    assert limits.admit('ward', 9.0) == Limited(LEASE_S)


def make_revision(home, sizes):
    """Return a revision with one caller and VMs named after regions."""
    vms = tuple(
        VmRecord(
            name=f'{region}-{number}',
            region=region,
            failure_domain='f1',
            role=VmRole.entry,
            http=Address(host='127.0.0.1', port=10 + number),
            peer=Address(host='127.0.0.1', port=50 + number),
        )
        for region, size in sizes.items()
        for number in range(size)
    )
    manifest = Manifest(
        number=1,
        deployment='d',
        regions=tuple({'name': region} for region in (*sizes, 'elsewhere')),
        services=({'name': 'chat', 'kind': 'model'},),
        classes=({'name': 'urgent'},),
        callers=(
            {
                'name': 'ward',
                'key_sha256': '0' * 64,
                'home': home,
                'request_class': 'urgent',
                'requests_per_s': RATE,
                'burst': 2,
            },
        ),
    )
    return Revision(1, '', manifest, vms)


@pytest.mark.parametrize('home', ['a', 'b', 'c', 'elsewhere'])
@pytest.mark.parametrize('sizes', [{'a': 2, 'b': 9, 'c': 1}, {'a': 1}])
def test_quotas_sum_to_rate(home, sizes):
    """For any home region, no part of the rate is lost or counted twice."""
    if home not in {*sizes, 'elsewhere'}:
        home = 'a'
    revision = make_revision(home, sizes)
    plans = {
        vm.name: LimitPlan.from_revision(revision, vm.name)
        for vm in revision.vms
    }
    rates = [plan.quotas['ward'].rate_per_s for plan in plans.values()]
    assert sum(rates) == pytest.approx(RATE)
    for name, plan in plans.items():
        assert name not in plan.grantors['ward']
        assert len(plan.grantors['ward']) <= 5
    first = order_entries(revision.vms, 'a', 'ward')[0]
    assert plans[first.name].quotas['ward'].rate_per_s == max(
        plan.quotas['ward'].rate_per_s
        for vm_name, plan in plans.items()
        if vm_name.startswith('a')
    )


@pytest.mark.parametrize('share', [0.0, 0.1, 0.5])
def test_retries_stay_within_budget(share):
    """Every first try fails and requests three retries, for a long time.

    Without the budget, the loss of an upstream would multiply the load on the
    others.
    """
    budget = RetryBudget.from_config(share)
    spent = 0
    for number in range(10000):
        budget.record_first_try(number * 0.001)
        spent += sum(budget.spend(number * 0.001) for _ in range(3))
    reserve = RESERVE_RETRIES + 5 if share else 0
    assert spent <= share * 10000 + reserve + 1e-6
    assert spent >= share * 10000 * 0.99


def test_restarts_add_no_retries_to_the_budget():
    """Each process that starts had the whole reserve of its VM again."""
    spent = 0
    for number in range(100):
        budget = RetryBudget.from_config(0.1)
        for _ in range(10):
            budget.record_first_try(float(number))
            spent += sum(budget.spend(float(number)) for _ in range(3))
    assert spent <= 0.1 * 10 * 100


class RecordingLinks:
    """Peer links that record what is sent."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def subscribe(self, kind, handler):
        self.handlers[kind] = handler

    def notify(self, address, kind, body):
        self.sent.append((address, kind, body))


async def test_tasks_exchange_updates_with_admitted_vms_only():
    """A process that is no admitted VM of the deployment requests a lease."""
    revision = make_revision('kochi', {'kochi': 2})
    vms = revision.vms
    links = RecordingLinks()
    timer = VirtualTimerService()
    node = NodeSettings(
        name='kochi-0',
        region='kochi',
        failure_domain='f1',
        http=vms[0].http,
        peer=vms[0].peer,
        control=(vms[0].peer,),
        cluster_key_file='key',
    )
    metrics = Metrics()
    task = LimitsTask.from_config(node, links, timer, metrics)
    await task.start()
    task.configure(revision)
    task.configure(revision)
    assert task.admit('ward') == Admitted()
    for _ in range(99):
        assert isinstance(task.admit('ward'), Limited)
    assert b'limit_refusals_total{caller="ward"} 99' in metrics.render()
    timer.advance(1.0)
    address, kind, body = links.sent.pop()
    assert address == vms[1].peer
    await links.handlers[kind]('stranger', body)
    await links.handlers[kind]('kochi-1', body)
    assert set(task.limits.peers) == {'kochi-1'}
    await task.close()
    timer.advance(5.0)
    assert not links.sent
