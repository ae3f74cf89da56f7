"""Servers that repeat answers late, against the real processes."""

import pytest
import pytest_asyncio

from tests.platform_documents import NETWORK
from tests.stuttering_server import (
    REPEATABLE,
    StutteringServer,
    StutteringWorld,
    ask_for,
    runs_of,
    served_share,
    wrong_answers,
)

pytestmark = pytest.mark.asyncio(loop_scope='module')

ENTRY_ZONES = {
    f'{NETWORK}.11': 'zone-a',
    f'{NETWORK}.12': 'zone-a',
    f'{NETWORK}.21': 'zone-b',
}
PLAYED_S = 7.0
LEAST_REPEATED = 100
LEAST_RECEIVED = 500
SEED = 1
# The platform's aim for requests whose answers are framed or repeatable.
SERVED_SHARE = 0.85
ONCE = ('/unsafe', '/once')
TORN = {'torn_share': 0.2}
UNFRAMED = {'unframed_share': 1 / 3}


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def world(tmp_path_factory):
    """Return a deployment whose servers stutter."""
    started = StutteringWorld(
        tmp_path_factory.mktemp('stuttering'),
        server_type=StutteringServer,
        entry_zones=dict(ENTRY_ZONES),
    )
    try:
        await started.start()
        yield started
    finally:
        await started.close()


@pytest.mark.parametrize(
    'changes',
    [
        {},
        TORN,
        UNFRAMED,
        {**UNFRAMED, 'repeats_unframed': True},
        {**UNFRAMED, 'repeats_unframed': True, 'names_repeated': False},
    ],
    ids=[
        'framed',
        'torn',
        'unframed',
        'unframed_repeated',
        'repeated_without_ids',
    ],
)
async def test_callers_get_no_part_of_a_repeated_answer(world, changes):
    """A late second answer that is passed on within another answer."""
    defaults = {
        'unframed_share': 0.0,
        'torn_share': 0.0,
        'repeats_unframed': False,
        'names_repeated': True,
        'repeated': 0,
    }
    world.stutter(SEED, **{**defaults, **changes})

    def is_enough(received):
        repeated = sum(one.repeated for one in world.servers.values())
        return repeated > LEAST_REPEATED and len(received) > LEAST_RECEIVED

    received = await ask_for(tuple(ENTRY_ZONES), PLAYED_S, SEED, is_enough)
    assert is_enough(received)
    assert not wrong_answers(received)
    runs = runs_of(world.servers.values())
    once = [one for one in received if one.path.startswith(ONCE)]
    assert max(runs[one.attempt] for one in once) == 1
    assert served_share(received, REPEATABLE) >= SERVED_SHARE
    if not changes:
        assert served_share(received) >= SERVED_SHARE
