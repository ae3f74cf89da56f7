"""Which voters answer their leader, for logs and metrics."""

from collections.abc import Iterable
from dataclasses import dataclass

from godwitshunt.consensus.healing import is_silent
from godwitshunt.consensus.status import MemberStatus
from godwitshunt.telemetry import Metrics, log_change

# Above a few heartbeats, so that one lost message marks no voter as lost.
LOST_AFTER_S = 1.0


@dataclass(frozen=True)
class VoterHealth:
    """Voters as their leader sees them.

    Parameters
    ----------
    voters : tuple of str
        Every voter, as ``name/incarnation``.
    lost : dict
        Seconds since each voter that does not answer answered last.
    """

    voters: tuple[str, ...]
    lost: dict[str, float]

    @classmethod
    def of_members(cls, members: Iterable[MemberStatus]) -> 'VoterHealth':
        """Return the health of a leader's voters.

        Examples
        --------
        >>> VoterHealth.of_members(()).lost
        {}
        """
        voters = tuple(one for one in members if one.voter)
        return cls(
            voters=tuple(str(one.replica) for one in voters),
            lost={
                str(one.replica): round(one.silent_s, 3)
                for one in voters
                if is_silent(one, LOST_AFTER_S)
            },
        )

    def publish(self, metrics: Metrics) -> None:
        """Set the gauges that operators watch."""
        metrics.gauge('consensus_voters', len(self.voters))
        metrics.gauge('consensus_voters_lost', len(self.lost))
        longest_s = max(self.lost.values(), default=0)
        metrics.gauge('consensus_voter_lost_seconds', longest_s)


class VoterHealthLog:
    """Logs the voters of a leader when they or their health change.

    Parameters
    ----------
    metrics : Metrics
        Receives the numbers of voters and of lost ones.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.logged: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())

    def note(self, members: Iterable[MemberStatus], led_s: float) -> None:
        """Note the members of a replica that has led for `led_s` seconds."""
        health = VoterHealth.of_members(members)
        health.publish(self.metrics)
        noted = (health.voters, tuple(health.lost))
        if noted == self.logged:
            return
        self.logged = noted
        log_change(
            'consensus:voters',
            voters=health.voters,
            lost=health.lost,
            led_s=round(led_s, 3),
        )

    def reset(self) -> None:
        """Forget what was logged, as this replica leads no more."""
        if self.logged == ((), ()):
            return
        self.logged = ((), ())
        VoterHealth((), {}).publish(self.metrics)
