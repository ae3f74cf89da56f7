"""One holder of one generation, as pure logic.

A holder never grants a key below its floor, and its floor only rises. Below
it claims are dropped; so of any two majorities for one key, the holder in
both either remembers the first or refuses the second.
"""

from collections import deque
from dataclasses import dataclass, field, replace

from godwitshunt.claims.keys import ClaimKey
from godwitshunt.claims.messages import StoredAnswer
from godwitshunt.claims.records import (
    MAX_WITHDRAWN,
    ClaimRecord,
    ClaimStore,
)
from godwitshunt.claims.recovery import Recovered
from godwitshunt.claims.standing import Standing
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
class StandingChanged:
    """Must be in the journal before the next answer."""

    standing: Standing
    floor: int


@dataclass(frozen=True)
class ClaimChanged:
    """Must be in the journal before the answer that it belongs to."""

    key: ClaimKey
    record: ClaimRecord


HolderChange = StandingChanged | ClaimChanged


@dataclass
class Holder:
    """The state of one holder in one generation.

    Parameters
    ----------
    name : str
        The holder's VM.
    recovering : bool
        True while it may have forgotten votes: it abstains.
    floor : int
        The lowest epoch whose keys it may grant.
    ended : deque of (int, float)
        Epochs that are over and when they ended here; their claims are kept
        for a further epoch.
    changes : list
        What the journal does not have yet.
    """

    name: str
    recovering: bool = False
    incarnation: int = 0
    known: dict[str, int] = field(default_factory=dict)
    epoch: int = 0
    floor: int = 0
    epoch_began_s: float = 0.0
    ended: deque[tuple[int, float]] = field(default_factory=deque)
    store: ClaimStore = field(default_factory=ClaimStore)
    changes: list[HolderChange] = field(default_factory=list)

    def standing(self) -> Standing:
        """Return the standing that votes and replies carry."""
        return Standing(self.incarnation, dict(self.known), self.epoch)

    def drain_changes(self) -> tuple[HolderChange, ...]:
        """Return what is to be written to the journal, once."""
        taken = tuple(self.changes)
        self.changes.clear()
        return taken

    def tick(self, now_s: float) -> bool:
        """Advance the epoch when it is over; return whether claims went.

        Each holder advances by its own clock and follows the highest epoch
        that it hears of, so epochs go on also in an isolated region. No
        agreement is needed for safety: a floor that rises early refuses keys,
        it never grants one twice.
        """
        if self.recovering:
            return False
        if now_s - self.epoch_began_s >= EPOCH_S:
            self.adopt(self.epoch + 1, now_s)
        while self.ended and now_s - self.ended[0][1] >= EPOCH_S:
            over, _ = self.ended.popleft()
            self.floor = max(self.floor, over + 1)
            self.note_standing()
        return self.store.drop_below(self.floor)

    def adopt(self, epoch: int, now_s: float) -> None:
        """Follow a higher epoch."""
        if epoch <= self.epoch or self.recovering:
            return
        self.ended.append((epoch - 1, now_s))
        self.epoch = epoch
        self.epoch_began_s = now_s
        self.note_standing()

    def note_standing(self) -> None:
        """Have the standing written to the journal."""
        self.changes.append(StandingChanged(self.standing(), self.floor))

    def answer_peer(
        self,
        peer: str,
        incarnation: int,
        epoch: int,
        now_s: float,
    ) -> Standing | None:
        """Answer a fellow holder that asks, or that recovers.

        Returns
        -------
        Standing or None
            None while this holder itself may have forgotten.
        """
        if self.recovering:
            return None
        if incarnation > self.known.get(peer, 0):
            self.known[peer] = incarnation
            self.note_standing()
        self.adopt(epoch, now_s)
        return self.standing()

    def recover(self, recovered: Recovered, now_s: float) -> None:
        """Vote again, above every epoch in which votes were forgotten."""
        self.incarnation = recovered.incarnation
        self.known = dict(recovered.known)
        self.epoch = recovered.floor
        self.floor = recovered.floor
        self.epoch_began_s = now_s
        self.recovering = False
        self.note_standing()

    def apply(
        self,
        request: HolderRequest,
        epoch: int,
        now_s: float,
    ) -> HolderAnswer:
        """Answer a claimant.

        Parameters
        ----------
        epoch : int
            The highest epoch that the claimant's VM heard of from holders.
            The epoch in the key is a caller's word and moves nothing.
        """
        if self.recovering:
            return HolderAnswer(Verdict.abstained)
        self.adopt(epoch, now_s)
        key = request.attempt.key
        if key.epoch < self.floor:
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
        """Return a verdict with the present standing."""
        return HolderAnswer(verdict, self.standing())

    def claim(
        self,
        attempt: Attempt,
        record: ClaimRecord | None,
    ) -> HolderAnswer:
        """Record an attempt where none is recorded."""
        if record is not None and attempt.number in record.withdrawn:
            return self.answer(Verdict.abstained)
        if record is not None and record.attempt:
            if record.attempt == attempt.number and record.ending is None:
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
        """Tell what is recorded."""
        if record is None or not record.attempt:
            return self.answer(Verdict.free)
        # An answer goes only to the request that it belongs to: another body
        # under the same key would get a stranger's answer.
        if record.request_digest != attempt.request_digest:
            return self.answer(Verdict.reused)
        verdict = Verdict.unknown
        if record.ending is None:
            verdict = Verdict.held
        if isinstance(record.ending, StoredAnswer):
            verdict = Verdict.answered
        return HolderAnswer(
            verdict,
            self.standing(),
            vm=record.vm,
            attempt=record.attempt,
            ending=record.ending,
        )

    def release(
        self,
        attempt: Attempt,
        record: ClaimRecord | None,
    ) -> HolderAnswer:
        """Forget an attempt that never runs, also one still on its way."""
        if record is None:
            record = ClaimRecord(b'', '', 0)
        withdrawn = (*record.withdrawn, attempt.number)[-MAX_WITHDRAWN:]
        if record.attempt == attempt.number and record.ending is None:
            record = ClaimRecord(b'', '', 0)
        self.put(attempt.key, replace(record, withdrawn=withdrawn))
        return self.answer(Verdict.done)

    def finish(
        self,
        request: Finish,
        record: ClaimRecord | None,
    ) -> HolderAnswer:
        """Keep what came of an attempt.

        It is the proof of a run, so it takes the place of another attempt
        that this holder recorded and that had no majority.
        """
        attempt = request.attempt
        repeated = record is not None and record.ending is not None
        if not repeated:
            ending = self.store.fitting(request.ending)
            self.put(
                attempt.key,
                ClaimRecord(
                    request_digest=attempt.request_digest,
                    vm=attempt.vm,
                    attempt=attempt.number,
                    ending=ending,
                ),
            )
        return self.answer(Verdict.done)

    def put(self, key: ClaimKey, record: ClaimRecord) -> None:
        """Record a key and have it written to the journal."""
        self.store.put(key, record)
        self.changes.append(ClaimChanged(key, record))
