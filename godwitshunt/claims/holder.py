"""One holder of one generation, as pure logic.

A holder never grants a key whose epoch is below its floor epoch, and the floor
epoch only rises. Claims below it are dropped. Of any two majorities for one
key, the holder in both therefore either still has the first vote or refuses
the second.
"""

from collections import deque
from dataclasses import dataclass, field, replace

from godwitshunt.claims.holder_status import HolderStatus
from godwitshunt.claims.keys import ClaimKey
from godwitshunt.claims.messages import StoredAnswer
from godwitshunt.claims.records import (
    MAX_WITHDRAWN,
    ClaimRecord,
    ClaimStore,
)
from godwitshunt.claims.recovery import Recovered
from godwitshunt.claims.verdicts import (
    Attempt,
    Claim,
    Finish,
    HolderAnswer,
    HolderRequest,
    Query,
    Release,
    Verdict,
)

EPOCH_S = 600.0


@dataclass(frozen=True)
class HolderStatusChanged:
    """A changed status; it must be in the journal before the next answer."""

    status: HolderStatus
    floor_epoch: int


@dataclass(frozen=True)
class ClaimChanged:
    """A changed claim; it must be in the journal before its answer is sent."""

    key: ClaimKey
    record: ClaimRecord


HolderChange = HolderStatusChanged | ClaimChanged


