"""Serialisation of commands and of the control state."""

import secrets
from dataclasses import asdict
from typing import Any

from result import Err, Ok, Result

from godwitshunt.configuration import commands
from godwitshunt.configuration.document import (
    DocumentMalformed,
    document_from_plain,
    document_to_plain,
    pack,
    unpack,
)
from godwitshunt.configuration.gen.wire import ttypes
from godwitshunt.configuration.state import ControlState, NumberRecord
from godwitshunt.configuration.update_wire import vm_from_wire, vm_to_wire
from godwitshunt.peer import decode, encode

PROPOSAL_BYTES = 12


def encode_command(command: commands.Command) -> tuple[str, bytes]:
    """Return a new proposal's identifier and its encoded log entry."""
    proposal = secrets.token_hex(PROPOSAL_BYTES)
    entry = ttypes.Command(proposal=proposal)
    match command:
        case commands.AcceptManifest():
            entry.accept_manifest = accept_to_wire(command)
        case commands.ConfirmManifest(number):
            entry.confirm_manifest = ttypes.ConfirmManifest(number=number)
        case commands.ChangeVms(admitted, removed, absent):
            entry.change_vms = ttypes.ChangeVms(
                admitted=[vm_to_wire(vm) for vm in admitted],
                removed=list(removed),
                absent=list(absent),
            )
        case commands.ChangeHolders(region, names):
            entry.change_holders = ttypes.ChangeHolders(region, list(names))
        case commands.ChangeEvacuation():
            entry.change_evacuation = ttypes.ChangeEvacuation(
                command.failure_domain,
                command.evacuated,
                command.based_on,
            )
        case commands.IssueOrder():
            entry.issue_order = ttypes.IssueOrder(**asdict(command))
        case commands.FinishOrder(order, ending):
            entry.finish_order = ttypes.FinishOrder(order, ending.value)
    return proposal, encode(entry)


def accept_to_wire(command: commands.AcceptManifest) -> ttypes.AcceptManifest:
    """Return the thrift struct of an accept command."""
    return ttypes.AcceptManifest(
        number=command.number,
        digest=command.digest,
        base_digest=command.base_digest,
        body=command.body,
    )


def decode_command(payload: bytes) -> tuple[str, commands.Command | None]:
    """Decode a log entry; the command is None if its kind is unknown."""
    entry = decode(ttypes.Command, payload)
    return entry.proposal or '', command_of(entry)


def command_of(entry: ttypes.Command) -> commands.Command | None:
    """Return the command that is set in a log entry."""
    for body in (
        entry.accept_manifest,
        entry.confirm_manifest,
        entry.change_vms,
        entry.change_holders,
        entry.issue_order,
        entry.finish_order,
        entry.change_evacuation,
    ):
        if body is not None:
            return read_body(body)
    return None


def read_body(body: object) -> commands.Command | None:
    """Return the command of a thrift struct."""
    match body:
        case ttypes.AcceptManifest():
            return commands.AcceptManifest(
                body.number,
                body.digest,
                body.base_digest,
                body.body,
            )
        case ttypes.ConfirmManifest(number=number):
            return commands.ConfirmManifest(number)
        case ttypes.ChangeVms():
            return commands.ChangeVms(
                tuple(vm_from_wire(vm) for vm in body.admitted),
                tuple(body.removed),
                tuple(body.absent),
            )
        case ttypes.ChangeHolders(region=region, names=names):
            return commands.ChangeHolders(region, tuple(names))
        case ttypes.ChangeEvacuation():
            return commands.ChangeEvacuation(
                body.failure_domain,
                bool(body.evacuated),
                body.based_on,
            )
        case ttypes.IssueOrder():
            return commands.IssueOrder(
                body.order,
                body.upstream,
                body.action,
                body.subject,
                body.weight_units,
            )
        case ttypes.FinishOrder(order=order, ending=ending):
            return commands.FinishOrder(order, commands.OrderEnding(ending))
    return None


def pack_state(state: ControlState) -> bytes:
    """Return the encoded control state for a snapshot."""
    fields: dict[str, Any] = {
        'revision': state.revision,
        'document': document_to_plain(state.document),
        'highest': state.highest_number,
        'numbers': [
            [number, known.digest, known.revision, awaited_fields(known)]
            for number, known in state.numbers.items()
        ],
        'absent': dict(state.absent),
        'fencing': state.fencing,
        'orders': [asdict(order) for order in state.orders.values()],
        'weight_units': state.weight_units,
        'evacuations_changed': dict(state.evacuations_changed),
        'evacuations_forgotten': state.evacuations_forgotten,
    }
    return pack(fields)


def awaited_fields(known: NumberRecord) -> list:
    """Return the JSON fields of the awaited VMs of a number."""
    return [[vm.name, vm.lease_suffices] for vm in known.awaited]


def unpack_state(body: bytes) -> Result[ControlState, DocumentMalformed]:
    """Decode the control state of a snapshot."""
    match unpack(body):
        case Err(fault):
            return Err(fault)
        case Ok(fields):
            return read_state(fields)


def read_state(
    fields: dict[str, Any],
) -> Result[ControlState, DocumentMalformed]:
    """Return the control state of JSON fields."""
    document = document_from_plain(fields['document'])
    if isinstance(document, Err):
        return document
    orders = [
        commands.OrderIssued(
            **{**order, 'ending': commands.OrderEnding(order['ending'])},
        )
        for order in fields['orders']
    ]
    return Ok(
        ControlState(
            revision=fields['revision'],
            document=document.ok_value,
            highest_number=fields['highest'],
            numbers={
                number: NumberRecord(
                    digest,
                    revision,
                    tuple(commands.AwaitedVm(*fields) for fields in awaited),
                )
                for number, digest, revision, awaited in fields['numbers']
            },
            absent=fields['absent'],
            fencing=fields['fencing'],
            orders={order.order: order for order in orders},
            weight_units=fields['weight_units'],
            # Snapshots of earlier versions lack these.
            evacuations_changed=fields.get('evacuations_changed', {}),
            evacuations_forgotten=fields.get('evacuations_forgotten', 0),
        ),
    )
