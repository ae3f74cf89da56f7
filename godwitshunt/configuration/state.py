"""The control state: what the replicated log adds up to.

`apply_command` is a pure function, so that every replica that has applied the
same entries holds the same state and gives the same answers.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from result import Err, Ok, Result

from godwitshunt.configuration.commands import (
    Accepted,
    AcceptManifest,
    Applied,
    AwaitedVm,
    BaseChanged,
    ChangeHolders,
    ChangeVms,
    Command,
    CommandUnknown,
    ConfirmManifest,
    IssueOrder,
    ManifestOutcome,
    ManifestUnreadable,
    NumberConflict,
    NumberTooOld,
    OrderConflict,
    OrderIssued,
    Outcome,
    Pending,
)
from godwitshunt.configuration.delta import patch
from godwitshunt.configuration.document import (
    DigestMismatch,
    Document,
    DocumentFault,
    manifest_digest_of,
    read_plain,
    unpack,
    vm_entry,
)
from godwitshunt.configuration.narrowing import awaited_vms

NUMBER_WINDOW = 4096
KEPT_GENERATIONS = 4
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
    highest : int
        The highest manifest number; 0 before the first.
    numbers : mapping
        What each number within the last `NUMBER_WINDOW` stands for.
    fencing : int
        The last fencing number that was given out.
    orders : mapping
        The last `KEPT_ORDERS` orders by name.
    weight_units : int
        Units ever taken from the weight store's bucket.
    """

    revision: int = 0
    document: Document = field(default_factory=Document)
    highest: int = 0
    numbers: Mapping[int, NumberRecord] = field(default_factory=dict)
    fencing: int = 0
    orders: Mapping[str, OrderIssued] = field(default_factory=dict)
    weight_units: int = 0

    def with_document(self, document: Document) -> 'ControlState':
        """Return the state with the next revision of the document."""
        return replace(self, revision=self.revision + 1, document=document)


Step = tuple[ControlState, Outcome]


def apply_command(state: ControlState, command: Command | None) -> Step:
    """Apply one committed entry.

    Parameters
    ----------
    state : ControlState
        The state after every earlier entry.
    command : Command or None
        None for an entry of a kind that this version does not know.

    Returns
    -------
    tuple
        The state after the entry, and the outcome for who proposed it.
    """
    match command:
        case AcceptManifest():
            return accept_manifest(state, command)
        case ConfirmManifest(number):
            return confirm_manifest(state, number)
        case ChangeVms():
            return change_vms(state, command)
        case ChangeHolders(region, names):
            return change_holders(state, region, names)
        case IssueOrder():
            return issue_order(state, command)
        case _:
            return state, CommandUnknown()


def accept_manifest(state: ControlState, command: AcceptManifest) -> Step:
    """Accept a manifest, or answer for the number's first contents."""
    earlier = earlier_answer(state, command.number, command.digest)
    if earlier is not None:
        return state, earlier
    if command.base_digest not in {'', manifest_digest_of(state.document)}:
        return state, BaseChanged()
    match manifest_document(state.document, command):
        case Err(fault):
            return state, ManifestUnreadable(repr(fault))
        case Ok(document):
            return record_manifest(state, command, document)


def earlier_answer(
    state: ControlState,
    number: int,
    digest: str,
) -> ManifestOutcome | None:
    """Return the answer for a number that is taken or passed.

    An operator who lost the answer sends the same manifest again, perhaps
    long after; he must get the first answer and change nothing. Two operators
    who race under one number must not both be told that theirs is in force.
    """
    known = state.numbers.get(number)
    if known is not None and known.digest == digest:
        return answer_of(state, number, repeated=True)
    if number > state.highest:
        return None
    if known is None and number <= state.highest - NUMBER_WINDOW:
        return NumberTooOld(number, state.highest - NUMBER_WINDOW + 1)
    winner_number = state.highest if known is None else number
    winner = state.numbers[winner_number]
    return NumberConflict(
        number,
        winner_number,
        winner.digest,
        winner.revision,
    )


def answer_of(
    state: ControlState,
    number: int,
    *,
    repeated: bool,
) -> Accepted | Pending:
    """Return the answer for a number that stands in the state."""
    known = state.numbers[number]
    if known.awaited:
        return Pending(number, known.digest, known.revision, known.awaited)
    superseded_by = state.highest if state.highest > number else None
    return Accepted(
        number,
        known.digest,
        known.revision,
        superseded_by,
        repeated,
    )


