"""What attempts show of upstreams: full ones, and how fast they are."""

from types import SimpleNamespace

import pytest

from godwitshunt.ingress.learned_speed import LearnedSpeed
from godwitshunt.ingress.learning import Lessons, UpstreamAttempt
from godwitshunt.ingress.outcomes import Lost, NotRun, Streamed
from godwitshunt.registry import Load
from godwitshunt.routing.upstream_health import UpstreamHealth

SLOTS = 48


def counts_against(outcome, in_flight: int) -> bool:
    """Return whether an outcome at a load counts against the upstream."""
    health = UpstreamHealth(in_flight=in_flight // 2)
    view = SimpleNamespace(loads={'i-1': Load(in_flight - in_flight // 2, 0)})
    parts = SimpleNamespace(
        watch=SimpleNamespace(view=lambda: view),
        upstreams=SimpleNamespace(of=lambda instance: health),
    )
    told = SimpleNamespace(incarnation='i-1', slots=SLOTS)
    choice = SimpleNamespace(seen=SimpleNamespace(told=told))
    made = UpstreamAttempt(choice, None, outcome, None, 0.1)
    return Lessons(parts, None).failed(made)


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
        ({'waiting_tokens': 9000.0}, 3, False),
        ({'is_cold': True}, 3, False),
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
    speed = LearnedSpeed.of_engine()
    health = UpstreamHealth(in_flight=in_flight)
    parts = SimpleNamespace(
        watch=SimpleNamespace(view=lambda: SimpleNamespace(loads={})),
        upstreams=SimpleNamespace(
            of=lambda instance: health,
            learned=lambda service: speed,
        ),
    )
    fields = {'waiting_tokens': 0.0, 'is_cold': False, **changes}
    choice = SimpleNamespace(
        seen=SimpleNamespace(
            told=SimpleNamespace(incarnation='i-1', slots=SLOTS),
        ),
        predicted_s=0.1,
        unread_tokens=8000,
        **fields,
    )
    lessons = Lessons(parts, SimpleNamespace(service=None))
    lessons.note_outcome = lambda *told: None
    before_s = speed.token_s
    made = UpstreamAttempt(choice, None, Streamed(), 0.06, 0.5)
    lessons.note_answer(made, now_s=1.0)
    assert (speed.token_s < before_s) is learns
