"""Status of claim holders, and which of their votes count together.

A holder without a journal loses its votes when it restarts. It returns with a
higher incarnation, which its peers learn before it votes again. Each vote
carries the incarnations that the voter knew of. Votes count together only if
none of them shows that another was cast in a superseded incarnation. See [1]_;
`docs/design/claims.md` has the proof.

References
----------
.. [1] Michael, E., Ports, D., Sharma, N. and Szekeres, A. (2017). Recovering
   shared objects without stable storage. DISC 2017.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True)
class HolderStatus:
    """What one holder of a generation reports with its votes and replies.

    Parameters
    ----------
    incarnation : int
        0 for the process that was running when the holder set was committed;
        higher after each restart with a lost journal or without one.
    known_incarnations : mapping of str to int
        The highest known incarnation of each peer, by holder name.
    epoch : int
        The holder's current epoch.
    """

    incarnation: int = 0
    known_incarnations: Mapping[str, int] = field(default_factory=dict)
    epoch: int = 0


def majority(count: int) -> int:
    """Return the size of a majority of `count` holders.

    Examples
    --------
    >>> [majority(count) for count in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return count // 2 + 1


def recovery_quorum(count: int) -> int:
    """Return how many peers must reply to a holder that lost its votes.

    Any set of this many peers intersects every majority that the holder was
    part of, not counting the holder itself.

    Examples
    --------
    >>> [recovery_quorum(count) for count in (1, 2, 3, 4, 5)]
    [1, 1, 2, 2, 3]
    """
    return count - majority(count) + 1


def current_statuses(
    statuses: Mapping[str, HolderStatus],
) -> dict[str, HolderStatus]:
    """Return the statuses that none of the others shows to be superseded.

    Examples
    --------
    >>> superseded = HolderStatus(incarnation=0)
    >>> observer = HolderStatus(known_incarnations={'a': 1})
    >>> list(current_statuses({'a': superseded, 'b': observer}))
    ['b']
    """
    return {
        name: status
        for name, status in statuses.items()
        if status.incarnation >= highest_incarnation(name, statuses.values())
    }


def highest_incarnation(name: str, statuses: Iterable[HolderStatus]) -> int:
    """Return the highest incarnation of a holder in any status, or 0."""
    return max(
        (status.known_incarnations.get(name, 0) for status in statuses),
        default=0,
    )
