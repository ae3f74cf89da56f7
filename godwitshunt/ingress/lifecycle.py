"""Lifecycle of one request: choose, send and retry where allowed."""

import asyncio
from dataclasses import dataclass, replace
from random import uniform

from godwitshunt.exchange.deadline import deadline
from godwitshunt.exchange.problems import (
    Outcome,
    Problem,
    ProblemKind,
    WholeAnswer,
    render_problem,
)
from godwitshunt.exchange.requests import AnswerWriter
from godwitshunt.ingress.attempt import (
    ARRIVED_HEADER,
    NO_PATHS_HEADER,
    QUARANTINED_HEADER,
)
from godwitshunt.ingress.context import IngressContext
from godwitshunt.ingress.feedback import target_incarnation
from godwitshunt.ingress.outcomes import (
    AttemptOutcome,
    BreakOff,
    Deliver,
    Finish,
    Lost,
    NotRun,
    Progress,
    RefuseWith,
    Retry,
    Step,
)
from godwitshunt.ingress.request_trace import RequestTrace, Stage
from godwitshunt.ingress.requests import RoutedRequest
from godwitshunt.ingress.sending import RETURN_MARGIN_S, Sender
from godwitshunt.picking.choices import (
    Choice,
    ChoiceRequest,
    HandOver,
    Limited,
    NoPlace,
    SendHere,
)
from godwitshunt.picking.destinations import DestinationRequest
from godwitshunt.quarantine import (
    CLEAR,
    Assessment,
    Fingerprint,
    QuarantineStatus,
)
from godwitshunt.registry import UpstreamSeen
from godwitshunt.routing.selection import Demand

RETRY_AFTER_S = 0.3
# A VM that has started recently learns of upstreams and of other regions' VMs
# gradually. A request that finds none waits for updates this often and this
# long; a refused caller would come back after its objective.
MAX_UPDATE_WAITS = 3
UPDATE_WAIT_S = 0.1
# A picker that does not run for less than this has assigned slots which are
# still in use. Until then a VM looks whether it answers again, on average this
# often.
PICKER_RETURN_S = 0.3
PICKER_CHECK_S = 0.06
# Queries to a picker whose choices this VM knows to be outdated.
MAX_PICKER_QUERIES = 3


