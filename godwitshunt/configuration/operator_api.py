"""HTTP API of a control replica for operators."""

import hashlib
import hmac
import json
from collections.abc import Awaitable, Callable
from dataclasses import asdict, replace
from typing import Any

from result import Err, Ok

from godwitshunt.configuration.cluster import Cluster, ReplaceRequest
from godwitshunt.configuration.commands import (
    Accepted,
    Applied,
    ChangeEvacuation,
    ChangeVms,
    EvacuationSuperseded,
    Pending,
)
from godwitshunt.configuration.document import MALFORMED_ERRORS
from godwitshunt.configuration.evacuations import change_evacuation
from godwitshunt.configuration.explanation import explain, explain_route
from godwitshunt.configuration.gen.wire import ttypes
from godwitshunt.configuration.operator_http import (
    OperatorAnswer,
    OperatorRequest,
    read_request,
    whole_answer,
)
from godwitshunt.configuration.problems import (
    SUPERSEDED,
    OperatorProblem,
    invalid_document,
    problem_of,
)
from godwitshunt.configuration.service import ConfigurationService
from godwitshunt.configuration.status import status_document
from godwitshunt.configuration.update_wire import require_fields
from godwitshunt.consensus import NotLeader
from godwitshunt.exceptions import DocumentError
from godwitshunt.exchange.channel import Channel
from godwitshunt.exchange.problems import TYPE_PREFIX
from godwitshunt.exchange.requests import AnswerWriter, HttpRequest
from godwitshunt.exchange.waiting_caller import Presence, WaitingCaller
from godwitshunt.manifest import parse_manifest
from godwitshunt.manifest.documents import parse_document
from godwitshunt.peer import MessageKind, decode, encode
from godwitshunt.settings import Address
from godwitshunt.telemetry import log_change
from godwitshunt.timer.stalls import StallMonitor

StatusPart = Callable[[], dict[str, Any]]
Route = Callable[[OperatorRequest], Awaitable[OperatorAnswer]]

FORWARD_TIMEOUT_S = 5.0
# Callers give a call up after a second without an answer and send it again to
# another replica.
CALLER_PATIENCE_S = 0.8
# What came while this process stood still is read within this time.
READ_AFTER_STALL_S = 1.0
MAX_ATTEMPTS = 3
EVACUATIONS_PATH = '/v1/evacuations/'
BODY = 'request body'
PROBLEM_TYPE = 'application/problem+json'
HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_BAD_REQUEST = 400
HTTP_UNAVAILABLE = 503
MAX_LOGGED_PATH = 200


def answer(document: dict[str, Any], status: int = HTTP_OK) -> OperatorAnswer:
    """Return a JSON answer with the given status."""
    return OperatorAnswer(status, json.dumps(document).encode())


def refusal(problem: OperatorProblem) -> OperatorAnswer:
    """Return the answer for a problem."""
    return OperatorAnswer(problem.status, problem.body(), PROBLEM_TYPE)


def superseding_revision(reply: OperatorAnswer) -> int | None:
    """Return the revision that a change came too late for, None for none."""
    if reply.status != HTTP_UNAVAILABLE:
        return None
    problem = json.loads(reply.body)
    if problem.get('type') != TYPE_PREFIX + SUPERSEDED:
        return None
    return problem['revision']


def is_final(reply: OperatorAnswer) -> bool:
    """Tell whether no other replica needs to be asked after a reply."""
    if reply.status != HTTP_UNAVAILABLE:
        return True
    return superseding_revision(reply) is not None


def read_reply(body: bytes) -> OperatorAnswer:
    """Return the answer in the reply of another replica."""
    reply = decode(ttypes.OperatorReply, body)
    if reply.status >= HTTP_BAD_REQUEST:
        return OperatorAnswer(reply.status, reply.body, PROBLEM_TYPE)
    return OperatorAnswer(reply.status, reply.body)


