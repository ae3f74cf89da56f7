"""What this VM's own requests have shown of each upstream.

Times are seconds on this VM's monotonic clock.
"""

from dataclasses import dataclass, field

from godwitshunt.registry.records import Load

# An upstream that refused a connection is left alone for so long.
CONNECT_BACKOFF_S = 1.0
# One that refused a request as full gets no other for so long.
FULL_BACKOFF_S = 0.15
# Weight of one more answer in the moving average of delays, and the time in
# which an average that nothing adds to falls by half: a delay of five seconds
# ago says little of a queue that is read in one.
DELAY_WEIGHT = 0.15
DELAY_HALF_LIFE_S = 1.0
# A picker hears of a hundred answers a second whose predictions are all as old
# as the queue that they waited in. With the full weight for each, the average
# swung between the bounds below: an engine with 36 requests in flight was
# predicted at 0.27 s and took 2.2 s. So answers that come together share the
# weight of one: within this time they add up to the whole difference at most.
FULL_CORRECTION_S = 2.0
LONGEST_DELAY_S = 3.0
# Predictions count queues at their full length, and engines serve urgent
# requests out of turn; so they may be wrong to the other side by so much.
MAX_EARLY_S = 2.0


@dataclass
class UpstreamHealth:
    """One incarnation, as this VM's requests have found it.

    Parameters
    ----------
    in_flight : int
        Requests of this VM that have not ended there.
    pending_tokens : int
        Prompt tokens of those that wait for their first event.
    last_seen_s : float
        When bytes last came from it.
    connect_failed_s : float
        When a connection to it last failed: it may have started again since,
        and be cold before anybody has heard so.
    delay_s : float
        Moving average of the seconds by which first events came later than
        was predicted, when it was last added to; negative where they came
        earlier.
    delay_updated_s : float
        When that was.
    waiting_since : dict
        When each request was sent that has shown nothing yet, by its number;
        for requests of another VM the oldest one's time, by the VM's name.
    """

    in_flight: int = 0
    pending_tokens: int = 0
    last_seen_s: float = float('-inf')
    connect_failed_s: float = float('-inf')
    down_until_s: float = float('-inf')
    full_until_s: float = float('-inf')
    delay_s: float = 0.0
    delay_updated_s: float = 0.0
    waiting_since: dict[int | str, float] = field(default_factory=dict)

    @property
    def load(self) -> Load:
        """Requests of this VM that have not ended there."""
        return Load(self.in_flight, self.pending_tokens)

    def begin(self, number: int, tokens: int, now_s: float) -> None:
        """Count a request that goes there."""
        self.in_flight += 1
        self.pending_tokens += tokens
        self.waiting_since[number] = now_s

    def record_first_bytes(
        self, number: int, tokens: int, now_s: float
    ) -> None:
        """Note a request's first sign of an answer."""
        self.last_seen_s = now_s
        if self.waiting_since.pop(number, None) is not None:
            self.pending_tokens -= tokens

    def end(self, number: int, tokens: int) -> None:
        """Count a request that is over, however it ended."""
        self.in_flight -= 1
        if self.waiting_since.pop(number, None) is not None:
            self.pending_tokens -= tokens

    def record_connect_failure(self, now_s: float) -> None:
        """Note that a connection to it failed."""
        self.connect_failed_s = now_s
        self.down_until_s = now_s + CONNECT_BACKOFF_S

    def unresponsive_s(self, now_s: float) -> float:
        """Return how long it has shown nothing that was waited for.

        Zero where no request waits; else the time since the oldest waiting
        request was sent or since it last sent bytes, whichever is later.
        """
        oldest_sent_s = self.oldest_sent_s()
        if oldest_sent_s is None:
            return 0.0
        return max(0.0, now_s - max(oldest_sent_s, self.last_seen_s))

    def oldest_sent_s(self) -> float | None:
        """Return when the oldest waiting request was sent; None for none."""
        return min(self.waiting_since.values(), default=None)

    def record_report(
        self,
        reporter: str,
        oldest_sent_s: float | None,
        last_seen_s: float | None,
    ) -> None:
        """Note what another VM reports of its requests there.

        Parameters
        ----------
        reporter : str
            Its name.
        oldest_sent_s : float or None
            When the oldest of its waiting requests was sent.
        last_seen_s : float or None
            When it last heard bytes of the upstream.
        """
        self.waiting_since.pop(reporter, None)
        if oldest_sent_s is not None:
            self.waiting_since[reporter] = oldest_sent_s
        if last_seen_s is not None:
            self.last_seen_s = max(self.last_seen_s, last_seen_s)

    def record_response_time(
        self,
        took_s: float,
        predicted_s: float,
        now_s: float,
    ) -> None:
        """Learn from how long an answer took against its prediction."""
        late_s = min(LONGEST_DELAY_S, took_s - predicted_s)
        expected_s = self.expected_delay_s(now_s)
        weight = min(
            DELAY_WEIGHT, (now_s - self.delay_updated_s) / FULL_CORRECTION_S
        )
        # The prediction held the delay that was expected then; so this is by
        # how much that expectation was wrong.
        self.delay_s = max(-MAX_EARLY_S, expected_s + weight * late_s)
        self.delay_updated_s = now_s

    def expected_delay_s(self, now_s: float) -> float:
        """Return by how much a first event is expected to come later."""
        elapsed_s = max(0.0, now_s - self.delay_updated_s)
        return self.delay_s * 0.5 ** (elapsed_s / DELAY_HALF_LIFE_S)
