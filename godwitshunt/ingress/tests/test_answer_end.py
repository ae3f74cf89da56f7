"""Answers that state no length, of upstreams that crash or exit."""

from types import SimpleNamespace

import pytest

from godwitshunt.exchange.problems import WholeAnswer
from godwitshunt.ingress.outcomes import Answered, Failed, Lost, Streamed
from godwitshunt.ingress.sending import Sender

WHOLE = (
    Answered(WholeAnswer(200, (), b'half an answer')),
    Failed(WholeAnswer(500, (), b'half a failure')),
    Streamed(),
)


class AnswerSender(Sender):
    """A sender whose upstream has crashed or not, and leaves or not."""

    def __init__(self, *, crashed: bool, leaving: bool):
        async def is_end_of_crash(incarnation, address):
            return crashed

        self.context = SimpleNamespace(
            crash_detector=SimpleNamespace(is_end_of_crash=is_end_of_crash),
            pool=None,
        )
        self.feedback = SimpleNamespace(is_leaving=lambda announcement: leaving)
        self.writer = None


async def outcome_of(outcome, *, crashed, leaving=False, is_sized=False):
    """Return the outcome of an attempt whose answer seems to be whole."""

    async def run(pool, writer):
        return outcome

    attempt = SimpleNamespace(
        run=run, is_forward=False, ends_with_connection=not is_sized
    )
    announcement = SimpleNamespace(incarnation='i-1', address=None)
    sender = AnswerSender(crashed=crashed, leaving=leaving)
    return await sender.run_attempt(attempt, announcement)


@pytest.mark.parametrize('outcome', WHOLE)
async def test_part_of_an_answer_is_lost_with_its_upstream(outcome):
    """Callers take it for the whole, and it clears what crashed."""
    seen = await outcome_of(outcome, crashed=True)
    assert isinstance(seen, Lost)


@pytest.mark.parametrize('outcome', WHOLE)
@pytest.mark.parametrize(
    ('crashed', 'leaving', 'is_sized'),
    [(False, False, False), (True, True, False), (True, False, True)],
)
async def test_whole_answer_is_delivered(outcome, crashed, leaving, is_sized):
    """An upstream may exit after its last answer, or close each connection."""
    seen = await outcome_of(
        outcome, crashed=crashed, leaving=leaving, is_sized=is_sized
    )
    assert seen is outcome
