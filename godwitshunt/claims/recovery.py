"""Recovery of a holder that lost its votes, as pure logic.

The holder first queries its peers for an incarnation that none of its earlier
processes used. It then announces that incarnation and collects the epochs of
its peers. Every majority that the holder was ever part of includes one of the
peers that reply, and that peer had voted in the same epoch. One more than the
highest reported epoch is therefore above every epoch in which the holder lost
a vote.
"""

from dataclasses import dataclass

from godwitshunt.claims.holder_status import (
    HolderStatus,
    current_statuses,
    highest_incarnation,
    recovery_quorum,
)


@dataclass(frozen=True)
class AnnounceIncarnation:
    """Announce the incarnation that this holder adopts to its peers."""

    incarnation: int


@dataclass(frozen=True)
class Recovered:
    """The holder may vote in epochs from `floor_epoch` onwards."""

    incarnation: int
    known_incarnations: dict[str, int]
    floor_epoch: int


@dataclass(frozen=True)
class RecoveryPending:
    """Too few peers replied: start the recovery again."""

    answered: int
    needed: int


RecoveryStep = AnnounceIncarnation | Recovered | RecoveryPending


@dataclass
class Recovery:
    """One run of a holder's recovery.

    Parameters
    ----------
    name : str
        The recovering holder.
    holders : tuple of str
        All holders of the generation.
    incarnation : int
        The incarnation being announced; 0 while querying for the known ones.
    """

    name: str
    holders: tuple[str, ...]
    incarnation: int = 0

    def process_replies(self, replies: dict[str, HolderStatus]) -> RecoveryStep:
        """Return the next step from the replies to one round of queries.

        Parameters
        ----------
        replies : dict of str to HolderStatus
            Replies to the current round only: a reply to an earlier round
            was sent before the peer knew the announced incarnation.
        """
        needed = recovery_quorum(len(self.holders))
        current = current_statuses(replies)
        if len(current) < needed:
            return RecoveryPending(len(current), needed)
        highest = highest_incarnation(self.name, current.values())
        if not self.incarnation:
            self.incarnation = highest + 1
            return AnnounceIncarnation(self.incarnation)
        if highest > self.incarnation:
            # A later process of this holder is recovering: this one is
            # superseded.
            return RecoveryPending(0, needed)
        return Recovered(
            incarnation=self.incarnation,
            known_incarnations=merge_incarnations(self.name, current),
            floor_epoch=1 + max(status.epoch for status in current.values()),
        )


def merge_incarnations(
    name: str, replies: dict[str, HolderStatus]
) -> dict[str, int]:
    """Return the highest incarnation of each peer in any reply."""
    merged = {peer: status.incarnation for peer, status in replies.items()}
    for status in replies.values():
        for peer, incarnation in status.known_incarnations.items():
            merged[peer] = max(incarnation, merged.get(peer, 0))
    merged.pop(name, None)
    return merged
