"""Conversion of claim data classes to and from wire structs."""

from godwitshunt.claims.gen.wire import ttypes
from godwitshunt.claims.holder import (
    ClaimChanged,
    HolderChange,
    HolderStatusChanged,
)
from godwitshunt.claims.holder_status import HolderStatus
from godwitshunt.claims.keys import ClaimKey, parse_key
from godwitshunt.claims.messages import RunUnknown, StoredAnswer
from godwitshunt.claims.records import ClaimRecord
from godwitshunt.claims.verdicts import (
    Attempt,
    Finish,
    HolderAnswer,
    HolderRequest,
    Verdict,
)
from godwitshunt.exceptions import FrameError

RunResult = StoredAnswer | RunUnknown | None


def answer_to_wire(run_result: RunResult) -> ttypes.Answer | None:
    """Return the struct of a stored answer, or None for other results."""
    if not isinstance(run_result, StoredAnswer):
        return None
    return ttypes.Answer(
        status=run_result.status,
        headers=[ttypes.Header(*header) for header in run_result.headers],
        body=run_result.body,
    )


def unknown_to_wire(run_result: RunResult) -> str | None:
    """Return why no answer is stored, or None for other results."""
    return run_result.reason if isinstance(run_result, RunUnknown) else None


def run_result_from_wire(
    answer: ttypes.Answer | None,
    unknown: str | None,
) -> RunResult:
    """Decode a run result, or return None if there is none."""
    if answer is not None:
        return StoredAnswer(
            status=answer.status or 0,
            headers=tuple(
                (header.name or b'', header.text or b'')
                for header in answer.headers or ()
            ),
            body=answer.body or b'',
        )
    return None if unknown is None else RunUnknown(unknown)


def request_to_wire(request: HolderRequest, epoch: int) -> ttypes.ClaimCall:
    """Encode a claimant's request."""
    attempt = request.attempt
    run_result = request.run_result if isinstance(request, Finish) else None
    return ttypes.ClaimCall(
        key=attempt.key.text,
        request_digest=attempt.request_digest,
        vm=attempt.vm,
        attempt=attempt.number,
        epoch=epoch,
        answer=answer_to_wire(run_result),
        unknown=unknown_to_wire(run_result),
    )


def attempt_from_wire(wire: ttypes.ClaimCall) -> Attempt:
    """Decode the attempt that a request refers to.

    Raises
    ------
    FrameError
        If a field is missing or the key is malformed.
    """
    key = parse_key(wire.key or '').ok()
    if key is None or not wire.attempt or wire.epoch is None:
        raise FrameError('ClaimCall: a field is missing or malformed')
    return Attempt(
        key=key,
        request_digest=wire.request_digest or b'',
        vm=wire.vm or '',
        number=wire.attempt,
    )


def status_to_wire(status: HolderStatus | None) -> ttypes.Standing | None:
    """Encode a holder status."""
    if status is None:
        return None
    return ttypes.Standing(
        incarnation=status.incarnation,
        known=dict(status.known_incarnations),
        epoch=status.epoch,
    )


def status_from_wire(wire: ttypes.Standing | None) -> HolderStatus | None:
    """Decode a holder status.

    Raises
    ------
    FrameError
        If a field is missing.
    """
    if wire is None:
        return None
    if wire.incarnation is None or wire.epoch is None:
        raise FrameError('Standing: a field is missing')
    return HolderStatus(wire.incarnation, wire.known or {}, wire.epoch)


def holder_answer_to_wire(answer: HolderAnswer) -> ttypes.ClaimReply:
    """Encode a holder's answer."""
    return ttypes.ClaimReply(
        verdict=answer.verdict,
        standing=status_to_wire(answer.holder_status),
        vm=answer.vm or None,
        attempt=answer.attempt or None,
        answer=answer_to_wire(answer.run_result),
        reason=unknown_to_wire(answer.run_result),
    )


def holder_answer_from_wire(wire: ttypes.ClaimReply) -> HolderAnswer:
    """Decode a holder's answer.

    Raises
    ------
    FrameError
        If the verdict is not a known one.
    """
    try:
        verdict = Verdict(wire.verdict)
    except ValueError:
        raise FrameError(
            f'ClaimReply: unknown verdict {wire.verdict}'
        ) from None
    return HolderAnswer(
        verdict=verdict,
        holder_status=status_from_wire(wire.standing),
        vm=wire.vm or '',
        attempt=wire.attempt or 0,
        run_result=run_result_from_wire(wire.answer, wire.reason),
    )


def change_to_wire(
    region: str,
    generation: int,
    change: HolderChange,
) -> ttypes.JournalRecord:
    """Encode a change as a journal record."""
    wire = ttypes.JournalRecord(region=region, generation=generation)
    match change:
        case HolderStatusChanged(status, floor_epoch):
            wire.standing = status_to_wire(status)
            wire.floor = floor_epoch
        case ClaimChanged(key, record):
            wire.key = key.text
            wire.request_digest = record.request_digest
            wire.vm = record.vm
            wire.attempt = record.attempt
            wire.answer = answer_to_wire(record.run_result)
            wire.unknown = unknown_to_wire(record.run_result)
            wire.withdrawn = list(record.withdrawn) or None
    return wire


def change_from_wire(wire: ttypes.JournalRecord) -> HolderChange:
    """Decode a journal record.

    Raises
    ------
    FrameError
        If a field is missing.
    """
    status = status_from_wire(wire.standing)
    if status is not None:
        return HolderStatusChanged(status, wire.floor or 0)
    key: ClaimKey | None = parse_key(wire.key or '').ok()
    if key is None:
        raise FrameError('JournalRecord: neither standing nor key')
    return ClaimChanged(
        key,
        ClaimRecord(
            request_digest=wire.request_digest or b'',
            vm=wire.vm or '',
            attempt=wire.attempt or 0,
            run_result=run_result_from_wire(wire.answer, wire.unknown),
            withdrawn=tuple(wire.withdrawn or ()),
        ),
    )