@dataclass
class RequestLifecycle:
    """One request, from its admission to its end.

    Parameters
    ----------
    context : IngressContext
        Shared state of the entry VM.
    request : RoutedRequest
        The request.
    writer : AnswerWriter
        Writes the answer to the caller.
    caller_disconnected : bool
        True where the caller has disconnected.
    is_charged : bool
        True while one attempt is charged to the organisation's limit and has
        not run.
    probed : tuple of Fingerprint
        What this request tries on probation: its content, or parts of its
        prompt.
    tries_silent : bool
        True where it may be sent to upstreams that have answered nothing.
    """

    context: IngressContext
    request: RoutedRequest
    writer: AnswerWriter
    retry_after_s: float = RETRY_AFTER_S
    caller_disconnected: bool = False
    is_charged: bool = False
    is_quarantined: bool = False
    probed: tuple[Fingerprint, ...] = ()
    tries_silent: bool = False
    task: asyncio.Task | None = None

    @property
    def is_probe(self) -> bool:
        """True where the request is tried on probation."""
        return bool(self.probed)

    def __post_init__(self) -> None:
        route = self.request.route
        # The VM that forwarded the request counts the attempts. With two
        # counts, a request could run on more upstreams than its route allows.
        attempts = 1 if self.request.is_forwarded else route.attempts
        self.progress = Progress(
            route.repeatable,
            attempts,
            arrivals=int(self.request.repeat),
        )
        self.trace = RequestTrace(self.request)
        self.sender = Sender(
            self.context,
            self.request,
            self.writer,
            self.progress,
            self.trace,
        )

    async def run(self) -> None:
        """Serve the request.

        Raises
        ------
        ConnectionResetError
            Where the caller has disconnected or its answer was broken off.
        """
        channel = self.writer.channel
        if channel.ended:
            raise ConnectionResetError('the caller is gone')
        self.task = asyncio.current_task()
        now_s = self.context.timer.now()
        self.trace.record_stage(Stage.admitted, now_s)
        if channel.held is not None:
            channel.held.begin_request(self.request.id, self.request.route.rank)
        channel.on_lost = self.cancel_on_disconnect
        try:
            step = await self.run_attempts()
            channel.on_lost = None
            await self.send_result(step)
        except asyncio.CancelledError:
            if not self.caller_disconnected:
                raise
            self.task.uncancel()
            self.close_trace('caller gone')
            raise ConnectionResetError('the caller is gone') from None
        finally:
            channel.on_lost = None

    def cancel_on_disconnect(self) -> None:
        """Cancel the request because its caller has disconnected."""
        self.caller_disconnected = True
        self.task.cancel()

    async def run_attempts(self) -> Step:
        """Make attempts until the request is settled or its deadline passes."""
        remaining_s = self.request.remaining_s(self.context.timer.now())
        try:
            async with deadline(max(0.0, remaining_s - RETURN_MARGIN_S)):
                return await self.make_attempts()
        except TimeoutError:
            in_flight = self.sender.in_flight
            return self.progress.expire(in_flight=in_flight)
        finally:
            for fingerprint in self.probed:
                self.context.quarantine.end_probe(fingerprint)

    async def make_attempts(self) -> Step:
        """Make attempts until the request is settled."""
        step: Step = Retry()
        while isinstance(step, Retry):
            step = self.quarantine_step() or await self.make_attempt()
        return step

    async def make_attempt(self) -> Step:
        """Choose a destination and send once; return the next step."""
        choice = await self.choose_after_updates()
        self.trace.record_stage(Stage.placed, self.context.timer.now())
        if isinstance(choice, NoPlace):
            return self.refuse(choice)
        if isinstance(choice, Limited):
            return self.refuse_limited(choice)
        refusal = self.authorizer_refusal() or self.late_quarantine_step()
        if refusal is not None:
            return refusal
        outcome = await self.sender.send(choice)
        # Before anything is waited for: the deadline may pass meanwhile.
        settled = self.progress.record(outcome)
        await self.record_outcome(choice, outcome)
        if settled is not None:
            return settled
        now_s = self.context.timer.now()
        remaining_s = self.request.remaining_s(now_s)
        return self.progress.retry_or_give_up(remaining_s)

    async def record_outcome(
        self,
        choice: SendHere | HandOver,
        outcome: AttemptOutcome,
    ) -> None:
        """Update the state that the next attempt depends on.

        A request that was lost before is not sent again until it is known
        whether its upstream crashed: that crash may make it suspected.
        """
        self.is_charged = isinstance(outcome, NotRun) and (
            outcome.arrived or not has_due_cost(choice)
        )
        if isinstance(outcome, NotRun) and outcome.is_final:
            self.retry_after_s = self.context.quarantine.length_s
        if isinstance(outcome, Lost) and self.was_lost_before():
            await self.context.crash_detector.wait_checked(
                target_incarnation(choice)
            )

    def was_lost_before(self) -> bool:
        """Tell whether the request, or a part of it, has crashed upstreams."""
        table = self.context.quarantine.table
        return any(
            map(
                table.has_losses,
                (self.request.fingerprint, *self.request.part_fingerprints),
            )
        )

    def late_quarantine_step(self) -> Step | None:
        """Return the last step of a request quarantined while it waited.

        The slot that a picker has assigned is released by the next report.
        """
        step = self.quarantine_step()
        if step is not None:
            self.context.picker.schedule_report()
        return step

    def quarantine_step(self) -> Step | None:
        """Return the last step of a request that must not be sent.

        A suspected request is sent on behalf of its caller but not retried:
        the next crash would be the third.
        """
        quarantine = self.context.quarantine
        assessment = self.assessment()
        if assessment.status is QuarantineStatus.clear:
            return None
        if assessment.status is QuarantineStatus.quarantined:
            self.retry_after_s = assessment.wait_s
            self.is_quarantined = True
            self.context.metrics.count(
                'quarantine_refused_total',
                service=self.request.service.name,
            )
            return self.progress.refuse_quarantined(assessment.reason)
        if self.progress.runs:
            self.progress.reasons.append(assessment.reason)
            return self.progress.give_up()
        is_begun = assessment.fingerprint in self.probed
        if assessment.status is QuarantineStatus.on_probation and not is_begun:
            self.probed = (*self.probed, assessment.fingerprint)
            quarantine.begin_probe(assessment.fingerprint)
            return self.quarantine_step()
        return None

    def assessment(self) -> Assessment:
        """Return the strictest assessment of the request and its parts."""
        quarantine = self.context.quarantine
        assessments = []
        if quarantine.has_suspected_length(len(self.request.http.body)):
            fingerprint = self.request.fingerprint
            assessments.append(
                quarantine.assessment(
                    fingerprint,
                    is_probe=fingerprint in self.probed,
                    companions=self.request.part_fingerprints,
                )
            )
        if quarantine.has_suspected_parts():
            assessments.extend(
                quarantine.assess_parts(
                    self.request.part_fingerprints, self.probed
                )
            )
        return max(assessments, key=self.strictness, default=CLEAR)

    def strictness(self, assessment: Assessment) -> tuple[int, bool]:
        """Return a sort key; what is tried already is less strict."""
        is_new = assessment.fingerprint not in self.probed
        return (assessment.strictness, is_new)

    async def choose_after_updates(self) -> Choice:
        """Choose a destination, waiting for updates while the VM warms up."""
        choice = await self.choose()
        for _ in range(MAX_UPDATE_WAITS):
            if not self.may_wait_for_updates(choice):
                break
            await asyncio.sleep(UPDATE_WAIT_S)
            choice = await self.choose()
        return choice

    def may_wait_for_updates(self, choice: Choice) -> bool:
        """Tell whether there is no upstream because the VM is warming up."""
        has_no_destination = (
            isinstance(choice, NoPlace) and not choice.overloaded
        )
        return has_no_destination and self.context.watch.is_warming_up

    async def choose(self) -> Choice:
        """Choose a destination and spend its budgets."""
        while True:
            choice = await self.choose_destination()
            if isinstance(choice, (NoPlace, Limited)):
                return choice
            if not self.spend_retry():
                self.progress.reasons.append('the retry budget is spent')
                return NoPlace(overloaded=True, retry_after_s=RETRY_AFTER_S)
            if isinstance(choice, HandOver) or self.spend_cold_request(choice):
                self.charge_rate_limit(choice)
                return choice
            self.sender.excluded.add(choice.upstream.announcement.incarnation)

    async def choose_destination(self) -> Choice:
        """Choose a destination; upstreams that seem silent come last."""
        if self.progress.sends:
            # The check that a failed attempt began ends before the next one.
            await self.context.path_monitor.wait_checked()
        choice = self.choose_relay() or await self.query_picker()
        if choice is None and self.must_await_picker():
            choice = await self.query_returned_picker()
        if choice is None:
            choice = self.choose_locally()
            self.record_charge(choice)
        self.trace.record_choice(choice, self.context.watch.age_s())
        if isinstance(choice, NoPlace) and self.may_try_silent():
            self.tries_silent = True
            self.sender.excluded -= self.sender.silent
            return await self.choose_destination()
        return choice

    def must_await_picker(self) -> bool:
        """Tell whether the picker may still assign all slots by itself.

        Upstreams that are brittle would have to reject what this VM adds.
        """
        brittle = self.context.upstreams.brittle
        return (
            brittle.is_brittle(self.request.service.name)
            and self.context.watch.has_local_control()
        )

    async def query_returned_picker(self) -> Choice | None:
        """Return the choice of a picker that was silent for a moment."""
        picker = self.context.picker
        begun_s = self.context.timer.now()
        queries = 0
        while queries < MAX_PICKER_QUERIES and not (
            picker.has_been_silent(PICKER_RETURN_S)
            or self.context.timer.now() - begun_s > PICKER_RETURN_S
        ):
            # Queries of all waiting requests at once would be answered late.
            await asyncio.sleep(uniform(0, 2 * PICKER_CHECK_S))
            if self.context.watch.picker() is None:
                continue
            queries += 1
            choice = await self.query_picker()
            if choice is not None:
                return choice
        return None

    def choose_relay(self) -> HandOver | NoPlace | None:
        """Return a VM of this region that reaches the upstreams.

        None where this VM reaches them itself, or no other VM does. A request
        that was forwarded is refused: its sender chooses another VM.
        """
        context = self.context
        if self.tries_silent:
            return None
        if context.reachability.reaches_service(self.request.service.name):
            return None
        if self.request.is_forwarded:
            return NoPlace(False, RETRY_AFTER_S)
        homes = self.request.route.homes
        if homes and context.settings.region not in homes:
            return None
        relay = context.chooser.choose_relay(
            self.choice_request(), context.watch.view()
        )
        if relay is None:
            return None
        context.metrics.count('ingress_relayed_total')
        return replace(relay, due_cost=self.cost())

    def may_try_silent(self) -> bool:
        """Tell whether only upstreams that seem silent are left."""
        paths = self.context.path_monitor.paths
        if self.tries_silent or self.request.is_forwarded:
            return False
        return paths.are_lost and not paths.are_refused

    async def query_picker(self) -> Choice | None:
        """Return the picker's choice; None where this VM must choose.

        A picker may lag behind this VM on upstreams that leave and on the
        active revision. Such a choice is not used.
        """
        for _ in range(MAX_PICKER_QUERIES):
            choice = await self.context.picker.request_destination(
                self.destination_request()
            )
            self.record_charge(choice)
            if choice is None or self.is_valid_choice(choice):
                return choice
            self.exclude(choice)
        return None

    def destination_request(self) -> DestinationRequest:
        """Return the query to the picker."""
        request = self.request
        now_s = self.context.timer.now()
        service = request.service.name
        avoided = self.context.neighbours.avoided_for(service, now_s)
        # The picker knows whether any VM reaches an upstream, not whether this
        # one does.
        unreachable = self.context.reachability.unreached(
            service, tries_silent=self.tries_silent
        )
        return DestinationRequest(
            entry=self.context.settings.name,
            request=request.id,
            host=request.route.host,
            path_prefix=request.route.path_prefix,
            service=service,
            demand=self.demand(),
            remaining_s=request.remaining_s(now_s),
            excluded=avoided.union(self.sender.excluded, unreachable),
            local=request.is_forwarded,
            organisation=request.organisation_name,
            cost=self.cost(),
            pauses=self.context.upstreams.pauses.active(now_s),
            output_tokens=request.prompt.output_tokens,
            grant=request.grant,
            body_bytes=len(request.http.body),
            waited_s=now_s - request.arrived_s,
            fingerprint=self.queue_fingerprint(),
        )

    def queue_fingerprint(self) -> bytes:
        """Return what tells repeats apart where requests are queued.

        A long body takes time to hash, so it is empty for other services.
        """
        request = self.request
        if request.service.name not in self.context.picker.scheduled:
            return b''
        return request.fingerprint.digest

    def record_charge(self, choice: Choice | None) -> None:
        """Record that a choice was charged to the organisation's limit."""
        if isinstance(choice, (SendHere, HandOver)):
            self.is_charged = True

    def cost(self) -> float:
        """Return what the next attempt costs in the organisation's limit.

        An attempt that was charged and did not run is not charged again.
        Otherwise each refusal by a full upstream or another region would use
        up units of the limit.
        """
        return 0.0 if self.is_charged else self.request.cost

    def is_valid_choice(self, choice: Choice) -> bool:
        """Tell whether a picker's choice agrees with what this VM knows."""
        match choice:
            case SendHere(upstream=upstream):
                return self.is_usable(upstream)
            case HandOver(entry=entry):
                homes = self.request.route.homes
                return not homes or entry.region in homes
        return True

    def is_usable(self, upstream: UpstreamSeen) -> bool:
        """Tell whether an upstream may receive the request.

        An upstream is unusable once any control VM has reported that it is
        leaving, that its incarnation has ended or that its failure domain is
        evacuated, and while it has asked this VM for a pause.
        """
        announcement = upstream.announcement
        homes = self.request.route.homes
        current = self.context.watch.view().upstreams.get(
            announcement.incarnation, upstream
        )
        is_leaving = (
            current.announcement.draining
            or self.context.watch.has_ended(announcement)
            or announcement.incarnation in self.context.upstreams.departures
        )
        is_home = not homes or self.context.settings.region in homes
        evacuated = self.context.active_revision().revision.evacuated
        is_evacuated = announcement.failure_domain in evacuated
        is_paused = self.context.upstreams.pauses.remaining_s(
            announcement.incarnation, self.context.timer.now()
        )
        return is_home and not (is_leaving or is_evacuated or is_paused)

    def exclude(self, choice: SendHere | HandOver) -> None:
        """Exclude a destination from further choices."""
        match choice:
            case SendHere(upstream=upstream):
                self.sender.excluded.add(upstream.announcement.incarnation)
            case HandOver(entry=entry):
                self.sender.excluded.add(entry.region)

    def demand(self) -> Demand:
        """Return what the request requires of an upstream."""
        request = self.request
        prompt = request.prompt
        demand = Demand(
            prompt.prompt_tokens,
            prompt.shared_tokens,
            prompt.shared_key,
            urgent=not request.route.rank,
            objective_s=request.route.objective_s,
        )
        reserved_tokens = self.context.upstreams.reserved_tokens(
            request.service, request.route.name, demand, prompt.output_tokens
        )
        return replace(demand, reserved_tokens=reserved_tokens)

    def choose_locally(self) -> Choice:
        """Return this VM's own choice, within its share of the limits."""
        limits = self.context.picker.reports.limits
        name, cost = self.request.organisation_name, self.cost()
        is_limited = name and cost
        now_s = self.context.timer.now()
        if is_limited:
            share = self.context.limit_share()
            wait_s = limits.wait_s(name, cost, share, now_s)
            if wait_s:
                return Limited(wait_s)
        choice = self.choose_locally_unlimited()
        if is_limited and not isinstance(choice, NoPlace):
            limits.charge(name, cost, now_s)
        return choice

    def choose_locally_unlimited(self) -> Choice:
        """Return this VM's own choice, whatever the limits."""
        view = self.context.watch.view()
        revision = self.context.active_revision().revision
        return self.context.chooser.choose(
            self.choice_request(), view, revision
        )

    def choice_request(self) -> ChoiceRequest:
        """Return the input of this VM's own choice."""
        request = self.request
        now_s = self.context.timer.now()
        unreached = self.context.reachability.unreached(
            request.service.name, tries_silent=self.tries_silent
        )
        return ChoiceRequest(
            route=request.route,
            service=request.service,
            demand=self.demand(),
            remaining_s=request.remaining_s(now_s),
            now_s=now_s,
            excluded=unreached.union(self.sender.excluded),
            local=request.is_forwarded,
            low_urgency_regions=request.low_urgency_regions,
            holders=self.context.watch.prefixes.holders(
                request.prompt.shared_key,
                now_s,
            ),
            entry=self.context.settings.name,
            pauses=self.context.upstreams.pauses.active(now_s),
            sharing=self.context.upstreams.sharing(request.prompt.shared_key),
        )

    def spend_retry(self) -> bool:
        """Spend one retry of the budget where an upstream had the request.

        The first attempt of a repeat was spent by the VM that forwarded it.
        """
        if self.progress.arrivals <= int(self.request.repeat):
            return True
        service = self.request.service.name
        window = self.context.budgets.retry_window(service)
        now_s = self.context.timer.now()
        sharers = self.context.allowance_sharers()
        part = self.context.budgets.lease.part(now_s, sharers)
        decision = window.spend(now_s, part)
        self.trace.record_retry(
            decision,
            self.progress,
            sharers,
            now_s - self.context.budgets.lease.started_s,
            self.context.metrics,
        )
        return decision.is_allowed

    def spend_cold_request(self, choice: SendHere) -> bool:
        """Spend one request of a cold upstream's budget."""
        cold = self.request.service.cold_start
        if choice.chosen_by_picker or not choice.is_cold or cold is None:
            return True
        return self.context.budgets.cold.spend(
            choice.upstream.announcement.incarnation,
            cold.requests_per_s,
            self.context.cold_share(),
            self.context.timer.now(),
        )

    def charge_rate_limit(self, choice: SendHere | HandOver) -> None:
        """Count a request that this VM chose an upstream for by itself."""
        if isinstance(choice, SendHere) and not choice.chosen_by_picker:
            self.context.upstreams.rate_limiter.spend(
                choice.upstream.announcement.incarnation,
                self.context.timer.now(),
            )

    def refuse(self, choice: NoPlace) -> Step:
        """Return the last step of a request without a destination."""
        self.retry_after_s = choice.retry_after_s
        step = self.progress.give_up()
        refused = isinstance(step, RefuseWith)
        if refused and choice.overloaded and step.outcome is Outcome.not_run:
            detail = ', '.join(self.progress.reasons) or 'no room in time'
            return RefuseWith(ProblemKind.overloaded, detail, Outcome.not_run)
        return step

    def refuse_limited(self, choice: Limited) -> Step:
        """Return the last step of a request beyond its limit."""
        self.retry_after_s = choice.retry_after_s
        return self.refuse_as(ProblemKind.limited)

    def authorizer_refusal(self) -> Step | None:
        """Return the last step of a request that is no longer authorized."""
        active_revision = self.context.active_revision()
        kind = self.context.authorizer.refusal(self.request, active_revision)
        return None if kind is None else self.refuse_as(kind)

    def refuse_as(self, kind: ProblemKind) -> Step:
        """Return the last step of a request that must not be sent."""
        step = self.progress.give_up()
        is_refused = isinstance(step, RefuseWith)
        if is_refused and step.outcome is Outcome.not_run:
            detail = ', '.join(self.progress.reasons) or kind.title
            return RefuseWith(kind, detail, Outcome.not_run)
        return step

    async def send_result(self, step: Step) -> None:
        """Send the caller the rest of its answer.

        Raises
        ------
        ConnectionResetError
            Where an answer was broken off.
        """
        match step:
            case Deliver(answer):
                self.trace.record_answer_start(self.context.timer.now())
                self.close_trace(f'answered {answer.status}')
                await self.writer.whole(answer)
            case Finish():
                self.close_trace('streamed')
                await self.writer.finish()
            case BreakOff():
                self.close_trace('broken off')
                self.writer.break_off()
                raise ConnectionResetError('an answer was broken off')
            case RefuseWith(kind, detail, outcome):
                self.close_trace(f'refused {kind.slug} {outcome.value}')
                problem = Problem(kind, detail, outcome)
                await self.writer.whole(self.render(problem))

    def render(self, problem: Problem) -> WholeAnswer:
        """Return a refusal, with a time to retry where nothing ran."""
        answer = render_problem(problem)
        if problem.outcome is not Outcome.not_run:
            return answer
        extra = [(b'retry-after', b'%.3f' % self.retry_after_s)]
        if self.request.is_forwarded and self.progress.arrivals:
            extra.append((ARRIVED_HEADER, b'true'))
        if self.request.is_forwarded and self.is_quarantined:
            extra.append((QUARANTINED_HEADER, b'true'))
        if self.request.is_forwarded and self.context.path_monitor.are_lost:
            extra.append((NO_PATHS_HEADER, b'true'))
        return WholeAnswer(
            answer.status,
            (*answer.headers, *extra),
            answer.body,
        )

    def close_trace(self, ending: str) -> None:
        """Log and count the ended request."""
        self.trace.close(
            ending,
            self.progress,
            self.context.active_revision().revision.revision,
            self.context.metrics,
            self.context.timer.now(),
        )


def has_due_cost(choice: SendHere | HandOver) -> bool:
    """Tell whether the chosen VM charges the organisation's limit itself."""
    return isinstance(choice, HandOver) and choice.due_cost > 0