def manifest_document(
    base: Document,
    command: AcceptManifest,
) -> Result[Document, DocumentFault]:
    """Return the base with the command's manifest in it."""
    match unpack(command.body):
        case Err(fault):
            return Err(fault)
        case Ok(fields):
            read = read_manifest(base, command, fields)
    if isinstance(read, Ok):
        found = manifest_digest_of(read.ok_value)
        if found != command.digest:
            return Err(DigestMismatch(command.digest, found))
    return read


def read_manifest(
    base: Document,
    command: AcceptManifest,
    fields: dict[str, Any],
) -> Result[Document, DocumentFault]:
    """Read a whole manifest or a delta, leaving VMs and holders as they are."""
    if command.base_digest:
        return patch(base, fields)
    whole = read_plain(fields)
    if isinstance(whole, Err):
        return whole
    document = whole.ok_value
    for name in ('vms', 'holders'):
        document = document.with_section(name, base.section(name))
    return Ok(document)


def record_manifest(
    state: ControlState,
    command: AcceptManifest,
    document: Document,
) -> Step:
    """Put an accepted manifest in force and remember its number."""
    awaited = awaited_vms(state.document, document)
    state = state.with_document(document)
    record = NumberRecord(command.digest, state.revision, awaited)
    floor = command.number - NUMBER_WINDOW
    kept = {
        number: known
        for number, known in state.numbers.items()
        if number > floor
    }
    state = replace(
        state,
        highest=command.number,
        numbers={**kept, command.number: record},
    )
    return state, answer_of(state, command.number, repeated=False)


def confirm_manifest(state: ControlState, number: int) -> Step:
    """Accept a pending manifest for good."""
    known = state.numbers.get(number)
    if known is None:
        return state, NumberTooOld(number, state.highest - NUMBER_WINDOW + 1)
    confirmed = {**state.numbers, number: replace(known, awaited=())}
    state = replace(state, numbers=confirmed)
    return state, answer_of(state, number, repeated=False)


def change_vms(state: ControlState, command: ChangeVms) -> Step:
    """Admit and remove VMs; without a difference the revision stays."""
    before = state.document.section('vms')
    after = {
        name: entry
        for name, entry in before.items()
        if name not in command.removed
    }
    for vm in command.admitted:
        after[vm.name] = vm_entry(vm)
    if after != before:
        state = state.with_document(state.document.with_section('vms', after))
    return state, Applied(state.revision)


def change_holders(
    state: ControlState,
    region: str,
    names: tuple[str, ...],
) -> Step:
    """Begin a new generation of a region's claim holders.

    Keys stay bound to the generation that they were stamped under; the last
    `KEPT_GENERATIONS` stay listed so that their claims can still be found.
    """
    before = state.document.section('holders')
    own = [entry for entry in before.values() if entry['region'] == region]
    if own and own[-1]['names'] == list(names):
        return state, Applied(state.revision)
    generation = own[-1]['generation'] + 1 if own else 1
    dropped = {
        f'{region}.{entry["generation"]}'
        for entry in own[: 1 - KEPT_GENERATIONS]
    }
    after = {key: entry for key, entry in before.items() if key not in dropped}
    after[f'{region}.{generation}'] = {
        'region': region,
        'generation': generation,
        'names': list(names),
    }
    state = state.with_document(state.document.with_section('holders', after))
    return state, Applied(state.revision)


def issue_order(state: ControlState, command: IssueOrder) -> Step:
    """Give an order its fencing number, once."""
    known = state.orders.get(command.order)
    if known is not None:
        return state, repeated_order(known, command)
    issued = OrderIssued(
        command.order,
        command.upstream,
        command.action,
        command.subject,
        state.fencing + 1,
    )
    orders = dict(state.orders)
    if len(orders) >= KEPT_ORDERS:
        orders.pop(next(iter(orders)))
    orders[command.order] = issued
    state = replace(
        state,
        fencing=issued.fencing,
        orders=orders,
        weight_units=state.weight_units + command.weight_units,
    )
    return state, issued


def repeated_order(known: OrderIssued, command: IssueOrder) -> Outcome:
    """Answer for an order whose name was used before."""
    first = (known.upstream, known.action, known.subject)
    if first == (command.upstream, command.action, command.subject):
        return replace(known, repeated=True)
    return OrderConflict(command.order)
