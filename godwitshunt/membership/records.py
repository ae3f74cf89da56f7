"""What a VM keeps of one upstream."""

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

# Hashes of cached prompt blocks that are kept of one upstream; the oldest go
# first. A lost hash costs a prefill, never a wrong answer.
MAX_CACHED_PREFIXES = 1024
MAX_SENDS = 4096
MAX_ENDS = 64


@dataclass(frozen=True)
class Tombstone:
    """What is remembered of an upstream that left or lapsed."""

    incarnation: int
    sequence: int
    made_s: float


@dataclass
class UpstreamRecord:
    """One live upstream; times are this VM's monotonic seconds.

    Parameters
    ----------
    sends : deque of (float, int)
        Time and uncached prompt tokens of each request that this VM sent and
        that has not ended.
    prefixes : dict
        Reported hashes as keys, in the order of their arrival; `prefix_set`
        holds the same for views, built once a change.
    sends : deque of (float, int)
        When requests of this VM went there that have not ended, and their
        uncached prompt tokens.
    ends : deque of (float, float)
        When requests of this VM went there and ended, of late.
    """

    incarnation: int
    sequence: int
    details: UpstreamDetails
    load: UpstreamLoad
    announced_s: float
    measured_s: float
    prefixes: dict[int, None] = field(default_factory=dict)
    prefix_set: frozenset[int] = frozenset()
    ends: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_ENDS),
    )
    sends: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_SENDS),
    )

    @classmethod
    def from_event(cls, event: Gossiped, now_s: float) -> Self:
        """Begin a record with its first announcement."""
        return cls(
            incarnation=event.incarnation,
            sequence=event.sequence,
            details=event.details,
            load=event.load,
            announced_s=now_s - event.age_s,
            measured_s=now_s - event.measured_age_s,
        )

    def update(self, event: Gossiped, now_s: float) -> bool:
        """Take a newer announcement; return whether details changed."""
        self.sequence = event.sequence
        self.load = event.load
        self.announced_s = now_s - event.age_s
        self.measured_s = now_s - event.measured_age_s
        if event.details is None or event.details == self.details:
            return False
        self.details = event.details
        return True

    def change_prefixes(
        self,
        added: Sequence[int],
        dropped: Sequence[int],
    ) -> None:
        """Follow the reported prefix cache."""
        for gone in dropped:
            self.prefixes.pop(gone, None)
        for new in added:
            self.prefixes.pop(new, None)
            self.prefixes[new] = None
        while len(self.prefixes) > MAX_CACHED_PREFIXES:
            self.prefixes.pop(next(iter(self.prefixes)))
        if added or dropped:
            self.prefix_set = frozenset(self.prefixes)

    def record_sent(self, tokens: int, now_s: float) -> None:
        """Count a request that this VM sent."""
        self.sends.append((now_s, tokens))

    def record_finished(self, tokens: int, now_s: float) -> None:
        """Stop counting the oldest request of this length."""
        oldest = next((sent for sent in self.sends if sent[1] == tokens), None)
        if oldest is None:
            return
        self.sends.remove(oldest)
        self.ends.append((oldest[0], now_s))

    def view(self, name: str, region: str, now_s: float) -> UpstreamView:
        """Return what routing sees of the upstream."""
        details = self.details
        # What was sent before the measurement is in the reported load.
        unreported = [
            tokens for sent_s, tokens in self.sends if sent_s >= self.measured_s
        ]
        # What is in the reported load and has ended since holds no slot any
        # more; a late report would keep a free upstream looking full.
        ended = sum(
            sent_s < self.measured_s <= ended_s for sent_s, ended_s in self.ends
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
            finished_since=ended,
        )
