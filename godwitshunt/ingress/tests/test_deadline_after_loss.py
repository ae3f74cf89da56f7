"""Deadlines that pass between the end of an attempt and the next one."""

import asyncio
from types import SimpleNamespace

import pytest

from godwitshunt.exchange.problems import Outcome, ProblemKind
from godwitshunt.ingress.lifecycle import RequestLifecycle
from godwitshunt.ingress.outcomes import Lost, NotRun, Progress
from godwitshunt.ingress.sending import RETURN_MARGIN_S
from godwitshunt.picking.choices import SendHere

REMAINING_S = RETURN_MARGIN_S + 0.1
UPSTREAM = SimpleNamespace(
    announcement=SimpleNamespace(incarnation='i-1', instance='i-1')
)


class LostRequest(RequestLifecycle):
    """A request whose attempt ends at once, and whose loss is checked.

    Parameters
    ----------
    outcome : AttemptOutcome
        Outcome of the attempt.
    """

    def __init__(self, outcome):
        self.outcome = outcome
        self.probed = ()
        self.progress = Progress(repeatable=False, attempts=1)
        self.request = SimpleNamespace(
            remaining_s=self.remaining_s,
            fingerprint='x',
            part_fingerprints=(),
        )
        self.trace = SimpleNamespace(record_stage=self.ignore)
        self.sender = SimpleNamespace(in_flight=False, send=self.send)
        self.context = SimpleNamespace(
            timer=SimpleNamespace(now=float),
            quarantine=SimpleNamespace(
                table=SimpleNamespace(has_losses=bool),
                length_s=1.0,
            ),
            crash_detector=SimpleNamespace(wait_checked=self.check_for_ever),
        )

    def remaining_s(self, now_s):
        """Return the time until the deadline."""
        return REMAINING_S

    def ignore(self, stage, now_s):
        """Record no stage."""

    async def send(self, choice):
        """End the attempt at once."""
        return self.outcome

    async def check_for_ever(self, incarnation):
        """Check whether the upstream crashed, until the deadline passes."""
        await asyncio.Event().wait()

    async def choose_after_updates(self):
        """Choose the one upstream; after an attempt, wait for a place."""
        if self.progress.sends:
            await asyncio.Event().wait()
        return SendHere(UPSTREAM, None, 0.0)

    def quarantine_step(self):
        """Tell that the request may be sent."""

    def late_quarantine_step(self):
        """Tell that the request may be sent."""

    def authorizer_refusal(self):
        """Tell that the request may be sent."""


@pytest.mark.parametrize(
    ('outcome', 'kind', 'told'),
    [
        (Lost('ended'), ProblemKind.deadline, Outcome.unknown),
        (NotRun('refused'), ProblemKind.overloaded, Outcome.not_run),
    ],
)
async def test_deadline_while_a_crash_is_checked(outcome, kind, told):
    """A request that ran was refused as not run, and could run twice."""
    step = await LostRequest(outcome).run_attempts()
    assert (step.kind, step.outcome) == (kind, told)
