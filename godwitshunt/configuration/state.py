"""Control state, the result of applying the replicated log."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from godwitshunt.configuration.commands import (
    AwaitedVm,
    OrderIssued,
    Outcome,
)
from godwitshunt.configuration.document import Document

NUMBER_WINDOW = 4096
MAX_GENERATIONS = 8
MAX_ORDERS = 1024
MAX_EVACUATIONS_CHANGED = 1024


@dataclass(frozen=True)
class NumberRecord:
    """Manifest that a number was used for.

    Parameters
    ----------
    awaited : tuple of AwaitedVm
        VMs that the acceptance waits for; empty once accepted.
    """

    digest: str
    revision: int
    awaited: tuple[AwaitedVm, ...] = ()


@dataclass(frozen=True)
class ControlState:
    """State after a prefix of the replicated log.

    Parameters
    ----------
    revision : int
        Rises by one with each change of the document.
    document : Document
        The newest manifest, the admitted VMs and the claim holders.
    highest_number : int
        The highest committed manifest number; 0 before the first.
    numbers : mapping
        Record of each number within the last `NUMBER_WINDOW`.
    absent : mapping
        Region of each VM that left the list after a long time without a
        heartbeat.
    fencing : int
        The last fencing number that was issued.
    orders : mapping
        The last `MAX_ORDERS` orders by name.
    weight_units : int
        Total units ever taken from the weight store's token bucket.
    evacuations_changed : mapping
        Revision that last began or ended the evacuation of each failure
        domain; the last `MAX_EVACUATIONS_CHANGED`.
    evacuations_forgotten : int
        The newest revision that is not listed there any more.
    """

    revision: int = 0
    document: Document = field(default_factory=Document)
    highest_number: int = 0
    numbers: Mapping[int, NumberRecord] = field(default_factory=dict)
    absent: Mapping[str, str] = field(default_factory=dict)
    fencing: int = 0
    orders: Mapping[str, OrderIssued] = field(default_factory=dict)
    weight_units: int = 0
    evacuations_changed: Mapping[str, int] = field(default_factory=dict)
    evacuations_forgotten: int = 0

    def with_document(self, document: Document) -> 'ControlState':
        """Return the state with the next revision of the document."""
        return replace(self, revision=self.revision + 1, document=document)


Step = tuple[ControlState, Outcome]
