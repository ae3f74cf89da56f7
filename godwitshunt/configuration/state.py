"""The control state: what the replicated log adds up to."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from godwitshunt.configuration.commands import (
    AwaitedVm,
    OrderIssued,
    Outcome,
)
from godwitshunt.configuration.document import Document

NUMBER_WINDOW = 4096
KEPT_GENERATIONS = 8
KEPT_ORDERS = 1024


@dataclass(frozen=True)
class NumberRecord:
    """The one contents of a manifest number.

    Parameters
    ----------
    awaited : tuple of AwaitedVm
        VMs that its acceptance waits for; empty once accepted.
    """

    digest: str
    revision: int
    awaited: tuple[AwaitedVm, ...] = ()


@dataclass(frozen=True)
class ControlState:
    """Everything that the replicated log has decided.

    Parameters
    ----------
    revision : int
        Rises by one with each change of the document.
    document : Document
        The newest manifest, the admitted VMs and the claim holders.
    highest_number : int
        The highest manifest number; 0 before the first.
    numbers : mapping
        What each number within the last `NUMBER_WINDOW` stands for.
    absent : mapping
        Region of each VM that left the list because it was silent for long.
    fencing : int
        The last fencing number that was given out.
    orders : mapping
        The last `KEPT_ORDERS` orders by name.
    weight_units : int
        Units ever taken from the weight store's bucket.
    """

    revision: int = 0
    document: Document = field(default_factory=Document)
    highest_number: int = 0
    numbers: Mapping[int, NumberRecord] = field(default_factory=dict)
    absent: Mapping[str, str] = field(default_factory=dict)
    fencing: int = 0
    orders: Mapping[str, OrderIssued] = field(default_factory=dict)
    weight_units: int = 0

    def with_document(self, document: Document) -> 'ControlState':
        """Return the state with the next revision of the document."""
        return replace(self, revision=self.revision + 1, document=document)


Step = tuple[ControlState, Outcome]
