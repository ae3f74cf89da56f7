"""From a request as read to a request whose caller and duty are known."""

import hashlib
from dataclasses import dataclass, replace

from pydantic import ValidationError
from result import Err, Ok, Result

from godwitshunt.configuration.revision import Revision
from godwitshunt.exchange.forwarding import MILLISECONDS
from godwitshunt.exchange.gen.wire.ttypes import ForwardNote
from godwitshunt.exchange.problems import Outcome, Problem, ProblemKind
from godwitshunt.exchange.prompts import (
    ChatDocument,
    prefix_blocks,
    prompt_text,
    prompt_tokens,
)
from godwitshunt.exchange.requests import HttpRequest
from godwitshunt.exchange.states import RequestFacts
from godwitshunt.manifest import (
    Caller,
    Manifest,
    RequestClass,
    Service,
    ServiceKind,
    allowed_regions,
)
from godwitshunt.routing.messages import RouteRequest

CHAT_PATH = '/v1/chat/completions'
SERVICES_PREFIX = '/services/'
BEARER = 'Bearer '
KEY_HEADER = b'idempotency-key'
CLASS_HEADER = b'godwitshunt-class'
DEADLINE_HEADER = b'godwitshunt-deadline-ms'
MAX_KEY_CHARACTERS = 200
SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))


@dataclass(frozen=True)
class AdmittedRequest:
    """A request that may be routed.

    Parameters
    ----------
    request : HttpRequest
        As it was read.
    target : str
        Path and query for the upstream.
    route : RouteRequest
        What the routing decision needs, but for what changes.
    facts : RequestFacts
        What the life of the request needs.
    key : str or None
        The idempotency key of a claimed call.
    deadline_s : float
        Seconds from admission until the request is given up.
    resume_offset : int
        Whole events that the caller has of a forwarded stream.
    """

    request: HttpRequest
    target: str
    route: RouteRequest
    facts: RequestFacts
    key: str | None
    deadline_s: float
    resume_offset: int = 0

    @property
    def streams(self) -> bool:
        """Tell whether the answer may go out before it is whole.

        Only of a model's stream is the final event known, by which a whole
        stream is told from a broken one.
        """
        return self.key is None and self.route.model is not None


class CallerIndex:
    """Callers of the revision in force, by key digest and by name.

    Built anew for each revision, since a search through 1,100 callers for
    each request would cost more than routing it.
    """

    def __init__(self) -> None:
        self.revision = -1
        self.by_digest: dict[str, Caller] = {}
        self.by_name: dict[str, Caller] = {}

    def refresh(self, revision: Revision) -> None:
        """Take the callers of a newer revision."""
        if revision.revision == self.revision:
            return
        callers = revision.manifest.callers
        self.revision = revision.revision
        self.by_digest = {caller.key_sha256: caller for caller in callers}
        self.by_name = {caller.name: caller for caller in callers}

    def of_request(self, request: HttpRequest) -> Caller | None:
        """Return who sent a request; None where the key is not known."""
        authorization = request.header(b'authorization') or ''
        if not authorization.startswith(BEARER):
            return None
        key = authorization.removeprefix(BEARER).encode('latin-1')
        return self.by_digest.get(hashlib.sha256(key).hexdigest())


def refuse_early(
    request: HttpRequest,
    kind: ProblemKind,
    detail: str,
    retry_after_s: float | None = None,
) -> Problem:
    """Return a refusal made before any claim.

    A request with a key may be a resend of one that ran; so without having
    asked the holders nobody may say that nothing ran under the key.
    """
    keyed = request.header(KEY_HEADER) is not None
    outcome = Outcome.unknown if keyed else Outcome.not_run
    return Problem(kind, detail, outcome, retry_after_s)


def unauthorized(request: HttpRequest) -> Problem:
    """Return the refusal of a request without a known key."""
    detail = 'Authorization: expected Bearer and a known key'
    return refuse_early(request, ProblemKind.unauthorized, detail)


def admit(
    request: HttpRequest,
    manifest: Manifest,
    caller: Caller,
) -> Result[AdmittedRequest, Problem]:
    """Find out what a caller's request asks for.

    Returns
    -------
    Result
        The request ready for routing, or the refusal.
    """
    match request.path:
        case path if path == CHAT_PATH:
            return admit_chat(request, manifest, caller)
        case path if path.startswith(SERVICES_PREFIX):
            return admit_call(request, manifest, caller)
    return Err(refuse_early(request, ProblemKind.not_found, 'no such path'))


def admit_forwarded(
    admitted: AdmittedRequest,
    note: ForwardNote,
) -> AdmittedRequest:
    """Return a request as its forward note says that it stands."""
    remaining_s = max(0, note.remaining_ms or 0) / MILLISECONDS
    facts = replace(admitted.facts, forwarded=True, claimed=False)
    if note.claimed:
        facts = replace(facts, repeatable=False)
    return replace(
        admitted,
        facts=facts,
        deadline_s=min(admitted.deadline_s, remaining_s),
        resume_offset=max(0, note.resume_offset or 0),
        route=replace(
            admitted.route,
            path=tuple(note.path),
            regions_visited=tuple(note.regions or ()),
        ),
    )


