"""Events of streams, and what must not be taken for one."""

import pytest

from godwitshunt.exchange.attribution import StrayBytesError, StrayKind
from godwitshunt.ingress.events import NumberedEvents

HEAD = b'HTTP/1.1 200 OK\r\nrequest: a\r\ncontent-length: 2\r\n\r\nok'


def event(number):
    """Return one event."""
    return b'id: %d\ndata: x%d\n\n' % (number, number)


def take_all(events, pieces):
    """Add pieces of a stream one after the other."""
    for piece in pieces:
        events.take(piece)


def stream(*numbers):
    """Return events."""
    return b''.join(map(event, numbers))


@pytest.mark.parametrize('at_once', [True, False])
@pytest.mark.parametrize(
    ('last_id', 'received'),
    [
        (None, stream(2)),
        (None, stream(1, 2, 2)),
        (None, stream(1, 3)),
        (None, stream(1, 2, 1)),
        (None, b'id: 1\n\ndata: no id\n\n'),
        (None, b'id: 1\n\nid: 2\nid: 3\n\n'),
        (None, b'id: 1\n\nid: x\n\n'),
        (4, stream(1)),
        (4, stream(4, 5)),
        (4, stream(5, 7)),
    ],
)
def test_event_out_of_turn_is_refused(last_id, received, at_once):
    """Events of another stream, passed on after the first one was checked."""
    events = NumberedEvents(last_id=last_id)
    pieces = [received]
    if not at_once:
        pieces = [bytes((byte,)) for byte in received]
    with pytest.raises(StrayBytesError) as refused:
        take_all(events, pieces)
    assert refused.value.kind is StrayKind.out_of_turn


@pytest.mark.parametrize('position', [0, 1, 5, len(event(1))])
def test_answer_within_a_stream_is_refused(position):
    """A late answer passed on as a part of the next event."""
    whole = stream(1, 2, 3)
    events = NumberedEvents()
    with pytest.raises(StrayBytesError) as refused:
        events.take(b''.join((whole[:position], HEAD, whole[position:])))
    assert refused.value.kind is StrayKind.embedded


def test_resumed_stream_goes_on_with_the_next_event():
    """A resumed stream that repeats or leaves out events."""
    events = NumberedEvents()
    received = b''.join((stream(1, 2), b'id: 3\nda'))
    assert events.take(received) == stream(1, 2)
    events.resume()
    assert events.take(stream(3, 4)) == stream(3, 4)
    assert events.last_id == 4


def test_comments_and_other_fields_pass():
    """Streams broken off for lines that belong to no event's content."""
    received = b': comment\n\nversions: 3\nid: 1\ndata: x\n\n'
    events = NumberedEvents()
    assert events.take(received) == received
    assert events.last_id == 1


def test_refused_events_are_not_counted_as_delivered():
    """A resume that leaves out an event which the caller never received."""
    events = NumberedEvents()
    events.take(stream(1))
    with pytest.raises(StrayBytesError):
        events.take(stream(2, 9))
    assert events.last_id == 1
