"""Tests of admission queues, outlier ejection and cold cache ramps."""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitshunt.manifest import Objective, RequestClass
from godwitshunt.membership.views import RegionView, UpstreamView
from godwitshunt.routing.admission import AdmissionQueue, Queued, Ticket
from godwitshunt.routing.messages import (
    RefusalReason,
    Refuse,
    RouteRequest,
    Serve,
    Wait,
)
from godwitshunt.routing.outliers import (
    FIRST_EJECTION_S,
    Answered,
    Failed,
    OutlierDetector,
)
from godwitshunt.routing.ramp import PREFILL_SHARE, WARM_UP_S, ColdRamp
from godwitshunt.routing.router import Router
from godwitshunt.settings import Address
from godwitshunt.timer import VirtualTimerService

CLASSES = (
    RequestClass(name='urgent', priority=5, queue_limit=50),
    RequestClass(name='long', priority=1, queue_limit=20),
)
PRIORITIES = {'urgent': 5, 'long': 1}


def make_queues():
    """Return empty queues."""
    return AdmissionQueue.from_config(CLASSES, Random(1))


def make_ticket(
    number, name='urgent', arrived_s=0.0, time_s=10.0, answer_s=0.0
):
    """Return a ticket of a class."""
    return Ticket(
        number,
        name,
        PRIORITIES[name],
        arrived_s,
        arrived_s + time_s,
        answer_s,
    )


def test_full_queue_refuses_with_jittered_retry():
    """More requests arrive than the queue holds.

    The others are refused at once, each with a different retry time.
    """
    queues = make_queues()
    outcomes = [queues.offer(make_ticket(number), 0.0) for number in range(30)]
    waiting = [outcome for outcome in outcomes if isinstance(outcome, Queued)]
    refused = [outcome for outcome in outcomes if isinstance(outcome, Refuse)]
    assert waiting
    assert {outcome.reason for outcome in refused} == {RefusalReason.overloaded}
    assert len({outcome.retry_after_s for outcome in refused}) == len(refused)


@pytest.mark.parametrize(
    ('dispatched', 'answer_s', 'accepted'),
    [(40, 0.0, True), (4, 0.0, False), (40, 9.9, False)],
)
def test_admission_compares_predicted_wait_with_deadline(
    dispatched, answer_s, accepted
):
    """The recent dispatch rate decides whether a request is queued."""
    queues = make_queues()
    for number in range(dispatched):
        queues.offer(make_ticket(number), 0.0)
        queues.dispatch(make_ticket(number), number / dispatched)
    queues.waiting['urgent'] = {at: make_ticket(at) for at in range(100, 120)}
    outcome = queues.offer(make_ticket(99, answer_s=answer_s), 1.0)
    assert isinstance(outcome, Queued) == accepted


def test_priority_without_starvation():
    """Urgent requests arrive as fast as requests are dispatched.

    A long job is still dispatched once it counts as aged.
    """
    queues = make_queues()
    queues.offer(make_ticket(1, 'long', time_s=100.0), 0.0)
    order = []
    for second in range(100):
        queues.offer(make_ticket(100 + second, arrived_s=second), second)
        chosen = queues.next_ticket(second)
        order.append(chosen.request_class)
        share = queues.slot_share(chosen, 0.5, second)
        assert (share == 1) == (chosen.number == 1)
        queues.dispatch(chosen, second)
    assert 40 <= order.index('long') <= 44
    assert order.count('urgent') == 99


def test_blocked_class_does_not_block_others():
    """No upstream is free for an urgent request, but one is for a long one."""
    queues = make_queues()
    queues.offer(make_ticket(1), 0.0)
    queues.offer(make_ticket(2, 'long'), 0.0)
    assert queues.next_ticket(0.0).number == 1
    assert queues.next_ticket(0.0, {'urgent'}).number == 2
    assert queues.next_ticket(0.0, {'urgent', 'long'}) is None