def admit_chat(
    request: HttpRequest,
    manifest: Manifest,
    caller: Caller,
) -> Result[AdmittedRequest, Problem]:
    """Find the model, the prompt's length and its blocks."""
    if request.method != 'POST':
        return Err(refuse_early(request, ProblemKind.method, 'POST is taken'))
    try:
        document = ChatDocument.model_validate_json(request.body)
    except ValidationError as invalid:
        told = document_faults(invalid)
        return Err(refuse_early(request, ProblemKind.invalid_document, told))
    service = service_of_model(manifest, document.model)
    if service is None:
        told = f'model: found {document.model[:80]!r}, expected a declared one'
        return Err(refuse_early(request, ProblemKind.not_found, told))
    text = prompt_text(document.messages)
    admitted = admit_service(request, manifest, caller, service)
    return admitted.map(
        lambda ready: replace(
            ready,
            route=replace(
                ready.route,
                model=document.model,
                allowed=allowed_regions(manifest, caller, document.model),
                prefix_blocks=prefix_blocks(text),
                prompt_tokens=prompt_tokens(text),
                output_tokens=document.output_tokens,
            ),
        ),
    )


def admit_call(
    request: HttpRequest,
    manifest: Manifest,
    caller: Caller,
) -> Result[AdmittedRequest, Problem]:
    """Find the plain service, and the path that it is sent."""
    name, _, rest = request.path.removeprefix(SERVICES_PREFIX).partition('/')
    target = f'/{rest}?{request.query}' if request.query else f'/{rest}'
    service = plain_service(manifest, name)
    if service is None:
        told = f'service: found {name[:80]!r}, expected a plain service'
        return Err(refuse_early(request, ProblemKind.not_found, told))
    admitted = admit_service(request, manifest, caller, service)
    return admitted.map(lambda ready: replace(ready, target=target))


def admit_service(
    request: HttpRequest,
    manifest: Manifest,
    caller: Caller,
    service: Service,
) -> Result[AdmittedRequest, Problem]:
    """Find class, deadline and whether the call may be repeated."""
    named = request.header(CLASS_HEADER) or caller.request_class
    classes = {known.name: known for known in manifest.classes}
    chosen = classes.get(named)
    if chosen is None:
        told = f'Godwitshunt-Class: found {named[:80]!r}, expected one of: '
        told += ', '.join(sorted(classes))
        return Err(refuse_early(request, ProblemKind.invalid_document, told))
    key = request.header(KEY_HEADER)
    if key is None and request.method in service.non_idempotent_methods:
        told = f'{request.method} to {service.name} may run at most once'
        return Err(refuse_early(request, ProblemKind.key_missing, told))
    if key is not None and len(key) > MAX_KEY_CHARACTERS:
        told = f'more than {MAX_KEY_CHARACTERS} characters'
        return Err(refuse_early(request, ProblemKind.key_malformed, told))
    deadline_s = find_deadline(request, service, chosen)
    if deadline_s is None:
        told = 'Godwitshunt-Deadline-Ms: expected a whole number above 0'
        return Err(refuse_early(request, ProblemKind.invalid_document, told))
    repeatable = service.kind is ServiceKind.model
    repeatable = repeatable or request.method in SAFE_METHODS
    return Ok(
        AdmittedRequest(
            request=request,
            target=request.target,
            route=RouteRequest(
                caller=caller.name,
                request_class=chosen.name,
                service=service.name,
                model=None,
                home=caller.home,
                allowed=allowed_regions(manifest, caller),
                restricted=caller.residency is not None,
                deadline_s=deadline_s,
                priority=chosen.priority,
                slot_share=chosen.slot_share,
            ),
            facts=RequestFacts(
                repeatable=repeatable and key is None,
                claimed=key is not None,
            ),
            key=key,
            deadline_s=deadline_s,
        ),
    )


def plain_service(manifest: Manifest, name: str) -> Service | None:
    """Return the plain service of a name."""
    for service in manifest.services:
        if service.name == name and service.kind is ServiceKind.plain:
            return service
    return None


def service_of_model(manifest: Manifest, model: str) -> Service | None:
    """Return the service that serves a model."""
    for declared in manifest.models:
        if declared.name == model:
            for service in manifest.services:
                if service.name == declared.service:
                    return service
    return None


def find_deadline(
    request: HttpRequest,
    service: Service,
    chosen: RequestClass,
) -> float | None:
    """Return seconds until the request is given up; None where malformed.

    The caller's header can only shorten what the manifest allows.
    """
    declared = service.deadline_s
    if service.kind is ServiceKind.model:
        declared = chosen.deadline_s
    told = request.header(DEADLINE_HEADER)
    if told is None:
        return declared
    if not (told.isascii() and told.isdigit() and int(told[:12])):
        return None
    return min(declared, int(told[:12]) / MILLISECONDS)


def document_faults(invalid: ValidationError) -> str:
    """Return each wrong field and what was expected, without its content."""
    return '; '.join(
        '{field}: {expected}'.format(
            field='.'.join(str(part) for part in fault['loc']) or '(whole)',
            expected=fault['msg'],
        )
        for fault in invalid.errors(include_url=False, include_input=False)[:8]
    )
