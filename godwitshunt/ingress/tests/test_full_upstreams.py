"""What attempts show of upstreams: full ones, and how fast they are."""

from types import SimpleNamespace

import pytest

from godwitshunt.ingress.feedback import Lessons, UpstreamAttempt
from godwitshunt.ingress.outcomes import Lost, NotRun, Streamed
from godwitshunt.picking.attempt_recorder import AttemptRecorder
from godwitshunt.picking.attempt_reports import AttemptReport, AttemptResult
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import Load, RegistryView
from godwitshunt.routing.upstream_health import UpstreamHealth

SERVICE = SimpleNamespace(name='llm', engine=True)
SLOTS = 48


def attempt_recorder(in_flight: int) -> AttemptRecorder:
    """Return a learner that knows one upstream with a load."""
    announcement = SimpleNamespace(
        incarnation='i-1', slots=SLOTS, service='llm'
    )
    others = Load(in_flight - in_flight // 2, 0)
    view = RegistryView(
        upstreams={'i-1': SimpleNamespace(announcement=announcement)},
        loads={'i-1': others},
    )
    known = Upstreams()
    known.health['i-1'] = UpstreamHealth(in_flight=in_flight // 2)
    return AttemptRecorder(known, lambda: view, lambda incarnation: None)


def counts_against(outcome, in_flight: int) -> bool:
    """Return whether an outcome at a load counts against the upstream."""
    attempt = SimpleNamespace(
        misdirected=False,
        connected='connect' not in getattr(outcome, 'reason', ''),
    )
    made = UpstreamAttempt(None, attempt, outcome, None, 0.1)
    shown = AttemptReport('i-1', 'llm', made.shown)
    learned = attempt_recorder(in_flight)
    learned.record(shown, SERVICE, now_s=1.0)
    detector = learned.upstreams.outliers.get('llm')
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
def test_only_free_upstreams_fail_by_turning_away(outcome, in_flight, counts):
    """A region is busier than its upstreams, whose queues are full.

    They turn requests away. Counted as failures these left the upstreams out
    one after the other; callers were refused while two of four stood idle.
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
def test_speed_is_learned_of_engines_with_nothing_else_to_read(
    changes,
    in_flight,
    learns,
):
    """A first event that waited for other prompts shows no engine's speed.

    Taken for it, an engine would look the slower the more it is asked, and
    its callers would be refused.
    """
    learned = attempt_recorder(in_flight)
    speed = learned.upstreams.learned_speed(SERVICE)
    before_s = speed.token_s
    made = AttemptReport(
        'i-1',
        'llm',
        AttemptResult.answered,
        first_s=0.06,
        took_s=0.5,
        predicted_s=0.1,
        unread_tokens=8000,
        **changes,
    )
    learned.record(made, SERVICE, now_s=1.0)
    assert (speed.token_s < before_s) is learns


@pytest.mark.parametrize(
    ('choice', 'held_up'),
    [
        ({}, False),
        ({'waiting_tokens': 9000.0}, True),
        ({'is_cold': True}, True),
    ],
)
def test_what_waits_before_a_prompt_is_told_with_its_time(choice, held_up):
    """Whoever learns of the attempt does not know what the choice knew."""
    announcement = []
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
        attempt_recorder=SimpleNamespace(
            record=lambda shown, service, now_s: None
        ),
        picker=SimpleNamespace(report_attempt=announcement.append),
        quarantine=SimpleNamespace(knows_length=lambda length: False),
    )
    request = SimpleNamespace(
        service=SERVICE,
        prompt=SimpleNamespace(worth_keeping=False),
        http=SimpleNamespace(body=b''),
    )
    attempt = SimpleNamespace(misdirected=False, connected=True)
    made = UpstreamAttempt(chosen, attempt, Streamed(), 0.06, 0.5)
    Lessons(context, request).of_upstream(made)
    assert [one.was_held_up for one in announcement] == [held_up]
