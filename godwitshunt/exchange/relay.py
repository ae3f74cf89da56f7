"""Passing on streams of server-sent events without reading each token."""

from dataclasses import dataclass

EVENT_END = b'\n\n'
FINAL_EVENT = b'data: [DONE]\n\n'
EVENT_STREAM = b'text/event-stream'


@dataclass
class EventSplitter:
    r"""Cuts a stream into whole events, of which it counts the number only.

    A caller is sent whole events, so that a stream that breaks can go on at
    an event's border. The bytes are passed on as they come: there is one
    search and one count in each chunk, and nothing is parsed.

    Parameters
    ----------
    delivered : int
        Whole events that the caller has, those of earlier attempts included.
    rest : bytes
        The start of an event whose end has not come.
    finished : bool
        True once the final event has come.

    Examples
    --------
    >>> events = EventSplitter()
    >>> events.take(b'data: a\n\ndata: b')
    b'data: a\n\n'
    >>> events.take(b'c\n\n'), events.delivered
    (b'data: bc\n\n', 2)
    """

    delivered: int = 0
    rest: bytes = b''
    finished: bool = False

    def take(self, chunk: bytes) -> bytes:
        """Return the whole events that end in this chunk."""
        pending = self.rest + chunk if self.rest else chunk
        cut = pending.rfind(EVENT_END) + len(EVENT_END)
        if cut < len(EVENT_END):
            self.rest = pending
            return b''
        whole = pending[:cut] if cut < len(pending) else pending
        self.rest = pending[cut:]
        self.delivered += whole.count(EVENT_END)
        self.finished = whole.endswith(FINAL_EVENT)
        return whole
