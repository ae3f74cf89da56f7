"""How long a VM may act on the keys that it knows; pure.

A key that was taken away must open nothing a stated time after that was
acknowledged, also on VMs that hear of nobody. So a VM acts on its revision
only while it can prove that this was the newest of a quorum at a moment less
than that time ago. The moment is bounded from below: it is when the VM asked,
by its own clock, less what the answer told of its own age. Delay, freezes and
a control VM that is cut off with a minority all make the proof older, never
younger. A request that is admitted under a proof was sent before it ran out.
"""

from dataclasses import dataclass

# Clocks of VMs and of whoever acknowledges run apart by less than this.
MARGIN_S = 0.1


@dataclass(frozen=True)
class FreshnessRule:
    """Whether what is known of keys still holds.

    Parameters
    ----------
    revoke_s : float or None
        Seconds after which a key that was taken away opens nothing; None
        where that is owed only by VMs in touch with a quorum.

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
        """Tell whether a proof of an age is a proof.

        Parameters
        ----------
        age_s : float
            Seconds since the revision in force was the newest of a quorum;
            infinite where that is not known.
        """
        return self.revoke_s is None or age_s < self.revoke_s - MARGIN_S
