"""What a holder keeps of each key, bounded."""

from collections import defaultdict
from dataclasses import dataclass, field

from godwitshunt.claims.keys import ClaimKey
from godwitshunt.claims.messages import RunUnknown, StoredAnswer

MAX_CLAIMS = 65536
# Answers beyond these are noted as *ran, answer not kept*.
MAX_ANSWER_BYTES = 65536
MAX_ANSWERS_BYTES = 24 * 1024 * 1024
# Attempts of one key that are remembered as withdrawn. A late message of an
# older one may block its key, and never lets it run.
MAX_WITHDRAWN = 8
NOT_KEPT = 'the answer was too large to keep'


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """One key's record.

    Parameters
    ----------
    attempt : int
        0 where the key is free.
    ending : StoredAnswer, RunUnknown or None
        None while the attempt may be running.
    withdrawn : tuple of int
        Attempts that must not be recorded any more, though their claim may
        still arrive.
    """

    request_digest: bytes
    vm: str
    attempt: int
    ending: StoredAnswer | RunUnknown | None = None
    withdrawn: tuple[int, ...] = ()


def answer_bytes(ending: StoredAnswer | RunUnknown | None) -> int:
    """Return the bytes of an answer's body and headers."""
    if not isinstance(ending, StoredAnswer):
        return 0
    headers = sum(len(name) + len(text) for name, text in ending.headers)
    return len(ending.body) + headers


@dataclass
class ClaimStore:
    """Records by epoch, so that an epoch is dropped in one step."""

    epochs: dict[int, dict[str, ClaimRecord]] = field(
        default_factory=lambda: defaultdict(dict),
    )
    count: int = 0
    answers_bytes: int = 0

    def find(self, key: ClaimKey) -> ClaimRecord | None:
        """Return a key's record."""
        return self.epochs[key.epoch].get(key.text)

    def is_full(self) -> bool:
        """Return whether no further key is recorded."""
        return self.count >= MAX_CLAIMS

    def put(self, key: ClaimKey, record: ClaimRecord) -> None:
        """Record a key, in place of its earlier record."""
        records = self.epochs[key.epoch]
        earlier = records.get(key.text)
        if earlier is None:
            self.count += 1
        else:
            self.answers_bytes -= answer_bytes(earlier.ending)
        records[key.text] = record
        self.answers_bytes += answer_bytes(record.ending)

    def fitting(
        self, ending: StoredAnswer | RunUnknown
    ) -> StoredAnswer | RunUnknown:
        """Return an ending as it is kept."""
        size = answer_bytes(ending)
        if size > MAX_ANSWER_BYTES:
            return RunUnknown(NOT_KEPT)
        if self.answers_bytes + size > MAX_ANSWERS_BYTES:
            return RunUnknown(NOT_KEPT)
        return ending

    def drop_below(self, floor: int) -> bool:
        """Drop the records of older epochs; return whether any were there."""
        old = [epoch for epoch in self.epochs if epoch < floor]
        for epoch in old:
            records = self.epochs.pop(epoch)
            self.count -= len(records)
            self.answers_bytes -= sum(
                answer_bytes(record.ending) for record in records.values()
            )
        return bool(old)
