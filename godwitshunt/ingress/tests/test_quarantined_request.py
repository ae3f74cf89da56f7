"""Attempts of a suspected or quarantined request."""

from types import SimpleNamespace

import pytest

from godwitshunt.exchange.problems import Outcome, ProblemKind
from godwitshunt.ingress.lifecycle import RequestLifecycle
from godwitshunt.ingress.outcomes import (
    BreakOff,
    Lost,
    NotRun,
    Progress,
    RefuseWith,
    Retry,
)
from godwitshunt.picking.choices import SendHere
from godwitshunt.quarantine import (
    Fingerprint,
    Loss,
    LostRequest,
    Quarantine,
    SuspectPart,
)
from godwitshunt.telemetry import Metrics

CRASHING = Fingerprint(bytes(16))
PART = Fingerprint(bytes(range(16)))
LENGTH_S = 100.0


class QuarantinedRequest(RequestLifecycle):
    """A request that was lost to a number of crashed upstreams."""

    def __init__(self, crashes: int, attempts: int = 3):
        self.now_s = 10.0
        self.quarantine = Quarantine(LENGTH_S, lambda: self.now_s, Metrics())
        for number in range(crashes):
            self.lose(f'i-{number}')
        self.context = SimpleNamespace(
            quarantine=self.quarantine,
            metrics=Metrics(),
        )
        self.request = SimpleNamespace(
            http=SimpleNamespace(body=b'hello'),
            service=SimpleNamespace(name='llm'),
            fingerprint=CRASHING,
            part_fingerprints=(PART,),
        )
        self.progress = Progress(repeatable=True, attempts=attempts)

    def lose(self, incarnation):
        """Record the crash of another upstream, one second later."""
        self.now_s += 1
        loss = Loss(incarnation, self.now_s, 0.1)
        self.quarantine.record_loss(LostRequest(CRASHING, '', 5, loss))

    def lose_part(self, incarnation):
        """Record a crash under another request with a part of this one."""
        self.now_s += 1
        loss = Loss(incarnation, self.now_s, 0.1)
        part = SuspectPart('llm 1', 0)
        self.quarantine.record_loss(LostRequest(PART, '', 0, loss, part))


@pytest.mark.parametrize(
    ('crashes', 'is_sent'),
    [(0, True), (1, True), (2, True), (3, False), (4, False)],
)
def test_caller_may_send_until_the_third_crash(crashes, is_sent):
    """Guards against an early refusal and against a fourth crash."""
    assert (QuarantinedRequest(crashes).quarantine_step() is None) is is_sent


def test_suspected_request_is_not_retried():
    """Retries of one attempt could crash three upstreams by themselves."""
    request = QuarantinedRequest(crashes=1)
    request.lose('i-8')
    assert request.progress.next_step(Lost('ended'), remaining_s=3.0) == Retry()
    step = request.quarantine_step()
    assert step.kind is ProblemKind.upstream_broken
    assert step.outcome is Outcome.unknown


@pytest.mark.parametrize(
    ('runs', 'begun', 'outcome'),
    [(0, False, 'not-run'), (1, False, 'unknown'), (1, True, None)],
)
def test_refusal_states_whether_the_request_ran(runs, begun, outcome):
    """A request that may have crashed an upstream is not called *not run*."""
    request = QuarantinedRequest(crashes=3)
    for _ in range(runs):
        request.progress.next_step(Lost('ended'), remaining_s=3.0)
    request.progress.begun = begun
    step = request.quarantine_step()
    if outcome is None:
        assert step == BreakOff()
    else:
        assert step.outcome.value == outcome


def test_refusal_by_another_vm_is_final():
    """A quarantined request must not be forwarded from region to region."""
    progress = Progress(repeatable=True, attempts=3)
    refusal = NotRun('vm: quarantined: lost to i-1', is_final=True)
    step = progress.next_step(refusal, remaining_s=3.0)
    assert isinstance(step, RefuseWith)
    assert (step.kind, step.outcome) == (
        ProblemKind.quarantined,
        Outcome.not_run,
    )


def test_probe_is_sent_and_repeats_wait_for_it():
    """At the end of a quarantine only one of the waiting repeats is sent."""
    request = QuarantinedRequest(crashes=3)
    request.now_s += LENGTH_S
    assert request.quarantine_step() is None
    assert request.is_probe
    other = QuarantinedRequest(crashes=0)
    other.context.quarantine = request.quarantine
    other.request = request.request
    assert other.quarantine_step().kind is ProblemKind.quarantined
    assert request.quarantine_step() is None
    request.progress.next_step(Lost('ended'), remaining_s=3.0)
    assert request.quarantine_step().outcome is Outcome.unknown


def test_request_with_a_quarantined_part_is_not_sent():
    """Its body is new, so its content was never lost."""
    request = QuarantinedRequest(crashes=0)
    for number in range(3):
        assert request.quarantine_step() is None
        request.lose_part(f'i-{number}')
    step = request.quarantine_step()
    assert step.kind is ProblemKind.quarantined
    assert 'prompt part llm 1 lost to i-0, i-1, i-2' in step.detail
    assert request.retry_after_s == LENGTH_S


def test_request_with_a_suspected_part_is_not_retried():
    """Its second attempt could be the third crash."""
    request = QuarantinedRequest(crashes=0)
    request.progress.next_step(Lost('ended'), remaining_s=3.0)
    request.lose_part('i-1')
    request.lose_part('i-2')
    assert request.quarantine_step().outcome is Outcome.unknown


async def test_request_quarantined_while_it_waits_is_not_sent(monkeypatch):
    """Requests wait for their picker, or in its queue, for seconds."""
    request = QuarantinedRequest(crashes=0)
    reports = []
    request.context.timer = SimpleNamespace(now=lambda: request.now_s)
    request.context.picker = SimpleNamespace(
        schedule_report=lambda: reports.append('report')
    )
    request.trace = SimpleNamespace(record_stage=lambda stage, now_s: None)
    request.sender = None

    async def choose():
        for number in range(3):
            request.lose_part(f'i-{number}')
        return SendHere(None, 0.1, is_cold=False)

    monkeypatch.setattr(request, 'choose_after_updates', choose)
    monkeypatch.setattr(request, 'authorizer_refusal', lambda: None)
    step = await request.make_attempts()
    assert step.kind is ProblemKind.quarantined
    assert reports == ['report']


def test_request_blamed_for_another_ones_part_is_tried():
    """Requests that many send alike are lost with a bad part each time."""
    request = QuarantinedRequest(crashes=0)
    quarantine = request.quarantine
    quarantine.name = 'north/a'
    for number in range(3):
        request.now_s += 1
        loss = Loss(f'i-{number}', request.now_s, 0.1, observer='north/a')
        bad_part = Fingerprint(bytes((7,)) * 16)
        part = SuspectPart('llm 7', 0)
        quarantine.record_losses(
            (
                LostRequest(CRASHING, '', 5, loss),
                LostRequest(bad_part, '', 0, loss, part),
            )
        )
    assert request.quarantine_step().kind is ProblemKind.quarantined
    request.now_s += 0.9
    assert request.quarantine_step() is None
    assert request.is_probe
