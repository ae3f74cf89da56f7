"""What a replica's task is told about itself."""

from dataclasses import dataclass, field
from typing import Self

from godwitshunt.consensus.formation import FirstVoter
from godwitshunt.consensus.state import ReplicaOptions
from godwitshunt.settings import Address, ControlSettings


@dataclass(frozen=True)
class ConsensusOptions:
    """Name, address, durations and sizes.

    Parameters
    ----------
    name : str
        The VM's name.
    address : Address
        Where peers reach it.
    replica : ReplicaOptions
        Durations and sizes of the protocol.
    snapshot_entries : int
        Applied entries between snapshots.
    outcome_timeout_s : float
        Seconds after which a proposal's outcome is told to be unknown.
    promotion_timeout_s : float
        Seconds that a learner may take to catch up when it is promoted.
    first_voters : tuple of FirstVoter
        Replicas that a new cluster begins with, this one among them; empty
        where an operator starts the cluster, or where it exists already.
    """

    name: str
    address: Address
    replica: ReplicaOptions = field(default_factory=ReplicaOptions)
    snapshot_entries: int = 1000
    outcome_timeout_s: float = 5.0
    promotion_timeout_s: float = 30.0
    first_voters: tuple[FirstVoter, ...] = ()

    @classmethod
    def from_settings(cls, settings: ControlSettings) -> Self:
        """Read the options from a control program's settings."""
        return cls(
            name=settings.name,
            address=settings.peer_endpoint,
            replica=ReplicaOptions(
                election_timeout_s=settings.election_timeout_s,
                heartbeat_s=settings.heartbeat_s,
            ),
            first_voters=tuple(
                FirstVoter(voter.name, voter.address)
                for voter in settings.first_voters
            ),
        )
