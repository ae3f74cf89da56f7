"""Queues under overload, ejection of bad upstreams, ramps on cold caches."""

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


def queue():
    """Return empty queues."""
    return AdmissionQueue.from_config(CLASSES, Random(1))


def ticket(number, name='urgent', arrived_s=0.0, time_s=10.0, answer_s=0.0):
    """Return a request that waits."""
    return Ticket(
        number,
        name,
        PRIORITIES[name],
        arrived_s,
        arrived_s + time_s,
        answer_s,
    )


def test_a_full_queue_refuses_at_once_and_spreads_returns():
    """Far more requests come than may wait.

    The rest are told at once when to come back, each at another time.
    """
    queues = queue()
    outcomes = [queues.offer(ticket(number), 0.0) for number in range(30)]
    waiting = [each for each in outcomes if isinstance(each, Queued)]
    refused = [each for each in outcomes if isinstance(each, Refuse)]
    assert waiting
    assert {each.reason for each in refused} == {RefusalReason.overloaded}
    assert len({each.retry_after_s for each in refused}) == len(refused)


@pytest.mark.parametrize(
    ('drained', 'answer_s', 'accepted'),
    [(40, 0.0, True), (4, 0.0, False), (40, 9.9, False)],
)
def test_predicted_wait_against_the_deadline(drained, answer_s, accepted):
    """Whether a request may wait depends on how fast others were taken."""
    queues = queue()
    for number in range(drained):
        queues.offer(ticket(number), 0.0)
        queues.dispatch(ticket(number), number / drained)
    queues.waiting['urgent'] = {at: ticket(at) for at in range(100, 120)}
    outcome = queues.offer(ticket(99, answer_s=answer_s), 1.0)
    assert isinstance(outcome, Queued) == accepted


def test_urgent_goes_first_and_long_is_not_starved():
    """Urgent requests come without end, as many as are taken.

    A long job still gets its turn once it has waited for a part of its time.
    """
    queues = queue()
    queues.offer(ticket(1, 'long', time_s=100.0), 0.0)
    order = []
    for second in range(100):
        queues.offer(ticket(100 + second, arrived_s=second), second)
        chosen = queues.next_ticket(second)
        order.append(chosen.request_class)
        share = queues.slot_share(chosen, 0.5, second)
        assert (share == 1) == (chosen.number == 1)
        queues.dispatch(chosen, second)
    assert 40 <= order.index('long') <= 44
    assert order.count('urgent') == 99


def test_blocked_classes_do_not_hold_up_others():
    """The first urgent request finds no place; a long one may find one."""
    queues = queue()
    queues.offer(ticket(1), 0.0)
    queues.offer(ticket(2, 'long'), 0.0)
    assert queues.next_ticket(0.0).number == 1
    assert queues.next_ticket(0.0, {'urgent'}).number == 2
    assert queues.next_ticket(0.0, {'urgent', 'long'}) is None