class OperatorApi:
    """Authenticates and routes calls, and forwards them to the leader.

    Parameters
    ----------
    service : ConfigurationService
        Configuration service of this replica.
    token_sha256 : str
        SHA-256 of the operator token, in hexadecimal.
    cluster : Cluster or None
        Replicas of the log; None if it is not replicated.
    """

    def __init__(
        self,
        service: ConfigurationService,
        token_sha256: str,
        cluster: Cluster | None = None,
    ) -> None:
        self.service = service
        self.cluster = cluster
        self.token_sha256 = token_sha256
        self.stalls = StallMonitor(
            service.timer,
            CALLER_PATIENCE_S,
            READ_AFTER_STALL_S,
        )
        self.status_parts: list[StatusPart] = []
        if cluster is not None:
            self.status_parts.append(cluster.describe)
        self.routes: dict[tuple[str, str], Route] = {
            ('POST', '/v1/manifest'): self.apply,
            ('GET', '/v1/status'): self.status,
            ('GET', '/v1/manifest'): self.read_manifest,
            ('POST', '/v1/explain'): self.explain,
            ('POST', '/v1/init'): self.init,
        }
        self.named_routes: dict[tuple[str, str], Route] = {
            ('POST', '/v1/vms/'): self.remove_vm,
            ('POST', '/v1/replicas/'): self.replace,
            ('PUT', EVACUATIONS_PATH): self.evacuate,
            ('DELETE', EVACUATIONS_PATH): self.evacuate,
        }

    def add_route(self, method: str, path: str, route: Route) -> None:
        """Register a route of another component."""
        self.routes[method, path] = route

    def add_status(self, part: StatusPart) -> None:
        """Register a callable whose fields extend the status document."""
        self.status_parts.append(part)

    def start(self) -> None:
        """Accept the calls that other replicas forward."""
        self.service.links.subscribe(MessageKind.operator_call, self.on_call)
        self.stalls.start()

    def close(self) -> None:
        """Stop the periodic work."""
        self.stalls.close()

    async def serve(self, request: HttpRequest, writer: AnswerWriter) -> None:
        """Answer a request of the HTTP listener."""
        caller = self.caller_of(writer.channel)
        reply = await self.handle(read_request(request, caller))
        await writer.whole(whole_answer(reply))

    def caller_of(self, channel: Channel) -> WaitingCaller:
        """Return the caller whose request was just read from a channel."""
        return WaitingCaller.on_channel(channel, self.stalls)

    async def handle(self, request: OperatorRequest) -> OperatorAnswer:
        """Answer an operator's request, after checking the token."""
        public = self.answer_without_token(request)
        if public is not None:
            return public
        digest = hashlib.sha256(request.token.encode()).hexdigest()
        if not hmac.compare_digest(digest, self.token_sha256):
            self.service.metrics.count('operator_refused_total')
            return refusal(
                OperatorProblem('unauthorized', 401, 'the token is wrong'),
            )
        return await self.handle_trusted(request)

    async def handle_trusted(self, request: OperatorRequest) -> OperatorAnswer:
        """Answer an authenticated request, locally or through the leader.

        A change that its caller may not want any more has no effect: the
        caller may have had the answer to another copy of it, and have sent a
        newer change since.
        """
        based_on = self.service.state.revision
        for _ in range(MAX_ATTEMPTS):
            given_up = await self.refuse_given_up(request)
            if given_up is not None:
                return given_up
            reply = await self.attempt(replace(request, based_on=based_on))
            newer = superseding_revision(reply)
            if newer is None:
                return reply
            based_on = newer
        return reply

    async def attempt(self, request: OperatorRequest) -> OperatorAnswer:
        """Answer a request locally, else through the leader."""
        local = await self.answer_locally(request)
        if is_final(local):
            return local
        return await self.forward(request, local)

    async def refuse_given_up(
        self,
        request: OperatorRequest,
    ) -> OperatorAnswer | None:
        """Return a refusal unless the caller still waits for a change."""
        if not request.may_undo_newer:
            return None
        presence = await self.presence_of(request.caller)
        if presence is Presence.waiting:
            return None
        self.service.metrics.count('operator_given_up_total')
        log_change(
            'operator:given_up',
            method=request.method,
            path=request.path[:MAX_LOGGED_PATH],
            caller=presence.value,
            revision=self.service.state.revision,
        )
        return refusal(
            OperatorProblem(
                'given-up',
                HTTP_UNAVAILABLE,
                'the caller may not wait for this call any more',
            ),
        )

    async def presence_of(self, caller: WaitingCaller | None) -> Presence:
        """Tell whether a caller, or the replica that relays it, waits."""
        if caller is not None:
            return await caller.presence()
        is_unknown = self.stalls.is_recent()
        return Presence.unknown if is_unknown else Presence.waiting

    def answer_without_token(
        self, request: OperatorRequest
    ) -> OperatorAnswer | None:
        """Answer the paths that require no token; None for others."""
        match (request.method, request.path):
            case ('GET', '/metrics'):
                return OperatorAnswer(
                    HTTP_OK,
                    self.service.metrics.render(),
                    'text/plain; version=0.0.4',
                )
            case ('GET', '/healthz'):
                return answer({'alive': True})
            case ('GET', '/readyz'):
                leadership = self.service.log.leadership()
                ready = leadership.name is not None
                return answer(
                    {'ready': ready}, HTTP_OK if ready else HTTP_UNAVAILABLE
                )
        return None

    async def answer_locally(self, request: OperatorRequest) -> OperatorAnswer:
        """Answer from this replica without forwarding."""
        route = self.route(request)
        if route is None:
            return refusal(
                OperatorProblem(
                    'not-found',
                    404,
                    f'no {request.method} under {request.path}',
                ),
            )
        return await route(request)

    def route(self, request: OperatorRequest) -> Route | None:
        """Return the handler of a request; None if no route matches."""
        exact = self.routes.get((request.method, request.path))
        if exact is not None:
            return exact
        for (method, prefix), route in self.named_routes.items():
            if request.method == method and request.path.startswith(prefix):
                return route
        return None

    async def forward(
        self,
        request: OperatorRequest,
        local: OperatorAnswer,
    ) -> OperatorAnswer:
        """Forward a call to the other replicas until one of them is the leader.

        Every call that makes a change carries a number or a name, or the
        revision that it is based on. So the next replica may be tried after a
        lost reply, as long as the caller waits.
        """
        call = ttypes.OperatorCall(
            request.method,
            request.path,
            request.body,
            request.based_on,
        )
        for address in self.forward_order():
            given_up = await self.refuse_given_up(request)
            if given_up is not None:
                return given_up
            reply = await self.service.links.call(
                address,
                MessageKind.operator_call,
                encode(call),
                FORWARD_TIMEOUT_S,
            )
            if isinstance(reply, Ok):
                remote = read_reply(reply.ok_value)
                if is_final(remote):
                    return remote
        return local

    def forward_order(self) -> tuple[Address, ...]:
        """Return the leader alone if it is known, else the other replicas.

        Trying the others in turn costs one timeout for each that is down,
        after which the client has given up.
        """
        leader = self.service.log.leadership().name
        vms = self.service.state.document.section('vms')
        entry = vms.get(leader or '')
        if entry is not None:
            return (Address.model_validate(entry['peer']),)
        return self.service.others

    async def on_call(self, sender: str, body: bytes) -> bytes:
        """Answer a call that another replica forwarded."""
        call = decode(ttypes.OperatorCall, body)
        require_fields(call, 'method', 'path', 'body')
        request = OperatorRequest(
            call.method,
            call.path,
            '',
            call.body,
            based_on=call.based_on,
        )
        local = await self.refuse_given_up(request)
        if local is None:
            local = await self.answer_locally(request)
        return encode(ttypes.OperatorReply(local.status, local.body))

    async def apply(self, request: OperatorRequest) -> OperatorAnswer:
        """Validate and commit the manifest in the request body."""
        try:
            manifest = parse_manifest(request.body, BODY)
        except DocumentError as invalid:
            return refusal(invalid_document(invalid))
        return self.manifest_answer(await self.service.accept(manifest))

    async def read_manifest(self, request: OperatorRequest) -> OperatorAnswer:
        """Return the newest manifest, after a read barrier."""
        barrier = await self.service.log.read_barrier()
        if isinstance(barrier, Err):
            return refusal(problem_of(barrier.err_value))
        state = self.service.state
        if not state.highest_number:
            detail = 'no manifest was accepted yet'
            return refusal(
                OperatorProblem('not-ready', HTTP_UNAVAILABLE, detail)
            )
        fields = state.document.manifest_fields()
        return answer({'revision': state.revision, 'manifest': fields})

    async def evacuate(self, request: OperatorRequest) -> OperatorAnswer:
        """Begin or end the evacuation of a failure domain."""
        name = request.path.removeprefix(EVACUATIONS_PATH)
        begins = request.method == 'PUT'
        based_on = request.based_on
        if based_on is None:
            based_on = self.service.state.revision
        command = ChangeEvacuation(name, begins, based_on)
        _, outcome = change_evacuation(self.service.state, command)
        # What this replica has applied supersedes the command for good.
        if not isinstance(outcome, EvacuationSuperseded):
            committed = await self.service.propose(command)
            outcome = committed.err() or committed.ok()
        if isinstance(outcome, Applied):
            return answer({'failure_domain': name, **asdict(outcome)})
        log_change(
            'operator:evacuation_refused',
            failure_domain=name,
            begins=begins,
            based_on=based_on,
            reason=repr(outcome),
        )
        return refusal(problem_of(outcome))

    def manifest_answer(self, committed: Ok | Err) -> OperatorAnswer:
        """Return the answer for the outcome of accepting a manifest."""
        if isinstance(committed, Err):
            return refusal(problem_of(committed.err_value))
        outcome = committed.ok_value
        match outcome:
            case Accepted():
                return answer({'outcome': 'accepted', **asdict(outcome)})
            case Pending(number):
                return answer(
                    {
                        'outcome': 'pending',
                        **asdict(outcome),
                        'waits_for': self.service.waits_for(number),
                    },
                    HTTP_ACCEPTED,
                )
            case _:
                return refusal(problem_of(outcome))

    async def status(self, request: OperatorRequest) -> OperatorAnswer:
        """Return the revisions of all VMs and the state of the quorum."""
        leadership = self.service.log.leadership()
        document = status_document(
            self.service.state,
            self.service.heartbeats,
            leadership,
            self.service.timer.now(),
        )
        for part in self.status_parts:
            document |= part()
        return answer(
            document, HTTP_OK if leadership.is_leader else HTTP_UNAVAILABLE
        )

    async def explain(self, request: OperatorRequest) -> OperatorAnswer:
        """Explain where a request may be served, and by which rule."""
        try:
            document = self.explanation(json.loads(request.body))
        except MALFORMED_ERRORS as error:
            return refusal(
                OperatorProblem('invalid-document', 400, repr(error)),
            )
        return answer(document)

    def explanation(self, query: dict[str, Any]) -> dict[str, Any]:
        """Explain a caller's request to a service, or one to a route."""
        match query:
            case {'host': host, 'path': path}:
                return explain_route(
                    self.service.state,
                    str(host),
                    str(path),
                    query.get('organisation'),
                )
        return explain(
            self.service.state,
            str(query['caller']),
            str(query['service']),
            query.get('model'),
        )

    async def init(self, request: OperatorRequest) -> OperatorAnswer:
        """Initialise the cluster, or complete an interrupted start."""
        if self.cluster is None:
            return answer({'outcome': 'initialised'})
        outcome = await self.cluster.initialise()
        if isinstance(outcome, Err):
            return refusal(problem_of(outcome.err_value))
        return answer({'outcome': 'initialised', **self.cluster.describe()})

    async def replace(self, request: OperatorRequest) -> OperatorAnswer:
        """Replace a lost replica by one with an empty data folder."""
        path = request.path.removeprefix('/v1/replicas/')
        if self.cluster is None:
            return refusal(problem_of(NotLeader(None)))
        try:
            replacement = parse_document(
                BODY,
                request.body or b'{}',
                ReplaceRequest,
                DocumentError,
            )
        except DocumentError as invalid:
            return refusal(invalid_document(invalid))
        outcome = await self.cluster.replace(
            path.removesuffix('/replace'),
            replacement.address,
        )
        if isinstance(outcome, Err):
            return refusal(problem_of(outcome.err_value))
        return answer({'outcome': 'replaced', **self.cluster.describe()})

    async def remove_vm(self, request: OperatorRequest) -> OperatorAnswer:
        """Remove a VM that the operator reports as stopped."""
        name = request.path.removeprefix('/v1/vms/').removesuffix('/remove')
        outcome = await self.service.propose(ChangeVms(removed=(name,)))
        if isinstance(outcome, Err):
            return refusal(problem_of(outcome.err_value))
        return answer({'outcome': 'removed', **asdict(outcome.ok_value)})
