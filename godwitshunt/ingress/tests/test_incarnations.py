"""Upstreams that restart under the same name."""

from types import SimpleNamespace

import pytest

from godwitshunt.backpressure import NO_SHARE
from godwitshunt.exchange.requests import HttpRequest
from godwitshunt.ingress.feedback import CompletedAttempt
from godwitshunt.ingress.header_names import HeaderNames
from godwitshunt.ingress.outcomes import NotRun
from godwitshunt.ingress.sending import Sender
from godwitshunt.ingress.task import IngressTask
from godwitshunt.picking.attempt_recorder import AttemptRecorder
from godwitshunt.picking.attempt_reports import AttemptReport, AttemptResult
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import RegistryView, UpstreamAnnounced
from godwitshunt.routing.upstream_health import CONNECT_BACKOFF_S
from godwitshunt.settings import Address

NOW_S = 50.0
NAMES = HeaderNames()
ANNOUNCEMENT = UpstreamAnnounced(
    'i-1',
    'llm',
    Address(host='10.0.0.1', port=80),
    'a',
    48,
    draining=False,
    cold_s=0,
    sequence=1,
    born_ms=1000,
)


def test_request_names_the_upstream_and_connection_the_incarnation():
    """An upstream knows its own name but not the incarnations of this system.

    It would refuse any request that names its incarnation. A connection to the
    previous incarnation would lose the request.
    """
    request = SimpleNamespace(
        route=SimpleNamespace(repeatable=True),
        http=HttpRequest('GET', '/x', '', (), b''),
        headers=(),
        service=SimpleNamespace(name='s'),
        urgency=3,
        id='r-1',
        resume_after=None,
        organisation_name='wards',
        remaining_s=lambda now_s: 2.0,
    )
    sender = Sender.__new__(Sender)
    sender.request = request
    sender.progress = SimpleNamespace(begun=False)
    sender.context = SimpleNamespace(
        names=NAMES,
        timer=SimpleNamespace(now=lambda: NOW_S),
        picker=SimpleNamespace(scheduled=set()),
    )
    outgoing = sender.build_upstream_request(ANNOUNCEMENT)
    assert outgoing.origin == 'i-1~1000'
    assert dict(outgoing.headers)[NAMES.expected_instance] == b'i-1'
    assert dict(outgoing.headers)[NAMES.organisation] == b'wards'


def test_connections_to_ended_incarnations_are_closed():
    """The tick of an entry VM follows the known incarnations."""
    removed_except = []

    def record(present):
        removed_except.append(set(present))

    recorder = SimpleNamespace(remove_absent=record)
    view = RegistryView(upstreams={'i-1~1000': None})
    task = IngressTask.__new__(IngressTask)
    task.in_progress = 0
    task.context = SimpleNamespace(
        watch=SimpleNamespace(view=lambda: view, round_trips=dict),
        timer=SimpleNamespace(now=lambda: NOW_S),
        neighbours=Neighbours('e-1', 'kochi'),
        upstreams=Upstreams(),
        budgets=SimpleNamespace(cold=recorder),
        pool=recorder,
        answer_headers=recorder,
        rate_share=lambda: NO_SHARE,
        renew_lease=lambda: None,
        metrics=SimpleNamespace(gauge=lambda name, value: None),
        buffers=None,
    )
    task.tick()
    assert len(removed_except) == 3
    assert all(present == {'i-1~1000'} for present in removed_except)


@pytest.mark.parametrize('connected', [True, False])
def test_failed_connect_is_reported_as_unreached(connected):
    """The upstream may restart at any time and be cold before that is known."""
    attempt = SimpleNamespace(misdirected=False, connected=connected)
    choice = SimpleNamespace(
        upstream=SimpleNamespace(announcement=ANNOUNCEMENT)
    )
    completed = CompletedAttempt(choice, attempt, NotRun('connect'), None, 0.1)
    assert (
        completed.attempt_result is AttemptResult.unreached
    ) is not connected
    upstreams = Upstreams()
    attempt_recorder = AttemptRecorder(
        upstreams, RegistryView, lambda incarnation: None
    )
    if completed.attempt_result is not None:
        attempt_recorder.record(
            AttemptReport('i-1', 'llm', completed.attempt_result), None, NOW_S
        )
    health = upstreams.health_of('i-1')
    failure = (health.connect_failed_s, health.down_until_s)
    assert (failure == (NOW_S, NOW_S + CONNECT_BACKOFF_S)) is not connected


def test_another_upstream_at_the_address_is_reported():
    """The intended incarnation has ended; nothing ran."""
    replaced = []
    attempt = SimpleNamespace(misdirected=True, connected=True)
    outcome = NotRun('status 421', arrived=True)
    completed = CompletedAttempt(None, attempt, outcome, None, 0.1)
    attempt_recorder = AttemptRecorder(
        Upstreams(), RegistryView, replaced.append
    )
    attempt_recorder.record(
        AttemptReport('i-1', 'llm', completed.attempt_result), None, NOW_S
    )
    assert replaced == ['i-1']
