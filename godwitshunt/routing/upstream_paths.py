"""Whether an entry VM still reaches the upstreams of its region; no I/O.

A path, from one VM to one upstream, fails apart from the upstream. A VM whose
connections fail opens others to a few upstreams. If all of these fail as well,
the VM has lost its paths, and its own failures say nothing of upstreams.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from random import Random

from godwitshunt.settings import Address

# Upstreams that are probed at once, in different failure domains if possible.
PROBED_UPSTREAMS = 3
# Successive rounds with a reached upstream after which the paths are back. One
# alone may be the lucky packet of a link that fails now and then.
RECOVERED_ROUNDS = 2


class Suspicion(IntEnum):
    """Why the paths are probed.

    `connection`: a connection failed, was reset, or sent bytes are not
    acknowledged. `silence`: upstreams answer nothing, which may also be due to
    themselves.
    """

    connection = 1
    silence = 2


class ProbeResult(IntEnum):
    """How a probe of an upstream ended.

    `silent`: nothing came back. `refused`: the connection was refused or reset.
    `accepted`: it holds, but no answer came in time. A busy upstream answers
    its health check late.
    """

    silent = 0
    refused = 1
    accepted = 2
    answered = 3


@dataclass(frozen=True)
class ProbeTarget:
    """An upstream that may be probed.

    Parameters
    ----------
    instance : str
        Name of its incarnation.
    failure_domain : str
        Where it runs.
    path : str
        Path of its health check.
    """

    instance: str
    address: Address
    failure_domain: str
    path: str


@dataclass
class UpstreamPaths:
    """State of a VM's paths to the upstreams of its region.

    Parameters
    ----------
    lost_by : Suspicion or None
        What showed that all paths are lost; None if they are not.
    keeps_connections : bool
        True if new connections were refused: open ones may live on. So it is
        where upstreams have as many connections as they accept.
    since_s : float
        When the paths were lost or back, in monotonic seconds.
    recovered_rounds : int
        Successive rounds of probes in which an upstream was reached.
    """

    lost_by: Suspicion | None = None
    keeps_connections: bool = False
    since_s: float = field(default=0.0)
    recovered_rounds: int = 0

    @property
    def are_lost(self) -> bool:
        """True if this VM reaches no upstream."""
        return self.lost_by is not None

    @property
    def are_refused(self) -> bool:
        """True if connections to upstreams are known to fail."""
        return self.lost_by is Suspicion.connection

    def record_check(
        self,
        suspicion: Suspicion,
        results: Collection[ProbeResult],
        now_s: float,
    ) -> bool:
        """Record a check of paths that were not lost; return if they are."""
        if not results or is_reached(suspicion, results):
            return False
        self.lost_by = suspicion
        self.keeps_connections = (
            self.are_refused and ProbeResult.refused in results
        )
        self.since_s = now_s
        self.recovered_rounds = 0
        return True

    def record_round(
        self, results: Collection[ProbeResult], now_s: float
    ) -> bool:
        """Record probes over lost paths; return whether the paths are back.

        Without any upstream to probe, none refuses a connection either.
        """
        if results and not is_reached(self.lost_by, results):
            self.recovered_rounds = 0
            return False
        self.recovered_rounds += 1
        if self.recovered_rounds < RECOVERED_ROUNDS:
            return False
        self.lost_by = None
        self.since_s = now_s
        return True


def is_reached(suspicion: Suspicion, results: Collection[ProbeResult]) -> bool:
    """Return whether probes refute a suspicion.

    Examples
    --------
    >>> is_reached(Suspicion.connection, [ProbeResult.accepted])
    True
    >>> is_reached(Suspicion.silence, [ProbeResult.accepted])
    False
    """
    least = ProbeResult.accepted
    if suspicion is Suspicion.silence:
        least = ProbeResult.answered
    return any(result >= least for result in results)


def choose_targets(
    targets: Iterable[ProbeTarget],
    suspected: str,
    random: Random,
) -> list[ProbeTarget]:
    """Return the upstreams to probe, of as many failure domains as possible.

    The suspected one is left out: its own failure is no proof of another.
    """
    others = [one for one in targets if one.instance != suspected]
    random.shuffle(others)
    chosen: list[ProbeTarget] = []
    while others and len(chosen) < PROBED_UPSTREAMS:
        used = {one.failure_domain for one in chosen}
        fresh = [one for one in others if one.failure_domain not in used]
        chosen.append((fresh or others)[0])
        others.remove(chosen[-1])
    return chosen
