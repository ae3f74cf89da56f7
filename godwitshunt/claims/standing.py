"""What holders know of each other's restarts, and whose votes count.

A holder without a journal forgets its votes when it restarts. It comes back
under a higher incarnation, which its fellow holders learn before it votes
again. Each vote carries the incarnations that its voter had heard of; votes
count together only where none of them knows that another is from a life that
is over. `docs/design/claims.md` has the proof.

References
----------
.. [1] Michael, E., Ports, D., Sharma, N. and Szekeres, A. (2017). Recovering
   shared objects without stable storage. DISC 2017.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Standing:
    """A holder's place among the holders of one generation.

    Parameters
    ----------
    incarnation : int
        0 for the process that was running when the set was committed, higher
        after each restart that lost the journal or had none.
    known : mapping of str to int
        The highest incarnations of fellow holders that it has heard of.
    epoch : int
        Its present epoch.
    """

    incarnation: int = 0
    known: Mapping[str, int] = field(default_factory=dict)
    epoch: int = 0


def majority(count: int) -> int:
    """Return how many of `count` holders are a majority.

    Examples
    --------
    >>> [majority(count) for count in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return count // 2 + 1


def recovery_quorum(count: int) -> int:
    """Return how many fellow holders a holder that forgot must hear.

    Any so many of the others meet each majority that the holder was in, less
    itself.

    Examples
    --------
    >>> [recovery_quorum(count) for count in (1, 2, 3, 4, 5)]
    [1, 1, 2, 2, 3]
    """
    return count - majority(count) + 1


def of_present_lives(
    standings: Mapping[str, Standing],
) -> dict[str, Standing]:
    """Return the standings that no other one knows to be of a past life.

    Examples
    --------
    >>> past = Standing(incarnation=0)
    >>> witness = Standing(known={'a': 1})
    >>> list(of_present_lives({'a': past, 'b': witness}))
    ['b']
    """
    return {
        name: standing
        for name, standing in standings.items()
        if standing.incarnation >= highest_known(name, standings.values())
    }


def highest_known(name: str, standings: Iterable[Standing]) -> int:
    """Return the highest incarnation of a holder that any standing knows."""
    return max(
        (standing.known.get(name, 0) for standing in standings),
        default=0,
    )
