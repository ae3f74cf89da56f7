"""Headers of requests to upstreams, and of answers to callers."""

import secrets

from godwitshunt.exchange.admission import (
    CLASS_HEADER,
    DEADLINE_HEADER,
    AdmittedRequest,
)
from godwitshunt.exchange.forwarding import (
    FORWARD_HEADER,
    MILLISECONDS,
    request_digest,
    sign_note,
)
from godwitshunt.exchange.gen.wire.ttypes import ForwardNote
from godwitshunt.exchange.passed_headers import number, passed_on
from godwitshunt.exchange.problems import Headers
from godwitshunt.exchange.upstream_messages import (
    OutgoingRequest,
)
from godwitshunt.routing.messages import Forward
from godwitshunt.settings import NodeSettings

RESUME_HEADER = b'godwitshunt-resume-offset'
PRIORITY_HEADER = b'godwitshunt-priority'
ID_BYTES = 12


def upstream_request(
    admitted: AdmittedRequest,
    remaining_s: float,
    resume_offset: int,
) -> OutgoingRequest:
    """Return the request as an upstream gets it."""
    headers = [
        *passed_on(admitted.request.headers),
        (PRIORITY_HEADER, number(admitted.route.priority)),
        (DEADLINE_HEADER, number(remaining_s * MILLISECONDS)),
    ]
    if resume_offset:
        headers.append((RESUME_HEADER, number(resume_offset)))
    return OutgoingRequest(
        method=admitted.request.method,
        target=admitted.target,
        headers=tuple(headers),
        body=admitted.request.body,
        request_id=secrets.token_hex(ID_BYTES),
        fresh=not admitted.facts.repeatable,
    )


def forwarded_request(
    admitted: AdmittedRequest,
    note: ForwardNote,
    key: bytes,
) -> OutgoingRequest:
    """Return the request as a VM of another region gets it."""
    request = admitted.request
    headers = (
        *passed_on(request.headers),
        (CLASS_HEADER, admitted.route.request_class.encode()),
        (FORWARD_HEADER, sign_note(note, key)),
    )
    return OutgoingRequest(
        method=request.method,
        target=request.target,
        headers=headers,
        body=request.body,
        request_id=secrets.token_hex(ID_BYTES),
        fresh=not admitted.facts.repeatable,
    )


def forward_note(
    admitted: AdmittedRequest,
    forward: Forward,
    settings: NodeSettings,
    remaining_s: float,
    resume_offset: int,
    revision: int,
) -> ForwardNote:
    """Return the note that travels with a forwarded request."""
    request = admitted.request
    return ForwardNote(
        path=[*admitted.route.path, settings.name],
        regions=[*admitted.route.regions_visited, settings.region],
        receiver=forward.vm,
        caller=admitted.route.caller,
        request_class=admitted.route.request_class,
        remaining_ms=int(remaining_s * MILLISECONDS),
        revision=revision,
        request_digest=request_digest(
            request.method,
            request.target,
            request.body,
        ),
        claimed=admitted.facts.claimed,
        resume_offset=resume_offset,
    )


def served_headers(
    settings: NodeSettings,
    upstream: str,
    revision: int,
) -> Headers:
    """Return the headers that tell a caller who served and why."""
    return (
        (b'godwitshunt-region', settings.region.encode()),
        (b'godwitshunt-upstream', upstream.encode()),
        (b'godwitshunt-revision', str(revision).encode()),
        (b'godwitshunt-entry', settings.name.encode()),
    )
