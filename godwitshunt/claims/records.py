"""Bounded store of a holder's claim records."""

from collections import defaultdict
from dataclasses import dataclass, field

from godwitshunt.claims.keys import ClaimKey
from godwitshunt.claims.messages import RunUnknown, StoredAnswer

MAX_CLAIMS = 65536
# Calls with answers beyond these limits are recorded as run, without answer.
MAX_ANSWER_BYTES = 65536
MAX_ANSWERS_BYTES = 24 * 1024 * 1024
# Withdrawn attempts retained per key. A late claim of an earlier attempt may
# block its key but never lets the call run.
MAX_WITHDRAWN = 8
ANSWER_NOT_STORED = 'the answer was too large to keep'


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The record of one key.

    Parameters
    ----------
    attempt : int
        Number of the recorded attempt; 0 if the key is free.
    run_result : StoredAnswer, RunUnknown or None
        None while the attempt may still run.
    withdrawn : tuple of int
        Attempts that must not be recorded even if their claim still arrives.
    """

    request_digest: bytes
    vm: str
    attempt: int
    run_result: StoredAnswer | RunUnknown | None = None
    withdrawn: tuple[int, ...] = ()


def answer_bytes(run_result: StoredAnswer | RunUnknown | None) -> int:
    """Return the size of a stored answer's body and headers in bytes."""
    if not isinstance(run_result, StoredAnswer):
        return 0
    headers = sum(len(name) + len(text) for name, text in run_result.headers)
    return len(run_result.body) + headers


@dataclass
class ClaimStore:
    """Claim records by epoch, so that an epoch is dropped in one step."""

    records_by_epoch: dict[int, dict[str, ClaimRecord]] = field(
        default_factory=lambda: defaultdict(dict),
    )
    count: int = 0
    answers_bytes: int = 0

    def find(self, key: ClaimKey) -> ClaimRecord | None:
        """Return a key's record, or None."""
        return self.records_by_epoch[key.epoch].get(key.text)

    def is_full(self) -> bool:
        """Return whether no further key can be recorded."""
        return self.count >= MAX_CLAIMS

    def put(self, key: ClaimKey, record: ClaimRecord) -> None:
        """Store a key's record in place of an earlier one."""
        records = self.records_by_epoch[key.epoch]
        earlier = records.get(key.text)
        if earlier is None:
            self.count += 1
        else:
            self.answers_bytes -= answer_bytes(earlier.run_result)
        records[key.text] = record
        self.answers_bytes += answer_bytes(record.run_result)

    def bound_run_result(
        self, run_result: StoredAnswer | RunUnknown
    ) -> StoredAnswer | RunUnknown:
        """Return a run result, without its answer if that is too large."""
        size = answer_bytes(run_result)
        if size > MAX_ANSWER_BYTES:
            return RunUnknown(ANSWER_NOT_STORED)
        if self.answers_bytes + size > MAX_ANSWERS_BYTES:
            return RunUnknown(ANSWER_NOT_STORED)
        return run_result

    def drop_below(self, floor_epoch: int) -> bool:
        """Drop records of epochs below a floor; return whether any existed."""
        old = [epoch for epoch in self.records_by_epoch if epoch < floor_epoch]
        for epoch in old:
            records = self.records_by_epoch.pop(epoch)
            self.count -= len(records)
            self.answers_bytes -= sum(
                answer_bytes(record.run_result) for record in records.values()
            )
        return bool(old)
