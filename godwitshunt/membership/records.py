"""State that a VM holds for each upstream."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Self

from godwitshunt.membership.events import (
    Gossiped,
    UpstreamDetails,
    UpstreamLoad,
)
from godwitshunt.membership.views import UpstreamView

# Hashes of cached prompt blocks per upstream; the oldest are dropped first. A
# dropped hash costs at most a prefill, never a wrong answer.
MAX_CACHED_PREFIXES = 1024
MAX_IN_FLIGHT = 4096
MAX_RECENTLY_FINISHED = 64


@dataclass(frozen=True)
class Tombstone:
    """Newest version of an upstream that departed or whose lease expired."""

    incarnation: int
    sequence: int
    created_s: float


@dataclass
class UpstreamRecord:
    """One live upstream; times are in seconds of this VM's monotonic clock.

    Parameters
    ----------
    announced_s : float
        When the upstream sent its newest announcement, at the earliest.
    measured_s : float
        When the upstream measured its load, at the earliest.
    prefixes : dict
        Reported hashes as keys, in the order of arrival.
    prefix_set : frozenset of int
        The same hashes for views, rebuilt only when they change.
    recently_finished : deque of (float, float)
        Start and end times of recently finished requests of this VM.
    in_flight : deque of (float, int)
        Start time and uncached prompt tokens of each unfinished request of
        this VM.
    """

    incarnation: int
    sequence: int
    details: UpstreamDetails
    load: UpstreamLoad
    announced_s: float
    measured_s: float
    prefixes: dict[int, None] = field(default_factory=dict)
    prefix_set: frozenset[int] = frozenset()
    recently_finished: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENTLY_FINISHED),
    )
    in_flight: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_IN_FLIGHT),
    )

    @classmethod
    def from_event(cls, event: Gossiped, now_s: float) -> Self:
        """Create a record from the first announcement."""
        return cls(
            incarnation=event.incarnation,
            sequence=event.sequence,
            details=event.details,
            load=event.load,
            announced_s=now_s - event.age_s,
            measured_s=now_s - event.measured_age_s,
        )

    def update(self, event: Gossiped, now_s: float) -> bool:
        """Apply a newer announcement; return whether details changed."""
        self.sequence = event.sequence
        self.load = event.load
        self.announced_s = now_s - event.age_s
        self.measured_s = now_s - event.measured_age_s
        if event.details is None or event.details == self.details:
            return False
        self.details = event.details
        return True

    def update_prefixes(
        self,
        added: Sequence[int],
        dropped: Sequence[int],
    ) -> None:
        """Apply changes of the reported prefix cache."""
        for dropped_hash in dropped:
            self.prefixes.pop(dropped_hash, None)
        for added_hash in added:
            self.prefixes.pop(added_hash, None)
            self.prefixes[added_hash] = None
        while len(self.prefixes) > MAX_CACHED_PREFIXES:
            self.prefixes.pop(next(iter(self.prefixes)))
        if added or dropped:
            self.prefix_set = frozenset(self.prefixes)

    def record_sent(self, tokens: int, now_s: float) -> None:
        """Record a request that this VM sent."""
        self.in_flight.append((now_s, tokens))

    def record_finished(self, tokens: int, now_s: float) -> None:
        """Record the end of the oldest request with this token count."""
        oldest = next(
            (sent for sent in self.in_flight if sent[1] == tokens), None
        )
        if oldest is None:
            return
        self.in_flight.remove(oldest)
        self.recently_finished.append((oldest[0], now_s))

    def view(self, name: str, region: str, now_s: float) -> UpstreamView:
        """Return the view of the upstream for routing."""
        details = self.details
        # The reported load includes requests sent before the measurement.
        unreported = [
            tokens
            for sent_s, tokens in self.in_flight
            if sent_s >= self.measured_s
        ]
        # Requests that are in the reported load but have ended since occupy no
        # slot. Without this correction, a delayed report would make a free
        # upstream appear full.
        finished = sum(
            sent_s < self.measured_s <= ended_s
            for sent_s, ended_s in self.recently_finished
        )
        return UpstreamView(
            name=name,
            region=region,
            service=details.service,
            address=details.address,
            incarnation=self.incarnation,
            models=frozenset(details.models),
            adapters=frozenset(details.adapters),
            role=details.role,
            slots=details.slots,
            running=self.load.running,
            queued=self.load.queued,
            queued_tokens=self.load.queued_tokens,
            prefill_tokens_per_s=details.prefill_tokens_per_s,
            decode_tokens_per_s=details.decode_tokens_per_s,
            report_age_s=now_s - self.measured_s,
            sent_since=len(unreported),
            sent_tokens_since=sum(unreported),
            price=details.price,
            cached_prefixes=self.prefix_set,
            honours_resume=details.honours_resume,
            honours_priority=details.honours_priority,
            honours_fencing=details.honours_fencing,
            finished_since=finished,
        )
