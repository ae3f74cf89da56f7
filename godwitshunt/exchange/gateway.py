"""The caller listener of an entry VM: paths, keys, forwards, shutdown."""

import asyncio
import hashlib
import hmac
import ssl
from dataclasses import replace
from typing import Self
from urllib.parse import parse_qs

from result import Err, Ok, Result

from godwitshunt.configuration.revision import Revision
from godwitshunt.exceptions import DocumentError
from godwitshunt.exchange.admission import (
    BEARER,
    AdmittedRequest,
    admit,
    admit_forwarded,
    refuse_early,
)
from godwitshunt.exchange.forwarding import (
    FORWARD_HEADER,
    ForwardRefused,
    read_note,
)
from godwitshunt.exchange.gen.wire.ttypes import ForwardNote
from godwitshunt.exchange.listener import Listener, ListenerOptions
from godwitshunt.exchange.ports import Ports
from godwitshunt.exchange.problems import (
    Outcome,
    Problem,
    ProblemKind,
    WholeAnswer,
    json_answer,
    render_problem,
)
from godwitshunt.exchange.request_task import RequestParts, RequestTask
from godwitshunt.exchange.requests import AnswerWriter, HttpRequest
from godwitshunt.exchange.upstream_pool import UpstreamPool
from godwitshunt.manifest import Caller
from godwitshunt.manifest.documents import parse_document
from godwitshunt.membership.announcements import UpstreamAnnouncement
from godwitshunt.peer import client_context, server_context
from godwitshunt.settings import EntrySettings, TlsSettings
from godwitshunt.telemetry import Metrics

ENTRIES_PATH = '/v1/entries'
UPSTREAMS_PREFIX = '/v1/upstreams/'
ENTRIES_TTL_S = 5
REVISION_WAIT_S = 0.5
REVISION_POLL_S = 0.02
RETRY_AFTER_S = 1.0
NAME_CHARACTERS = 63

Admission = Result[AdmittedRequest, Problem]


