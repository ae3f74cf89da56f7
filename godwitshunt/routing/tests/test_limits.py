"""Limits of callers over several VMs whose messages may be lost."""

import random

import pytest

from godwitshunt.configuration.revision import Revision, VmRecord, VmRole
from godwitshunt.manifest import Manifest
from godwitshunt.routing.directory import order_entries
from godwitshunt.routing.limits import (
    LOAN_S,
    Admitted,
    CallerLimits,
    CallerQuota,
    Limited,
)
from godwitshunt.routing.limits_task import (
    LimitsTask,
    read_news,
    update_to_wire,
)
from godwitshunt.routing.quotas import LimitPlan
from godwitshunt.routing.retry_budget import RESERVE_TRIES, RetryBudget
from godwitshunt.settings import Address, NodeSettings
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import VirtualTimerService

RATE = 20.0
BURST = 6.0
STEP_S = 0.02
CLOCK_GAP_S = 1000


def make_vms(count):
    """Return VMs that own equal quotas of one caller, clocks far apart."""
    quota = CallerQuota(RATE / count, max(1.0, BURST / count))
    return [
        CallerLimits.from_config({'ward': quota}, number)
        for number in range(count)
    ]


class Mesh:
    """VMs with clocks far apart, joined by an unreliable network."""

    def __init__(self, vms, lost=0.0, delay_s=0.01, seed=1):
        self.vms = vms
        self.lost = lost
        self.delay_s = delay_s
        self.chance = random.Random(seed)
        self.transit = []
        self.admitted = []

    def run(self, demand_per_s, seconds):
        """Return the admitted requests as (second, VM)."""
        for step in range(int(seconds / STEP_S)):
            now = step * STEP_S
            for number, per_s in enumerate(demand_per_s):
                if self.chance.random() < per_s * STEP_S:
                    self.ask(number, now)
                if step % 50 == number:
                    self.gossip(number, now)
            self.deliver(now)
        return self.admitted

    def ask(self, number, now):
        own_now = now + CLOCK_GAP_S * number
        if self.vms[number].admit('ward', own_now) == Admitted():
            self.admitted.append((now, number))

    def gossip(self, number, now):
        own_now = now + CLOCK_GAP_S * number
        self.vms[number].expire(own_now)
        for other, _ in enumerate(self.vms):
            news = self.vms[number].compose_update(str(other), own_now)
            if other != number and self.chance.random() >= self.lost:
                self.put(number, other, read_news(update_to_wire(news)), now)

    def put(self, number, other, news, now):
        due = now + self.chance.uniform(0, 2 * self.delay_s)
        self.transit.append((due, other, str(number), news))
        if self.chance.randrange(10) < 1:
            self.transit.append((due + 4, other, str(number), news))

    def deliver(self, now):
        due = [message for message in self.transit if message[0] <= now]
        for message in due:
            self.transit.remove(message)
            _, other, sender, news = message
            own_now = now + CLOCK_GAP_S * other
            self.vms[other].receive(sender, news, own_now)


def worst_excess(admitted, rate):
    """Return the most that any window holds beyond its rate."""
    debt = 0.0
    worst = 0.0
    last = 0.0
    for when, _ in admitted:
        debt = max(0.0, debt - (when - last) * rate) + 1
        last = when
        worst = max(worst, debt)
    return worst


@pytest.mark.parametrize(
    ('lost', 'delay_s'),
    [(0.0, 0.01), (0.3, 0.2), (0.9, 1.0), (1.0, 0.01), (0.2, 3.0)],
)
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_total_stays_within_the_rate(lost, delay_s, seed):
    """Messages about demand are lost, late, doubled and out of order.

    If a lender took its quota back while the borrower still used it, all VMs
    together would admit more than the manifest allows and the caller's burst
    would land on engines that others paid for.
    """
    vms = make_vms(4)
    admitted = Mesh(vms, lost, delay_s, seed).run([60, 2, 0, 30], 20)
    assert worst_excess(admitted, RATE) <= max(BURST, len(vms)) + 1e-6


def test_shares_follow_demand():
    """One VM gets nearly all demand and soon may admit most of the rate."""
    admitted = Mesh(make_vms(4)).run([60, 1, 0, 0], 20)
    late = [number for when, number in admitted if when > 5]
    assert late.count(0) > 0.75 * RATE * 15
    assert late.count(1) >= 8


def test_cut_off_vms_keep_their_own_quota():
    """No message passes; each VM admits its own quota and no more."""
    admitted = Mesh(make_vms(4), lost=1.0).run([60, 60, 0, 0], 20)
    for number in (0, 1):
        count = [vm for _, vm in admitted].count(number)
        assert 0.8 * RATE / 4 * 20 <= count <= RATE / 4 * 20 + 2


def test_loan_ends_when_the_lender_is_silent():
    """The lender dies; what it lent is not used beyond the lease."""
    vms = make_vms(2)
    Mesh(vms).run([60, 0], 6)
    assert vms[0].rate('ward', 6.0) > RATE * 0.8
    assert vms[0].rate('ward', 6.0 + LOAN_S) == pytest.approx(RATE / 2)


def test_restarted_vm_takes_no_loan_of_its_former_process():
    """A VM restarts and gets a reply to what its former process asked."""
    lender, former = make_vms(2)
    for number in range(100):
        former.admit('ward', number * 0.01)
    lender.receive('1', former.compose_update('0', 1.0), 1.0)
    reply = lender.compose_update('1', 1.0)
    assert reply.lent
    restarted = CallerLimits.from_config(former.quotas, incarnation=9)
    restarted.receive('0', reply, 1.1)
    assert restarted.rate('ward', 1.1) == RATE / 2


def test_unknown_caller_and_refusal_tell_when_to_return():
    """The reply to a limited caller says when a token will be there."""
    limits = CallerLimits.from_config({'ward': CallerQuota(2.0, 1.0)}, 1)
    assert limits.admit('stranger', 0.0) == Limited(LOAN_S)
    assert limits.admit('ward', 0.0) == Admitted()
    assert limits.admit('ward', 0.0) == Limited(0.5)
    limits.configure({})
    assert limits.admit('ward', 9.0) == Limited(LOAN_S)


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
def test_quotas_add_up_to_the_rate(home, sizes):
    """Whatever region a caller calls home, no rate is lost or doubled."""
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
def test_retries_stay_within_their_share(share):
    """Every first try fails and wants three retries, for a long time.

    Without the budget each lost upstream would triple the load on the others.
    """
    budget = RetryBudget.from_config(share)
    spent = 0
    for number in range(10000):
        budget.record_first_try(number * 0.001)
        spent += sum(budget.spend(number * 0.001) for _ in range(3))
    reserve = RESERVE_TRIES + 5 if share else 0
    assert spent <= share * 10000 + reserve + 1e-6
    assert spent >= share * 10000 * 0.99


class Exchange:
    """Links of two VMs that deliver when told to."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def subscribe(self, kind, handler):
        self.handlers[kind] = handler

    def notify(self, address, kind, body):
        self.sent.append((address, kind, body))


async def test_tasks_exchange_news_and_ignore_strangers():
    """A process that is no admitted VM of the deployment asks for a loan."""
    revision = make_revision('kochi', {'kochi': 2})
    vms = revision.vms
    links = Exchange()
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
