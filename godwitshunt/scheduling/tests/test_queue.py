"""Order, forecast and expiry of waiting requests."""

from random import Random

import pytest

from godwitshunt.scheduling.fairness import ShareMeter
from godwitshunt.scheduling.forecast import StartRates, Work
from godwitshunt.scheduling.queue import QueuedRequest, ServiceQueue


def make_queue(starts_per_s: float = 100.0) -> ServiceQueue:
    """Return an empty queue whose service starts some requests a second."""
    return ServiceQueue(StartRates(Work(starts_per_s, 1e9)))


def request(ticket: int, **changes) -> QueuedRequest:
    """Return a request that arrived at 0 and may start until 1."""
    fields = {
        'rank': (0, 0),
        'organisation': 'a',
        'weight': 1.0,
        'tokens': 100.0,
        'arrived_s': 0.0,
        'deadline_s': 1.0,
    }
    return QueuedRequest(ticket, **{**fields, **changes})


def tickets_of(queue: ServiceQueue) -> list[int]:
    """Return the tickets in the order of their starts."""
    return [entry.ticket for entry in queue.in_order()]


def test_ranks_precede_deadlines():
    """A less urgent route with an earlier deadline must not start first."""
    queue = make_queue()
    queue.push(request(1, rank=(1, 0), deadline_s=0.1), 0.0)
    queue.push(request(2, rank=(0, 1), deadline_s=0.5), 0.0)
    queue.push(request(3, rank=(0, 0), deadline_s=0.9), 0.0)
    assert tickets_of(queue) == [3, 2, 1]


def test_requests_of_an_organisation_start_by_deadline():
    """A request that can wait must not expire one that cannot."""
    queue = make_queue()
    queue.push(request(1, deadline_s=0.9), 0.0)
    queue.push(request(2, deadline_s=0.3), 0.0)
    queue.push(request(3, deadline_s=0.9, returned=True), 0.0)
    queue.push(request(4, deadline_s=0.9, aged=True), 0.0)
    assert tickets_of(queue) == [3, 4, 2, 1]


def test_organisations_share_by_tokens_and_weight():
    """Many requests of one organisation must not push back another's one."""
    queue = make_queue()
    for ticket in range(1, 9):
        queue.push(request(ticket), 0.0)
    queue.push(request(10, organisation='b', weight=2.0), 0.0)
    queue.push(request(11, organisation='b', weight=2.0), 0.0)
    queue.push(request(12, organisation='b', weight=2.0), 0.0)
    # Two of `b` start for each of `a`.
    assert tickets_of(queue)[:5] == [1, 10, 11, 2, 12]


def test_an_idle_organisation_gets_its_share_back_at_once():
    """What others used meanwhile is neither owed by nor to anyone."""
    queue = make_queue()
    for ticket in range(1, 50):
        queue.record_start(request(ticket), 0.0)
    queue.push(request(60), 0.1)
    queue.push(request(61, organisation='b'), 0.1)
    queue.push(request(62, organisation='b'), 0.1)
    assert tickets_of(queue) == [61, 60, 62]


def test_a_burst_does_not_displace_other_organisations_large_prompts():
    """Urgent requests of one that bursts precede by rank all the others'."""
    queue = make_queue()
    for _ in range(40):
        for name, count in (('a', 8), ('b', 1), ('c', 1)):
            work = 100.0 * count
            arrival = request(0, organisation=name, tokens=work)
            queue.record_arrival(arrival, 0.0)
        queue.record_start(request(0, organisation='a'), 0.0)
        queue.record_start(request(0, organisation='b'), 0.0)
        queue.record_start(request(0, organisation='c'), 0.0)
    queue.push(request(1, organisation='a'), 0.1)
    queue.push(request(2, organisation='b', rank=(0, 1)), 0.1)
    assert tickets_of(queue) == [2, 1]
    assert queue.last().ticket == 1


def test_one_organisation_alone_does_not_burst():
    """A deployment without organisations must keep its order by rank."""
    meter = ShareMeter()
    for _ in range(100):
        meter.record_arrival('', 1.0, 100.0, 0.0)
    meter.record_start('', 100.0, 0.0)
    assert not meter.bursting(0.0)


def test_requests_that_cannot_start_in_time_expire():
    """A late answer costs an upstream as much as one in time."""
    queue = make_queue()
    queue.push(request(1, deadline_s=0.3), 0.0)
    queue.push(request(2, deadline_s=0.7), 0.0)
    queue.push(request(3, deadline_s=0.2), 0.0)
    queue.remove(3, 0.1)
    assert [late.ticket for late in queue.expired(0.5)] == [1]
    assert tickets_of(queue) == [2]


def test_the_forecast_counts_the_work_ahead():
    """A request that would wait beyond its deadline must be known at once."""
    queue = make_queue(starts_per_s=100.0)
    for ticket in range(50):
        queue.push(request(ticket), 0.0)
    last = request(99, deadline_s=2.0)
    other = request(99, organisation='b')
    less_urgent = request(99, rank=(0, 1))
    assert queue.forecast_s(last, 0.0) == pytest.approx(0.5, rel=0.2)
    assert queue.forecast_s(other, 0.0) == pytest.approx(0.01, rel=0.2)
    assert queue.forecast_s(less_urgent, 0.0) == pytest.approx(0.5, rel=0.2)


def test_the_forecast_learns_a_lower_rate():
    """Engines that slow down must shorten the queue within a second."""
    queue = make_queue(starts_per_s=1000.0)
    for ticket in range(50):
        queue.push(request(ticket, deadline_s=9.0), 0.0)
    for step in range(1, 11):
        queue.record_start(request(100 + step), step / 10)
    wait_s = queue.forecast_s(request(99, deadline_s=9.0), 1.0)
    assert 5 * wait_s > 1


def test_urgent_starts_delay_less_urgent_requests():
    """The rate that urgent requests take is not available to others."""
    queue = make_queue(starts_per_s=10.0)
    queue.push(request(1, rank=(0, 1), deadline_s=9.0), 0.0)
    for step in range(1, 101):
        queue.record_start(request(100 + step), step / 100)
    less_urgent = request(2, rank=(0, 1), deadline_s=9.0)
    assert queue.forecast_s(less_urgent, 1.0) > 5 * queue.forecast_s(
        request(3, deadline_s=9.0), 1.0
    )


def test_the_order_and_the_work_before_agree():
    """Forecasts must be those of the order in which requests start."""
    random = Random(3)
    queue = make_queue()
    for ticket in range(200):
        organisation = random.choice('abcd')
        queue.push(
            request(
                ticket,
                rank=(0, random.randrange(2)),
                organisation=organisation,
                weight=1.0 + 'abcd'.index(organisation),
                tokens=float(random.randrange(50, 150)),
                deadline_s=random.random(),
            ),
            0.0,
        )
    order = list(queue.in_order())
    assert len(order) == len({entry.ticket for entry in order}) == 200
    assert queue.last() == order[-1]
    before = 0.0
    for entry in order:
        assert abs(queue.work_before(entry).tokens - before) < 600
        before += entry.tokens
