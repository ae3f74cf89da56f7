"""Events of streams that are long, or have no end."""

from time import process_time

import pytest

from godwitshunt.exchange.relay import EventSplitter
from godwitshunt.ingress.events import NumberedEvents

SEGMENT = b'x' * 1448
EVENT_BYTES = 4 * 1024 * 1024
LIMIT_S = 1.0


@pytest.mark.parametrize('splitter', [EventSplitter, NumberedEvents])
def test_long_event_costs_no_more_than_its_length(splitter):
    """An event without end, copied and searched whole for each packet."""
    events = splitter()
    start_s = process_time()
    assert events.take(b'id: 1\ndata: ') == b''
    while len(events.rest) < EVENT_BYTES:
        assert events.take(SEGMENT) == b''
    assert process_time() - start_s < LIMIT_S
    assert len(events.take(b'\n\nid: 2')) > EVENT_BYTES
    assert events.rest == b'id: 2'


def test_end_of_an_event_in_two_pieces_is_found():
    """An event's end that lies between two packets, missed."""
    events = NumberedEvents()
    pieces = (b'id: 1\n', b'\nid: 2\ndata: x\n', b'\n')
    taken = [events.take(piece) for piece in pieces]
    assert b''.join(taken) == b'id: 1\n\nid: 2\ndata: x\n\n'
    assert (events.last_id, events.rest) == (2, b'')