class ExchangeTask:
    """Everything that an entry VM does over HTTP.

    Parameters
    ----------
    parts : RequestParts
        What every request's task works with.
    """

    def __init__(self, parts: RequestParts) -> None:
        self.parts = parts
        self.settings = parts.settings
        self.ports = parts.ports
        self.metrics = parts.metrics
        self.draining = False
        self.listener = Listener(
            ListenerOptions(
                address=parts.settings.http,
                limits=parts.settings.limits,
                tls=caller_context(parts.settings.tls),
            ),
            parts.metrics,
            self.handle,
        )

    @classmethod
    def from_config(
        cls,
        settings: EntrySettings,
        cluster_key: bytes,
        ports: Ports,
        metrics: Metrics,
    ) -> Self:
        """Make the exchange of an entry VM."""
        parts = RequestParts(
            settings=settings,
            cluster_key=cluster_key,
            ports=ports,
            pool=UpstreamPool(metrics),
            vms=UpstreamPool(
                metrics,
                client_context(settings.tls),
                settings.http.host,
            ),
            metrics=metrics,
        )
        return cls(parts)

    async def start(self) -> None:
        """Listen for callers, upstreams and other VMs."""
        await self.listener.start()

    def drain(self) -> None:
        """Refuse new requests; what is in progress goes on."""
        self.draining = True
        self.listener.drain()

    async def close(self) -> None:
        """Wait until every request has ended, then close."""
        self.drain()
        await self.listener.close()
        self.parts.pool.close()
        self.parts.vms.close()

    async def handle(self, request: HttpRequest, writer: AnswerWriter) -> None:
        """Answer one request."""
        match request.path:
            case '/metrics' | '/healthz' | '/readyz':
                await writer.whole(self.tell_state(request.path))
            case path if path.startswith(UPSTREAMS_PREFIX):
                await self.answer(writer, self.take_upstream(request))
            case path if path == ENTRIES_PATH:
                await self.answer(writer, self.list_entries(request))
            case _:
                await self.serve(request, writer)

    async def answer(
        self,
        writer: AnswerWriter,
        reply: Result[WholeAnswer, Problem],
    ) -> None:
        """Send an answer or a refusal."""
        match reply:
            case Ok(whole):
                await writer.whole(whole)
            case Err(problem):
                self.metrics.count('refusals_total', kind=problem.kind.slug)
                await writer.whole(render_problem(problem))

    def tell_state(self, path: str) -> WholeAnswer:
        """Answer the paths for those who watch over the process."""
        if path == '/metrics':
            headers = ((b'content-type', b'text/plain; version=0.0.4'),)
            return WholeAnswer(200, headers, self.metrics.render())
        ready = not self.draining and self.ports.configuration.current()
        if path == '/readyz' and not ready:
            reason = 'draining' if self.draining else 'no configuration'
            return json_answer({'ready': False, 'reason': reason}, 503)
        return json_answer({'ready': bool(ready)})

    async def serve(self, request: HttpRequest, writer: AnswerWriter) -> None:
        """Admit a caller's or another VM's request and live its life."""
        match await self.admit(request):
            case Ok(admitted):
                task = RequestTask(self.parts, admitted, writer)
                await task.run()
            case Err(problem):
                await self.answer(writer, Err(problem))

    async def admit(self, request: HttpRequest) -> Admission:
        """Find out who asks for what; refuse where that is not allowed."""
        signed = request.header(FORWARD_HEADER)
        if signed is not None:
            return await self.admit_forward(request, signed)
        if self.draining:
            return Err(refuse_early(request, *self.refuse_draining()))
        revision = self.ports.configuration.current()
        if revision is None:
            kind = ProblemKind.not_ready
            told = 'no revision is in force here yet'
            return Err(refuse_early(request, kind, told, RETRY_AFTER_S))
        self.parts.callers.refresh(revision)
        caller = self.parts.callers.of_request(request)
        if caller is None:
            return Err(unauthorized(request))
        admitted = admit(request, revision.manifest, caller)
        return admitted.and_then(
            lambda ready: self.limit(ready, caller),
        )

    def refuse_draining(self) -> tuple[ProblemKind, str, float]:
        """Count a request that came too late; return why it is refused."""
        self.metrics.count('requests_while_draining_total')
        return ProblemKind.draining, 'ask another entry VM', RETRY_AFTER_S

    def limit(self, admitted: AdmittedRequest, caller: Caller) -> Admission:
        """Hold a caller to its limits."""
        self.metrics.count(
            'requests_total',
            caller=caller.name,
            request_class=admitted.route.request_class,
        )
        wait_s = self.ports.limits.admit(caller.name)
        if wait_s is not None:
            return Err(
                refuse_early(
                    admitted.request,
                    ProblemKind.limited,
                    f'more than {caller.requests_per_s:g} requests a second',
                    wait_s,
                ),
            )
        self.ports.retries.note_first(self.ports.timer.now())
        return Ok(admitted)

    async def admit_forward(
        self,
        request: HttpRequest,
        signed: str,
    ) -> Admission:
        """Check a forwarded request on this VM's own newest revision.

        The sender holds the claim of a call with a key: what this VM refuses
        did not run under that claim, so *not run* is true of it.
        """
        own = self.settings.name
        match read_note(signed, self.parts.cluster_key, own, request):
            case Err(refused):
                return Err(self.refuse_note(request, refused))
            case Ok(note):
                admitted = await self.admit_note(request, note)
        return admitted.map_err(
            lambda problem: replace(problem, outcome=Outcome.not_run),
        )

    def refuse_note(
        self,
        request: HttpRequest,
        refused: ForwardRefused,
    ) -> Problem:
        """Return the refusal of a note; only a signed one is from a VM."""
        self.metrics.count('forwards_refused_total', reason=refused.reason)
        if refused.reason == 'signature':
            told = 'the forward note is not signed with the cluster key'
            return refuse_early(request, ProblemKind.forbidden, told)
        kind = ProblemKind.forbidden
        if refused.reason == 'loop':
            kind = ProblemKind.loop
        return Problem(kind, refused.reason, Outcome.not_run)

    async def admit_note(
        self,
        request: HttpRequest,
        note: ForwardNote,
    ) -> Admission:
        """Admit a request whose note is right."""
        if self.draining:
            return Err(refuse_early(request, *self.refuse_draining()))
        revision = await self.revision_from(note.revision or 0)
        if revision is None:
            self.metrics.count('forwards_refused_total', reason='revision')
            kind = ProblemKind.revision_behind
            told = f'revision {note.revision} is not in force here yet'
            return Err(refuse_early(request, kind, told, RETRY_AFTER_S))
        self.parts.callers.refresh(revision)
        caller = self.parts.callers.by_name.get(note.caller)
        if caller is None:
            told = 'the caller is not known here'
            return Err(refuse_early(request, ProblemKind.residency, told))
        if (note.remaining_ms or 0) <= 0:
            told = 'the deadline passed on the way'
            return Err(refuse_early(request, ProblemKind.deadline, told))
        self.metrics.count('forwards_received_total')
        self.ports.retries.note_first(self.ports.timer.now())
        admitted = admit(request, revision.manifest, caller)
        return admitted.map(lambda ready: admit_forwarded(ready, note))

    async def revision_from(self, lowest: int) -> Revision | None:
        """Return the revision in force, once it is as new as the sender's.

        An older one may allow a region that the newer forbids.
        """
        configuration = self.ports.configuration
        end_s = self.ports.timer.now() + REVISION_WAIT_S
        while self.ports.timer.now() < end_s:
            revision = configuration.current()
            if revision is not None and revision.revision >= lowest:
                return revision
            await asyncio.sleep(REVISION_POLL_S)
        return None

    def list_entries(
        self,
        request: HttpRequest,
    ) -> Result[WholeAnswer, Problem]:
        """Answer the directory: which entry VMs to use, in which order."""
        if request.method != 'GET':
            return Err(Problem(ProblemKind.method, 'GET', Outcome.not_run))
        revision = self.ports.configuration.current()
        if revision is None:
            return Err(Problem(ProblemKind.not_ready, 'no revision yet'))
        self.parts.callers.refresh(revision)
        caller = self.parts.callers.of_request(request)
        if caller is None:
            return Err(unauthorized(request))
        listed = [
            {
                'name': vm.name,
                'region': vm.region,
                'address': vm.http.model_dump(),
            }
            for vm in self.ports.entries(caller.name)
            if not (self.draining and vm.name == self.settings.name)
        ]
        return Ok(
            json_answer(
                {
                    'entries': listed,
                    'ttl_s': ENTRIES_TTL_S,
                    'key_stamp': self.ports.claims.stamp(),
                    'revision': revision.revision,
                },
            ),
        )

    def take_upstream(
        self,
        request: HttpRequest,
    ) -> Result[WholeAnswer, Problem]:
        """Take an upstream's announcement or departure."""
        name = request.path.removeprefix(UPSTREAMS_PREFIX)
        if not is_upstream_name(name):
            return Err(
                Problem(
                    ProblemKind.not_found,
                    f'found {name[:NAME_CHARACTERS]!r}, expected a name',
                    Outcome.not_run,
                ),
            )
        if not self.knows_upstream_token(request):
            self.metrics.count('announcements_unauthorized_total')
            return Err(unauthorized(request))
        match request.method:
            case 'PUT':
                return self.take_announcement(name, request)
            case 'DELETE':
                return self.take_departure(name, request)
        told = 'PUT and DELETE are taken'
        return Err(Problem(ProblemKind.method, told, Outcome.not_run))

    def take_announcement(
        self,
        name: str,
        request: HttpRequest,
    ) -> Result[WholeAnswer, Problem]:
        """Take an announcement."""
        try:
            announcement = parse_document(
                request.path,
                request.body,
                UpstreamAnnouncement,
                DocumentError,
            )
        except DocumentError as invalid:
            return Err(
                Problem(
                    ProblemKind.invalid_document,
                    str(invalid),
                    Outcome.not_run,
                ),
            )
        taken = self.ports.membership.announce(name, announcement)
        return taken.map(lambda lease_s: json_answer({'lease_s': lease_s}))

    def take_departure(
        self,
        name: str,
        request: HttpRequest,
    ) -> Result[WholeAnswer, Problem]:
        """Take a departure; the incarnation stands in the query."""
        told = parse_qs(request.query).get('incarnation', [''])[0]
        if not (told.isascii() and told.isdigit()):
            return Err(
                Problem(
                    ProblemKind.invalid_document,
                    'incarnation: expected a whole number in the query',
                    Outcome.not_run,
                ),
            )
        self.ports.membership.withdraw(name, int(told))
        return Ok(json_answer({}))

    def knows_upstream_token(self, request: HttpRequest) -> bool:
        """Tell whether an announcement may be taken."""
        expected = self.settings.upstream_token_sha256
        if expected is None:
            return True
        told = request.header(b'authorization') or ''
        token = told.removeprefix(BEARER).encode('latin-1')
        found = hashlib.sha256(token).hexdigest()
        return hmac.compare_digest(found, expected)


def caller_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the listener's TLS context.

    Callers prove themselves by key; only peer links ask for certificates.
    """
    if tls is None:
        return None
    return server_context(tls.model_copy(update={'authority': None}))


def is_upstream_name(name: str) -> bool:
    """Tell whether a name has the form of the manifest's names."""
    letters = name.replace('-', '')
    plain = letters.isascii() and letters.isalnum() and name == name.lower()
    return plain and len(name) <= NAME_CHARACTERS and not name.startswith('-')


def unauthorized(request: HttpRequest) -> Problem:
    """Return the refusal of a request without a known key."""
    detail = 'Authorization: expected Bearer and a known key'
    return refuse_early(request, ProblemKind.unauthorized, detail)
