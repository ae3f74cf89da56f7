"""Commands of the replicated log, and what each comes back with."""

from dataclasses import dataclass
from enum import StrEnum

from godwitshunt.configuration.revision import VmRecord


@dataclass(frozen=True)
class AcceptManifest:
    """Accept a manifest.

    Parameters
    ----------
    number : int
        The pipeline's number of the manifest.
    digest : str
        SHA-256 of the manifest's canonical form, in hexadecimal.
    base_digest : str
        Digest of the manifest that `body` changes; empty for a whole one.
    body : bytes
        Compressed JSON of the delta or of the whole document.
    """

    number: int
    digest: str
    base_digest: str
    body: bytes


@dataclass(frozen=True)
class ConfirmManifest:
    """Every awaited VM applied the manifest or has stopped."""

    number: int


@dataclass(frozen=True)
class ChangeVms:
    """Admit VMs, or take them out.

    Parameters
    ----------
    removed : tuple of str
        Known to have stopped: an operator said so.
    absent : tuple of str
        Not heard for long. They leave the list of VMs, but they may only be
        cut off, and acceptances that concern their region still wait.
    """

    admitted: tuple[VmRecord, ...] = ()
    removed: tuple[str, ...] = ()
    absent: tuple[str, ...] = ()


@dataclass(frozen=True)
class ChangeHolders:
    """Name the claim holders of a region from now on."""

    region: str
    names: tuple[str, ...]


@dataclass(frozen=True)
class ChangeEvacuation:
    """Send nothing more to the upstreams of a failure domain, or again."""

    failure_domain: str
    evacuated: bool


@dataclass(frozen=True)
class IssueOrder:
    """Give an order to an upstream the next fencing number.

    Parameters
    ----------
    order : str
        Chosen by whoever asks; the same one is never issued twice.
    upstream, action, subject : str
        Who is to do what with which model, adapter, version or role.
    weight_units : int
        Units that it takes from the weight store's bucket.
    """

    order: str
    upstream: str
    action: str
    subject: str
    weight_units: int = 0


class OrderEnding(StrEnum):
    """What became of an order.

    `open` orders are sent again until the upstream has answered; `fenced` ones
    were refused since the upstream had seen a higher number; `failed` ones
    were refused for another reason.
    """

    open = 'open'
    done = 'done'
    fenced = 'fenced'
    failed = 'failed'


@dataclass(frozen=True)
class FinishOrder:
    """The upstream has answered an order."""

    order: str
    ending: OrderEnding


Command = (
    AcceptManifest
    | ConfirmManifest
    | ChangeVms
    | ChangeHolders
    | ChangeEvacuation
    | IssueOrder
    | FinishOrder
)


@dataclass(frozen=True)
class AwaitedVm:
    """A VM that an acceptance waits for.

    Parameters
    ----------
    lease_suffices : bool
        True where the VM, once isolated, would not serve there either, so
        that the end of its lease counts as its stop.
    """

    name: str
    lease_suffices: bool


@dataclass(frozen=True)
class Accepted:
    """The manifest is the accepted one of its number.

    Parameters
    ----------
    revision : int
        The revision that it came into force with.
    superseded_by : int or None
        A later accepted number, where there is one.
    repeated : bool
        True where this answer was given before.
    """

    number: int
    digest: str
    revision: int
    superseded_by: int | None = None
    repeated: bool = False


@dataclass(frozen=True)
class Pending:
    """Committed and distributed, not accepted yet.

    The manifest takes a region away from a home; until these VMs have applied
    it or stopped, one of them may still serve there.
    """

    number: int
    digest: str
    revision: int
    awaited: tuple[AwaitedVm, ...]


@dataclass(frozen=True)
class NumberConflict:
    """The number, or a higher one, belongs to other contents."""

    number: int
    winner_number: int
    winner_digest: str
    winner_revision: int


@dataclass(frozen=True)
class NumberTooOld:
    """The number lies below the window in which answers are kept."""

    number: int
    oldest_known: int


@dataclass(frozen=True)
class BaseChanged:
    """The delta builds on a manifest that is not the newest any more."""


@dataclass(frozen=True)
class ManifestUnreadable:
    """The committed body does not give the manifest of its digest."""

    reason: str


@dataclass(frozen=True)
class Applied:
    """The change is in the configuration of this revision."""

    revision: int


@dataclass(frozen=True)
class OrderIssued:
    """The order may be sent under its fencing number."""

    order: str
    upstream: str
    action: str
    subject: str
    fencing: int
    ending: OrderEnding = OrderEnding.open
    repeated: bool = False


@dataclass(frozen=True)
class OrderUnknown:
    """No order of this name is kept."""

    order: str


@dataclass(frozen=True)
class OrderConflict:
    """The order's name belongs to another order."""

    order: str


@dataclass(frozen=True)
class CommandUnknown:
    """A log entry of a kind that this version does not know."""


ManifestOutcome = (
    Accepted
    | Pending
    | NumberConflict
    | NumberTooOld
    | BaseChanged
    | ManifestUnreadable
)
Outcome = (
    ManifestOutcome
    | Applied
    | OrderIssued
    | OrderUnknown
    | OrderConflict
    | CommandUnknown
)
