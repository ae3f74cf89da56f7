"""Everything that an entry VM does for callers of routes."""

import asyncio
from contextlib import suppress
from dataclasses import replace
from random import Random
from typing import Self

from result import Err, Ok

from godwitshunt.configuration.revision import Revision
from godwitshunt.exchange.caller_tls import caller_context
from godwitshunt.exchange.listener import Listener, ListenerOptions
from godwitshunt.exchange.problems import (
    Outcome,
    Problem,
    ProblemKind,
    WholeAnswer,
    render_problem,
)
from godwitshunt.exchange.requests import AnswerWriter, HttpRequest
from godwitshunt.ingress.active_revision import ActiveRevision
from godwitshunt.ingress.admission import Admission
from godwitshunt.ingress.assembly import make_context
from godwitshunt.ingress.context import IngressContext
from godwitshunt.ingress.header_names import HeaderNames
from godwitshunt.ingress.hops import read_hop
from godwitshunt.ingress.lifecycle import RequestLife
from godwitshunt.ingress.requests import RoutedRequest
from godwitshunt.ingress.sending import SIGN_OF_LIFE_S
from godwitshunt.picking.client import PickerClient
from godwitshunt.registry import RegistryWatch
from godwitshunt.settings import IngressSettings
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Subscription, Timer

TICK_S = 0.5
# Callers wait for so long before they ask a VM that knows no configuration.
RETRY_AFTER_S = 0.3
# A request that comes before the first configuration waits for it this long:
# a VM that has just started has it soon, and a caller that was refused comes
# back later than that. Control VMs of other regions have answered by then, and
# the users' shortest objective is not over.
FIRST_WAIT_S = 0.35
# What another VM, or this one in a moment, may serve.
COME_BACK = frozenset((ProblemKind.not_ready, ProblemKind.unproven))
# Idle connections of callers are kept for a little longer than callers are
# told, so that none is closed under a request on its way.
IDLE_EXTRA_S = 2.0
# Requests handed over are bounded by the VMs that send them.
HOP_IDLE_S = 30.0
DRAIN_CHECK_S = 0.05


