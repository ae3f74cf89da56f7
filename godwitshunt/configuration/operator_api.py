"""What operators ask of a control replica over HTTP."""

import hashlib
import hmac
import json
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from typing import Any

from result import Err, Ok

from godwitshunt.configuration.cluster import Cluster, ReplaceRequest
from godwitshunt.configuration.commands import (
    Accepted,
    ChangeEvacuation,
    ChangeVms,
    Pending,
)
from godwitshunt.configuration.document import MALFORMED
from godwitshunt.configuration.explanation import explain, explain_route
from godwitshunt.configuration.gen.wire import ttypes
from godwitshunt.configuration.news_wire import require_fields
from godwitshunt.configuration.operator_http import (
    OperatorAnswer,
    OperatorRequest,
    read_request,
    whole_answer,
)
from godwitshunt.configuration.problems import (
    OperatorProblem,
    invalid_document,
    problem_of,
)
from godwitshunt.configuration.service import ConfigurationService
from godwitshunt.configuration.status import status_document
from godwitshunt.consensus import NotLeader
from godwitshunt.exceptions import DocumentError
from godwitshunt.exchange.requests import AnswerWriter, HttpRequest
from godwitshunt.manifest import parse_manifest
from godwitshunt.manifest.documents import parse_document
from godwitshunt.peer import MessageKind, decode, encode
from godwitshunt.settings import Address

StatusPart = Callable[[], dict[str, Any]]
Route = Callable[[OperatorRequest], Awaitable[OperatorAnswer]]

FORWARD_TIMEOUT_S = 5.0
EVACUATIONS_PATH = '/v1/evacuations/'
BODY = 'request body'
PROBLEM_TYPE = 'application/problem+json'
HTTP_OK = 200
ACCEPTED_LATER = 202
NOT_LEADER = 503


def answer(document: dict[str, Any], status: int = HTTP_OK) -> OperatorAnswer:
    """Return a JSON answer."""
    return OperatorAnswer(status, json.dumps(document).encode())


def refusal(problem: OperatorProblem) -> OperatorAnswer:
    """Return a problem answer."""
    return OperatorAnswer(problem.status, problem.body(), PROBLEM_TYPE)