queue_events = st.lists(
    st.tuples(
        st.sampled_from(['offer', 'take', 'leave', 'expire']),
        st.sampled_from(['urgent', 'long']),
        st.floats(0.0, 3.0),
    ),
    max_size=120,
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(queue_events)
def test_accepted_requests_end_exactly_once(events):
    """Requests are queued, dispatched and expire in any order.

    An accepted request that never ends would leave its caller waiting forever.
    """
    queues = make_queues()
    accepted, ended, now = set(), [], 0.0
    for number, (event, name, pause_s) in enumerate(events):
        now += pause_s
        if event == 'offer':
            offered = make_ticket(number, name, now)
            if isinstance(queues.offer(offered, now), Queued):
                accepted.add(number)
        elif event == 'expire':
            ended += [late.number for late in queues.remove_expired(now)]
        else:
            chosen = queues.next_ticket(now)
            if chosen is not None:
                queues.dispatch(chosen, now)
                ended.append(chosen.number)
                assert not queues.withdraw(chosen)
    ended += [late.number for late in queues.remove_expired(now + 99)]
    assert sorted(ended) == sorted(accepted)


NAMES = ('e1', 'e2', 'e3', 'e4', 'e5', 'e6')
FAST = Answered(took_s=0.2, predicted_s=0.2)
SLOW = Answered(took_s=2.0, predicted_s=0.2)


def make_detector(outcomes, samples=20):
    """Return a detector after some attempts at each upstream."""
    detector = OutlierDetector()
    for _ in range(samples):
        for name in NAMES:
            detector.record(name, outcomes.get(name, FAST), NAMES, 0.0)
    return detector


@pytest.mark.parametrize(
    ('outcomes', 'ejected'),
    [
        ({}, set()),
        ({'e2': Failed()}, {'e2'}),
        ({'e2': SLOW}, {'e2'}),
        (dict.fromkeys(NAMES, SLOW), set()),
        (dict.fromkeys(NAMES, Failed()), {'e1', 'e2'}),
    ],
)
def test_ejected_share_is_limited(outcomes, ejected):
    """One upstream fails fast, or a network fault affects all of them.

    A failing upstream must not attract all requests, and a common fault must
    not eject the whole region.
    """
    assert make_detector(outcomes).excluded(1.0) == ejected


def test_ejected_upstream_gets_one_probe_at_a_time():
    """A recovered upstream must not get a burst of requests."""
    detector = make_detector({'e2': Failed()})
    later = FIRST_EJECTION_S + 0.1
    assert detector.excluded(later) == set()
    detector.record_sent('e2')
    assert detector.excluded(later) == {'e2'}
    detector.record('e2', Failed(), NAMES, later)
    assert detector.excluded(later + FIRST_EJECTION_S) == {'e2'}
    later += 2 * FIRST_EJECTION_S
    for _ in range(2):
        assert detector.excluded(later) == set()
        detector.record_sent('e2')
        detector.record('e2', FAST, NAMES, later)
    assert not detector.is_ejected('e2')
    detector.remove_absent(('e1',))
    assert set(detector.states) == {'e1'}


ENGINE = UpstreamView(
    name='e1',
    region='kochi',
    service='chat',
    address=Address(host='127.0.0.1', port=1),
    incarnation=1,
    models=frozenset(('m',)),
    prefill_tokens_per_s=1000.0,
)


def count_sent_while_warming(ramp, uncached_tokens, seconds=10):
    """Return how many requests the ramp admits."""
    sent = 0
    for tick in range(seconds * 100):
        if not ramp.throttled(1.0 + tick / 100):
            ramp.record_sent('e1', uncached_tokens)
            sent += 1
    return sent


def test_traffic_to_cold_upstream_follows_prefill_rate():
    """An engine restarts with an empty cache and looks idle.

    Uncached prompts are sent no faster than it can prefill them. Once most of
    each prompt is cached, about ten times as many requests are sent.
    """
    ramp = ColdRamp(vms=2)
    ramp.observe((ENGINE,), 0.0)
    assert not ramp.warming
    ramp.observe((replace(ENGINE, incarnation=2),), 1.0)
    rate = ENGINE.prefill_tokens_per_s * PREFILL_SHARE / 2
    cold = count_sent_while_warming(ramp, 500)
    assert cold <= rate * 11 / 500 + 1
    ramp.observe((replace(ENGINE, incarnation=3),), 1.0)
    assert count_sent_while_warming(ramp, 50) >= 9 * cold
    ramp.observe((replace(ENGINE, incarnation=3),), 1.0 + WARM_UP_S)
    assert not ramp.warming


REQUEST = RouteRequest(
    caller='ward',
    request_class='urgent',
    service='chat',
    model='m',
    home='kochi',
    allowed=frozenset(('kochi',)),
    prompt_tokens=2000,
)
OBJECTIVE = Objective()


def choose_with(router, upstreams, request=REQUEST, seed=1):
    """Return a router's decision for a seed."""
    view = RegionView('kochi', tuple(upstreams))
    return router.choose(view, request, OBJECTIVE, Random(seed))


def test_router_ejects_and_probes_failing_upstream():
    """One of four engines fails every request at once and looks idle."""
    timer = VirtualTimerService()
    router = Router.from_config(timer)
    engines = [replace(ENGINE, name=f'e{number}') for number in range(4)]
    busy = [replace(engine, running=9, slots=8) for engine in engines[1:]]
    all_four = [engines[0], *busy]
    chosen = []
    for seed in range(60):
        chosen.append(choose_with(router, all_four, seed=seed).upstream.name)
        if chosen[-1] == 'e0':
            router.record_outcome(engines[0], Failed())
    assert router.avoided('chat', 0.0) == {'e0'}
    assert chosen.count('e0') < 10
    timer.advance(FIRST_EJECTION_S + 1)
    probes = [
        choose_with(router, all_four, seed=other).upstream.name
        for other in range(60)
    ]
    assert probes.count('e0') == 1


def test_router_waits_for_cold_engine_until_deadline():
    """The only engine restarted, and many uncached prompts arrive."""
    timer = VirtualTimerService()
    router = Router.from_config(timer)
    choose_with(router, [ENGINE])
    timer.advance(1.0)
    cold = [replace(ENGINE, incarnation=2)]
    assert isinstance(choose_with(router, cold), Serve)
    assert isinstance(choose_with(router, cold), Wait)
    late = replace(REQUEST, deadline_s=4.0, waited_s=8.0)
    assert isinstance(choose_with(router, cold, late), Serve)
    timer.advance(5.0)
    assert isinstance(choose_with(router, cold), Serve)