class IngressTask:
    """Takes requests of routes from callers and from other entry VMs.

    Parameters
    ----------
    context : IngressContext
        What every request is served with.
    """

    def __init__(self, context: IngressContext) -> None:
        self.context = context
        self.settings: IngressSettings = context.settings
        self.active_revision: ActiveRevision | None = None
        self.admission = Admission(
            context.names,
            self.current,
            context.authorizer,
            Random(),
            lambda: context.watch.is_warming_up,
        )
        self.configured = asyncio.Event()
        self.draining = False
        self.in_progress = 0
        self.subscription: Subscription | None = None
        options = ListenerOptions(
            address=self.settings.http,
            limits=self.settings.limits,
            tls=caller_context(self.settings.tls),
        )
        self.listener = Listener(options, context.metrics, self.serve_caller)
        hop_options = replace(
            options,
            address=self.settings.hop,
            idle_timeout_s=HOP_IDLE_S,
        )
        self.hops = Listener(hop_options, context.metrics, self.serve_hop)

    @classmethod
    def from_config(
        cls,
        settings: IngressSettings,
        cluster_key: bytes,
        names: HeaderNames,
        watch: RegistryWatch,
        picker: PickerClient,
        timer: Timer,
        metrics: Metrics,
    ) -> Self:
        """Make the ingress of an entry VM."""
        context = make_context(
            settings,
            cluster_key,
            names,
            watch,
            picker,
            timer,
            metrics,
        )
        made = cls(context)
        context.active_revision = made.current
        return made

    def current(self) -> ActiveRevision | None:
        """Return the revision in force; None before the first."""
        return self.active_revision

    @property
    def accepting(self) -> bool:
        """True while callers may be sent here.

        A VM that cannot prove which keys still hold refuses their requests.
        """
        if self.active_revision is None or self.draining:
            return False
        has_keys = bool(self.active_revision.table.keys.by_name)
        return not has_keys or self.context.authorizer.is_proven

    def route_homes(self, host: str) -> tuple[frozenset[str], ...]:
        """Return the homes of each route of a host that has any."""
        if self.active_revision is None:
            return ()
        routes = self.active_revision.revision.manifest.routes
        return tuple(
            frozenset(route.homes)
            for route in routes
            if route.host == host and route.homes
        )

    async def start(self) -> None:
        """Listen for callers and for other entry VMs."""
        await self.listener.start()
        await self.hops.start()
        self.subscription = self.context.timer.every(TICK_S, self.tick)

    def tick(self) -> None:
        """Follow which VMs and upstreams there are."""
        view = self.context.watch.view()
        now_s = self.context.timer.now()
        self.context.neighbours.record_entries(view.entries, now_s)
        self.context.neighbours.round_trips = self.context.watch.round_trips()
        self.context.upstreams.remove_absent(view.upstreams)
        self.context.pool.remove_absent(view.upstreams)
        self.context.budgets.cold.remove_absent(frozenset(view.upstreams))
        self.context.metrics.gauge('ingress_in_progress', self.in_progress)

    def apply_revision(self, revision: Revision) -> None:
        """Serve by a newer revision from now on."""
        self.active_revision = ActiveRevision.from_revision(revision)
        self.configured.set()
        now_s = self.context.timer.now()
        self.context.picker.reports.configure(revision.manifest, now_s)
        limits = revision.manifest.input_limits
        own = self.settings.limits.model_copy(
            update={
                'header_bytes': limits.header_bytes,
                'body_bytes': limits.body_bytes,
                'read_timeout_s': limits.header_timeout_s,
            },
        )
        self.listener.options = replace(
            self.listener.options,
            limits=own,
            idle_timeout_s=limits.idle_timeout_s + IDLE_EXTRA_S,
        )

    async def close(self, farewell_s: float, limit_s: float) -> None:
        """Leave so that no request is cut.

        Callers and other VMs that have not heard yet that this VM leaves are
        served for a while; then idle connections close, and the rest as soon
        as their answers are out.

        Parameters
        ----------
        farewell_s : float
            Seconds for which requests are taken as before.
        limit_s : float
            Seconds after which what is in progress is cut.
        """
        start_s = self.context.timer.now()
        self.draining = True
        self.listener.last_answers = True
        await asyncio.sleep(farewell_s)
        for listener in (self.listener, self.hops):
            listener.stop_accepting()
            listener.drain()
        while self.context.timer.now() - start_s < limit_s:
            if not (self.listener.answering or self.hops.answering):
                break
            await asyncio.sleep(DRAIN_CHECK_S)
        cut = len(self.listener.answering) + len(self.hops.answering)
        if cut:
            log_change('ingress:drain_cut', requests=cut)
        if self.subscription is not None:
            self.subscription.cancel()
        await self.context.witness.close()
        self.context.pool.close()
        self.context.hops.close()

    async def serve_caller(
        self,
        http: HttpRequest,
        writer: AnswerWriter,
    ) -> None:
        """Serve a caller's request."""
        now_s = self.context.timer.now()
        await self.wait_for_revision()
        match await self.admission.admit(http, now_s):
            case Ok(request):
                await self.live(request, writer)
            case Err(problem):
                await self.refuse(http, writer, problem)

    async def wait_for_revision(self) -> None:
        """Wait a moment for the first revision, while the VM is young."""
        if self.active_revision is None and self.context.watch.is_warming_up:
            with suppress(TimeoutError):
                async with asyncio.timeout(FIRST_WAIT_S):
                    await self.configured.wait()

    async def live(
        self,
        request: RoutedRequest,
        writer: AnswerWriter,
    ) -> None:
        """Live a request's life; count it while it lasts."""
        self.in_progress += 1
        try:
            await RequestLife(self.context, request, writer).run()
        finally:
            self.in_progress -= 1

    async def refuse(
        self,
        http: HttpRequest,
        writer: AnswerWriter,
        problem: Problem,
    ) -> None:
        """Refuse a request that was not admitted."""
        self.context.metrics.count(
            'ingress_refused_total',
            kind=problem.kind.slug,
        )
        log_change(
            'ingress:request_refused',
            request=http.header(self.context.names.request_id) or '',
            host=http.header(b'host') or '',
            path=http.path[:200],
            kind=problem.kind.slug,
            detail=problem.detail,
            revision=self.revision_number(),
            proof_age_s=round(self.context.authorizer.age_s(), 2),
        )
        answer = render_problem(problem)
        if problem.kind in COME_BACK:
            wait = (b'retry-after', b'%.3f' % RETRY_AFTER_S)
            answer = WholeAnswer(
                answer.status,
                (*answer.headers, wait),
                answer.body,
            )
        await writer.whole(answer)

    def revision_number(self) -> int:
        """Return the revision in force, for logs; 0 before the first."""
        return (
            0
            if self.active_revision is None
            else self.active_revision.revision.revision
        )

    async def serve_hop(self, http: HttpRequest, writer: AnswerWriter) -> None:
        """Serve a request that another entry VM handed over."""
        if self.active_revision is None:
            told = 'no revision is in force here yet'
            problem = Problem(ProblemKind.not_ready, told, Outcome.not_run)
            await self.refuse(http, writer, problem)
            return
        read = read_hop(
            http,
            self.active_revision,
            self.context,
        )
        if isinstance(read, Err):
            reason = read.err_value.reason
            problem = Problem(ProblemKind.forbidden, reason, Outcome.not_run)
            await self.refuse(http, writer, problem)
            return
        request = read.ok_value
        signs = self.context.timer.every(SIGN_OF_LIFE_S, writer.sign_of_life)
        try:
            await self.live(request, writer)
        finally:
            signs.cancel()
