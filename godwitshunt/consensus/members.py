"""Who takes part in the log: replicas, and the set of voters and learners."""

from dataclasses import dataclass, replace
from typing import Self

from godwitshunt.settings import Address


@dataclass(frozen=True, order=True)
class ReplicaId:
    """One data folder of one VM.

    Parameters
    ----------
    name : str
        The VM's name.
    incarnation : str
        Random identity of the data folder, in hexadecimal. A VM that lost its
        folder comes back as another replica, so that the votes and entries
        which it promised to keep are not counted on any more.
    """

    name: str
    incarnation: str

    def __str__(self) -> str:
        return f'{self.name}/{self.incarnation}'


@dataclass(frozen=True)
class Member:
    """A replica with its peer address, as a voter or as a learner."""

    replica: ReplicaId
    address: Address
    voter: bool


@dataclass(frozen=True)
class Membership:
    """Voters and learners, as one entry of the log states them.

    Examples
    --------
    >>> Membership().quorum
    1
    """

    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> tuple[ReplicaId, ...]:
        """The replicas whose votes and copies count."""
        return tuple(one.replica for one in self.members if one.voter)

    @property
    def quorum(self) -> int:
        """Number of voters that make a majority."""
        return len(self.voters) // 2 + 1

    def find(self, replica: ReplicaId) -> Member | None:
        """Return a member, or None for a stranger."""
        for member in self.members:
            if member.replica == replica:
                return member
        return None

    def is_voter(self, replica: ReplicaId) -> bool:
        """Tell whether a replica is a voter."""
        return replica in self.voters

    def has_quorum(self, replicas: set[ReplicaId]) -> bool:
        """Tell whether a set of replicas holds a majority of the voters."""
        return len(replicas.intersection(self.voters)) >= self.quorum

    def with_learner(self, replica: ReplicaId, address: Address) -> Self:
        """Return the membership with one more learner."""
        learner = Member(replica, address, voter=False)
        return replace(self, members=(*self.members, learner))

    def with_voter(self, replica: ReplicaId) -> Self:
        """Return the membership with one learner made a voter."""
        members = tuple(
            replace(one, voter=True) if one.replica == replica else one
            for one in self.members
        )
        return replace(self, members=members)

    def without(self, replica: ReplicaId) -> Self:
        """Return the membership without one member."""
        members = tuple(one for one in self.members if one.replica != replica)
        return replace(self, members=members)
