"""Acceptance of manifests: one manifest and one answer for each number."""

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
    document_from_plain,
    document_of,
    manifest_digest_of,
    pack,
    pack_document,
    unpack,
)
from godwitshunt.configuration.region_removals import awaited_vms
from godwitshunt.configuration.state import (
    NUMBER_WINDOW,
    ControlState,
    NumberRecord,
    Step,
)
from godwitshunt.manifest import Manifest


def accept_command(state: ControlState, manifest: Manifest) -> AcceptManifest:
    """Return the command for a manifest, as a delta if a base exists."""
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
    """Accept a manifest, or return the answer for a number already used."""
    earlier = existing_answer(state, command.number, command.digest)
    if earlier is not None:
        return state, earlier
    if command.base_digest not in {'', newest_digest(state)}:
        return state, BaseChanged()
    match manifest_document(state.document, command):
        case Err(fault):
            return state, ManifestUnreadable(repr(fault))
        case Ok(document):
            return activate_manifest(state, command, document)


def newest_digest(state: ControlState) -> str:
    """Return the digest of the newest manifest; empty before the first."""
    newest = state.numbers.get(state.highest_number)
    return '' if newest is None else newest.digest


def existing_answer(
    state: ControlState,
    number: int,
    digest: str,
) -> ManifestOutcome | None:
    """Return the answer for a number that is used or too low, else None.

    An operator who did not receive the answer sends the same manifest again,
    perhaps much later, and must get the first answer without any change. Of
    two operators who race for one number, only one may be told that its
    manifest is accepted.
    """
    known = state.numbers.get(number)
    if known is not None and known.digest == digest:
        return current_answer(state, number, repeated=True)
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


def current_answer(
    state: ControlState,
    number: int,
    *,
    repeated: bool,
) -> Accepted | Pending:
    """Return the current answer for a number in the state."""
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
    """Return the base document with the manifest of the command."""
    match unpack(command.body):
        case Err(fault):
            return Err(fault)
        case Ok(fields):
            decoded = read_manifest(base, command, fields)
    if isinstance(decoded, Ok):
        found = manifest_digest_of(decoded.ok_value)
        if found != command.digest:
            return Err(DigestMismatch(command.digest, found))
    return decoded


def read_manifest(
    base: Document,
    command: AcceptManifest,
    fields: dict[str, Any],
) -> Result[Document, DocumentFault]:
    """Read a full manifest or a delta; VMs and holders stay unchanged."""
    if command.base_digest:
        return patch(base, fields)
    whole = document_from_plain(fields)
    if isinstance(whole, Err):
        return whole
    document = whole.ok_value
    for name in SYSTEM_SECTIONS:
        document = document.with_section(name, base.section(name))
    return Ok(document)


def activate_manifest(
    state: ControlState,
    command: AcceptManifest,
    document: Document,
) -> Step:
    """Make a manifest part of the next revision and store its number."""
    awaited = all_awaited_vms(state, document)
    state = state.with_document(document)
    record = NumberRecord(command.digest, state.revision, awaited)
    floor = command.number - NUMBER_WINDOW
    retained = {
        number: known
        for number, known in state.numbers.items()
        if number > floor
    }
    state = replace(
        state,
        highest_number=command.number,
        numbers={**retained, command.number: record},
    )
    return state, current_answer(state, command.number, repeated=False)


def all_awaited_vms(
    state: ControlState,
    document: Document,
) -> tuple[AwaitedVm, ...]:
    """Return the VMs that a manifest's acceptance waits for.

    They include those that earlier numbers still wait for: if number 2
    removes a region, number 3 does not remove it again, but a VM that has
    applied neither of them still serves there.
    """
    lease_suffices: dict[str, bool] = {}
    pending = [known.awaited for known in state.numbers.values()]
    own_awaited = awaited_vms(state.document, document, state.absent)
    for vm in chain(own_awaited, *pending):
        known = lease_suffices.get(vm.name, True)
        lease_suffices[vm.name] = known and vm.lease_suffices
    return tuple(
        AwaitedVm(name, suffices) for name, suffices in lease_suffices.items()
    )


def confirm_manifest(state: ControlState, number: int) -> Step:
    """Accept a pending manifest."""
    known = state.numbers.get(number)
    if known is None:
        return state, NumberTooOld(
            number, state.highest_number - NUMBER_WINDOW + 1
        )
    confirmed = {**state.numbers, number: replace(known, awaited=())}
    state = replace(state, numbers=confirmed)
    return state, current_answer(state, number, repeated=False)
