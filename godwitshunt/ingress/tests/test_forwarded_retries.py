"""The retry budget of requests that one VM forwards to another one."""

from types import SimpleNamespace

import pytest

from godwitshunt.ingress.lifecycle import RequestLifecycle
from godwitshunt.ingress.outcomes import Lost, NotRun, Progress
from godwitshunt.ingress.request_trace import RequestTrace
from godwitshunt.routing.retry_window import RetryBounds, RetryWindow
from godwitshunt.telemetry import Metrics

NOW_S = 5.0
REJECTED = NotRun('status 503', arrived=True)
UNREACHED = NotRun('connect: refused')
LOST = Lost('ended before an answer')


class ForwardedRequest(RequestLifecycle):
    """A request that another VM forwarded, or that a caller sent."""

    def __init__(self, *, repeat: bool):
        self.window = RetryWindow(RetryBounds(share=0.0, allowance=10.0))
        self.request = SimpleNamespace(
            id='r-1', repeat=repeat, service=SimpleNamespace(name='llm')
        )
        self.trace = RequestTrace(self.request)
        self.progress = Progress(
            repeatable=True, attempts=3, arrivals=int(repeat)
        )
        self.context = SimpleNamespace(
            budgets=SimpleNamespace(
                retry_window=lambda service: self.window,
                lease=SimpleNamespace(
                    started_s=0.0, part=lambda now_s, sharers: 1.0
                ),
            ),
            timer=SimpleNamespace(now=lambda: NOW_S),
            allowance_sharers=lambda: 1,
            metrics=Metrics(),
        )


@pytest.mark.parametrize('repeat', [False, True])
@pytest.mark.parametrize(
    ('outcomes', 'spent'),
    [
        ((), 0),
        ((REJECTED,), 1),
        ((LOST,), 1),
        ((UNREACHED,), 0),
        ((UNREACHED, REJECTED), 1),
        ((REJECTED, REJECTED), 2),
    ],
)
def test_each_retry_is_spent_once(repeat, outcomes, spent):
    """The VM that forwards a repeat has spent its first attempt here.

    Spent twice, one region's retries used up the budget of a VM in another
    region, whose upstream was idle.
    """
    request = ForwardedRequest(repeat=repeat)
    assert request.spend_retry()
    for outcome in outcomes:
        request.progress.next_step(outcome, remaining_s=1.0)
        assert request.spend_retry()
    assert len(request.window.retries) == spent
