"""What an entry VM does with an upstream that starts again under its name."""

from types import SimpleNamespace

import pytest

from godwitshunt.exchange.requests import HttpRequest
from godwitshunt.ingress.feedback import UpstreamAttempt
from godwitshunt.ingress.header_names import HeaderNames
from godwitshunt.ingress.outcomes import NotRun
from godwitshunt.ingress.sending import Sender
from godwitshunt.ingress.task import IngressTask
from godwitshunt.picking.attempt_recorder import AttemptRecorder
from godwitshunt.picking.attempt_reports import AttemptReport, AttemptResult
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import RegistryView, UpstreamAnnounced
from godwitshunt.routing.upstream_health import CONNECT_BACKOFF_S
from godwitshunt.settings import Address

NOW_S = 50.0
NAMES = HeaderNames()
TOLD = UpstreamAnnounced(
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


def test_a_request_names_the_upstream_and_its_connection_the_start():
    """An upstream knows its own name, and nothing of our incarnations.

    With the incarnation for its name it would turn every request away; with a
    connection to the start before, what is sent would be lost.
    """
    request = SimpleNamespace(
        route=SimpleNamespace(repeatable=True),
        http=HttpRequest('GET', '/x', '', (), b''),
        headers=(),
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
    )
    made = sender.upstream_request(TOLD)
    assert made.origin == 'i-1~1000'
    assert dict(made.headers)[NAMES.expected_instance] == b'i-1'
    assert dict(made.headers)[NAMES.organisation] == b'wards'


def test_connections_to_a_start_that_ended_are_closed():
    """The tick of an entry VM follows which incarnations there are."""
    forgotten = []

    def note(present):
        forgotten.append(set(present))

    forgets = SimpleNamespace(remove_absent=note)
    view = RegistryView(upstreams={'i-1~1000': None})
    task = IngressTask.__new__(IngressTask)
    task.in_progress = 0
    task.context = SimpleNamespace(
        watch=SimpleNamespace(view=lambda: view, round_trips=dict),
        timer=SimpleNamespace(now=lambda: NOW_S),
        neighbours=SimpleNamespace(record_entries=lambda entries, now_s: None),
        upstreams=SimpleNamespace(remove_absent=lambda present: None),
        budgets=SimpleNamespace(cold=forgets),
        pool=forgets,
        metrics=SimpleNamespace(gauge=lambda name, value: None),
    )
    task.tick()
    assert forgotten == [{'i-1~1000'}, {'i-1~1000'}]


@pytest.mark.parametrize('connected', [True, False])
def test_a_failed_connect_makes_an_upstream_suspect(connected):
    """It may start again at any moment, and be cold before that is heard."""
    attempt = SimpleNamespace(misdirected=False, connected=connected)
    choice = SimpleNamespace(upstream=SimpleNamespace(announcement=TOLD))
    made = UpstreamAttempt(choice, attempt, NotRun('connect'), None, 0.1)
    assert (made.shown is AttemptResult.unreached) is not connected
    upstreams = Upstreams()
    attempt_recorder = AttemptRecorder(
        upstreams, RegistryView, lambda incarnation: None
    )
    if made.shown is not None:
        attempt_recorder.record(
            AttemptReport('i-1', 'llm', made.shown), None, NOW_S
        )
    health = upstreams.health_of('i-1')
    missed = (health.connect_failed_s, health.down_until_s)
    assert (missed == (NOW_S, NOW_S + CONNECT_BACKOFF_S)) is not connected


def test_another_upstream_at_the_address_is_told():
    """The start that was meant is no longer there; nothing ran."""
    left = []
    attempt = SimpleNamespace(misdirected=True, connected=True)
    outcome = NotRun('status 421', arrived=True)
    made = UpstreamAttempt(None, attempt, outcome, None, 0.1)
    attempt_recorder = AttemptRecorder(Upstreams(), RegistryView, left.append)
    attempt_recorder.record(
        AttemptReport('i-1', 'llm', made.shown), None, NOW_S
    )
    assert left == ['i-1']
