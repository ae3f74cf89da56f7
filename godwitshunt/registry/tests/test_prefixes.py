"""How entry VMs learn which upstreams have which prompt prefixes cached."""

from godwitshunt.registry.prefixes import (
    MAX_PREFIXES,
    PREFIX_TTL_S,
    CachedPrefix,
    PrefixTable,
)
from godwitshunt.registry.tests.deployment import Deployment, address
from godwitshunt.registry.watch import RegistryWatch

KEY = 7


def holders(watch: RegistryWatch) -> frozenset[str]:
    """Return the upstreams that an entry VM assumes to hold the prefix."""
    return watch.prefixes.holders(KEY, watch.timer.now())


async def started(*numbers: int) -> tuple[Deployment, list[RegistryWatch]]:
    """Return a deployment whose entry VMs have polled every control VM."""
    deployment = Deployment()
    watches = [deployment.entry(number) for number in numbers]
    for watch in watches:
        await deployment.poll_controls(watch)
    return deployment, watches


async def test_prefix_seen_by_one_vm_is_known_to_another():
    """Two entry VMs receive requests that share a long prompt.

    Without the first one's report, the second would select an upstream that
    has to process the prompt again, which delays its callers.
    """
    deployment, (first, second) = await started(101, 102)
    first.record_cached_prefix(KEY, 'i-1')
    await deployment.poll(first)
    await deployment.poll(second)
    assert holders(second) == {'i-1'}


async def test_prefix_of_one_region_is_known_in_the_other():
    """A prefix is cached in one region and requested in another."""
    deployment = Deployment()
    first, second = deployment.entry(101, 'a'), deployment.entry(102, 'b')
    for watch in (first, second):
        await deployment.poll_controls(watch)
    first.record_cached_prefix(KEY, 'i-1')
    await deployment.poll(first)
    await deployment.exchange()
    await deployment.poll(second)
    assert holders(second) == {'i-1'}


async def test_prefixes_are_requested_from_preferred_control_vm_only():
    """Each control VM knows all prefixes; requesting all wastes bandwidth."""
    deployment, (first, second) = await started(101, 102)
    first.record_cached_prefix(KEY, 'i-1')
    await deployment.poll(first)
    await deployment.exchange()
    now_s = deployment.timer.now()
    far = second.make_poll(str(address(2)), now_s)
    assert deployment.controls[2].reply(far).prefixes == []
    near = second.make_poll(str(address(1)), now_s)
    assert len(deployment.controls[1].reply(near).prefixes) == 1
    await deployment.poll(second)
    near = second.make_poll(str(address(1)), now_s)
    assert deployment.controls[1].reply(near).prefixes == []


async def test_restarted_control_vm_receives_all_prefixes_again():
    """The preferred control VM restarts with an empty table.

    Entry VMs must send all their prefixes again, or the entry VMs that poll it
    would not know where prompts are cached.
    """
    deployment, (first, second) = await started(101, 102)
    first.record_cached_prefix(KEY, 'i-1')
    await deployment.poll(first)
    deployment.restart(1)
    await deployment.poll(first)
    await deployment.poll(first)
    await deployment.poll(second)
    await deployment.poll(second)
    assert holders(second) == {'i-1'}


async def test_next_control_vm_returns_all_prefixes_after_a_failure():
    """The preferred control VM fails and the next one is polled instead."""
    deployment, (first, second) = await started(101, 102)
    first.record_cached_prefix(KEY, 'i-1')
    await deployment.poll(first)
    await deployment.exchange()
    deployment.network.frozen.add(address(1))
    for _ in range(2):
        deployment.timer.advance(1.0)
        await deployment.poll(second)
    assert holders(second) == {'i-1'}


async def test_prefix_keeps_its_age_when_sent_and_expires_everywhere():
    """Engines evict unused prefixes, so entries about them must expire too."""
    deployment, (first, second) = await started(101, 102)
    first.record_cached_prefix(KEY, 'i-1')
    await deployment.poll(first)
    deployment.timer.advance(PREFIX_TTL_S / 2)
    await deployment.poll(first, 1)
    await deployment.poll(second, 1)
    await deployment.poll(second, 1)
    assert holders(second) == {'i-1'}
    deployment.timer.advance(PREFIX_TTL_S / 2)
    assert holders(second) == frozenset()
    first.tick()
    assert not first.own_prefixes.prefixes


async def test_prefix_does_not_stay_alive_between_control_vms():
    """Two control VMs send each other their prefixes again and again.

    Each transmission loses the network delay from the age. A prefix sent back
    and forth would never expire, and requests would be sent to engines that
    evicted it long ago.
    """
    deployment, (watch,) = await started(101)
    watch.record_cached_prefix(KEY, 'i-1')
    await deployment.poll(watch)
    deployment.network.delay = lambda: deployment.timer.advance(0.055)
    ends_s = deployment.timer.now() + 1.1 * PREFIX_TTL_S
    while deployment.timer.now() < ends_s:
        await deployment.exchange()
        deployment.timer.advance(0.2)
    for control in deployment.controls.values():
        now_s = deployment.timer.now()
        assert control.prefixes.holders(KEY, now_s) == frozenset()


def test_late_report_of_an_older_use_changes_nothing():
    """Reports from several VMs may arrive out of order."""
    table = PrefixTable()
    table.record(CachedPrefix(KEY, 'i-1', cached_s=5.0))
    table.record(CachedPrefix(KEY, 'i-1', cached_s=4.0))
    assert table.version == 1
    assert table.since(0) == (CachedPrefix(KEY, 'i-1', cached_s=5.0),)


def test_table_size_is_bounded():
    """Prompts that are never requested again must not fill a VM's memory."""
    table = PrefixTable()
    for key in range(MAX_PREFIXES + 10):
        table.record(CachedPrefix(key, 'i-1', cached_s=float(key)))
    assert len(table.prefixes) == len(table.by_key) == MAX_PREFIXES
    assert table.holders(0, now_s=0.0) == frozenset()
