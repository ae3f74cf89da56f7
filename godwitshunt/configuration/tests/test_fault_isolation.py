"""A command or a notice that the control state has a fault with."""

import asyncio

import pytest

from godwitshunt.configuration import SingleLog
from godwitshunt.configuration.background import BackgroundTasks
from godwitshunt.configuration.state_machine import StateMachine
from godwitshunt.configuration.tests.test_state import accept


@pytest.fixture
def machine():
    """Return a state machine over a log of one process."""
    made = StateMachine(SingleLog('c-1'))
    made.start()
    return made


async def test_command_that_cannot_be_applied_is_not_committed(
    machine,
    monkeypatch,
):
    """A configuration that control VMs end by, one after the other.

    Once it is in the log, each replica has the fault, also after a restart.
    """

    def fail(state, command):
        raise KeyError('a fault of ours')

    place = 'godwitshunt.configuration.state_machine.apply_command'
    monkeypatch.setattr(place, fail)
    with pytest.raises(KeyError):
        await machine.propose(accept(1))
    assert not machine.log.entries


async def test_part_that_fails_on_a_state_ends_no_other_part(machine):
    """A configuration that one part of each control VM has a fault with."""
    seen = []

    def fail(state):
        raise KeyError('a fault of ours')

    machine.subscribe(fail)
    machine.subscribe(seen.append)
    outcome = await machine.propose(accept(1))
    assert outcome.is_ok()
    assert len(seen) == 1


async def test_failed_work_is_logged_and_begins_anew(capsys):
    """A message that a part has a fault with, and nobody sees it."""
    calls = []

    async def fail():
        calls.append(1)
        raise KeyError('a fault of ours')

    background = BackgroundTasks()
    for _ in range(2):
        background.run('work', fail)
        await background.wait('work')
        await asyncio.sleep(0)
    assert len(calls) == 2
    assert all(task.exception() is None for task in background.tasks.values())
    await background.close()
