"""Requests that are forwarded between entry VMs."""

from result import Err, Ok, Result

from godwitshunt.exchange.forwarding import (
    FORWARD_HEADER,
    MILLISECONDS,
    ForwardRefused,
    read_note,
    request_digest,
    sign_note,
)
from godwitshunt.exchange.gen.wire.ttypes import ForwardNote
from godwitshunt.exchange.requests import HttpRequest
from godwitshunt.exchange.upstream_messages import (
    OutgoingRequest,
)
from godwitshunt.grants import GrantUse
from godwitshunt.ingress.active_revision import ActiveRevision
from godwitshunt.ingress.context import IngressContext
from godwitshunt.ingress.headers import forwardable_headers
from godwitshunt.ingress.requests import RoutedRequest, read_prompt
from godwitshunt.picking.choices import HandOver

# A connection takes one round trip. Lost packets are retransmitted only after
# one second.
CONNECT_TIMEOUT_S = 0.6
LONGEST_IDLE_S = 8.0
ANONYMOUS = '-'


def build_forward_request(
    request: RoutedRequest,
    choice: HandOver,
    context: IngressContext,
    remaining_s: float,
    resume_after: int | None,
    *,
    repeat: bool,
) -> OutgoingRequest:
    """Return a request as it is sent to another entry VM."""
    http = request.http
    use = choice.grant
    settings = context.settings
    note = ForwardNote(
        path=[settings.name],
        regions=[settings.region],
        receiver=choice.entry.name,
        caller=ANONYMOUS,
        request_class=ANONYMOUS,
        remaining_ms=int(remaining_s * MILLISECONDS),
        revision=0,
        request_digest=request_digest(http.method, http.target, http.body),
        claimed=False,
        resume_offset=0,
        service_name=request.service.name,
        request_id=request.id,
        repeat=repeat,
        resume_after=-1 if resume_after is None else resume_after,
        host=request.route.host,
        path_prefix=request.route.path_prefix,
        organisation=request.organisation_name or None,
        grant_source=use and use.source,
        grant_number=use and use.number,
        grant_slot=use and use.slot,
        due_cost=choice.due_cost or None,
    )
    signed = sign_note(note, context.cluster_key)
    return OutgoingRequest(
        method=http.method,
        target=http.target,
        headers=(*request.headers, (FORWARD_HEADER, signed)),
        body=http.body,
        request_id=request.id,
        longest_idle_s=LONGEST_IDLE_S,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        host=host_header(http),
        id_header=context.names.request_id,
    )


def host_header(http: HttpRequest) -> bytes | None:
    """Return the ``Host`` header as the caller sent it."""
    header = http.header(b'host')
    return None if header is None else header.encode('latin-1')


def read_grant(note: ForwardNote) -> GrantUse | None:
    """Return the grant that a note names; None for none."""
    if None in {note.grant_source, note.grant_number, note.grant_slot}:
        return None
    return GrantUse(note.grant_source, note.grant_number, note.grant_slot)


def read_forwarded_request(
    http: HttpRequest,
    active_revision: ActiveRevision,
    context: IngressContext,
) -> Result[RoutedRequest, ForwardRefused]:
    """Read a forwarded request and verify its note.

    The sender chose route and service by its own revision, which may be newer
    or older than the active one here. Whether the request may be repeated, and
    its homes, are looked up in the active one.
    """
    header = http.header(FORWARD_HEADER)
    if header is None:
        return Err(ForwardRefused('signature'))
    own_name = context.settings.name
    verification = read_note(header, context.cluster_key, own_name, http)
    if isinstance(verification, Err):
        return verification
    note = verification.ok_value
    service = active_revision.services.get(note.service_name)
    organisation = active_revision.table.keys.by_name.get(note.organisation)
    route = active_revision.route_of(note, organisation)
    if route is None or service is None:
        return Err(ForwardRefused('revision'))
    now_s = context.timer.now()
    resumes = note.resume_after is not None and note.resume_after >= 0
    return Ok(
        RoutedRequest(
            id=note.request_id or '',
            http=http,
            headers=forwardable_headers(http.headers, context.names),
            route=route,
            service=service,
            prompt=read_prompt(http, context.names),
            arrived_s=now_s,
            deadline_at_s=now_s + max(0, note.remaining_ms or 0) / MILLISECONDS,
            resume_after=note.resume_after if resumes else None,
            repeat=bool(note.repeat),
            is_forwarded=True,
            low_urgency_regions=active_revision.low_urgency_regions(
                route, service
            ),
            level=active_revision.table.level(route, organisation),
            organisation=organisation,
            grant=read_grant(note),
            due_cost=max(0.0, note.due_cost or 0.0),
        ),
    )
