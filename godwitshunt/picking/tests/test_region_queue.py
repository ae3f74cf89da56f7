"""Bounds, refusals and repeats in a region's queue."""

from random import Random
from types import SimpleNamespace

import pytest

from godwitshunt.manifest import LimitUnit, OrganisationLimit
from godwitshunt.picking.choices import Limited, NoPlace, Queued
from godwitshunt.picking.destinations import Assignment, DestinationRequest
from godwitshunt.picking.region_queue import (
    UNCOLLECTED_S,
    Arrival,
    RegionQueue,
    weight_of,
)
from godwitshunt.routing.selection import Demand
from godwitshunt.scheduling.forecast import Work

NOW_S = 50.0
MAX_WAITING = 'godwitshunt.picking.region_queue.MAX_WAITING'


def arrival(starts_per_s: float = 1000.0, **changes) -> Arrival:
    """Return a request to a service that starts some requests a second."""
    rank = changes.pop('rank', 0)
    query = DestinationRequest(
        **{
            'entry': 'e-1',
            'request': 'q',
            'host': 'h',
            'path_prefix': '/',
            'service': 'llm',
            'demand': Demand(400),
            'remaining_s': 4.0,
            'waited_s': 0.0,
            'fingerprint': b'f',
            **changes,
        }
    )
    route = SimpleNamespace(
        host='h', path_prefix='/', rank=rank, objective_s=1.0
    )
    service = SimpleNamespace(name='llm')
    work = Work(starts_per_s, 1e9)
    return Arrival(query, route, service, 400, 0.1, 0, 1.0, work)


def make_queue() -> RegionQueue:
    """Return a queue without requests."""
    return RegionQueue(Random(1).uniform)


def admit(queue: RegionQueue, one: Arrival, now_s: float = NOW_S):
    """Let a request arrive; return it and those refused for it."""
    ticket = queue.make_ticket(one, now_s)
    return ticket, queue.admit(ticket, now_s)


def test_a_refused_request_that_returns_goes_first():
    """Its caller repeats it once, so a second refusal is final."""
    queue = make_queue()
    refused, _ = admit(queue, arrival(starts_per_s=0.1))
    assert isinstance(queue.reply(refused).choice, NoPlace)
    queue = RegionQueue(Random(1).uniform, refused=queue.refused)
    admit(queue, arrival(fingerprint=b'new'))
    returned, _ = admit(queue, arrival(), NOW_S + 1)
    assert returned.request.returned
    assert queue.is_first(returned)
    late, _ = admit(queue, arrival(), NOW_S + 12)
    assert not late.request.returned


def test_the_last_in_order_is_refused_beyond_the_bound(monkeypatch):
    """A burst must not take a picker's memory; urgent requests stay."""
    monkeypatch.setattr(MAX_WAITING, 2)
    queue = make_queue()
    less_urgent, _ = admit(queue, arrival(rank=1))
    admit(queue, arrival())
    last, refused = admit(queue, arrival())
    assert refused == [less_urgent]
    assert less_urgent.reason == 'bound'
    assert isinstance(queue.reply(last).choice, Queued)
    assert [ticket.assignment for ticket in queue.collect('e-1')] == [
        less_urgent.assignment
    ]
    own, refused = admit(queue, arrival(rank=1))
    assert refused == [own]
    assert isinstance(queue.reply(own).choice, NoPlace)
    assert queue.waiting == 2


def test_retry_delays_are_spread_and_follow_the_queue():
    """Callers that return together find no room, and too early none."""
    queue = make_queue()
    delays = []
    for _ in range(50):
        ticket, _ = admit(queue, arrival(starts_per_s=0.5))
        delays.append(queue.reply(ticket).choice.retry_after_s)
    assert max(delays) > 1.5 * min(delays)
    # The forecast is two seconds, of which the request could wait one.
    assert min(delays) >= 1


def test_an_organisation_beyond_its_limit_is_not_counted_as_started():
    """It has used no capacity, and its fair share must not shrink."""
    queue = make_queue()
    ticket, _ = admit(queue, arrival())
    limited = Assignment(Limited(1.0))
    assert queue.place_first(lambda _: limited, NOW_S) == [ticket]
    usage = queue.queues['llm', True].meter.usages['']
    assert not usage.started


def test_requests_of_a_silent_entry_vm_are_removed():
    """It was lost; its requests would take slots that nobody uses."""
    queue = make_queue()
    ticket, _ = admit(queue, arrival())
    assert not queue.remove_silent(NOW_S + UNCOLLECTED_S / 2)
    assert queue.remove_silent(NOW_S + 2 * UNCOLLECTED_S) == [ticket]
    assert not queue.waiting


def test_weights_follow_the_limits():
    """A large organisation must get more than a small one."""
    limits = [
        OrganisationLimit(per_s=per_s, unit=LimitUnit.tokens)
        for per_s in (100.0, 300.0)
    ]
    assert weight_of(limits[1], limits) == pytest.approx(1.5)
    assert weight_of(None, limits) == pytest.approx(1.0)
