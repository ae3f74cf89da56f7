"""Requests at a VM that has started recently and still receives updates."""

import asyncio
from types import SimpleNamespace

import pytest

from godwitshunt.ingress.lifecycle import RequestLifecycle
from godwitshunt.ingress.task import IngressTask
from godwitshunt.picking.choices import (
    NoPlace,
)
from godwitshunt.registry.tests.deployment import Deployment, address
from godwitshunt.registry.watch import WARM_UP_PERIOD_S, WARM_UP_S

NO_UPSTREAM = NoPlace(overloaded=False, retry_after_s=0.4)
FULL = NoPlace(overloaded=True, retry_after_s=0.4)


class ScriptedRequest(RequestLifecycle):
    """A request with predefined choices."""

    def __init__(self, choices, *, is_warming_up=True):
        self.choices = list(choices)
        self.context = SimpleNamespace(
            watch=SimpleNamespace(is_warming_up=is_warming_up)
        )

    async def choose(self):
        """Return the next choice."""
        return self.choices.pop(0)


@pytest.fixture(autouse=True)
def _no_update_wait(monkeypatch):
    monkeypatch.setattr('godwitshunt.ingress.lifecycle.UPDATE_WAIT_S', 0)


@pytest.mark.parametrize(
    ('choices', 'is_warming_up', 'remaining_choices'),
    [
        ([NO_UPSTREAM, 'i-1', 'i-2'], True, 1),
        ([NO_UPSTREAM, NO_UPSTREAM, NO_UPSTREAM, NO_UPSTREAM, 'i-1'], True, 1),
        ([NO_UPSTREAM, 'i-1'], False, 1),
        ([FULL, 'i-1'], True, 1),
    ],
)
async def test_request_waits_for_updates_about_a_first_upstream(
    choices,
    is_warming_up,
    remaining_choices,
):
    """After a full restart a VM learns of other regions last.

    Requests that only those can serve were refused for half a second, and
    callers came back after their objective. Requests are refused at once where
    upstreams are full, or where the VM has run long enough to know that there
    is none.
    """
    request = ScriptedRequest(choices, is_warming_up=is_warming_up)
    await request.choose_after_updates()
    assert len(request.choices) == remaining_choices


async def test_first_control_vm_is_polled_often_after_the_start():
    """Other VMs accept requests slightly later than this VM polls first."""
    deployment = Deployment()
    watch = deployment.entry(101)
    await deployment.poll_controls(watch)
    watch.started_s = deployment.timer.now()
    polled: list[str] = []
    watch.start_poll = lambda target: polled.append(str(target))
    deployment.timer.advance(WARM_UP_PERIOD_S)
    watch.tick()
    assert polled == [str(address(1))]
    watch.started_s -= WARM_UP_S
    watch.tick()
    assert polled == [str(address(1))]


async def test_control_vm_that_never_answered_is_polled_again_soon():
    """The control VM may start slightly later than the VMs that poll it.

    One that has answered before is polled with the next period only. Otherwise
    each VM would poll it ten times a second while it is down.
    """
    deployment = Deployment()
    watch = deployment.entry(101)
    await deployment.poll(watch, 1)
    watch.started_s = deployment.timer.now()
    watch.subscription = SimpleNamespace()
    retries = []
    watch.timer = SimpleNamespace(
        now=deployment.timer.now,
        after=lambda when_s, work: retries.append(work),
    )
    watch.retry_initial_poll(address(1))
    assert not retries
    watch.retry_initial_poll(address(2))
    assert len(retries) == 1
    watch.subscription = None
    watch.retry_initial_poll(address(2))
    assert len(retries) == 1


@pytest.mark.parametrize(
    ('is_warming_up', 'arrives_after_s', 'waited', 'admitted'),
    [
        (True, 0.01, True, True),
        (True, None, True, False),
        (False, None, False, False),
    ],
)
async def test_request_before_the_first_revision_waits_for_it(
    monkeypatch,
    is_warming_up,
    arrives_after_s,
    waited,
    admitted,
):
    """After a power failure a VM receives its revision shortly after it starts.

    Refused callers would come back later than that. A VM that cannot receive a
    revision soon must refuse at once.
    """
    monkeypatch.setattr('godwitshunt.ingress.task.FIRST_REVISION_WAIT_S', 0.1)
    task = IngressTask.__new__(IngressTask)
    task.active_revision = None
    task.configured = asyncio.Event()
    task.context = SimpleNamespace(
        watch=SimpleNamespace(is_warming_up=is_warming_up)
    )
    if arrives_after_s is not None:
        loop = asyncio.get_running_loop()
        loop.call_later(arrives_after_s, task.configured.set)
    waiting = asyncio.create_task(task.wait_for_revision())
    for _ in range(3):
        await asyncio.sleep(0)
    assert waiting.done() is not waited
    await waiting
    assert task.configured.is_set() is admitted
