"""Tests of messages that are malformed or of another version."""

from contextlib import suppress

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from godwitshunt.configuration.gen.wire import ttypes
from godwitshunt.configuration.tests.fakes import Deployment, manifest
from godwitshunt.exceptions import FrameError
from godwitshunt.peer import encode

BODIES = st.one_of(
    st.binary(max_size=64),
    st.sampled_from(
        [
            b'',
            encode(ttypes.VmHeartbeat()),
            encode(ttypes.VmHeartbeat(name='x', vm=ttypes.VmInfo())),
            encode(ttypes.VmReports([ttypes.VmReport()])),
            encode(ttypes.VmReports([ttypes.VmReport('e1', 1, 1)])),
            encode(ttypes.ConfigurationNews()),
            encode(ttypes.ConfigurationNews(9, 'x', '', b'x', 0, False)),
            encode(ttypes.ConfigurationNews(9, 'x', 'y', b'', 0, False)),
        ],
    ),
)


@pytest.fixture
async def deployment():
    """Yield a control replica and a VM that has a revision."""
    running = Deployment()
    running.add_control('c1', 'zagreb')
    running.add_vm('e1', 'zagreb', 201)
    await running.run(2)
    await running.accept(manifest())
    await running.run(2)
    yield running
    await running.close()


@given(st.lists(BODIES, min_size=1, max_size=5))
@settings(
    max_examples=100,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
async def test_malformed_messages_change_nothing(deployment, bodies):
    """A peer sends messages that are truncated, empty or of another kind.

    Each raises FrameError, which the links expect, or is ignored. The active
    revision stays, and later valid updates are applied.
    """
    before = deployment.revisions()
    for body in bodies:
        for (_, kind), handler in deployment.network.handlers.items():
            if 200 <= kind < 400:
                with suppress(FrameError):
                    await handler('peer', body)
    assert deployment.revisions() == before
    await deployment.run(2)
    assert deployment.tasks['e1'].quorum_age_s() < 3
