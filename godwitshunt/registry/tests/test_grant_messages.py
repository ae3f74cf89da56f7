"""Grants and demand travel with tables, directly or through entry VMs.

Guards against a grant that is believed to last longer than its picker holds
it, and against a partition of control VMs that ends all hand-overs.
"""

from godwitshunt.grants import Capacity, Grant, GrantNews, UnmetDemand
from godwitshunt.peer import decode, encode
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.grant_relays import GIVEN_UP_AFTER_S
from godwitshunt.registry.grant_wire import (
    news_from_wire,
    news_to_wire,
    use_from_wire,
    use_to_wire,
)
from godwitshunt.registry.tests.deployment import Deployment, address

TTL_S = 0.6
DELAY_S = 0.05


class GrantingDeployment(Deployment):
    """Control VMs of two regions; the second one's picker grants."""

    def __init__(self) -> None:
        super().__init__({1: 'a', 2: 'b'})
        self.number = 0
        self.ends: dict[int, float] = {}
        self.received: list[Grant] = []
        self.controls[2].make_grants = self.make_grants
        self.controls[1].tables.on_grants = self.on_grants

    def make_grants(self, now_s: float) -> GrantNews:
        """Return a new grant with each message."""
        self.number += 1
        self.ends[self.number] = now_s + TTL_S
        grant = Grant(
            self.controls[2].source,
            self.number,
            'kochi',
            'llm',
            Capacity(3, 900),
            self.ends[self.number],
        )
        demand = UnmetDemand('llm', Capacity(2, 400))
        return GrantNews((grant,), (demand,), 5, {'kochi': 0.11})

    def on_grants(self, control: str, table) -> None:
        """Record the received grants."""
        assert control == str(address(2))
        assert table.region == 'tvm'
        self.received.extend(table.grants.grants)


async def test_grants_and_demand_arrive_with_a_poll():
    """All of a picker's news reach another region's control VM."""
    deployment = GrantingDeployment()
    await deployment.exchange(1)
    news = deployment.controls[1].tables.merged.tables[str(address(2))].grants
    expected = deployment.ends[1]
    assert news.grants[0].capacity == Capacity(3, 900)
    assert news.grants[0].source == deployment.controls[2].source
    assert news.grants[0].expires_s <= expected
    assert news.demands == (UnmetDemand('llm', Capacity(2, 400)),)
    assert news.reporters == 5
    assert news.round_trips == {'kochi': 0.11}


async def test_delayed_grant_does_not_last_longer():
    """The reply takes half of the grant's lifetime."""
    deployment = GrantingDeployment()
    deployment.network.delay = lambda: deployment.timer.advance(TTL_S / 2)
    await deployment.exchange(1)
    assert len(deployment.received) == 1
    grant = deployment.received[0]
    assert grant.expires_s <= deployment.ends[grant.number]


async def test_entry_vm_relays_grants_around_a_partition():
    """The control VMs don't reach each other; an entry VM reaches both."""
    deployment = GrantingDeployment()
    watch = deployment.entry(100)
    await deployment.exchange()
    await deployment.poll_controls(watch)
    deployment.network.split(address(1), address(2))
    before = len(deployment.received)
    deployment.timer.advance(2.0)
    await deployment.exchange()
    assert len(deployment.received) == before
    await deployment.poll(watch, 1)
    await deployment.poll(watch, 2)
    deployment.timer.advance(0.1)
    await deployment.poll(watch, 1)
    grant = deployment.received[-1]
    assert len(deployment.received) > before
    assert grant.source == deployment.controls[2].source
    assert deployment.timer.now() < grant.expires_s
    assert grant.expires_s <= deployment.ends[grant.number]


async def test_usual_polls_of_entry_vms_contain_no_grants():
    """Entry VMs have narrow links, and relay only in a partition."""
    deployment = GrantingDeployment()
    watch = deployment.entry(200, 'b')
    await deployment.poll_controls(watch)
    deployment.timer.advance(1.0)
    number = deployment.number
    await deployment.poll(watch, 2)
    assert deployment.number == number


async def test_a_restarted_picker_has_no_grants_of_the_previous_one():
    """The new process's table is relayed without grants of the old one."""
    deployment = GrantingDeployment()
    await deployment.exchange()
    deployment.restart(2)
    deployment.timer.advance(0.2)
    await deployment.exchange()
    table = deployment.controls[1].tables.merged.tables[str(address(2))]
    assert table.grants is None


def test_message_of_the_previous_build():
    """A message without the new fields is read as one without grants."""
    update = decode(ttypes.TableNews, encode(ttypes.TableNews(source='c-1')))
    assert update.grants is None
    assert news_to_wire(None, 5.0) is None
    assert use_to_wire(None) is None
    assert use_from_wire(ttypes.GrantUseInfo(source='c-1')) is None


def test_empty_news():
    """A picker without grants is told as such, with its reporters."""
    news = GrantNews(reporters=2)
    assert news_from_wire(news_to_wire(news, 5.0), 'c-1', 5.0) == news


async def start_partition() -> tuple[GrantingDeployment, list]:
    """Start five entry VMs; then the control VMs don't reach each other."""
    deployment = GrantingDeployment()
    watches = [deployment.entry(100 + number) for number in range(5)]
    await deployment.exchange()
    for watch in watches:
        await deployment.poll_controls(watch)
    deployment.network.split(address(1), address(2))
    deployment.timer.advance(1.0)
    for watch in watches:
        await deployment.poll(watch, 1)
    return deployment, watches


async def test_few_entry_vms_relay_grants_more_often():
    """All entry VMs of a region would fill its link with their polls."""
    deployment, watches = await start_partition()
    now_s = deployment.timer.now()
    due = [bool(watch.due_for_grants(now_s)) for watch in watches]
    assert due == [True, True, True, False, False]
    deployment.network.heal()
    await deployment.exchange()
    for watch in watches:
        await deployment.poll(watch, 1)
    assert not any(watch.relays_grants() for watch in watches)


async def test_grants_of_a_lost_control_vm_are_given_up():
    """Entry VMs would poll it for as long as it is down."""
    deployment, watches = await start_partition()
    deployment.timer.advance(GIVEN_UP_AFTER_S)
    await deployment.poll(watches[0], 1)
    assert not watches[0].relays_grants()


async def test_nothing_is_relayed_without_scheduled_services():
    """Deployments without grants poll as before in a partition."""
    deployment = Deployment({1: 'a', 2: 'b'})
    watch = deployment.entry(100)
    await deployment.exchange()
    await deployment.poll_controls(watch)
    deployment.network.split(address(1), address(2))
    deployment.timer.advance(1.0)
    await deployment.poll(watch, 1)
    assert not watch.relays_grants()
