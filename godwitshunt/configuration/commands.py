"""Commands of the replicated log and their outcomes."""

from dataclasses import dataclass
from enum import StrEnum

from godwitshunt.configuration.revision import VmRecord


@dataclass(frozen=True)
class AcceptManifest:
    """Accept a manifest.

    Parameters
    ----------
    number : int
        Number that the deployment pipeline gave the manifest.
    digest : str
        SHA-256 of the manifest's canonical form, in hexadecimal.
    base_digest : str
        Digest of the manifest that `body` changes; empty for a full
        manifest.
    body : bytes
        Compressed JSON of the delta or of the full document.
    """

    number: int
    digest: str
    base_digest: str
    body: bytes


@dataclass(frozen=True)
class ConfirmManifest:
    """Record that every awaited VM has applied the manifest or stopped."""

    number: int


@dataclass(frozen=True)
class ChangeVms:
    """Admit or remove VMs.

    Parameters
    ----------
    removed : tuple of str
        VMs that an operator reported as stopped.
    absent : tuple of str
        VMs without a heartbeat for a long time. They leave the list of VMs,
        but they may only be partitioned, so acceptances that concern their
        region still wait for them.
    """

    admitted: tuple[VmRecord, ...] = ()
    removed: tuple[str, ...] = ()
    absent: tuple[str, ...] = ()


@dataclass(frozen=True)
class ChangeHolders:
    """Set the claim holders of a region."""

    region: str
    names: tuple[str, ...]


@dataclass(frozen=True)
class ChangeEvacuation:
    """Stop or resume sending to the upstreams of a failure domain.

    Parameters
    ----------
    based_on : int or None
        Revision at a time at which the operator still wanted this. The
        command has no effect on a domain that was changed after it; None for
        no such condition, in log entries of earlier versions.
    """

    failure_domain: str
    evacuated: bool
    based_on: int | None = None


@dataclass(frozen=True)
class IssueOrder:
    """Issue an order to an upstream under the next fencing number.

    Parameters
    ----------
    order : str
        Name chosen by the requester; an order is issued once per name.
    upstream, action, subject : str
        Upstream that has to act, the action, and the model, adapter, version
        or role that it applies to.
    weight_units : int
        Units that the order takes from the weight store's token bucket.
    """

    order: str
    upstream: str
    action: str
    subject: str
    weight_units: int = 0


class OrderEnding(StrEnum):
    """Status of an order.

    `open` orders are resent until the upstream answers; `fenced` ones were
    refused because the upstream had seen a higher fencing number; `failed`
    ones were refused for another reason.
    """

    open = 'open'
    done = 'done'
    fenced = 'fenced'
    failed = 'failed'


@dataclass(frozen=True)
class FinishOrder:
    """Record the upstream's answer to an order."""

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
        True if the VM stops serving the affected requests once it is
        isolated, so that the end of its lease counts as its stop.
    """

    name: str
    lease_suffices: bool


@dataclass(frozen=True)
class Accepted:
    """The manifest was accepted under its number.

    Parameters
    ----------
    revision : int
        The revision in which the manifest became active.
    superseded_by : int or None
        The highest accepted number if it is higher, else None.
    repeated : bool
        True if the number was already accepted before this command.
    """

    number: int
    digest: str
    revision: int
    superseded_by: int | None = None
    repeated: bool = False


@dataclass(frozen=True)
class Pending:
    """The manifest is committed and distributed, but not accepted yet.

    It removes a region from a caller or model; until the awaited VMs have
    applied it or stopped, one of them may still serve there.
    """

    number: int
    digest: str
    revision: int
    awaited: tuple[AwaitedVm, ...]


@dataclass(frozen=True)
class NumberConflict:
    """The number, or a higher one, belongs to another manifest."""

    number: int
    winner_number: int
    winner_digest: str
    winner_revision: int


@dataclass(frozen=True)
class NumberTooOld:
    """The number is below the window for which answers are stored."""

    number: int
    oldest_known: int


@dataclass(frozen=True)
class BaseChanged:
    """The delta builds on a manifest that is no longer the newest."""


@dataclass(frozen=True)
class ManifestUnreadable:
    """The committed body does not decode to the manifest of its digest."""

    reason: str


@dataclass(frozen=True)
class Applied:
    """The change is part of the configuration as of this revision."""

    revision: int


@dataclass(frozen=True)
class EvacuationSuperseded:
    """Nothing was changed: the domain was changed after `based_on`.

    Parameters
    ----------
    revision : int
        The newest revision, for an operator who still wants the change.
    """

    failure_domain: str
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
    """No order of this name is stored."""

    order: str


@dataclass(frozen=True)
class OrderConflict:
    """The name already belongs to another order."""

    order: str


@dataclass(frozen=True)
class CommandUnknown:
    """The log entry is of a kind that this version does not know."""


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
    | EvacuationSuperseded
    | OrderIssued
    | OrderUnknown
    | OrderConflict
    | CommandUnknown
)
