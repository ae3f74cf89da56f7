"""Whole events of a stream whose ids increase by one."""

from dataclasses import dataclass

from godwitshunt.exchange.upstream_messages import (
    BrokenAnswerError,
)

EVENT_END = b'\n\n'
ID_FIELD = b'id:'


@dataclass
class NumberedEvents:
    r"""Splits a stream into whole events and reads their ids.

    Callers are sent whole events only, so that a broken stream can be resumed
    between two events. A resumed stream must continue with the next id;
    otherwise the caller would miss an event or receive one twice.

    Parameters
    ----------
    last_id : int or None
        Id of the last event that the caller has received.
    rest : bytes
        The start of an incomplete event.
    expects_next : bool
        True until the first event after a resume was checked.

    Examples
    --------
    >>> events = NumberedEvents()
    >>> events.take(b'id: 1\ndata: a\n\nid: 2\nda')
    b'id: 1\ndata: a\n\n'
    >>> events.take(b'ta: b\n\n'), events.last_id
    (b'id: 2\ndata: b\n\n', 2)
    """

    last_id: int | None = None
    rest: bytes = b''
    expects_next: bool = False
    chunks_taken: int = 0

    def resume(self) -> None:
        """Continue with another upstream after the last whole event."""
        self.rest = b''
        self.expects_next = self.last_id is not None

    def take(self, chunk: bytes) -> bytes:
        """Add a chunk; return the events that it completes.

        Raises
        ------
        BrokenAnswerError
            Where a resumed stream does not continue with the next id.
        """
        pending = self.rest + chunk if self.rest else chunk
        cut = pending.rfind(EVENT_END) + len(EVENT_END)
        if cut < len(EVENT_END):
            self.rest = pending
            return b''
        whole = pending[:cut] if cut < len(pending) else pending
        if self.expects_next:
            self.check_first(whole)
        self.rest = pending[cut:]
        self.chunks_taken += 1
        last = event_id(whole[whole.rfind(EVENT_END, 0, cut - 2) + 1 :])
        self.last_id = self.last_id if last is None else last
        return whole

    def check_first(self, whole: bytes) -> None:
        """Check that a resumed stream continues with the next id.

        Raises
        ------
        BrokenAnswerError
            Where it continues with another event.
        """
        first = event_id(whole[: whole.find(EVENT_END)])
        if first != (self.last_id or 0) + 1:
            raise BrokenAnswerError('resumed at another event')
        self.expects_next = False

    def fault_at_end(self) -> str | None:
        """Return what is wrong with an ended stream; None for nothing."""
        if self.rest.strip():
            return 'ended within an event'
        return None


def event_id(event: bytes) -> int | None:
    r"""Return the id of one event; None where it is no integer.

    Examples
    --------
    >>> event_id(b'id: 7\ndata: x'), event_id(b'data: x')
    (7, None)
    """
    for line in event.split(b'\n'):
        if line.startswith(ID_FIELD):
            try:
                return int(line[len(ID_FIELD) :])
            except ValueError:
                return None
    return None
