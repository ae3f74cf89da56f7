"""A VM that has just started, while news of the others still comes."""

from types import SimpleNamespace

import pytest

from godwitshunt.ingress.choices import (
    NoPlace,
)
from godwitshunt.ingress.life import RequestLife
from godwitshunt.registry.tests.test_prefixes import Deployment
from godwitshunt.registry.watch import YOUNG_S

NOWHERE = NoPlace(overloaded=False, retry_after_s=0.4)
FULL = NoPlace(overloaded=True, retry_after_s=0.4)


class Choosing(RequestLife):
    """A request whose choices a test has written down."""

    def __init__(self, choices, *, is_young=True):
        self.choices = list(choices)
        self.parts = SimpleNamespace(watch=SimpleNamespace(is_young=is_young))

    def choose(self):
        """Return the next choice."""
        return self.choices.pop(0)


@pytest.fixture(autouse=True)
def _no_wait(monkeypatch):
    monkeypatch.setattr('godwitshunt.ingress.life.NEWS_WAIT_S', 0)


@pytest.mark.parametrize(
    ('choices', 'is_young', 'left'),
    [
        ([NOWHERE, 'i-1', 'i-2'], True, 1),
        ([NOWHERE, NOWHERE, NOWHERE, NOWHERE, 'i-1'], True, 1),
        ([NOWHERE, 'i-1'], False, 1),
        ([FULL, 'i-1'], True, 1),
    ],
)
async def test_a_request_waits_for_news_of_a_first_upstream(
    choices,
    is_young,
    left,
):
    """After the start of all VMs a region hears of the others last.

    Its requests that only those may serve were refused for half a second, and
    came back after their objective. One that finds full upstreams, or a VM
    that has known for long that there is none, is refused at once.
    """
    request = Choosing(choices, is_young=is_young)
    await request.choose_with_news()
    assert len(request.choices) == left


def test_the_nearest_control_vm_is_asked_often_while_young():
    """Other VMs take requests a moment later than this one asked first."""
    deployment = Deployment()
    watch = deployment.entry('one')
    deployment.poll_all(watch)
    watch.started_s = deployment.clock.now_s
    watch.young = SimpleNamespace(cancel=lambda: asked.append('no more'))
    asked: list[str] = []
    watch.control = lambda: ('near', 'far')
    watch.begin = asked.append
    watch.poll_nearest()
    deployment.clock.now_s += YOUNG_S
    watch.poll_nearest()
    assert asked == ['near', 'no more']