@dataclass
class Holder:
    """The state of one holder in one generation.

    Parameters
    ----------
    name : str
        Name of the holder's VM.
    recovering : bool
        True while the holder may have lost votes; it abstains.
    floor_epoch : int
        The lowest epoch whose keys it may grant.
    ended_epochs : deque of (int, float)
        Past epochs and when they ended here, in monotonic seconds; their
        claims are retained for one more epoch.
    pending_changes : list
        Changes not yet written to the journal.
    """

    name: str
    recovering: bool = False
    incarnation: int = 0
    known_incarnations: dict[str, int] = field(default_factory=dict)
    epoch: int = 0
    floor_epoch: int = 0
    epoch_began_s: float = 0.0
    ended_epochs: deque[tuple[int, float]] = field(default_factory=deque)
    store: ClaimStore = field(default_factory=ClaimStore)
    pending_changes: list[HolderChange] = field(default_factory=list)

    def status(self) -> HolderStatus:
        """Return the status that accompanies votes and replies."""
        return HolderStatus(
            self.incarnation, dict(self.known_incarnations), self.epoch
        )

    def drain_changes(self) -> tuple[HolderChange, ...]:
        """Return and clear the changes to be written to the journal."""
        drained = tuple(self.pending_changes)
        self.pending_changes.clear()
        return drained

    def tick(self, now_s: float) -> bool:
        """Advance the epoch when it ends; return whether claims were dropped.

        Each holder advances by its own clock and adopts the highest epoch
        that it receives, so epochs advance in an isolated region too. Safety
        needs no agreement on epochs: a floor epoch that rises early refuses
        keys but never grants one twice.
        """
        if self.recovering:
            return False
        if now_s - self.epoch_began_s >= EPOCH_S:
            self.advance_epoch(self.epoch + 1, now_s)
        while self.ended_epochs and now_s - self.ended_epochs[0][1] >= EPOCH_S:
            past_epoch, _ = self.ended_epochs.popleft()
            self.floor_epoch = max(self.floor_epoch, past_epoch + 1)
            self.record_status()
        return self.store.drop_below(self.floor_epoch)

    def advance_epoch(self, epoch: int, now_s: float) -> None:
        """Adopt an epoch if it is higher than the current one."""
        if epoch <= self.epoch or self.recovering:
            return
        self.ended_epochs.append((epoch - 1, now_s))
        self.epoch = epoch
        self.epoch_began_s = now_s
        self.record_status()

    def record_status(self) -> None:
        """Queue the status for the journal."""
        self.pending_changes.append(
            HolderStatusChanged(self.status(), self.floor_epoch)
        )

    def answer_peer(
        self,
        peer: str,
        incarnation: int,
        epoch: int,
        now_s: float,
    ) -> HolderStatus | None:
        """Answer a peer that exchanges epochs or recovers.

        Returns
        -------
        HolderStatus or None
            None while this holder itself may have lost votes.
        """
        if self.recovering:
            return None
        if incarnation > self.known_incarnations.get(peer, 0):
            self.known_incarnations[peer] = incarnation
            self.record_status()
        self.advance_epoch(epoch, now_s)
        return self.status()

    def recover(self, recovered: Recovered, now_s: float) -> None:
        """Resume voting above every epoch in which votes may be lost."""
        self.incarnation = recovered.incarnation
        self.known_incarnations = dict(recovered.known_incarnations)
        self.epoch = recovered.floor_epoch
        self.floor_epoch = recovered.floor_epoch
        self.epoch_began_s = now_s
        self.recovering = False
        self.record_status()

    def apply(
        self,
        request: HolderRequest,
        epoch: int,
        now_s: float,
    ) -> HolderAnswer:
        """Apply a claimant's request and return the answer.

        Parameters
        ----------
        epoch : int
            The highest epoch that holders reported to the claimant's VM. The
            epoch in the key comes from the caller and is never adopted.
        """
        if self.recovering:
            return HolderAnswer(Verdict.abstained)
        self.advance_epoch(epoch, now_s)
        key = request.attempt.key
        if key.epoch < self.floor_epoch:
            return self.answer(Verdict.expired)
        if key.epoch > self.epoch:
            return self.answer(Verdict.abstained)
        record = self.store.find(key)
        if record is None and self.store.is_full():
            return self.answer(Verdict.abstained)
        match request:
            case Claim(attempt):
                return self.claim(attempt, record)
            case Query(attempt):
                return self.describe(attempt, record)
            case Release(attempt):
                return self.release(attempt, record)
            case Finish():
                return self.finish(request, record)

    def answer(self, verdict: Verdict) -> HolderAnswer:
        """Return a verdict with the current status."""
        return HolderAnswer(verdict, self.status())

    def claim(
        self,
        attempt: Attempt,
        record: ClaimRecord | None,
    ) -> HolderAnswer:
        """Record an attempt if none is recorded for the key."""
        if record is not None and attempt.number in record.withdrawn:
            return self.answer(Verdict.abstained)
        if record is not None and record.attempt:
            if record.attempt == attempt.number and record.run_result is None:
                return self.answer(Verdict.granted)
            return self.describe(attempt, record)
        withdrawn = () if record is None else record.withdrawn
        self.put(
            attempt.key,
            ClaimRecord(
                request_digest=attempt.request_digest,
                vm=attempt.vm,
                attempt=attempt.number,
                withdrawn=withdrawn,
            ),
        )
        return self.answer(Verdict.granted)

    def describe(
        self,
        attempt: Attempt,
        record: ClaimRecord | None,
    ) -> HolderAnswer:
        """Return what is recorded for the key of an attempt."""
        if record is None or not record.attempt:
            return self.answer(Verdict.free)
        # Return a stored answer only for the same request: a different body
        # under the same key would get the answer to another call.
        if record.request_digest != attempt.request_digest:
            return self.answer(Verdict.reused)
        verdict = Verdict.unknown
        if record.run_result is None:
            verdict = Verdict.held
        if isinstance(record.run_result, StoredAnswer):
            verdict = Verdict.answered
        return HolderAnswer(
            verdict,
            self.status(),
            vm=record.vm,
            attempt=record.attempt,
            run_result=record.run_result,
        )

    def release(
        self,
        attempt: Attempt,
        record: ClaimRecord | None,
    ) -> HolderAnswer:
        """Discard an attempt that never runs, even before its claim arrives."""
        if record is None:
            record = ClaimRecord(b'', '', 0)
        withdrawn = (*record.withdrawn, attempt.number)[-MAX_WITHDRAWN:]
        if record.attempt == attempt.number and record.run_result is None:
            record = ClaimRecord(b'', '', 0)
        self.put(attempt.key, replace(record, withdrawn=withdrawn))
        return self.answer(Verdict.done)

    def finish(
        self,
        request: Finish,
        record: ClaimRecord | None,
    ) -> HolderAnswer:
        """Record the run result of an attempt.

        A run result proves that the attempt ran. It replaces a competing
        attempt that this holder recorded, which cannot have had a majority.
        """
        attempt = request.attempt
        has_run_result = record is not None and record.run_result is not None
        if not has_run_result:
            run_result = self.store.bound_run_result(request.run_result)
            self.put(
                attempt.key,
                ClaimRecord(
                    request_digest=attempt.request_digest,
                    vm=attempt.vm,
                    attempt=attempt.number,
                    run_result=run_result,
                ),
            )
        return self.answer(Verdict.done)

    def put(self, key: ClaimKey, record: ClaimRecord) -> None:
        """Store a key's record and queue it for the journal."""
        self.store.put(key, record)
        self.pending_changes.append(ClaimChanged(key, record))
