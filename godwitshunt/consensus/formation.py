"""The first voters of a cluster that forms without an operator.

Every replica that is named writes the same first entry into its empty folder
before it takes part, as if one leader had sent it. Two clusters can never
form: each of the replicas counts majorities over the same set from its first
vote on, and the incarnation of that set is given out only on a first start.

References
----------
Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
2014, section 6: a cluster begins with one agreed configuration.
"""

from dataclasses import dataclass

from godwitshunt.consensus.codec import encode_membership
from godwitshunt.consensus.members import Member, Membership, ReplicaId
from godwitshunt.consensus.messages import Entry, EntryKind
from godwitshunt.settings import Address

# A folder that was lost begins a random incarnation, never this one: what the
# first folder promised is then not counted on any more.
FIRST_INCARNATION = 'first'
FIRST_INDEX = 1
FIRST_TERM = 1


@dataclass(frozen=True)
class FirstVoter:
    """A replica that a new cluster begins with."""

    name: str
    address: Address


def first_membership(voters: tuple[FirstVoter, ...]) -> Membership:
    """Return the membership of a new cluster, the same on every replica."""
    ordered = sorted(voters, key=lambda voter: voter.name)
    return Membership(
        tuple(
            Member(
                ReplicaId(voter.name, FIRST_INCARNATION),
                voter.address,
                voter=True,
            )
            for voter in ordered
        ),
    )


def first_entry(voters: tuple[FirstVoter, ...]) -> Entry:
    """Return the first entry of a new cluster's log."""
    payload = encode_membership(first_membership(voters))
    return Entry(FIRST_INDEX, FIRST_TERM, EntryKind.membership, payload)
