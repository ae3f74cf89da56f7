"""Entry VMs that lose their links to the upstreams, against real processes."""

import pytest
import pytest_asyncio

from tests.partition_world import (
    PATHS,
    Cut,
    PartitionWorld,
    ask_all,
    heal_and_use,
    running,
    served_share,
)
from tests.platform_documents import ADDRESS_PREFIX

pytestmark = pytest.mark.asyncio(loop_scope='module')

NETWORK = f'{ADDRESS_PREFIX}.14'
CUT_S = 4.0
# Seconds after the cut from which callers of the VMs that are cut off are
# served as well as the others.
KNOWN_S = 1.5
LEAST_SHARE = 0.97


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def started(tmp_path_factory):
    """Return a deployment with three entry VMs in one region."""
    folder = tmp_path_factory.mktemp('cut')
    async with running(PartitionWorld(folder, NETWORK)) as deployment:
        yield deployment


@pytest_asyncio.fixture(loop_scope='module')
async def world(started):
    """Return the deployment with all paths, and connections in use."""
    return await heal_and_use(started)


@pytest.mark.parametrize('kind', Cut)
@pytest.mark.parametrize('count', [1, 2])
async def test_callers_of_cut_off_vms_are_served(world, kind, count):
    """A VM that reaches no upstream refuses its callers.

    Those beside it reach all of them.
    """
    cut_off = world.north[:count]
    others = (*world.north[count:], world.south)
    world.cut(cut_off, kind)
    sent = await ask_all(world.entry_zones, CUT_S)
    least = LEAST_SHARE * served_share(sent, others, KNOWN_S)
    shares = {
        path: served_share(sent, cut_off, KNOWN_S, path) for path in PATHS
    }
    assert served_share(sent, cut_off, KNOWN_S) >= least, shares
    # What the south has handed to a VM until it knows that this one is cut off
    # is lost with it.
    assert served_share(sent, world.north[count:]) >= LEAST_SHARE
    assert served_share(sent, others, KNOWN_S) == 1
    if kind is not Cut.unanswered:
        # The region's upstreams have room. Requests that are never answered
        # take some of it.
        here = world.share_in_north(sent, world.north, KNOWN_S)
        assert here >= LEAST_SHARE


@pytest.mark.parametrize('kind', Cut)
async def test_callers_of_a_cut_off_region_are_served(world, kind):
    """No VM of a region reaches its upstreams; another region's do."""
    world.cut(world.north, kind)
    sent = await ask_all(world.entry_zones, CUT_S)
    least = LEAST_SHARE * served_share(sent, [world.south], KNOWN_S)
    shares = {
        path: served_share(sent, world.north, KNOWN_S, path) for path in PATHS
    }
    assert served_share(sent, world.north, KNOWN_S) >= least, shares
    assert served_share(sent, [world.south], KNOWN_S) >= LEAST_SHARE
