"""Health of upstreams as observed through this VM's own requests.

All times are seconds on this VM's monotonic clock.
"""

from dataclasses import dataclass, field

from godwitshunt.registry.records import Load, MemoryClaim
from godwitshunt.registry.shared_prefixes import SharedPrefixes
from godwitshunt.routing.rejections import RejectionWindow

# No requests are sent for this time after a failed connection.
CONNECT_BACKOFF_S = 1.0
# VMs of a region that fail to connect to an upstream which is down.
CONFIRMING_VMS = 2
# Bytes from an upstream are reported by the age of their arrival, which lacks
# the delay of the report.
REPORT_DELAY_S = 0.05
# No requests are sent for this time after the upstream refused one as full.
FULL_BACKOFF_S = 0.15
# Weight of one more answer in the moving average of delays, and the half-life
# of the average: a delay measured five seconds ago says little about a queue
# that is processed in one second.
DELAY_WEIGHT = 0.15
DELAY_HALF_LIFE_S = 1.0
# A picker receives a hundred answers per second, whose predictions were made
# before they waited in the queue. With the full weight for each, the average
# would oscillate between the limits below, and the prediction for a busy engine
# could be seconds too short. So the weight of an answer is limited by the time
# since the last one; within this time the weights add up to at most 1.
FULL_CORRECTION_S = 2.0
LONGEST_DELAY_S = 3.0
# Predictions count queues at their full length, but engines serve urgent
# requests first; so answers may be earlier than predicted by up to this.
MAX_EARLY_S = 2.0
NO_CLAIM = MemoryClaim()


