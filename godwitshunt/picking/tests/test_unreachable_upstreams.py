"""Failed connections of some of a region's entry VMs."""

from types import SimpleNamespace

import pytest

from godwitshunt.picking.attempt_recorder import AttemptRecorder, Reporter
from godwitshunt.picking.attempt_reports import AttemptReport, AttemptResult
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import RegistryView
from godwitshunt.routing.upstream_health import CONNECT_BACKOFF_S

SERVICE = SimpleNamespace(name='llm', engine=True)
FAILED = AttemptReport('i-1', 'llm', AttemptResult.unreached)
NOW_S = 100.0


def make_recorder() -> AttemptRecorder:
    """Return a picker's recorder without upstreams."""
    return AttemptRecorder(Upstreams(), RegistryView, lambda name: None)


def is_unreachable(recorder: AttemptRecorder, now_s: float) -> bool:
    """Return whether the picker sends no request to the upstream."""
    return recorder.upstreams.health_of('i-1').down_until_s > now_s


@pytest.mark.parametrize(
    ('reporters', 'entries', 'unreachable'),
    [
        (('e-1',), 3, False),
        (('e-1', 'e-1'), 3, False),
        (('e-1', 'e-2'), 3, True),
        (('e-1',), 1, True),
    ],
)
def test_one_vm_without_a_path_closes_no_upstream(
    reporters, entries, unreachable
):
    """One VM without links closed each upstream for its whole region.

    It was limited to the load of a cold upstream besides.
    """
    recorder = make_recorder()
    for name in reporters:
        recorder.record(FAILED, SERVICE, NOW_S, Reporter(name, entries))
    assert is_unreachable(recorder, NOW_S) is unreachable
    health = recorder.upstreams.health_of('i-1')
    assert (health.connect_failed_s == NOW_S) is unreachable


def test_failed_connections_that_lie_apart_confirm_nothing():
    """Two VMs fail to connect, one after the other has recovered."""
    recorder = make_recorder()
    recorder.record(FAILED, SERVICE, NOW_S, Reporter('e-1', 3))
    later_s = NOW_S + CONNECT_BACKOFF_S + 0.1
    recorder.record(FAILED, SERVICE, later_s, Reporter('e-2', 3))
    assert not is_unreachable(recorder, later_s)


def test_upstream_that_answers_others_stays_open():
    """Two of a region's VMs cannot reach an upstream that serves the third."""
    recorder = make_recorder()
    recorder.record(FAILED, SERVICE, NOW_S, Reporter('e-1', 3))
    health = recorder.upstreams.health_of('i-1')
    health.record_report('e-3', None, NOW_S + 0.2)
    recorder.record(FAILED, SERVICE, NOW_S + 0.3, Reporter('e-2', 3))
    assert not is_unreachable(recorder, NOW_S + 0.3)
