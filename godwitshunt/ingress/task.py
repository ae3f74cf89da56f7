"""The ingress of an entry VM: requests of callers and of other entry VMs."""

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
from godwitshunt.ingress.hops import read_forwarded_request
from godwitshunt.ingress.lifecycle import RequestLifecycle
from godwitshunt.ingress.requests import RoutedRequest
from godwitshunt.ingress.sending import KEEPALIVE_PERIOD_S
from godwitshunt.picking.client import PickerClient
from godwitshunt.registry import RegistryWatch
from godwitshunt.settings import IngressSettings
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Subscription, Timer

TICK_S = 0.5
# Time after which callers retry at a VM that has no configuration.
RETRY_AFTER_S = 0.3
# A request that is received before the first configuration waits for it this
# long. A VM that has just started receives it soon, and a refused caller would
# come back later. Control VMs of other regions have answered within this time,
# which is shorter than the shortest objective of the expected workload.
FIRST_REVISION_WAIT_S = 0.35
# Refusals that another VM, or this one shortly after, may not repeat.
RETRYABLE_KINDS = frozenset((ProblemKind.not_ready, ProblemKind.unproven))
# Callers' idle connections are kept open slightly longer than announced, so
# that none is closed while a request is on its way.
IDLE_EXTRA_S = 2.0
# Idle timeout of other entry VMs, which bound the requests that they forward.
HOP_IDLE_S = 30.0
DRAIN_CHECK_S = 0.05


class IngressTask:
    """Serves requests of callers and of other entry VMs.

    Parameters
    ----------
    context : IngressContext
        Shared state of the entry VM.
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
            budget=context.buffers,
        )
        self.listener = Listener(options, context.metrics, self.serve_caller)
        forward_options = replace(
            options,
            address=self.settings.hop,
            idle_timeout_s=HOP_IDLE_S,
        )
        self.hops = Listener(
            forward_options, context.metrics, self.serve_forwarded
        )

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
        """Create the ingress of an entry VM."""
        context = make_context(
            settings,
            cluster_key,
            names,
            watch,
            picker,
            timer,
            metrics,
        )
        task = cls(context)
        context.active_revision = task.current
        return task

    def current(self) -> ActiveRevision | None:
        """Return the active revision; None before the first."""
        return self.active_revision

    @property
    def accepting(self) -> bool:
        """True while callers may be sent to this VM.

        A VM without a recent proof of its keys refuses requests of routes with
        keys.
        """
        if self.active_revision is None or self.draining:
            return False
        has_keys = bool(self.active_revision.table.keys.by_name)
        return not has_keys or self.context.authorizer.is_proven

    def route_homes(self, host: str) -> tuple[frozenset[str], ...]:
        """Return the homes of a host's routes that have any."""
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
        self.context.path_monitor.start()
        self.subscription = self.context.timer.every(TICK_S, self.tick)

    def tick(self) -> None:
        """Update the known VMs and upstreams."""
        view = self.context.watch.view()
        now_s = self.context.timer.now()
        self.context.neighbours.record_entries(view.entries, now_s)
        self.context.neighbours.round_trips = self.context.watch.round_trips()
        self.context.renew_lease()
        self.context.upstreams.remove_absent(view.upstreams)
        self.context.pool.remove_absent(view.upstreams)
        self.context.budgets.cold.remove_absent(frozenset(view.upstreams))
        self.context.answer_headers.remove_absent(frozenset(view.upstreams))
        self.context.upstreams.pauses.expire(now_s)
        self.context.upstreams.departures.remove_absent(view.upstreams, now_s)
        limiter = self.context.upstreams.rate_limiter
        limiter.remove_absent(view.upstreams, now_s)
        observed_limits = self.context.upstreams.observed_limits
        observed_limits.remove_absent(view.upstreams, now_s)
        limiter.share = self.context.rate_share()
        region_vms = self.context.neighbours.count_in_region()
        self.context.upstreams.sharers = region_vms
        self.context.metrics.gauge('ingress_in_progress', self.in_progress)
        self.measure_buffers()

    def measure_buffers(self) -> None:
        """Measure what is held for slow callers and slow upstreams."""
        buffers = self.context.buffers
        if buffers is not None:
            buffers.measure(asyncio.get_running_loop().time())
            self.context.metrics.gauge(
                'exchange_held_bytes', buffers.held_bytes
            )

    def apply_revision(self, revision: Revision) -> None:
        """Make a newer revision the active one."""
        self.active_revision = ActiveRevision.from_revision(revision)
        self.configured.set()
        now_s = self.context.timer.now()
        self.context.picker.reports.configure(revision.manifest, now_s)
        limits = revision.manifest.input_limits
        own_limits = self.settings.limits.model_copy(
            update={
                'header_bytes': limits.header_bytes,
                'body_bytes': limits.body_bytes,
                'read_timeout_s': limits.header_timeout_s,
            },
        )
        self.listener.options = replace(
            self.listener.options,
            limits=own_limits,
            idle_timeout_s=limits.idle_timeout_s + IDLE_EXTRA_S,
        )

    async def close(self, farewell_s: float, limit_s: float) -> None:
        """Shut down without cutting requests off.

        Callers and other VMs may not know yet that this VM is leaving, so
        requests are accepted for a while. Then idle connections are closed,
        and the others once their answers are written.

        Parameters
        ----------
        farewell_s : float
            Seconds for which requests are accepted as before.
        limit_s : float
            Seconds after which remaining requests are cut off.
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
        await self.context.crash_detector.close()
        await self.context.path_monitor.close()
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
                await self.run_request(request, writer)
            case Err(problem):
                await self.refuse(http, writer, problem)

    async def wait_for_revision(self) -> None:
        """Wait shortly for the first revision while the VM is warming up."""
        if self.active_revision is None and self.context.watch.is_warming_up:
            with suppress(TimeoutError):
                async with asyncio.timeout(FIRST_REVISION_WAIT_S):
                    await self.configured.wait()

    async def run_request(
        self,
        request: RoutedRequest,
        writer: AnswerWriter,
    ) -> None:
        """Run a request and count it as in progress meanwhile."""
        self.in_progress += 1
        try:
            await RequestLifecycle(self.context, request, writer).run()
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
        if problem.kind in RETRYABLE_KINDS:
            wait = (b'retry-after', b'%.3f' % RETRY_AFTER_S)
            answer = WholeAnswer(
                answer.status,
                (*answer.headers, wait),
                answer.body,
            )
        await writer.whole(answer)

    def revision_number(self) -> int:
        """Return the active revision for logs; 0 before the first."""
        return (
            0
            if self.active_revision is None
            else self.active_revision.revision.revision
        )

    async def serve_forwarded(
        self, http: HttpRequest, writer: AnswerWriter
    ) -> None:
        """Serve a request that another entry VM forwarded."""
        writer.repeat_id(http, self.context.names.request_id)
        if self.active_revision is None:
            detail = 'no revision is in force here yet'
            problem = Problem(ProblemKind.not_ready, detail, Outcome.not_run)
            await self.refuse(http, writer, problem)
            return
        forwarded = read_forwarded_request(
            http,
            self.active_revision,
            self.context,
        )
        if isinstance(forwarded, Err):
            reason = forwarded.err_value.reason
            problem = Problem(ProblemKind.forbidden, reason, Outcome.not_run)
            await self.refuse(http, writer, problem)
            return
        request = forwarded.ok_value
        keepalives = self.context.timer.every(
            KEEPALIVE_PERIOD_S, writer.sign_of_life
        )
        try:
            await self.run_request(request, writer)
        finally:
            keepalives.cancel()
