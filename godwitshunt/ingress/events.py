"""Whole events of a stream whose ids increase by one."""

import re
from dataclasses import dataclass, field

from godwitshunt.exchange.attribution import StrayBytesError, StrayKind
from godwitshunt.exchange.relay import cut_events

EVENT_END = b'\n\n'
OTHER_ID = b'\nid:'
ID_LINE = re.compile(rb'^id:(.*)$', re.MULTILINE)


@dataclass
class NumberedEvents:
    r"""Splits a stream into whole events and checks their ids.

    Callers are sent whole events only, so that a broken stream can be resumed
    between two events. The id of each event must be the next one: otherwise
    the caller would miss an event, receive one twice, or receive one of
    another stream. Comments have no id.

    Parameters
    ----------
    last_id : int or None
        Id of the last event that the caller has received; None before the
        first one, whose id is 1.
    rest : bytearray
        The start of an incomplete event.

    Examples
    --------
    >>> events = NumberedEvents()
    >>> events.take(b'id: 1\ndata: a\n\nid: 2\nda')
    b'id: 1\ndata: a\n\n'
    >>> events.take(b'ta: b\n\n'), events.last_id
    (b'id: 2\ndata: b\n\n', 2)
    """

    last_id: int | None = None
    rest: bytearray = field(default_factory=bytearray)
    chunks_taken: int = 0

    def resume(self) -> None:
        """Continue with another upstream after the last whole event."""
        self.rest.clear()

    def take(self, chunk: bytes) -> bytes:
        """Add a chunk; return the events that it completes.

        Raises
        ------
        StrayBytesError
            Where an event is not the next one of the stream.
        """
        whole = cut_events(self.rest, chunk)
        if whole:
            self.last_id = self.check(whole)
            self.chunks_taken += 1
        return whole

    def check(self, whole: bytes) -> int | None:
        """Check whole events; return the id of the last one.

        Raises
        ------
        StrayBytesError
            Where an event is not the next one of the stream.
        """
        if b'\r' in whole:
            # The lines of events end otherwise; those of an answer's head end
            # so.
            raise StrayBytesError(
                StrayKind.embedded, 'an answer within a stream'
            )
        last_id = self.last_id
        for event in whole.split(EVENT_END)[:-1]:
            last_id = next_id(event, last_id)
        return last_id

    def fault_at_end(self) -> str | None:
        """Return what is wrong with an ended stream; None for nothing."""
        if self.rest.strip():
            return 'ended within an event'
        return None


def next_id(event: bytes, last_id: int | None) -> int | None:
    r"""Return the last id of a stream after one more event.

    Raises
    ------
    StrayBytesError
        Where the event's id is not the next one.

    Examples
    --------
    >>> next_id(b'id: 7\ndata: x', 6), next_id(b': a comment', 6)
    (7, 6)
    """
    expected = (last_id or 0) + 1
    # Nearly all events begin so, and parsing takes several times longer.
    if event.startswith(b'id: %d\n' % expected) and OTHER_ID not in event:
        return expected
    if is_comment(event):
        return last_id
    if event_id(event) != expected:
        raise StrayBytesError(
            StrayKind.out_of_turn, f'an event other than {expected}'
        )
    return expected


def event_id(event: bytes) -> int | None:
    r"""Return the id of one event; None where it is not one integer.

    Examples
    --------
    >>> event_id(b'id: 7\ndata: x'), event_id(b'data: x')
    (7, None)
    """
    ids = ID_LINE.findall(event)
    if len(ids) != 1:
        return None
    try:
        return int(ids[0])
    except ValueError:
        return None


def is_comment(event: bytes) -> bool:
    """Tell whether a block of a stream has only comments, or nothing."""
    return all(not line or line.startswith(b':') for line in event.split(b'\n'))
