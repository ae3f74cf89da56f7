"""When a control replica's state was last known to be current; no I/O.

A VM with a fresh proof of a quorum must have every change that was committed
before the proof. A follower may learn of a live quorum from its leader before
it has the entries that the quorum committed. If it sent that proof with its
older revision, a VM would continue to apply a rule that an accepted manifest
has removed. So a proof counts only once the state has caught up.
"""

from dataclasses import dataclass, replace

NEVER = float('-inf')


@dataclass(frozen=True)
class Freshness:
    """When the applied state last included every commit.

    Parameters
    ----------
    current_at : float
        Monotonic time in seconds; the state includes every entry that was
        committed before.
    pending_proofs : tuple of (int, float)
        Revision and time of each proof whose revision is not applied yet.
    """

    current_at: float = NEVER
    pending_proofs: tuple[tuple[int, float], ...] = ()

    def record_proof(
        self, revision: int, requested_at: float, applied: int
    ) -> 'Freshness':
        """Record that a revision was still the newest at `requested_at`.

        Parameters
        ----------
        revision : int
            The newest committed revision, read after `requested_at`.
        requested_at : float
            When it was requested, in monotonic seconds.
        applied : int
            The revision of the applied state.

        Examples
        --------
        >>> Freshness().record_proof(
        ...     revision=3, requested_at=5.0, applied=2
        ... ).current_at
        -inf
        >>> Freshness().record_proof(3, 5.0, 2).catch_up(3).current_at
        5.0
        """
        if revision > applied:
            remaining = [
                proof for proof in self.pending_proofs if proof[0] < revision
            ]
            return replace(
                self, pending_proofs=(*remaining, (revision, requested_at))
            )
        return replace(self, current_at=max(self.current_at, requested_at))

    def catch_up(self, applied: int) -> 'Freshness':
        """Count the proofs whose revision has been applied."""
        if not self.pending_proofs:
            return self
        times = [
            requested_at
            for revision, requested_at in self.pending_proofs
            if revision <= applied
        ]
        return Freshness(
            max([self.current_at, *times]),
            tuple(proof for proof in self.pending_proofs if proof[0] > applied),
        )
