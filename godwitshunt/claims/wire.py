"""Data classes of claims to and from their wire structs."""

from godwitshunt.claims.gen.wire import ttypes
from godwitshunt.claims.holder import (
    ClaimChanged,
    HolderChange,
    StandingChanged,
)
from godwitshunt.claims.keys import ClaimKey, parse_key
from godwitshunt.claims.messages import RunUnknown, StoredAnswer
from godwitshunt.claims.records import ClaimRecord
from godwitshunt.claims.standing import Standing
from godwitshunt.claims.verdicts import (
    Attempt,
    Finish,
    HolderAnswer,
    HolderRequest,
    Verdict,
)
from godwitshunt.exceptions import FrameError

Ending = StoredAnswer | RunUnknown | None


def answer_to_wire(ending: Ending) -> ttypes.Answer | None:
    """Return a kept answer's struct; None for other endings."""
    if not isinstance(ending, StoredAnswer):
        return None
    return ttypes.Answer(
        status=ending.status,
        headers=[ttypes.Header(*header) for header in ending.headers],
        body=ending.body,
    )


def unknown_to_wire(ending: Ending) -> str | None:
    """Return why no answer is kept; None for other endings."""
    return ending.reason if isinstance(ending, RunUnknown) else None


def ending_from_wire(
    answer: ttypes.Answer | None,
    unknown: str | None,
) -> Ending:
    """Read what came of an attempt."""
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
    """Return the struct of a claimant's request."""
    attempt = request.attempt
    ending = request.ending if isinstance(request, Finish) else None
    return ttypes.ClaimCall(
        key=attempt.key.text,
        request_digest=attempt.request_digest,
        vm=attempt.vm,
        attempt=attempt.number,
        epoch=epoch,
        answer=answer_to_wire(ending),
        unknown=unknown_to_wire(ending),
    )


def attempt_from_wire(wire: ttypes.ClaimCall) -> Attempt:
    """Read whose attempt a request is about.

    Raises
    ------
    FrameError
        Where a field is missing or the key is malformed.
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


def standing_to_wire(standing: Standing | None) -> ttypes.Standing | None:
    """Return a standing's struct."""
    if standing is None:
        return None
    return ttypes.Standing(
        incarnation=standing.incarnation,
        known=dict(standing.known),
        epoch=standing.epoch,
    )


def standing_from_wire(wire: ttypes.Standing | None) -> Standing | None:
    """Read a standing."""
    if wire is None:
        return None
    if wire.incarnation is None or wire.epoch is None:
        raise FrameError('Standing: a field is missing')
    return Standing(wire.incarnation, wire.known or {}, wire.epoch)


def holder_answer_to_wire(answer: HolderAnswer) -> ttypes.ClaimReply:
    """Return the struct of a holder's answer."""
    return ttypes.ClaimReply(
        verdict=answer.verdict,
        standing=standing_to_wire(answer.standing),
        vm=answer.vm or None,
        attempt=answer.attempt or None,
        answer=answer_to_wire(answer.ending),
        reason=unknown_to_wire(answer.ending),
    )


def holder_answer_from_wire(wire: ttypes.ClaimReply) -> HolderAnswer:
    """Read a holder's answer.

    Raises
    ------
    FrameError
        Where the verdict is none that is known.
    """
    try:
        verdict = Verdict(wire.verdict)
    except ValueError:
        raise FrameError(f'ClaimReply: verdict {wire.verdict}') from None
    return HolderAnswer(
        verdict=verdict,
        standing=standing_from_wire(wire.standing),
        vm=wire.vm or '',
        attempt=wire.attempt or 0,
        ending=ending_from_wire(wire.answer, wire.reason),
    )


def change_to_wire(
    region: str,
    generation: int,
    change: HolderChange,
) -> ttypes.JournalRecord:
    """Return a journal record."""
    wire = ttypes.JournalRecord(region=region, generation=generation)
    match change:
        case StandingChanged(standing, floor):
            wire.standing = standing_to_wire(standing)
            wire.floor = floor
        case ClaimChanged(key, record):
            wire.key = key.text
            wire.request_digest = record.request_digest
            wire.vm = record.vm
            wire.attempt = record.attempt
            wire.answer = answer_to_wire(record.ending)
            wire.unknown = unknown_to_wire(record.ending)
            wire.withdrawn = list(record.withdrawn) or None
    return wire


def change_from_wire(wire: ttypes.JournalRecord) -> HolderChange:
    """Read a journal record.

    Raises
    ------
    FrameError
        Where a field is missing.
    """
    standing = standing_from_wire(wire.standing)
    if standing is not None:
        return StandingChanged(standing, wire.floor or 0)
    key: ClaimKey | None = parse_key(wire.key or '').ok()
    if key is None:
        raise FrameError('JournalRecord: neither standing nor key')
    return ClaimChanged(
        key,
        ClaimRecord(
            request_digest=wire.request_digest or b'',
            vm=wire.vm or '',
            attempt=wire.attempt or 0,
            ending=ending_from_wire(wire.answer, wire.unknown),
            withdrawn=tuple(wire.withdrawn or ()),
        ),
    )