@dataclass
class UpstreamHealth:
    """Observed state of one incarnation of an upstream.

    Parameters
    ----------
    in_flight : int
        Requests of this VM that have not ended there.
    pending_tokens : int
        Prompt tokens of those that wait for their first event.
    last_seen_s : float
        When bytes were last received from it.
    connect_failed_s : float
        When a connection to it last failed: it may have restarted since, and
        be cold before its new incarnation is known.
    down_until_s, full_until_s : float
        End of the pause after a failed connection, and after a refusal as
        full.
    delay_s : float
        Moving average, at its last update, of the seconds by which first events
        were later than predicted; negative if they were earlier.
    delay_updated_s : float
        When `delay_s` was last updated.
    waiting_since : dict
        When each request without a first event was sent, by its number; for
        another VM's requests, the time of the oldest one, by the VM's name.
    reserved_tokens : int
        Memory that this VM's requests need there, without shared prefixes.
    shared : SharedPrefixes
        Shared prefixes that they use.
    claims : dict
        Memory that each request needs, by its number.
    failed_connections : dict
        When the last connection of each VM failed, by its name; only VMs that
        reach other upstreams.
    rejections : RejectionWindow
        The last requests that it accepted or rejected.
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
    reserved_tokens: int = 0
    shared: SharedPrefixes = field(default_factory=SharedPrefixes)
    claims: dict[int, MemoryClaim] = field(default_factory=dict)
    failed_connections: dict[str, float] = field(default_factory=dict)
    rejections: RejectionWindow = field(default_factory=RejectionWindow)

    @property
    def load(self) -> Load:
        """Load that this VM's requests cause there."""
        return Load(
            self.in_flight,
            self.pending_tokens,
            self.reserved_tokens + sum(self.shared.tokens.values()),
        )

    @property
    def reported_load(self) -> Load:
        """Load as it is reported, with shared prefixes apart."""
        return Load(self.in_flight, self.pending_tokens, self.reserved_tokens)

    def begin(
        self,
        number: int,
        tokens: int,
        now_s: float,
        claim: MemoryClaim = NO_CLAIM,
    ) -> None:
        """Count a request that is sent."""
        self.claims[number] = claim
        self.reserved_tokens += claim.own_tokens
        if claim.shared_key is not None:
            self.shared.add(claim.shared_key, claim.shared_tokens)
        self.in_flight += 1
        self.pending_tokens += tokens
        self.waiting_since[number] = now_s

    def record_first_bytes(
        self, number: int, tokens: int, now_s: float
    ) -> None:
        """Record the first bytes of a request's answer."""
        self.last_seen_s = now_s
        if self.waiting_since.pop(number, None) is not None:
            self.pending_tokens -= tokens

    def end(self, number: int, tokens: int) -> None:
        """Count a request that has ended, whatever its outcome."""
        claim = self.claims.pop(number, NO_CLAIM)
        self.reserved_tokens -= claim.own_tokens
        if claim.shared_key is not None:
            self.shared.remove(claim.shared_key)
        self.in_flight -= 1
        if self.waiting_since.pop(number, None) is not None:
            self.pending_tokens -= tokens

    def record_connect_failure(self, now_s: float) -> None:
        """Record a failed connection."""
        self.connect_failed_s = now_s
        self.down_until_s = now_s + CONNECT_BACKOFF_S

    def clear_connect_failure(self) -> None:
        """Forget the last failed connection."""
        self.connect_failed_s = float('-inf')
        self.down_until_s = float('-inf')

    def record_failed_path(
        self, reporter: str, now_s: float, reporters: int
    ) -> bool:
        """Record a failed connection of one of a region's VMs.

        A VM may have lost its path to an upstream that the others reach. So
        the upstream counts as unreachable only if two VMs have failed to
        connect and no bytes have come from it since.

        Parameters
        ----------
        reporter : str
            Name of the VM.
        reporters : int
            Number of VMs that send requests to it.

        Returns
        -------
        bool
            True if the upstream counts as unreachable.
        """
        self.failed_connections = {
            name: failed_s
            for name, failed_s in self.failed_connections.items()
            if now_s - failed_s < CONNECT_BACKOFF_S
        }
        self.failed_connections[reporter] = now_s
        first_s = min(self.failed_connections.values())
        is_confirmed = len(self.failed_connections) >= min(
            CONFIRMING_VMS, reporters
        )
        is_heard = self.last_seen_s > first_s + REPORT_DELAY_S
        if is_heard or not is_confirmed:
            return False
        self.record_connect_failure(now_s)
        return True

    def unresponsive_s(self, now_s: float) -> float:
        """Return the seconds without bytes from it while requests wait.

        Zero if no request waits; otherwise the time since the oldest waiting
        request was sent or since bytes were last received, whichever is later.
        """
        oldest_sent_s = self.oldest_sent_s()
        if oldest_sent_s is None:
            return 0.0
        return max(0.0, now_s - max(oldest_sent_s, self.last_seen_s))

    def oldest_sent_s(self) -> float | None:
        """Return when the oldest waiting request was sent, or None."""
        return min(self.waiting_since.values(), default=None)

    def record_report(
        self,
        reporter: str,
        oldest_sent_s: float | None,
        last_seen_s: float | None,
    ) -> None:
        """Record another VM's report on its requests there.

        Parameters
        ----------
        reporter : str
            Name of that VM.
        oldest_sent_s : float or None
            When the oldest of its waiting requests was sent.
        last_seen_s : float or None
            When it last received bytes from the upstream.
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
        """Update the delay from an answer's measured and predicted time."""
        late_s = min(LONGEST_DELAY_S, took_s - predicted_s)
        expected_s = self.expected_delay_s(now_s)
        weight = min(
            DELAY_WEIGHT, (now_s - self.delay_updated_s) / FULL_CORRECTION_S
        )
        # The prediction included the delay expected at that time, so the
        # difference is the error of that expectation.
        self.delay_s = max(-MAX_EARLY_S, expected_s + weight * late_s)
        self.delay_updated_s = now_s

    def expected_delay_s(self, now_s: float) -> float:
        """Return the expected delay of a first event against its prediction."""
        elapsed_s = max(0.0, now_s - self.delay_updated_s)
        return self.delay_s * 0.5 ** (elapsed_s / DELAY_HALF_LIFE_S)
