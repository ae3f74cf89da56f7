"""Two control VMs lose their disks as all others lose power."""

from random import Random

from tests.platform_documents import ADDRESS_PREFIX
from trials.lost_disks import LostDisks, make_world

NETWORK = f'{ADDRESS_PREFIX}.32'


async def test_disks_are_lost_while_all_others_lose_power(tmp_path):
    """No process that has the log is left, and two of its copies are gone."""
    world = make_world(tmp_path, NETWORK)
    try:
        await world.start()
        run = LostDisks(world, Random(1))
        for pair in (world.seed_hosts[:2], world.control_hosts[-2:]):
            await run.lose(pair, others_lose_power=True)
            await run.check_readable()
            assert run.broken == []
    finally:
        await world.close()