steps = st.lists(
    st.tuples(
        st.sampled_from(['offer', 'take', 'leave', 'expire']),
        st.sampled_from(['urgent', 'long']),
        st.floats(0.0, 3.0),
    ),
    max_size=120,
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(steps)
def test_every_accepted_request_ends_exactly_once(events):
    """Callers come, go and run out of time in any order.

    An accepted request that no event names would leave its caller waiting
    for ever.
    """
    queues = queue()
    accepted, ended, now = set(), [], 0.0
    for number, (event, name, pause_s) in enumerate(events):
        now += pause_s
        if event == 'offer':
            offered = ticket(number, name, now)
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


def detector(outcomes, samples=20):
    """Return a detector after some attempts at each upstream."""
    found = OutlierDetector()
    for _ in range(samples):
        for name in NAMES:
            found.record(name, outcomes.get(name, FAST), NAMES, 0.0)
    return found


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
def test_ejection_keeps_a_floor(outcomes, ejected):
    """One upstream fails fast, or a fault of the network shows on all.

    The first must not draw all work; the second must not empty the region.
    """
    assert detector(outcomes).excluded(1.0) == ejected


def test_ejected_upstream_is_probed_by_one_request_at_a_time():
    """A failing upstream recovers and must return without a burst."""
    found = detector({'e2': Failed()})
    later = FIRST_EJECTION_S + 0.1
    assert found.excluded(later) == set()
    found.record_sent('e2')
    assert found.excluded(later) == {'e2'}
    found.record('e2', Failed(), NAMES, later)
    assert found.excluded(later + FIRST_EJECTION_S) == {'e2'}
    later += 2 * FIRST_EJECTION_S
    for _ in range(2):
        assert found.excluded(later) == set()
        found.record_sent('e2')
        found.record('e2', FAST, NAMES, later)
    assert not found.is_ejected('e2')
    found.remove_absent(('e1',))
    assert set(found.states) == {'e1'}


ENGINE = UpstreamView(
    name='e1',
    region='kochi',
    service='chat',
    address=Address(host='127.0.0.1', port=1),
    incarnation=1,
    models=frozenset(('m',)),
    prefill_tokens_per_s=1000.0,
)


def sent_while_warming(ramp, uncached_tokens, seconds=10):
    """Return the requests that a ramp lets through."""
    sent = 0
    for tick in range(seconds * 100):
        if not ramp.throttled(1.0 + tick / 100):
            ramp.record_sent('e1', uncached_tokens)
            sent += 1
    return sent


def test_returning_traffic_follows_the_prefill_rate():
    """An engine restarts with an empty cache and looks idle.

    Uncached prompts come no faster than it can prefill them; once most of
    each prompt is cached, ten times as many requests pass.
    """
    ramp = ColdRamp(vms=2)
    ramp.observe((ENGINE,), 0.0)
    assert not ramp.warming
    ramp.observe((replace(ENGINE, incarnation=2),), 1.0)
    rate = ENGINE.prefill_tokens_per_s * PREFILL_SHARE / 2
    cold = sent_while_warming(ramp, 500)
    assert cold <= rate * 11 / 500 + 1
    ramp.observe((replace(ENGINE, incarnation=3),), 1.0)
    assert sent_while_warming(ramp, 50) >= 9 * cold
    ramp.observe((replace(ENGINE, incarnation=3),), 1.0 + WARM_UP_S)
    assert not ramp.warming


ASK = RouteRequest(
    caller='ward',
    request_class='urgent',
    service='chat',
    model='m',
    home='kochi',
    allowed=frozenset(('kochi',)),
    prompt_tokens=2000,
)
OBJECTIVE = Objective()


def decide(router, upstreams, request=ASK, seed=1):
    """Return a router's decision, fixed by its seed."""
    view = RegionView('kochi', tuple(upstreams))
    return router.choose(view, request, OBJECTIVE, Random(seed))


def test_router_leaves_out_a_failing_upstream_and_probes_it():
    """One of four engines refuses every request at once and looks idle."""
    timer = VirtualTimerService()
    router = Router.from_config(timer)
    engines = [replace(ENGINE, name=f'e{number}') for number in range(4)]
    busy = [replace(each, running=9, slots=8) for each in engines[1:]]
    all_four = [engines[0], *busy]
    chosen = []
    for seed in range(60):
        chosen.append(decide(router, all_four, seed=seed).upstream.name)
        if chosen[-1] == 'e0':
            router.record_outcome(engines[0], Failed())
    assert router.avoided('chat', 0.0) == {'e0'}
    assert chosen.count('e0') < 10
    timer.advance(FIRST_EJECTION_S + 1)
    successful_probes = [
        decide(router, all_four, seed=other).upstream.name
        for other in range(60)
    ]
    assert successful_probes.count('e0') == 1


def test_router_waits_for_a_cold_engine_but_not_past_the_deadline():
    """The only engine restarted; a crowd of uncached prompts comes back."""
    timer = VirtualTimerService()
    router = Router.from_config(timer)
    decide(router, [ENGINE])
    timer.advance(1.0)
    cold = [replace(ENGINE, incarnation=2)]
    assert isinstance(decide(router, cold), Serve)
    assert isinstance(decide(router, cold), Wait)
    late = replace(ASK, deadline_s=4.0, waited_s=8.0)
    assert isinstance(decide(router, cold, late), Serve)
    timer.advance(5.0)
    assert isinstance(decide(router, cold), Serve)
