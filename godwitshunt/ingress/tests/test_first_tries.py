"""First tries that the retry window counts."""

from unittest.mock import MagicMock

import pytest

from godwitshunt.ingress.outcomes import Answered, Lost, NotRun, Progress
from godwitshunt.ingress.request_trace import RequestTrace, Stage
from godwitshunt.ingress.sending import Sender
from godwitshunt.routing.retry_window import RetryBounds, RetryWindow

UNREACHED = NotRun('connect: TimeoutError()')
REJECTED = NotRun('status 503', arrived=True)
LOST = Lost('ended before an answer')
ANSWERED = Answered(None)


class SentRequest(Sender):
    """A request whose attempts have given outcomes."""

    def __init__(self, outcomes, *, repeat):
        self.outcomes = iter(outcomes)
        self.window = RetryWindow(RetryBounds())
        self.request = MagicMock(arrived_s=0.0)
        self.request.route.repeatable = False
        self.progress = Progress(True, 4, arrivals=int(repeat))
        self.trace = RequestTrace(self.request)
        self.context = MagicMock()
        self.context.timer.now.return_value = 5.0
        self.context.budgets.retry_window.return_value = self.window

    def make_attempt(self, *settings, **options):
        """Return no attempt."""

    def build_upstream_request(self, announcement):
        """Return no message."""

    def timeouts(self, predicted_s):
        """Return no timeouts."""

    def claim(self, choice):
        """Return no claim."""

    def report(self, *ended):
        """Report nothing."""

    async def run_attempt(self, attempt, announcement=None):
        """Reach the stages that an outcome implies, and return it."""
        outcome = next(self.outcomes)
        if outcome is not UNREACHED:
            self.record_stage(Stage.sent)
        self.progress.record(outcome)
        return outcome


@pytest.mark.parametrize(
    ('outcomes', 'counted'),
    [
        ((ANSWERED,), 1),
        ((UNREACHED, UNREACHED, UNREACHED), 0),
        ((UNREACHED, UNREACHED, ANSWERED), 1),
        ((REJECTED, ANSWERED), 1),
        ((UNREACHED, LOST, ANSWERED), 1),
    ],
)
@pytest.mark.parametrize('repeat', [False, True])
async def test_each_request_is_one_first_try(outcomes, counted, repeat):
    """Attempts that don't connect were first tries, and earned retries."""
    request = SentRequest(outcomes, repeat=repeat)
    for _ in outcomes:
        await request.send_to_upstream(MagicMock())
    expected = 0 if repeat else counted
    assert len(request.window.first_tries) == expected
