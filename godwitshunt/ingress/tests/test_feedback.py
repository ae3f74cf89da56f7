"""What attempts report about upstreams: refusals and speed."""

from types import SimpleNamespace

import pytest

from godwitshunt.ingress.feedback import (
    HASHED_BYTES,
    AttemptFeedback,
    CompletedAttempt,
)
from godwitshunt.ingress.outcomes import Lost, NotRun, Streamed
from godwitshunt.ingress.prompts import Prompt
from godwitshunt.picking.attempt_recorder import AttemptRecorder
from godwitshunt.picking.attempt_reports import AttemptReport, AttemptResult
from godwitshunt.picking.choices import HandOver
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.quarantine import (
    Fingerprint,
    Loss,
    LostRequest,
    Quarantine,
    QuarantineStatus,
)
from godwitshunt.registry import Load, RegistryView
from godwitshunt.routing.upstream_health import UpstreamHealth
from godwitshunt.telemetry import Metrics

SERVICE = SimpleNamespace(name='llm', engine=True)
SLOTS = 48
CONTENT = Fingerprint(bytes(16))
BODY = b'hello'


def recorder_at_load(in_flight: int) -> AttemptRecorder:
    """Return a recorder that knows one upstream with a load."""
    announcement = SimpleNamespace(
        incarnation='i-1', slots=SLOTS, service='llm'
    )
    reported_load = Load(in_flight - in_flight // 2, 0)
    view = RegistryView(
        upstreams={'i-1': SimpleNamespace(announcement=announcement)},
        loads={'i-1': reported_load},
    )
    upstreams = Upstreams()
    upstreams.health['i-1'] = UpstreamHealth(in_flight=in_flight // 2)
    return AttemptRecorder(upstreams, lambda: view, lambda incarnation: None)


def counts_against(outcome, in_flight: int) -> bool:
    """Return whether an outcome at a load counts against the upstream."""
    attempt = SimpleNamespace(
        misdirected=False,
        connected='connect' not in getattr(outcome, 'reason', ''),
    )
    completed = CompletedAttempt(None, attempt, outcome, None, 0.1)
    report = AttemptReport('i-1', 'llm', completed.attempt_result)
    recorder = recorder_at_load(in_flight)
    recorder.record(report, SERVICE, now_s=1.0)
    detector = recorder.upstreams.outliers.get('llm')
    return detector is not None and detector.states['i-1'].failure_share > 0


@pytest.mark.parametrize(
    ('outcome', 'in_flight', 'counts'),
    [
        (NotRun('status 503', arrived=True), 190, False),
        (NotRun('status 503', arrived=True), 3, True),
        (NotRun('connect: refused'), 3, False),
        (Lost('reset'), 3, True),
    ],
)
def test_refusal_counts_only_against_upstreams_with_free_slots(
    outcome, in_flight, counts
):
    """Upstreams with full queues refuse requests and are not at fault.

    Counted as failures, such refusals excluded the upstreams one after the
    other; callers were refused while two of four upstreams were idle.
    """
    assert counts_against(outcome, in_flight) is counts


@pytest.mark.parametrize(
    ('changes', 'in_flight', 'learns'),
    [
        ({}, 3, True),
        ({'was_held_up': True}, 3, False),
        ({}, 60, False),
    ],
)
def test_speed_is_learned_only_without_other_prompts_ahead(
    changes,
    in_flight,
    learns,
):
    """A first event that waited for other prompts shows no engine's speed.

    Otherwise an engine would seem slower the more requests it receives, and
    its callers would be refused.
    """
    recorder = recorder_at_load(in_flight)
    speed = recorder.upstreams.learned_speed(SERVICE)
    before_s = speed.token_s
    report = AttemptReport(
        'i-1',
        'llm',
        AttemptResult.answered,
        first_s=0.06,
        took_s=0.5,
        predicted_s=0.1,
        unread_tokens=8000,
        **changes,
    )
    recorder.record(report, SERVICE, now_s=1.0)
    assert (speed.token_s < before_s) is learns


@pytest.mark.parametrize(
    ('choice', 'had_to_wait'),
    [
        ({}, False),
        ({'waiting_tokens': 9000.0}, True),
        ({'is_cold': True}, True),
    ],
)
def test_report_states_whether_the_prompt_had_to_wait(choice, had_to_wait):
    """The recorder of a report does not know the choice that it is about."""
    reports = []
    fields = {'waiting_tokens': 0.0, 'is_cold': False, **choice}
    chosen = SimpleNamespace(
        upstream=SimpleNamespace(
            announcement=SimpleNamespace(incarnation='i-1')
        ),
        predicted_s=0.1,
        unread_tokens=8000,
        is_cached=False,
        **fields,
    )
    context = SimpleNamespace(
        timer=SimpleNamespace(now=lambda: 1.0),
        path_monitor=None,
        attempt_recorder=SimpleNamespace(
            record=lambda recorded, service, now_s: None
        ),
        picker=SimpleNamespace(report_attempt=reports.append),
        quarantine=Quarantine(900.0, lambda: 1.0, Metrics()),
    )
    request = SimpleNamespace(
        service=SERVICE,
        route=SimpleNamespace(name='r'),
        prompt=Prompt(),
        http=SimpleNamespace(body=b''),
        fingerprint=CONTENT,
    )
    attempt = SimpleNamespace(misdirected=False, connected=True)
    completed = CompletedAttempt(chosen, attempt, Streamed(), 0.06, 0.5)
    AttemptFeedback(context, request).report_upstream(completed)
    assert [report.was_held_up for report in reports] == [had_to_wait]


def attempt_state(*, answer_started, closed_by_peer):
    """Return what an attempt shows of a VM that was connected to."""
    return SimpleNamespace(
        connected=True,
        answer_started=answer_started,
        closed_by_peer=closed_by_peer,
    )


@pytest.mark.parametrize(
    ('outcome', 'answer_started', 'closed_by_peer', 'is_avoided'),
    [
        (Lost('vm: status 500', is_reported=True), True, False, False),
        (Lost('vm: reset', is_reported=True), True, True, False),
        (Lost('incomplete chunked read'), True, True, False),
        (Lost('ended before an answer'), False, True, True),
        (Lost('no sign of life'), False, False, True),
        (Lost('silent within a stream'), True, False, True),
    ],
)
def test_upstream_that_breaks_answers_closes_no_region(
    outcome, answer_started, closed_by_peer, is_avoided
):
    """Two broken answers of an upstream made its whole region unreachable."""
    neighbours = Neighbours('e-1', 'tvm')
    context = SimpleNamespace(
        timer=SimpleNamespace(now=lambda: 1.0),
        neighbours=neighbours,
        crash_detector=SimpleNamespace(record_loss=lambda *lost: None),
    )
    request = SimpleNamespace(id='r-1', service=SimpleNamespace(name='llm'))
    entry = SimpleNamespace(
        name='e-2', region='kochi', session='s', hop='127.0.0.1:1'
    )
    excluded = AttemptFeedback(context, request).report_vm(
        HandOver(entry, 0.1),
        attempt_state(
            answer_started=answer_started, closed_by_peer=closed_by_peer
        ),
        outcome,
        0.1,
    )
    assert (excluded == 'e-2') is is_avoided
    assert bool(neighbours.avoided_for('llm', 1.5)) is is_avoided


def lose(quarantine, incarnation, at_s):
    """Record a crash under a content that many callers send."""
    loss = Loss(incarnation, at_s, 0.1, observer=quarantine.name)
    quarantine.record_loss(LostRequest(CONTENT, '', len(BODY), loss))


def report_answer(quarantine, *, is_handed_over=False, body=BODY):
    """Report a whole answer to the content."""
    context = SimpleNamespace(
        timer=SimpleNamespace(now=lambda: 1.0),
        quarantine=quarantine,
        neighbours=Neighbours('e-1', 'tvm'),
        picker=SimpleNamespace(report_attempt=lambda report: None),
        attempt_recorder=SimpleNamespace(
            record=lambda recorded, service, now_s: None
        ),
    )
    request = SimpleNamespace(
        service=SERVICE,
        route=SimpleNamespace(name='r'),
        prompt=Prompt(),
        http=SimpleNamespace(body=body),
        fingerprint=CONTENT,
    )
    feedback = AttemptFeedback(context, request)
    attempt = SimpleNamespace(misdirected=False, connected=True)
    if is_handed_over:
        entry = SimpleNamespace(name='e-2', region='kochi', session='s')
        feedback.report_vm(HandOver(entry, 0.1), attempt, Streamed(), 0.5)
        return
    chosen = SimpleNamespace(
        upstream=SimpleNamespace(
            announcement=SimpleNamespace(incarnation='i-9')
        ),
        predicted_s=0.1,
        unread_tokens=0,
        waiting_tokens=0.0,
        is_cached=False,
        is_cold=False,
    )
    completed = CompletedAttempt(chosen, attempt, Streamed(), 0.06, 0.5)
    feedback.report_upstream(completed)


@pytest.mark.parametrize('is_handed_over', [False, True])
def test_answer_after_the_first_crash_clears_a_request(is_handed_over):
    """A crash long ago counted beside two crashes of a short outage.

    Many callers had sent the same request and got whole answers in between;
    then all of them were refused for minutes.
    """
    quarantine = Quarantine(900.0, lambda: 60.0, Metrics())
    lose(quarantine, 'i-0', at_s=1.0)
    report_answer(quarantine, is_handed_over=is_handed_over)
    lose(quarantine, 'i-1', at_s=100.0)
    lose(quarantine, 'i-2', at_s=101.0)
    assert quarantine.assessment(CONTENT).status is QuarantineStatus.suspected


def test_request_without_an_answer_is_quarantined():
    """A request that crashes each upstream must not be cleared."""
    quarantine = Quarantine(900.0, lambda: 60.0, Metrics())
    for number, at_s in enumerate((1.0, 100.0, 101.0)):
        lose(quarantine, f'i-{number}', at_s)
    status = quarantine.assessment(CONTENT).status
    assert status is QuarantineStatus.quarantined


@pytest.mark.parametrize('body', [BODY, bytes(HASHED_BYTES + 1)])
def test_request_answered_before_an_outage_is_tried_early(body):
    """Requests sent alike were refused for minutes after three crashes.

    Answers to long bodies are not remembered.
    """
    clock = SimpleNamespace(now_s=60.0)
    quarantine = Quarantine(900.0, lambda: clock.now_s, Metrics(), name='n/a')
    report_answer(quarantine, body=body)
    for number, at_s in enumerate((61.0, 62.0, 63.0)):
        lose(quarantine, f'i-{number}', at_s)
    clock.now_s = 63.1
    assessment = quarantine.assessment(CONTENT, companions=())
    assert assessment.status is QuarantineStatus.quarantined
    clock.now_s = 63.9
    assessment = quarantine.assessment(CONTENT, companions=())
    is_tried = assessment.status is QuarantineStatus.on_probation
    assert is_tried is (body == BODY)


def test_request_that_turns_bad_is_not_tried_for_ever():
    """Early tries must end, or a request crashes an upstream each second."""
    clock = SimpleNamespace(now_s=60.0)
    quarantine = Quarantine(900.0, lambda: clock.now_s, Metrics(), name='n/a')
    report_answer(quarantine)
    crashes = 0
    for step in range(3000):
        clock.now_s = 61 + step / 10
        assessment = quarantine.assessment(CONTENT, companions=())
        if assessment.status is not QuarantineStatus.quarantined:
            quarantine.begin_probe(CONTENT)
            lose(quarantine, f'i-{crashes}', clock.now_s)
            quarantine.end_probe(CONTENT)
            crashes += 1
    assert crashes == 5
