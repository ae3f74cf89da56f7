"""Whose turn it is to try what is quarantined.

A try may crash an upstream, so one VM at a time makes it. The VMs that observed
the losses take turns, in an order that all VMs derive from the losses alone:
no message is needed, and VMs that cannot reach each other agree as well. A VM
that is down misses its turn. Each second turn is of another VM, as the request
may come to no observer: of several VMs that observed a crash one is recorded.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from math import inf

from godwitshunt.quarantine.fingerprint import Fingerprint
from godwitshunt.quarantine.records import SuspectRecord

# Length of a turn after the end of a quarantine.
TURN_S = 30.0
# Length of a turn while another part may be the cause.
EARLY_TURN_S = 1.0
# Share of a turn during which nothing is begun: VMs learn of the last loss with
# different delays.
GUARD_SHARE = 0.3


@dataclass
class ProbeTurns:
    """The turns of one VM.

    Parameters
    ----------
    begun : dict
        When it last began to try a request or part.
    """

    begun: dict[Fingerprint, float] = field(default_factory=dict)

    def is_due(
        self,
        record: SuspectRecord,
        vm: str,
        since_s: float,
        now_s: float,
        turn_s: float = TURN_S,
        vms: Collection[str] = (),
    ) -> bool:
        """Tell whether a VM may begin to try a request or part now.

        Parameters
        ----------
        since_s : float
            When the first turn began.
        turn_s : float
            Length of a turn in seconds.
        vms : collection of str
            All known VMs.
        """
        observers = record.observers()
        if not observers:
            return True
        turn, elapsed_s = divmod(now_s - since_s, turn_s)
        if elapsed_s < turn_s * GUARD_SHARE:
            return False
        others = sorted(set(vms) - set(observers))
        if vm_in_turn(observers, others, int(turn)) != vm:
            return False
        turn_began_s = now_s - elapsed_s
        return self.begun.get(record.fingerprint, -inf) < turn_began_s

    def is_due_early(
        self,
        record: SuspectRecord,
        vm: str,
        now_s: float,
        vms: Collection[str] = (),
    ) -> bool:
        """Tell whether a VM may try a part whose quarantine has not ended."""
        if not record.observers():
            return False
        return self.is_due(
            record, vm, record.last_loss_s(), now_s, EARLY_TURN_S, vms
        )

    def begin(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Record that this VM begins to try a request or part."""
        self.begun[fingerprint] = now_s

    def expire(self, until_s: float) -> None:
        """Forget what was begun up to a time."""
        self.begun = {
            fingerprint: begun_s
            for fingerprint, begun_s in self.begun.items()
            if begun_s > until_s
        }


def vm_in_turn(
    observers: Sequence[str], others: Sequence[str], turn: int
) -> str:
    """Return the VM that has a turn.

    Examples
    --------
    >>> [vm_in_turn('a', 'bc', turn) for turn in range(6)]
    ['a', 'b', 'a', 'c', 'a', 'b']
    """
    if not others:
        return observers[turn % len(observers)]
    number, is_other = divmod(turn, 2)
    vms = others if is_other else observers
    return vms[number % len(vms)]
