"""Attempts at upstreams of this region and at VMs of others."""

from godwitshunt.exchange import messages as msg
from godwitshunt.exchange.admission import AdmittedRequest
from godwitshunt.exchange.attempts import Attempt
from godwitshunt.exchange.outgoing import (
    RESUME_HEADER,
    forward_note,
    forwarded_request,
    served_headers,
    upstream_request,
)
from godwitshunt.exchange.parts import RequestParts
from godwitshunt.exchange.problems import Headers
from godwitshunt.exchange.upstream_messages import (
    OutgoingRequest,
)
from godwitshunt.settings import Address


def upstream_attempt(
    parts: RequestParts,
    admitted: AdmittedRequest,
    action: msg.Dispatch,
    remaining_s: float,
) -> Attempt:
    """Return the attempt at an upstream of this region."""
    revision = parts.ports.configuration.current()
    upstream = action.target.upstream
    served = served_headers(parts.settings, upstream.name, revision.revision)
    if admitted.resume_offset:
        offset = str(admitted.resume_offset).encode()
        served = (*served, (RESUME_HEADER, offset))
    request = upstream_request(admitted, remaining_s, action.resume_offset)
    return make_attempt(
        parts,
        admitted,
        action,
        upstream.address,
        request,
        served,
    )


def forward_attempt(
    parts: RequestParts,
    admitted: AdmittedRequest,
    action: msg.Dispatch,
    remaining_s: float,
) -> Attempt:
    """Return the attempt at a VM of another region."""
    note = forward_note(
        admitted,
        action.target,
        parts.settings,
        remaining_s,
        action.resume_offset,
        parts.ports.configuration.current().revision,
    )
    request = forwarded_request(admitted, note, parts.cluster_key)
    served = ((b'godwitshunt-entry', parts.settings.name.encode()),)
    address = action.target.address
    return make_attempt(parts, admitted, action, address, request, served)


def make_attempt(
    parts: RequestParts,
    admitted: AdmittedRequest,
    action: msg.Dispatch,
    address: Address,
    request: OutgoingRequest,
    served: Headers,
) -> Attempt:
    """Return an attempt at a target."""
    return Attempt(
        target=action.target,
        address=address,
        request=request,
        served=served,
        streams=admitted.streams,
        repeatable=admitted.facts.repeatable,
        answer_bytes=parts.settings.limits.answer_bytes,
        resume_offset=action.resume_offset,
    )
