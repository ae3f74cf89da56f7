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
    waiting : tuple of (int, float)
        Proofs whose revision is not applied yet: revision and time.
    """

    current_at: float = NEVER
    waiting: tuple[tuple[int, float], ...] = ()

    def prove(
        self, revision: int, asked_at: float, applied: int
    ) -> 'Freshness':
        """Note that a revision was the newest at some time after `asked_at`.

        Examples
        --------
        >>> Freshness().prove(revision=3, asked_at=5.0, applied=2).current_at
        -inf
        >>> Freshness().prove(3, 5.0, 2).catch_up(3).current_at
        5.0
        """
        if revision > applied:
            later = [one for one in self.waiting if one[0] < revision]
            return replace(self, waiting=(*later, (revision, asked_at)))
        return replace(self, current_at=max(self.current_at, asked_at))

    def catch_up(self, applied: int) -> 'Freshness':
        """Count the proofs whose revision is applied now."""
        if not self.waiting:
            return self
        counted = [
            asked_at for need, asked_at in self.waiting if need <= applied
        ]
        return Freshness(
            max([self.current_at, *counted]),
            tuple(one for one in self.waiting if one[0] > applied),
        )
