"""Upstreams that turn requests away because they are full."""

from types import SimpleNamespace

import pytest

from godwitshunt.ingress.learning import Lessons, UpstreamAttempt
from godwitshunt.ingress.outcomes import Lost, NotRun
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
