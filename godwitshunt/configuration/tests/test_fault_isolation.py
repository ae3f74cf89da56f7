"""Tests that an exception in one component does not spread."""

import asyncio

import pytest

from godwitshunt.configuration import SingleLog
from godwitshunt.configuration.background import BackgroundTasks
from godwitshunt.configuration.state_machine import StateMachine
from godwitshunt.configuration.tests.test_state import accept_command


@pytest.fixture
def machine():
    """Return a state machine over a log of one process."""
    state_machine = StateMachine(SingleLog('c-1'))
    state_machine.start()
    return state_machine


async def test_command_that_cannot_be_applied_is_not_committed(
    machine,
    monkeypatch,
):
    """A command that raises when applied must not enter the log.

    Once committed, it would crash every replica, also after each restart.
    """

    def fail(state, command):
        raise KeyError('injected fault')

    target = 'godwitshunt.configuration.state_machine.apply_command'
    monkeypatch.setattr(target, fail)
    with pytest.raises(KeyError):
        await machine.propose(accept_command(1))
    assert not machine.log.entries


async def test_failing_subscriber_does_not_stop_the_others(machine):
    """One subscriber raises on a new state; the others still receive it."""
    received_states = []

    def fail(state):
        raise KeyError('injected fault')

    machine.subscribe(fail)
    machine.subscribe(received_states.append)
    outcome = await machine.propose(accept_command(1))
    assert outcome.is_ok()
    assert len(received_states) == 1


async def test_failed_background_task_can_be_started_again(capsys):
    """The exception is handled within the task; the next run starts anew."""
    calls = []

    async def fail():
        calls.append(1)
        raise KeyError('injected fault')

    background = BackgroundTasks()
    for _ in range(2):
        background.run('work', fail)
        await background.wait('work')
        await asyncio.sleep(0)
    assert len(calls) == 2
    assert all(task.exception() is None for task in background.tasks.values())
    await background.close()