class OperatorApi:
    """Checks the token, chooses the route, passes calls on to the leader.

    Parameters
    ----------
    service : ConfigurationService
        Of this replica.
    token_sha256 : str
        SHA-256 of the operators' token, in hexadecimal.
    cluster : Cluster or None
        The replicas of the log; None where it is not replicated.
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
        """Answer one more path; for slices that build on this one."""
        self.routes[method, path] = route

    def add_status(self, part: StatusPart) -> None:
        """Add a part to the status document."""
        self.status_parts.append(part)

    def start(self) -> None:
        """Take the calls that other replicas pass on."""
        self.service.links.subscribe(MessageKind.operator_call, self.on_call)

    async def serve(self, request: HttpRequest, writer: AnswerWriter) -> None:
        """Answer one request of the listener."""
        came = await self.handle(read_request(request))
        await writer.whole(whole_answer(came))

    async def handle(self, request: OperatorRequest) -> OperatorAnswer:
        """Answer one operator's request."""
        plain = self.plain_answer(request)
        if plain is not None:
            return plain
        digest = hashlib.sha256(request.token.encode()).hexdigest()
        if not hmac.compare_digest(digest, self.token_sha256):
            self.service.metrics.count('operator_refused_total')
            return refusal(
                OperatorProblem('unauthorized', 401, 'the token is wrong'),
            )
        return await self.handle_trusted(request)

    async def handle_trusted(self, request: OperatorRequest) -> OperatorAnswer:
        """Answer a request whose sender is known to be an operator."""
        local = await self.local(request)
        if local.status == NOT_LEADER:
            return await self.forward(request, local)
        return local

    def plain_answer(self, request: OperatorRequest) -> OperatorAnswer | None:
        """Answer the paths that need no token."""
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
                    {'ready': ready}, HTTP_OK if ready else NOT_LEADER
                )
        return None

    async def local(self, request: OperatorRequest) -> OperatorAnswer:
        """Answer from this replica."""
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
        """Return what answers a path."""
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
        """Pass a call to the other replicas until one of them leads.

        Every call that changes something carries a number or a name, so that
        a second replica may be asked where the first one's reply was lost.
        """
        call = ttypes.OperatorCall(request.method, request.path, request.body)
        for address in self.forward_order():
            reply = await self.service.links.call(
                address,
                MessageKind.operator_call,
                encode(call),
                FORWARD_TIMEOUT_S,
            )
            if isinstance(reply, Ok):
                passed = decode(ttypes.OperatorReply, reply.ok_value)
                if passed.status != NOT_LEADER:
                    kind = PROBLEM_TYPE if passed.status >= 400 else None
                    return OperatorAnswer(
                        passed.status,
                        passed.body,
                        kind or 'application/json',
                    )
        return local

    def forward_order(self) -> tuple[Address, ...]:
        """Return the leader alone where it is known, else every other VM.

        Asking the others in turn takes a timeout for each that is lost, and
        by then whoever asked has given up.
        """
        leader = self.service.log.leadership().name
        vms = self.service.state.document.section('vms')
        entry = vms.get(leader or '')
        if entry is not None:
            return (Address.model_validate(entry['peer']),)
        return self.service.others

    async def on_call(self, sender: str, body: bytes) -> bytes:
        """Answer a call that another replica passed on."""
        call = decode(ttypes.OperatorCall, body)
        require_fields(call, 'method', 'path', 'body')
        request = OperatorRequest(call.method, call.path, '', call.body)
        local = await self.local(request)
        return encode(ttypes.OperatorReply(local.status, local.body))

    async def apply(self, request: OperatorRequest) -> OperatorAnswer:
        """Accept a manifest."""
        try:
            manifest = parse_manifest(request.body, BODY)
        except DocumentError as invalid:
            return refusal(invalid_document(invalid))
        return self.manifest_answer(await self.service.accept(manifest))

    async def read_manifest(self, request: OperatorRequest) -> OperatorAnswer:
        """Give back the newest manifest, once no newer can be committed."""
        barrier = await self.service.log.read_barrier()
        if isinstance(barrier, Err):
            return refusal(problem_of(barrier.err_value))
        state = self.service.state
        if not state.highest_number:
            told = 'no manifest was accepted yet'
            return refusal(OperatorProblem('not-ready', NOT_LEADER, told))
        fields = state.document.manifest_fields()
        return answer({'revision': state.revision, 'manifest': fields})

    async def evacuate(self, request: OperatorRequest) -> OperatorAnswer:
        """Begin or end the evacuation of a failure domain."""
        name = request.path.removeprefix(EVACUATIONS_PATH)
        begins = request.method == 'PUT'
        came = await self.service.propose(ChangeEvacuation(name, begins))
        if isinstance(came, Err):
            return refusal(problem_of(came.err_value))
        return answer({'failure_domain': name, **asdict(came.ok_value)})

    def manifest_answer(self, came: Ok | Err) -> OperatorAnswer:
        """Return the answer for a manifest's outcome."""
        if isinstance(came, Err):
            return refusal(problem_of(came.err_value))
        outcome = came.ok_value
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
                    ACCEPTED_LATER,
                )
            case _:
                return refusal(problem_of(outcome))

    async def status(self, request: OperatorRequest) -> OperatorAnswer:
        """Tell who has what, and whether the quorum lives."""
        leadership = self.service.log.leadership()
        document = status_document(
            self.service.state,
            self.service.heard,
            leadership,
            self.service.timer.now(),
        )
        for part in self.status_parts:
            document |= part()
        return answer(document, HTTP_OK if leadership.is_leader else NOT_LEADER)

    async def explain(self, request: OperatorRequest) -> OperatorAnswer:
        """Tell where a caller's request may go, and by which rule."""
        try:
            document = self.explanation(json.loads(request.body))
        except MALFORMED as bad:
            return refusal(
                OperatorProblem('invalid-document', 400, repr(bad)),
            )
        return answer(document)

    def explanation(self, asked: dict[str, Any]) -> dict[str, Any]:
        """Explain a caller's request of a service, or one of a route."""
        match asked:
            case {'host': host, 'path': path}:
                return explain_route(
                    self.service.state,
                    str(host),
                    str(path),
                    asked.get('organisation'),
                )
        return explain(
            self.service.state,
            str(asked['caller']),
            str(asked['service']),
            asked.get('model'),
        )

    async def init(self, request: OperatorRequest) -> OperatorAnswer:
        """Make the cluster, once; only the first named replica does."""
        if self.cluster is None:
            return answer({'outcome': 'initialised'})
        if not self.cluster.is_first:
            return refusal(problem_of(NotLeader(None)))
        made = await self.cluster.initialise()
        if isinstance(made, Err):
            return refusal(problem_of(made.err_value))
        return answer({'outcome': 'initialised', **self.cluster.describe()})

    async def replace(self, request: OperatorRequest) -> OperatorAnswer:
        """Put a replica with an empty folder in the place of a lost one."""
        path = request.path.removeprefix('/v1/replicas/')
        if self.cluster is None:
            return refusal(problem_of(NotLeader(None)))
        try:
            asked = parse_document(
                BODY,
                request.body or b'{}',
                ReplaceRequest,
                DocumentError,
            )
        except DocumentError as invalid:
            return refusal(invalid_document(invalid))
        made = await self.cluster.replace(
            path.removesuffix('/replace'),
            asked.address,
        )
        if isinstance(made, Err):
            return refusal(problem_of(made.err_value))
        return answer({'outcome': 'replaced', **self.cluster.describe()})

    async def remove_vm(self, request: OperatorRequest) -> OperatorAnswer:
        """Take out a VM that the operator knows to have stopped."""
        name = request.path.removeprefix('/v1/vms/').removesuffix('/remove')
        came = await self.service.propose(ChangeVms(removed=(name,)))
        if isinstance(came, Err):
            return refusal(problem_of(came.err_value))
        return answer({'outcome': 'removed', **asdict(came.ok_value)})
