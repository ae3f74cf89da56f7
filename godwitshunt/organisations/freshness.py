"""Freshness of the keys that a VM knows; no I/O.

A stated time after the revocation of a key is acknowledged, no VM may accept
the key, not even a partitioned one. So a VM uses its revision only while it
has a proof that, less than that time ago, this was the newest revision of a
quorum. The time of the proof is a lower bound: the VM's clock when it sent the
query, minus the age that the reply states. Delays, freezes and a control VM in
a minority partition can only make a proof look older. A request that is
admitted under a proof is sent before the proof expires.
"""

from dataclasses import dataclass

# Upper bound of the drift between the clock of a VM and that of the process
# that acknowledges the revocation.
CLOCK_SKEW_S = 0.1


@dataclass(frozen=True)
class FreshnessRule:
    """Decides whether the known keys are fresh enough to be used.

    Parameters
    ----------
    revoke_s : float or None
        Seconds after which no VM accepts a revoked key; None if this is
        guaranteed only for VMs that are connected to a quorum.

    Examples
    --------
    >>> (
    ...     FreshnessRule(5.0).holds(age_s=4.8),
    ...     FreshnessRule(5.0).holds(age_s=4.95),
    ... )
    (True, False)
    >>> FreshnessRule().holds(age_s=float('inf'))
    True
    """

    revoke_s: float | None = None

    def holds(self, age_s: float) -> bool:
        """Return whether a proof of a given age is valid.

        Parameters
        ----------
        age_s : float
            Seconds since the active revision was the newest of a quorum;
            infinite if that is unknown.
        """
        return self.revoke_s is None or age_s < self.revoke_s - CLOCK_SKEW_S
