"""How long ago a control replica's state was known to be the newest; pure.

A VM with a fresh proof of a quorum must hold every change that was committed
before the proof. A follower hears of a live quorum from its leader, perhaps
before it has the entries that the quorum committed. If it passed that proof on
with its older revision, a VM would go on by a rule that an accepted manifest
has taken away. So a proof counts here only once the state has caught up.
"""

from dataclasses import dataclass, replace

NEVER = float('-inf')


@dataclass(frozen=True)
class Freshness:
    """When the applied state was known to include every commit.

    Parameters
    ----------
    current_at : float
        Monotonic time in seconds; nothing that was committed before is
        missing here.
    pending_proofs : tuple of (int, float)
        Proofs whose revision is not applied yet: revision and time.
    """

    current_at: float = NEVER
    pending_proofs: tuple[tuple[int, float], ...] = ()

    def record_proof(
        self, revision: int, requested_at: float, applied: int
    ) -> 'Freshness':
        """Record that a revision was the newest after `requested_at`.

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
        """Count the proofs whose revision is applied now."""
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
