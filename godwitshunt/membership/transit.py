"""How long a message was under way, without comparing clocks.

Each message carries the sender's clock and echoes the receiver's last clock
reading with the time it was held. The receiver's own clock then gives the
time both ways, which is never less than the time this message took. A message
that waited in a frozen process or a full buffer is thereby known to be old;
taken as fresh, it would give work to an upstream that is gone.

References
----------
.. [1] Cristian, F. (1989). Probabilistic clock synchronization. Distributed
   Computing, 3(3), 146-158.
"""

from dataclasses import dataclass, field

MILLISECONDS = 1000


@dataclass(frozen=True)
class ClockReading:
    """What one side says of clocks, in milliseconds.

    Parameters
    ----------
    session : int
        Drawn by the sender at its start; a restarted clock is another clock.
    clock_ms : int
        The sender's clock when it sent.
    echo_session, echo_ms, held_ms : int or None
        The receiver's session and clock as last heard by the sender, and for
        how long the sender has held them; None before the first message.
    """

    session: int
    clock_ms: int
    echo_session: int | None = None
    echo_ms: int | None = None
    held_ms: int | None = None


@dataclass
class TransitClock:
    """Clock readings to and from all peers.

    Parameters
    ----------
    session : int
        This process's own session.

    Examples
    --------
    >>> here, there = TransitClock(1), TransitClock(2)
    >>> there.receive('here', here.reading('there', 0.0), 50.0) is None
    True
    >>> here.receive('there', there.reading('here', 50.5), 0.51)
    0.01
    """

    session: int
    heard: dict[str, tuple[ClockReading, float]] = field(default_factory=dict)

    def reading(self, peer: str, now_s: float) -> ClockReading:
        """Return the reading to send to a peer."""
        clock_ms = int(now_s * MILLISECONDS)
        if peer not in self.heard:
            return ClockReading(self.session, clock_ms)
        heard, heard_s = self.heard[peer]
        return ClockReading(
            session=self.session,
            clock_ms=clock_ms,
            echo_session=heard.session,
            echo_ms=heard.clock_ms,
            held_ms=int((now_s - heard_s) * MILLISECONDS),
        )

    def receive(
        self,
        peer: str,
        reading: ClockReading,
        now_s: float,
    ) -> float | None:
        """Note a peer's reading.

        Returns
        -------
        float or None
            Upper bound of the seconds that the message was under way; None
            where the peer has not yet heard from this process.
        """
        known = self.heard.get(peer)
        # A message that was overtaken must not turn the clock back: echoing
        # its reading would only make the peer's bound worse.
        if known is None or not is_older(reading, known[0]):
            self.heard[peer] = (reading, now_s)
        if reading.echo_session != self.session or reading.echo_ms is None:
            return None
        both_ways_ms = now_s * MILLISECONDS - reading.echo_ms
        under_way_ms = both_ways_ms - (reading.held_ms or 0)
        return max(round(under_way_ms), 0) / MILLISECONDS

    def forget(self, peers: frozenset[str]) -> None:
        """Keep readings of these peers only."""
        for gone in set(self.heard) - peers:
            self.heard.pop(gone)


def is_older(reading: ClockReading, known: ClockReading) -> bool:
    """Return whether a reading of one session is older than another."""
    if reading.session != known.session:
        return False
    return reading.clock_ms < known.clock_ms
