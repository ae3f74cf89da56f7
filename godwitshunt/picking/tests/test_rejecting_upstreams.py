"""Upstreams that reject requests, as a picker records it."""

from types import SimpleNamespace

import pytest

from godwitshunt.backpressure import BrittleNotice
from godwitshunt.picking.attempt_recorder import AttemptRecorder
from godwitshunt.picking.attempt_reports import AttemptReport, AttemptResult
from godwitshunt.picking.chooser import penalty_s
from godwitshunt.picking.tests.test_chooser import make_upstream
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import Load, RegistryView
from godwitshunt.routing import outliers

NAME = 'k-0'
OTHERS = ('k-1', 'k-2')
SERVICE = SimpleNamespace(name='llm', engine=None)
START_S = 10.0
STEP_S = 0.05


def make_recorder(in_flight: int = 1) -> AttemptRecorder:
    """Return the recorder of a picker that knows three upstreams."""
    upstreams = [make_upstream(name, 'kochi') for name in (NAME, *OTHERS)]
    view = RegistryView(
        upstreams={one.announcement.incarnation: one for one in upstreams},
        loads={NAME: Load(in_flight)},
    )
    return AttemptRecorder(Upstreams(), lambda: view, lambda name: None)


def record(recorder: AttemptRecorder, results: str) -> float:
    """Record answers (a) and rejections (r); return the time of the last."""
    shown = {'a': AttemptResult.answered, 'r': AttemptResult.full}
    now_s = START_S
    for result in results:
        now_s += STEP_S
        report = AttemptReport(NAME, 'llm', shown[result], first_s=0.1)
        recorder.record(report, SERVICE, now_s)
    return now_s


def is_open(recorder: AttemptRecorder, now_s: float) -> bool:
    """Return whether the upstream gets requests."""
    upstreams = recorder.upstreams
    health = upstreams.health_of(NAME)
    return health.full_until_s <= now_s and not upstreams.ejected('llm', now_s)


def rejections(recorder: AttemptRecorder, why: str) -> bytes:
    """Return how many rejections are counted for a reason."""
    label = f'service="llm",why="{why}"}} '.encode()
    return recorder.metrics.render().partition(label)[2].partition(b'\n')[0]


def test_upstream_that_rejects_some_requests_stays_open():
    """Its next request would wait or be refused, and it would be ejected."""
    recorder = make_recorder()
    now_s = record(recorder, f'aaa{"raaaraarra" * 4}')
    assert is_open(recorder, now_s)
    assert rejections(recorder, 'unrelated') == b'16'
    assert not rejections(recorder, 'load')


def test_upstream_that_rejects_some_requests_costs_more():
    """Another one, which rejects nothing, is preferred."""
    recorder = make_recorder()
    now_s = record(recorder, 'aaaarara')
    upstream = recorder.view().upstreams[NAME]
    health = recorder.upstreams.health
    assert penalty_s(upstream, health[NAME], now_s) > 0
    other = recorder.upstreams.health_of(OTHERS[0])
    assert not penalty_s(upstream, other, now_s)


def test_full_upstream_is_closed():
    """All its slots are in use; each request would be rejected."""
    recorder = make_recorder(in_flight=10_000)
    now_s = record(recorder, 'aaaaaar')
    assert not is_open(recorder, now_s)
    assert rejections(recorder, 'load') == b'1'


def test_brittle_upstream_is_closed_by_each_rejection():
    """It falls over when it rejects more than it stated, whatever the load."""
    recorder = make_recorder()
    notice = BrittleNotice('llm', 3.0, START_S)
    recorder.upstreams.brittle.record(notice)
    now_s = record(recorder, 'aaaaaar')
    health = recorder.upstreams.health_of(NAME)
    pause_s = recorder.upstreams.full_backoff_s('llm')
    assert health.full_until_s == pytest.approx(now_s + pause_s)
    assert not health.rejections.cost_s(now_s)


def test_rejected_probe_prolongs_an_ejection():
    """Without an outcome the upstream would remain ejected forever."""
    recorder = make_recorder()
    now_s = record(recorder, 'aaaa')
    present = (NAME, *OTHERS)
    for _ in range(12):
        recorder.upstreams.record_outcome(
            'llm', NAME, outliers.Failed(), present, now_s
        )
    recorder.upstreams.record_sent('llm', NAME)
    record(recorder, 'r')
    assert not recorder.upstreams.outliers['llm'].is_probing(NAME)
    assert rejections(recorder, 'load') == b'1'


def test_rejecting_upstream_is_logged_once_in_a_window(monkeypatch):
    """A line for each rejection would fill the log."""
    lines = []
    monkeypatch.setattr(
        'godwitshunt.picking.attempt_recorder.log_change',
        lambda kind, **content: lines.append((kind, content)),
    )
    record(make_recorder(), f'aaa{"ra" * 30}')
    assert [kind for kind, _ in lines] == ['picking:upstream_rejects']
    assert lines[0][1]['instance'] == NAME
