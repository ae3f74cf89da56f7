"""How a holder that forgot its votes may vote again, as pure logic.

It first asks for the next incarnation that none of its lives has had, then
tells that one to fellow holders and hears their epochs. Every majority that
it was ever in has a holder among those that answer; that holder had voted in
the same epoch, so one more than the highest epoch told is above each epoch
in which a vote was forgotten.
"""

from dataclasses import dataclass

from godwitshunt.claims.standing import (
    Standing,
    highest_known,
    of_present_lives,
    recovery_quorum,
)


@dataclass(frozen=True)
class TellIncarnation:
    """Tell the others the incarnation that this holder takes."""

    incarnation: int


@dataclass(frozen=True)
class Recovered:
    """The holder may vote in epochs from `floor` on."""

    incarnation: int
    known: dict[str, int]
    floor: int


@dataclass(frozen=True)
class NotYet:
    """Too few answered: ask all of them once more, from the start."""

    answered: int
    needed: int


RecoveryStep = TellIncarnation | Recovered | NotYet


@dataclass
class Recovery:
    """The way back of one holder.

    Parameters
    ----------
    name : str
        The holder.
    holders : tuple of str
        All holders of the generation.
    incarnation : int
        0 while the question is which ones the others know.
    """

    name: str
    holders: tuple[str, ...]
    incarnation: int = 0

    def take_round(self, replies: dict[str, Standing]) -> RecoveryStep:
        """Take the replies to one question, and return the next step.

        Parameters
        ----------
        replies : dict of str to Standing
            Replies to the present question only: one to an earlier question
            is from before the others knew of the incarnation.
        """
        needed = recovery_quorum(len(self.holders))
        present = of_present_lives(replies)
        if len(present) < needed:
            return NotYet(len(present), needed)
        known = highest_known(self.name, present.values())
        if not self.incarnation:
            self.incarnation = known + 1
            return TellIncarnation(self.incarnation)
        if known > self.incarnation:
            # A later life of this holder is on its way back: this one is over.
            return NotYet(0, needed)
        return Recovered(
            incarnation=self.incarnation,
            known=merge_known(self.name, present),
            floor=1 + max(standing.epoch for standing in present.values()),
        )


def merge_known(name: str, replies: dict[str, Standing]) -> dict[str, int]:
    """Return the highest incarnations that any reply tells of, less own."""
    merged = {peer: standing.incarnation for peer, standing in replies.items()}
    for standing in replies.values():
        for peer, incarnation in standing.known.items():
            merged[peer] = max(incarnation, merged.get(peer, 0))
    merged.pop(name, None)
    return merged
