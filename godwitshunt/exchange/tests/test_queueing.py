"""Requests that no upstream takes stand in a bounded queue of their VM."""

from random import Random

import pytest

from godwitshunt.exchange.queueing import FRONT, QueuePlace
from godwitshunt.manifest import RequestClass
from godwitshunt.routing.admission import AdmissionQueue
from godwitshunt.routing.messages import (
    RefusalReason,
    Refuse,
    RouteRequest,
    Serve,
    Wait,
)

LIMIT = 12
ROUTE = RouteRequest(
    caller='desk',
    request_class='long',
    service='chat',
    model='review',
    home='split',
    allowed=frozenset(('split',)),
)
SERVE = Serve(upstream=None)


@pytest.fixture
def queue():
    """Return the queues of a VM for one class."""
    classes = (RequestClass(name='long', queue_limit=LIMIT),)
    return AdmissionQueue.from_config(classes, Random(7))


def place_in(queue, deadline_s=1000.0) -> QueuePlace:
    """Return the place of a request that has just come."""
    return QueuePlace(queue, arrived_s=0, deadline_s=deadline_s)


def waiting(queue, count: int) -> list[QueuePlace]:
    """Return places of requests that all have to wait."""
    places = [place_in(queue) for _ in range(count)]
    for place in places:
        assert place.follow(Wait(0.1), ROUTE, now=0) == Wait(0.1)
    return places


def test_full_queue_refuses_at_once_and_says_when_to_come_back(queue):
    """More long jobs come than can wait; the memory of the VM is bounded."""
    waiting(queue, LIMIT)
    refused = place_in(queue).follow(Wait(0.1), ROUTE, now=0)
    assert isinstance(refused, Refuse)
    assert refused.reason is RefusalReason.overloaded
    assert refused.retry_after_s > 0


def test_wait_that_ends_too_late_is_refused_at_once(queue):
    """The deadline comes before those in front can all be placed."""
    waiting(queue, LIMIT - 1)
    refused = place_in(queue, deadline_s=0.5).follow(Wait(0.1), ROUTE, now=0)
    assert isinstance(refused, Refuse)


def test_those_behind_wait_until_those_in_front_are_placed(queue):
    """A slot comes free just as a late request decides.

    Without an order the oldest could wait until its deadline.
    """
    places = waiting(queue, FRONT + 2)
    behind = [number for number, one in enumerate(places) if one.is_behind]
    assert behind == [FRONT, FRONT + 1]
    places[0].follow(SERVE, ROUTE, now=1)
    places[3].leave()
    assert not any(place.is_behind for place in places)
    assert len(queue.waiting['long']) == FRONT


def test_every_way_out_gives_the_place_back(queue):
    """Callers go away, are refused or are served; none holds a place after."""
    served, refused, gone = waiting(queue, 3)
    served.follow(SERVE, ROUTE, now=1)
    refused.follow(Refuse(RefusalReason.no_upstream), ROUTE, now=1)
    gone.leave()
    gone.leave()
    assert not queue.waiting['long']
