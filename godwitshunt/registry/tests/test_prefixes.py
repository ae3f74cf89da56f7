"""Entry VMs hear from control which upstream keeps which prompt parts."""

from godwitshunt.registry.prefixes import (
    MAX_PREFIXES,
    PREFIX_KEPT_S,
    CachedPrefix,
    PrefixTable,
)
from godwitshunt.registry.tests.deployment import Deployment, address
from godwitshunt.registry.watch import RegistryWatch

KEY = 7


def holders(watch: RegistryWatch) -> frozenset[str]:
    """Return who keeps the prefix, as an entry VM believes."""
    return watch.prefixes.holders(KEY, watch.timer.now())


async def started(*numbers: int) -> tuple[Deployment, list[RegistryWatch]]:
    """Return a deployment whose entry VMs have asked every control VM."""
    deployment = Deployment()
    watches = [deployment.entry(number) for number in numbers]
    for watch in watches:
        await deployment.poll_controls(watch)
    return deployment, watches


async def test_a_read_that_one_vm_saw_is_known_to_another():
    """Two VMs get requests that share a long prompt.

    Without news of the first one's read, the second sends its request to an
    upstream that reads the prompt again, and its callers wait for that.
    """
    deployment, (one, other) = await started(101, 102)
    one.record_cached_prefix(KEY, 'i-1')
    await deployment.poll(one)
    await deployment.poll(other)
    assert holders(other) == {'i-1'}


async def test_a_read_in_one_region_is_known_in_the_other():
    """A prompt is kept in one region, and is asked for in another."""
    deployment = Deployment()
    one, other = deployment.entry(101, 'a'), deployment.entry(102, 'b')
    for watch in (one, other):
        await deployment.poll_controls(watch)
    one.record_cached_prefix(KEY, 'i-1')
    await deployment.poll(one)
    await deployment.exchange()
    await deployment.poll(other)
    assert holders(other) == {'i-1'}


async def test_a_read_is_asked_of_the_first_control_vm_alone():
    """Every control VM hears of every read; asked of all, they cost bytes."""
    deployment, (one, other) = await started(101, 102)
    one.record_cached_prefix(KEY, 'i-1')
    await deployment.poll(one)
    await deployment.exchange()
    now_s = deployment.timer.now()
    far = other.make_poll(str(address(2)), now_s)
    assert deployment.controls[2].reply(far).prefixes == []
    near = other.make_poll(str(address(1)), now_s)
    assert len(deployment.controls[1].reply(near).prefixes) == 1
    await deployment.poll(other)
    near = other.make_poll(str(address(1)), now_s)
    assert deployment.controls[1].reply(near).prefixes == []


async def test_a_control_vm_that_started_anew_is_told_all_again():
    """The first control VM restarts with an empty table.

    What it had been told before would be lost, and with it, for the VMs that
    ask it, the places of all prompts.
    """
    deployment, (one, other) = await started(101, 102)
    one.record_cached_prefix(KEY, 'i-1')
    await deployment.poll(one)
    deployment.restart(1)
    await deployment.poll(one)
    await deployment.poll(one)
    await deployment.poll(other)
    await deployment.poll(other)
    assert holders(other) == {'i-1'}


async def test_the_next_control_vm_tells_all_where_the_first_falls_silent():
    """The first control VM dies; the next one is asked from then on."""
    deployment, (one, other) = await started(101, 102)
    one.record_cached_prefix(KEY, 'i-1')
    await deployment.poll(one)
    await deployment.exchange()
    deployment.network.frozen.add(address(1))
    for _ in range(2):
        deployment.timer.advance(1.0)
        await deployment.poll(other)
    assert holders(other) == {'i-1'}


async def test_a_read_ages_on_its_way_and_is_forgotten_everywhere():
    """An engine drops what was not used for long; a belief must end, too."""
    deployment, (one, other) = await started(101, 102)
    one.record_cached_prefix(KEY, 'i-1')
    await deployment.poll(one)
    deployment.timer.advance(PREFIX_KEPT_S / 2)
    await deployment.poll(one, 1)
    await deployment.poll(other, 1)
    await deployment.poll(other, 1)
    assert holders(other) == {'i-1'}
    deployment.timer.advance(PREFIX_KEPT_S / 2)
    assert holders(other) == frozenset()
    one.tick()
    assert not one.own_prefixes.reads


async def test_control_vms_do_not_keep_a_read_alive_by_telling_it():
    """Two control VMs tell each other what they heard, again and again.

    Each telling loses the time of its way from the age. A read that went back
    and forth would never be forgotten, and prompts would be sent to engines
    that dropped them long ago.
    """
    deployment, (one,) = await started(101)
    one.record_cached_prefix(KEY, 'i-1')
    await deployment.poll(one)
    deployment.network.takes = lambda: deployment.timer.advance(0.055)
    ends_s = deployment.timer.now() + 1.1 * PREFIX_KEPT_S
    while deployment.timer.now() < ends_s:
        await deployment.exchange()
        deployment.timer.advance(0.2)
    for control in deployment.controls.values():
        now_s = deployment.timer.now()
        assert control.prefixes.holders(KEY, now_s) == frozenset()


def test_a_late_old_read_changes_nothing():
    """Reads overtake one another between VMs."""
    table = PrefixTable()
    table.record(CachedPrefix(KEY, 'i-1', read_s=5.0))
    table.record(CachedPrefix(KEY, 'i-1', read_s=4.0))
    assert table.version == 1
    assert table.since(0) == (CachedPrefix(KEY, 'i-1', read_s=5.0),)


def test_a_table_is_bounded():
    """Prompts that are never shared would else fill a VM's memory."""
    table = PrefixTable()
    for key in range(MAX_PREFIXES + 10):
        table.record(CachedPrefix(key, 'i-1', read_s=float(key)))
    assert len(table.reads) == len(table.by_key) == MAX_PREFIXES
    assert table.holders(0, now_s=0.0) == frozenset()
