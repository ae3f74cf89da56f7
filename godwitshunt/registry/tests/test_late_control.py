"""A control VM that does not answer while an entry VM starts."""

from godwitshunt.registry.contacts import PROBE_PERIOD_S
from godwitshunt.registry.tests.deployment import Deployment, address


async def test_control_vm_that_failed_at_the_start_is_preferred_later():
    """An entry VM that asks another control VM of its region for ever.

    The first one's table comes by the other one, so that it never looks stale.
    Half of a region's VMs would use one picker and half another one, and
    neither would know all that the region's upstreams have.
    """
    deployment = Deployment({1: 'a', 2: 'a', 3: 'b'})
    watch = deployment.entry(100)
    deployment.network.split(address(1), address(100))
    await deployment.exchange()
    await deployment.poll_controls(watch)
    assert watch.preferred() == str(address(2))
    deployment.network.heal()
    for _ in range(4):
        deployment.timer.advance(PROBE_PERIOD_S)
        await deployment.exchange()
        await deployment.poll(watch)
    assert watch.preferred() == str(address(1))
