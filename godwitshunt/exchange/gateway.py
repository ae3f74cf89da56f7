"""The caller listener of an entry VM: paths, keys, forwards, shutdown."""

import asyncio
from dataclasses import replace
from typing import Self

from result import Err, Ok, Result

from godwitshunt.configuration.revision import Revision
from godwitshunt.exchange.admission import (
    AdmittedRequest,
    admit,
    admit_forwarded,
    refuse_early,
    unauthorized,
)
from godwitshunt.exchange.announcing import (
    UPSTREAMS_PREFIX,
    AnnouncementBorder,
)
from godwitshunt.exchange.attempts import SIGN_OF_LIFE_S
from godwitshunt.exchange.caller_tls import caller_context
from godwitshunt.exchange.forwarding import (
    FORWARD_HEADER,
    ForwardRefused,
    read_note,
)
from godwitshunt.exchange.gen.wire.ttypes import ForwardNote
from godwitshunt.exchange.listener import Listener, ListenerOptions
from godwitshunt.exchange.parts import RequestParts
from godwitshunt.exchange.ports import Ports
from godwitshunt.exchange.problems import (
    Outcome,
    Problem,
    ProblemKind,
    WholeAnswer,
    json_answer,
    render_problem,
)
from godwitshunt.exchange.request_task import RequestTask
from godwitshunt.exchange.requests import AnswerWriter, HttpRequest
from godwitshunt.exchange.upstream_messages import REQUEST_ID
from godwitshunt.exchange.upstream_pool import (
    UpstreamPool,
)
from godwitshunt.manifest import Caller
from godwitshunt.peer import client_context
from godwitshunt.settings import EntrySettings
from godwitshunt.telemetry import Metrics

ENTRIES_PATH = '/v1/entries'
ENTRIES_TTL_S = 5
REVISION_WAIT_S = 0.5
REVISION_POLL_S = 0.02
RETRY_AFTER_S = 1.0

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
        self.upstreams = AnnouncementBorder(
            parts.settings,
            parts.ports.membership,
            parts.metrics,
        )
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
                await self.answer(writer, self.upstreams.take(request))
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
        if request.header(FORWARD_HEADER) is not None:
            writer.repeat_id(request, REQUEST_ID)
        match await self.admit(request):
            case Ok(admitted):
                await self.live(admitted, writer)
            case Err(problem):
                await self.answer(writer, Err(problem))

    async def live(
        self,
        admitted: AdmittedRequest,
        writer: AnswerWriter,
    ) -> None:
        """Live a request's life; a VM that waits gets signs of ours."""
        task = RequestTask(self.parts, admitted, writer)
        if not admitted.facts.forwarded:
            await task.run()
            return
        signs = self.ports.timer.every(SIGN_OF_LIFE_S, writer.sign_of_life)
        try:
            await task.run()
        finally:
            signs.cancel()

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
        self.ports.retries.record_first_try(self.ports.timer.now())
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
        self.ports.retries.record_first_try(self.ports.timer.now())
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
