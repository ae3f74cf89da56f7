"""A VM that has just started, while news of the others still comes."""

import asyncio
from types import SimpleNamespace

import pytest

from godwitshunt.ingress.lifecycle import RequestLife
from godwitshunt.ingress.task import IngressTask
from godwitshunt.picking.choices import (
    NoPlace,
)
from godwitshunt.registry.tests.deployment import Deployment, address
from godwitshunt.registry.watch import WARM_UP_PERIOD_S, WARM_UP_S

NOWHERE = NoPlace(overloaded=False, retry_after_s=0.4)
FULL = NoPlace(overloaded=True, retry_after_s=0.4)


class Choosing(RequestLife):
    """A request whose choices a test has written down."""

    def __init__(self, choices, *, is_warming_up=True):
        self.choices = list(choices)
        self.context = SimpleNamespace(
            watch=SimpleNamespace(is_warming_up=is_warming_up)
        )

    async def choose(self):
        """Return the next choice."""
        return self.choices.pop(0)


@pytest.fixture(autouse=True)
def _no_wait(monkeypatch):
    monkeypatch.setattr('godwitshunt.ingress.lifecycle.NEWS_WAIT_S', 0)


@pytest.mark.parametrize(
    ('choices', 'is_warming_up', 'left'),
    [
        ([NOWHERE, 'i-1', 'i-2'], True, 1),
        ([NOWHERE, NOWHERE, NOWHERE, NOWHERE, 'i-1'], True, 1),
        ([NOWHERE, 'i-1'], False, 1),
        ([FULL, 'i-1'], True, 1),
    ],
)
async def test_a_request_waits_for_news_of_a_first_upstream(
    choices,
    is_warming_up,
    left,
):
    """After the start of all VMs a region hears of the others last.

    Its requests that only those may serve were refused for half a second, and
    came back after their objective. One that finds full upstreams, or a VM
    that has known for long that there is none, is refused at once.
    """
    request = Choosing(choices, is_warming_up=is_warming_up)
    await request.choose_with_news()
    assert len(request.choices) == left


async def test_the_first_control_vm_is_asked_often_while_young():
    """Other VMs take requests a moment later than this one asked first."""
    deployment = Deployment()
    watch = deployment.entry(101)
    await deployment.poll_controls(watch)
    watch.started_s = deployment.timer.now()
    asked: list[str] = []
    watch.start_poll = lambda target: asked.append(str(target))
    deployment.timer.advance(WARM_UP_PERIOD_S)
    watch.tick()
    assert asked == [str(address(1))]
    watch.started_s -= WARM_UP_S
    watch.tick()
    assert asked == [str(address(1))]


async def test_a_control_vm_that_never_answered_is_asked_again_soon():
    """It starts a moment later than the VMs that ask it.

    One that has answered before is asked with the next period only: while it
    is gone, each VM would else ask it ten times a second.
    """
    deployment = Deployment()
    watch = deployment.entry(101)
    await deployment.poll(watch, 1)
    watch.started_s = deployment.timer.now()
    watch.subscription = SimpleNamespace()
    again = []
    watch.timer = SimpleNamespace(
        now=deployment.timer.now,
        after=lambda when_s, work: again.append(work),
    )
    watch.retry_initial_poll(address(1))
    assert not again
    watch.retry_initial_poll(address(2))
    assert len(again) == 1
    watch.subscription = None
    watch.retry_initial_poll(address(2))
    assert len(again) == 1


@pytest.mark.parametrize(
    ('is_warming_up', 'comes_after_s', 'waited', 'admitted'),
    [
        (True, 0.01, True, True),
        (True, None, True, False),
        (False, None, False, False),
    ],
)
async def test_a_request_just_before_the_first_revision_waits_for_it(
    monkeypatch,
    is_warming_up,
    comes_after_s,
    waited,
    admitted,
):
    """All VMs got power, and a VM has its revision a moment later.

    Refused, callers would come back after that; one that can have none for
    long must be refused at once.
    """
    monkeypatch.setattr('godwitshunt.ingress.task.FIRST_WAIT_S', 0.1)
    task = IngressTask.__new__(IngressTask)
    task.active_revision = None
    task.configured = asyncio.Event()
    task.context = SimpleNamespace(
        watch=SimpleNamespace(is_warming_up=is_warming_up)
    )
    if comes_after_s is not None:
        loop = asyncio.get_running_loop()
        loop.call_later(comes_after_s, task.configured.set)
    waiting = asyncio.create_task(task.wait_for_revision())
    for _ in range(3):
        await asyncio.sleep(0)
    assert waiting.done() is not waited
    await waiting
    assert task.configured.is_set() is admitted
