"""Requests of entry VMs for destinations, and a picker's answers."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from godwitshunt.grants import GrantUse, Redemption
from godwitshunt.picking.choices import Choice, Queued
from godwitshunt.routing.selection import Demand


@dataclass(frozen=True)
class DestinationRequest:
    """A request of an entry VM for a destination.

    Parameters
    ----------
    entry : str
        The entry VM.
    request : str
        Identifier of the caller's request, for logs.
    host, path_prefix : str
        Identify the route.
    service : str
        The service, drawn by the weights of the route.
    demand : Demand
        Work that the request causes at an upstream. Its objective is taken
        from the route.
    remaining_s : float
        Seconds to the deadline of the request.
    excluded : frozenset of str
        Incarnations, VMs and regions that failed this request.
    local : bool
        True if the request was handed over and must be served in this region.
    organisation : str
        The caller's organisation; empty if there is none.
    cost : float
        Units that the request uses of the organisation's limit.
    pauses : mapping
        Remaining seconds of the pauses that upstreams have asked the entry VM
        for, by incarnation.
    waited_s : float or None
        Seconds since the entry VM first asked for a destination; None if it
        cannot wait for one.
    fingerprint : bytes
        Identifies the content; empty if it is not known.
    output_tokens : int
        Maximum length of the answer that the request states; 0 for none.
    grant : GrantUse or None
        The grant by which it was handed over.
    body_bytes : int
        Bytes of its body, which a hand-over carries to another region.
    """

    entry: str
    request: str
    host: str
    path_prefix: str
    service: str
    demand: Demand
    remaining_s: float
    excluded: frozenset[str] = frozenset()
    local: bool = False
    organisation: str = ''
    cost: float = 0.0
    pauses: Mapping[str, float] = field(default_factory=dict)
    waited_s: float | None = None
    fingerprint: bytes = b''
    output_tokens: int = 0
    grant: GrantUse | None = None
    body_bytes: int = 0

    def after(self, past_s: float) -> 'DestinationRequest':
        """Return the request as it is some seconds later."""
        if self.waited_s is None or not past_s:
            return self
        return replace(
            self,
            waited_s=self.waited_s + past_s,
            remaining_s=self.remaining_s - past_s,
        )


@dataclass(frozen=True)
class Unable:
    """The picker cannot choose; the entry VM chooses by itself.

    Parameters
    ----------
    reason : str
        For logs.
    """

    reason: str


@dataclass(frozen=True)
class Assignment:
    """A choice and its number in the ledger.

    Parameters
    ----------
    number : int
        0 if no upstream of this region was assigned.
    redemption : Redemption or None
        Whether the grant that the request was handed over by is honoured;
        None if there is none.
    """

    choice: Choice | Queued
    number: int = 0
    redemption: Redemption | None = None
