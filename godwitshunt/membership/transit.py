"""Upper bounds of message transit times, without synchronised clocks.

Each message carries the sender's clock and echoes the receiver's last clock
reading with the time for which the sender held it. From these, the receiver
derives the round-trip time on its own clock, which is an upper bound of the
transit time of the message [1]_. It thereby detects messages that were delayed
in a suspended process or a full buffer. Without that bound, an old message
would direct requests to a departed upstream.

References
----------
.. [1] Cristian, F. (1989). Probabilistic clock synchronization. Distributed
   Computing, 3(3), 146-158.
"""

from dataclasses import dataclass, field

MILLISECONDS = 1000


@dataclass(frozen=True)
class ClockReading:
    """Clock values in one message, in milliseconds.

    Parameters
    ----------
    session : int
        Random number that the sender draws at its start. It identifies the
        sender's clock, which starts anew with the process.
    clock_ms : int
        The sender's clock at the time of sending.
    echo_session, echo_ms, held_ms : int or None
        The receiver's session and clock as last received by the sender, and
        the time since then; None before the first message.
    """

    session: int
    clock_ms: int
    echo_session: int | None = None
    echo_ms: int | None = None
    held_ms: int | None = None


@dataclass
class TransitEstimator:
    """Estimates transit times from the clock readings of all peers.

    Parameters
    ----------
    session : int
        Session of this process.
    last_readings : dict
        The last reading from each peer, and when it was received in seconds.

    Examples
    --------
    >>> local, remote = TransitEstimator(1), TransitEstimator(2)
    >>> remote.receive('local', local.make_reading('remote', 0.0), 50.0) is None
    True
    >>> local.receive('remote', remote.make_reading('local', 50.5), 0.51)
    0.01
    """

    session: int
    last_readings: dict[str, tuple[ClockReading, float]] = field(
        default_factory=dict
    )

    def make_reading(self, peer: str, now_s: float) -> ClockReading:
        """Return the clock reading for a message to a peer."""
        clock_ms = int(now_s * MILLISECONDS)
        if peer not in self.last_readings:
            return ClockReading(self.session, clock_ms)
        received, received_s = self.last_readings[peer]
        return ClockReading(
            session=self.session,
            clock_ms=clock_ms,
            echo_session=received.session,
            echo_ms=received.clock_ms,
            held_ms=int((now_s - received_s) * MILLISECONDS),
        )

    def receive(
        self,
        peer: str,
        reading: ClockReading,
        now_s: float,
    ) -> float | None:
        """Record a peer's clock reading and bound the transit time.

        Returns
        -------
        float or None
            Upper bound of the transit time in seconds; None if the message
            echoes no reading from this process.
        """
        known = self.last_readings.get(peer)
        # An older reading from a reordered message does not replace a newer
        # one: echoing it would loosen the peer's bound.
        if known is None or not is_older(reading, known[0]):
            self.last_readings[peer] = (reading, now_s)
        if reading.echo_session != self.session or reading.echo_ms is None:
            return None
        elapsed_ms = now_s * MILLISECONDS - reading.echo_ms
        transit_ms = elapsed_ms - (reading.held_ms or 0)
        return max(round(transit_ms), 0) / MILLISECONDS

    def retain(self, peers: frozenset[str]) -> None:
        """Discard the readings from all other peers."""
        for peer in set(self.last_readings) - peers:
            self.last_readings.pop(peer)


def is_older(reading: ClockReading, known: ClockReading) -> bool:
    """Return whether a reading is older than another of the same session."""
    if reading.session != known.session:
        return False
    return reading.clock_ms < known.clock_ms
