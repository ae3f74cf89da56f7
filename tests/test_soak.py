"""A short soak of the platform's programs, from a fixed seed."""

import pytest

from tests.platform_client import Answer
from trials.soak import Findings, Seen, Soak, soak

OWN = {'attempt-id': 'a', 'server-seal': '3e1b'}


async def test_promises_hold_while_processes_come_and_go(tmp_path):
    """Processes are killed, paused and stopped while callers ask."""
    run = await soak(seed=1, seconds=8.0, folder=tmp_path)
    assert run.findings.broken == []
    assert run.findings.checks['whole and own'] > 20
    assert run.findings.checks['at most once'] > 20
    assert len(run.faults) > 5


@pytest.mark.parametrize(
    ('path', 'answer', 'runs', 'promise'),
    [
        ('/unsafe/x', Answer(200, OWN, b'hell'), 1, 'whole and own'),
        ('/unsafe/x', Answer(200, {}, b'hello'), 1, 'whole and own'),
        (
            '/unsafe/x',
            Answer(200, {**OWN, 'attempt-id': 'b'}, b'hello'),
            1,
            'whole and own',
        ),
        (
            '/resumed/x',
            Answer(200, OWN, b'id: 2\ndata: x2\n\n', complete=False),
            1,
            'events in order',
        ),
        ('/once/x', Answer(502, {}, b''), 2, 'at most once'),
        ('/unsafe/x', Answer(503, {}, b''), 1, 'not run is true'),
    ],
)
def test_a_broken_promise_is_found(path, answer, runs, promise):
    """A check that cannot turn red proves nothing."""
    checked = Soak(None, None, Findings())
    checked.check_answer(Seen(path, 'a', answer), runs)
    assert [one.partition(':')[0] for one in checked.findings.broken] == [
        promise,
    ]
