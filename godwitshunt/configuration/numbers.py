"""Manifest numbers: one contents each, and the same answer for ever."""

from dataclasses import replace
from itertools import chain
from typing import Any

from result import Err, Ok, Result

from godwitshunt.configuration.commands import (
    Accepted,
    AcceptManifest,
    AwaitedVm,
    BaseChanged,
    ManifestOutcome,
    ManifestUnreadable,
    NumberConflict,
    NumberTooOld,
    Pending,
)
from godwitshunt.configuration.delta import diff, patch
from godwitshunt.configuration.document import (
    SYSTEM_SECTIONS,
    DigestMismatch,
    Document,
    DocumentFault,
    document_of,
    manifest_digest_of,
    pack,
    pack_document,
    read_plain,
    unpack,
)
from godwitshunt.configuration.narrowing import awaited_vms
from godwitshunt.configuration.state import (
    NUMBER_WINDOW,
    ControlState,
    NumberRecord,
    Step,
)
from godwitshunt.manifest import Manifest


def accept_command(state: ControlState, manifest: Manifest) -> AcceptManifest:
    """Return the command for a manifest, with a delta where there is a base."""
    document = document_of(manifest)
    digest = manifest_digest_of(document)
    base = state.document
    if not state.highest_number:
        body = pack_document(document)
        return AcceptManifest(manifest.number, digest, '', body)
    for section in SYSTEM_SECTIONS:
        entries = base.section(section)
        document = document.with_section(section, entries)
    body = pack(diff(base, document))
    number = manifest.number
    return AcceptManifest(number, digest, newest_digest(state), body)


def accept_manifest(state: ControlState, command: AcceptManifest) -> Step:
    """Accept a manifest, or answer for the number's first contents."""
    earlier = earlier_answer(state, command.number, command.digest)
    if earlier is not None:
        return state, earlier
    if command.base_digest not in {'', newest_digest(state)}:
        return state, BaseChanged()
    match manifest_document(state.document, command):
        case Err(fault):
            return state, ManifestUnreadable(repr(fault))
        case Ok(document):
            return record_manifest(state, command, document)


def newest_digest(state: ControlState) -> str:
    """Return the digest of the newest manifest; empty before the first."""
    newest = state.numbers.get(state.highest_number)
    return '' if newest is None else newest.digest


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
    if number > state.highest_number:
        return None
    if known is None and number <= state.highest_number - NUMBER_WINDOW:
        return NumberTooOld(number, state.highest_number - NUMBER_WINDOW + 1)
    winner_number = state.highest_number if known is None else number
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
    superseded_by = (
        state.highest_number if state.highest_number > number else None
    )
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
    for name in SYSTEM_SECTIONS:
        document = document.with_section(name, base.section(name))
    return Ok(document)


def record_manifest(
    state: ControlState,
    command: AcceptManifest,
    document: Document,
) -> Step:
    """Put an accepted manifest in force and remember its number."""
    awaited = awaited_now(state, document)
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
        highest_number=command.number,
        numbers={**kept, command.number: record},
    )
    return state, answer_of(state, command.number, repeated=False)


def awaited_now(
    state: ControlState,
    document: Document,
) -> tuple[AwaitedVm, ...]:
    """Return the VMs that a manifest's acceptance waits for.

    Among them are those that earlier numbers still wait for: a region that
    number 2 takes away is not lost once more by number 3, but a VM that has
    applied neither of them still serves there.
    """
    lease_suffices: dict[str, bool] = {}
    pending = [known.awaited for known in state.numbers.values()]
    own = awaited_vms(state.document, document, state.absent)
    for vm in chain(own, *pending):
        known = lease_suffices.get(vm.name, True)
        lease_suffices[vm.name] = known and vm.lease_suffices
    return tuple(
        AwaitedVm(name, suffices) for name, suffices in lease_suffices.items()
    )


def confirm_manifest(state: ControlState, number: int) -> Step:
    """Accept a pending manifest for good."""
    known = state.numbers.get(number)
    if known is None:
        return state, NumberTooOld(
            number, state.highest_number - NUMBER_WINDOW + 1
        )
    confirmed = {**state.numbers, number: replace(known, awaited=())}
    state = replace(state, numbers=confirmed)
    return state, answer_of(state, number, repeated=False)
