"""The life of one request: choose, send, and choose again where allowed."""

import asyncio
from dataclasses import dataclass

from godwitshunt.exchange.problems import (
    Outcome,
    Problem,
    ProblemKind,
    WholeAnswer,
    render_problem,
)
from godwitshunt.exchange.requests import AnswerWriter
from godwitshunt.ingress.attempt import ARRIVED_HEADER, QUARANTINED_HEADER
from godwitshunt.ingress.context import IngressContext
from godwitshunt.ingress.feedback import place_of
from godwitshunt.ingress.outcomes import (
    Again,
    AttemptOutcome,
    BreakOff,
    Deliver,
    Finish,
    Lost,
    NotRun,
    Progress,
    RefuseWith,
    Step,
)
from godwitshunt.ingress.request_trace import RequestAccount, Stage
from godwitshunt.ingress.requests import RoutedRequest
from godwitshunt.ingress.sending import MARGIN_S, Sender
from godwitshunt.picking.choices import (
    Choice,
    ChoiceRequest,
    HandOver,
    Limited,
    NoPlace,
    SendHere,
)
from godwitshunt.picking.picker import DestinationRequest
from godwitshunt.quarantine import QuarantineStatus
from godwitshunt.registry import UpstreamSeen
from godwitshunt.routing.selection import Demand

RETRY_AFTER_S = 0.3
# A VM that has just started hears of upstreams and of other regions' VMs by
# and by; a request that finds none waits for the next news, so often and so
# long each, rather than come back after its objective.
NEWS_WAITS = 3
NEWS_WAIT_S = 0.1
# A picker that gives places which this VM knows better of is asked so often.
MOST_QUESTIONS = 3


@dataclass
class RequestLife:
    """One request, from its admission to its end.

    Parameters
    ----------
    context : IngressContext
        What every request is served with.
    request : RoutedRequest
        The request.
    writer : AnswerWriter
        Where its answer goes.
    """

    context: IngressContext
    request: RoutedRequest
    writer: AnswerWriter
    retry_after_s: float = RETRY_AFTER_S
    gone: bool = False
    is_counted: bool = False
    is_quarantined: bool = False
    is_probe: bool = False
    task: asyncio.Task | None = None

    def __post_init__(self) -> None:
        route = self.request.route
        # The VM that handed it over counts the attempts: with two counts, a
        # request runs on more upstreams than its route allows.
        attempts = 1 if self.request.handed_over else route.attempts
        self.progress = Progress(
            route.repeatable,
            attempts,
            arrivals=int(self.request.repeat),
        )
        self.account = RequestAccount(self.request)
        self.sender = Sender(
            self.context,
            self.request,
            self.writer,
            self.progress,
            self.account,
        )

    async def run(self) -> None:
        """Serve the request; raise where the caller went away."""
        channel = self.writer.channel
        if channel.ended:
            raise ConnectionResetError('the caller is gone')
        self.task = asyncio.current_task()
        now_s = self.context.timer.now()
        self.account.note_stage(Stage.admitted, now_s)
        channel.on_lost = self.lose_caller
        try:
            step = await self.decide()
            channel.on_lost = None
            await self.carry_out(step)
        except asyncio.CancelledError:
            if not self.gone:
                raise
            self.task.uncancel()
            self.close_account('caller gone')
            raise ConnectionResetError('the caller is gone') from None
        finally:
            channel.on_lost = None

    def lose_caller(self) -> None:
        """Stop work that nobody waits for."""
        self.gone = True
        self.task.cancel()

    async def decide(self) -> Step:
        """Make attempts until one step ends the request."""
        remaining_s = self.request.remaining_s(self.context.timer.now())
        try:
            async with asyncio.timeout(max(0.0, remaining_s - MARGIN_S)):
                return await self.make_attempts()
        except TimeoutError:
            under_way = self.sender.under_way
            return self.progress.pass_deadline(under_way=under_way)
        finally:
            if self.is_probe:
                self.context.quarantine.end_probe(self.request.fingerprint)

    async def make_attempts(self) -> Step:
        """Choose and send until an attempt settles the request."""
        step: Step = Again()
        while isinstance(step, Again):
            step = self.quarantine_step() or await self.make_attempt()
        return step

    async def make_attempt(self) -> Step:
        """Choose and send once; return what to do next."""
        choice = await self.choose_with_news()
        self.account.note_stage(Stage.placed, self.context.timer.now())
        if isinstance(choice, NoPlace):
            return self.refuse(choice)
        if isinstance(choice, Limited):
            return self.refuse_limited(choice)
        refusal = self.authority_refusal()
        if refusal is not None:
            return refusal
        outcome = await self.sender.send(choice)
        await self.record_outcome(choice, outcome)
        now_s = self.context.timer.now()
        return self.progress.take(outcome, self.request.remaining_s(now_s))

    async def record_outcome(
        self,
        choice: SendHere | HandOver,
        outcome: AttemptOutcome,
    ) -> None:
        """Note what an attempt shows of the request's next one.

        One that was lost before is sent again only once it is known whether
        its upstream ended: that may be the last end before it is suspected.
        """
        self.is_counted = isinstance(outcome, NotRun)
        if isinstance(outcome, NotRun) and outcome.is_final:
            self.retry_after_s = self.context.quarantine.length_s
        table = self.context.quarantine.table
        is_lost = isinstance(outcome, Lost)
        if is_lost and table.has_losses(self.request.fingerprint):
            await self.context.witness.settled(place_of(choice))

    def quarantine_step(self) -> Step | None:
        """Return the last step of a request that must not be sent.

        One that is merely suspected is not sent again by this system: the
        next upstream that ends would be the third.
        """
        quarantine = self.context.quarantine
        if not quarantine.knows_length(len(self.request.http.body)):
            return None
        fingerprint = self.request.fingerprint
        assessment = quarantine.assessment(fingerprint, is_probe=self.is_probe)
        if assessment.status is QuarantineStatus.clear:
            return None
        if assessment.status is QuarantineStatus.quarantined:
            self.retry_after_s = assessment.wait_s
            self.is_quarantined = True
            self.context.metrics.count(
                'quarantine_refused_total',
                service=self.request.service.name,
            )
            return self.progress.keep_back(assessment.reason)
        if self.progress.runs:
            self.progress.reasons.append(assessment.reason)
            return self.progress.give_up()
        if assessment.status is QuarantineStatus.on_probation:
            self.is_probe = True
            quarantine.begin_probe(fingerprint)
        return None

    async def choose_with_news(self) -> Choice:
        """Return where the request goes, perhaps after the next news."""
        choice = await self.choose()
        for _ in range(NEWS_WAITS):
            if not self.may_wait_for_news(choice):
                break
            await asyncio.sleep(NEWS_WAIT_S)
            choice = await self.choose()
        return choice

    def may_wait_for_news(self, choice: Choice) -> bool:
        """Tell whether no upstream is known since the VM is young."""
        nowhere = isinstance(choice, NoPlace) and not choice.overloaded
        return nowhere and self.context.watch.is_warming_up

    async def choose(self) -> Choice:
        """Return where the request goes now, its budgets spent."""
        while True:
            choice = await self.ask_picker()
            if choice is None:
                choice = self.choose_alone()
                self.note_counted(choice)
            age_s = self.context.watch.age_s()
            self.account.note_choice(choice, age_s)
            if isinstance(choice, (NoPlace, Limited)):
                return choice
            if not self.may_repeat():
                self.progress.reasons.append('the retry budget is spent')
                return NoPlace(overloaded=True, retry_after_s=RETRY_AFTER_S)
            if isinstance(choice, HandOver) or self.may_send(choice):
                return choice
            self.sender.excluded.add(choice.upstream.announcement.incarnation)

    async def ask_picker(self) -> Choice | None:
        """Return the picker's choice; None where this VM must choose.

        A picker may lag behind what this VM knows of upstreams that leave and
        of the configuration in force; such a place is not used.
        """
        for _ in range(MOST_QUESTIONS):
            choice = await self.context.picker.request_destination(
                self.question()
            )
            self.note_counted(choice)
            if choice is None or self.is_sound(choice):
                return choice
            self.exclude(choice)
        return None

    def question(self) -> DestinationRequest:
        """Return what the picker is asked."""
        request = self.request
        now_s = self.context.timer.now()
        service = request.service.name
        avoided = self.context.neighbours.avoided_for(service, now_s)
        return DestinationRequest(
            entry=self.context.settings.name,
            request=request.id,
            host=request.route.host,
            path_prefix=request.route.path_prefix,
            service=service,
            demand=self.demand(),
            remaining_s=request.remaining_s(now_s),
            excluded=frozenset(self.sender.excluded) | avoided,
            local=request.handed_over,
            organisation=request.organisation_name,
            cost=self.cost(),
        )

    def note_counted(self, choice: Choice | None) -> None:
        """Note that a place was counted in the organisation's limit."""
        if isinstance(choice, (SendHere, HandOver)):
            self.is_counted = True

    def cost(self) -> float:
        """Return what one more sending counts for in the limit.

        What was given a place and has not run yet is counted already: a
        refusal of another region or a full upstream would else take the
        limit's units for nothing, twice or more for one request.
        """
        return 0.0 if self.is_counted else self.request.cost

    def is_sound(self, choice: Choice) -> bool:
        """Tell whether a picker's choice fits all that this VM knows."""
        match choice:
            case SendHere(upstream=upstream):
                return self.is_usable(upstream)
            case HandOver(entry=entry):
                homes = self.request.route.homes
                return not homes or entry.region in homes
        return True

    def is_usable(self, upstream: UpstreamSeen) -> bool:
        """Tell whether an upstream may get the request, by what is known here.

        What this VM has heard from any control VM holds: that an upstream
        leaves, that its start is over, that its failure domain is evacuated.
        """
        told = upstream.announcement
        homes = self.request.route.homes
        known = self.context.watch.view().upstreams.get(
            told.incarnation, upstream
        )
        leaves = known.announcement.draining or self.context.watch.has_ended(
            told
        )
        is_home = not homes or self.context.settings.region in homes
        evacuated = self.context.active_revision().revision.evacuated
        is_evacuated = told.failure_domain in evacuated
        return is_home and not leaves and not is_evacuated

    def exclude(self, choice: SendHere | HandOver) -> None:
        """Ask for another place than this one."""
        match choice:
            case SendHere(upstream=upstream):
                self.sender.excluded.add(upstream.announcement.incarnation)
            case HandOver(entry=entry):
                self.sender.excluded.add(entry.region)

    def demand(self) -> Demand:
        """Return what the request asks of an upstream."""
        prompt = self.request.prompt
        return Demand(
            prompt.prompt_tokens,
            prompt.shared_tokens,
            prompt.shared_key,
            urgent=not self.request.route.rank,
            objective_s=self.request.route.objective_s,
        )

    def choose_alone(self) -> Choice:
        """Return this VM's own choice, within its own part of limits."""
        limits = self.context.picker.reports.limits
        name, cost = self.request.organisation_name, self.cost()
        is_limited = name and not self.request.handed_over
        now_s = self.context.timer.now()
        if is_limited:
            status = self.context.limit_standing()
            wait_s = limits.wait_s(name, cost, status, now_s)
            if wait_s:
                return Limited(wait_s)
        choice = self.choose_alone_unlimited()
        if is_limited and not isinstance(choice, NoPlace):
            limits.charge(name, cost, now_s)
        return choice

    def choose_alone_unlimited(self) -> Choice:
        """Return this VM's own choice on what is known now."""
        request = self.request
        now_s = self.context.timer.now()
        ask = ChoiceRequest(
            route=request.route,
            service=request.service,
            demand=self.demand(),
            remaining_s=request.remaining_s(now_s),
            now_s=now_s,
            excluded=frozenset(self.sender.excluded),
            local=request.handed_over,
            low_urgency_regions=request.low_urgency_regions,
            holders=self.context.watch.prefixes.holders(
                request.prompt.shared_key,
                now_s,
            ),
            entry=self.context.settings.name,
        )
        view = self.context.watch.view()
        revision = self.context.active_revision().revision
        return self.context.chooser.choose(ask, view, revision)

    def may_repeat(self) -> bool:
        """Take one repeat from the budget where an upstream had it before."""
        if not self.progress.arrivals:
            return True
        window = self.context.budgets.retry_window(self.request.service.name)
        now_s = self.context.timer.now()
        if window.spend(now_s, self.context.neighbours.count()):
            return True
        self.context.metrics.count('ingress_retries_denied_total')
        return False

    def may_send(self, choice: SendHere) -> bool:
        """Take one request from a cold upstream's budget."""
        cold = self.request.service.cold_start
        if choice.chosen_by_picker or not choice.is_cold or cold is None:
            return True
        return self.context.budgets.cold.spend(
            choice.upstream.announcement.incarnation,
            cold.requests_per_s,
            self.context.cold_share(),
            self.context.timer.now(),
        )

    def refuse(self, choice: NoPlace) -> Step:
        """Return the last step of a request that has no place."""
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

    def authority_refusal(self) -> Step | None:
        """Return the last step of a request whose key holds no more."""
        active_revision = self.context.active_revision()
        kind = self.context.authorizer.refusal(self.request, active_revision)
        return None if kind is None else self.refuse_as(kind)

    def refuse_as(self, kind: ProblemKind) -> Step:
        """Return the last step of a request that may not be sent."""
        step = self.progress.give_up()
        is_refused = isinstance(step, RefuseWith)
        if is_refused and step.outcome is Outcome.not_run:
            detail = ', '.join(self.progress.reasons) or kind.title
            return RefuseWith(kind, detail, Outcome.not_run)
        return step

    async def carry_out(self, step: Step) -> None:
        """Send the caller the end of its answer."""
        match step:
            case Deliver(answer):
                self.account.record_first_try(self.context.timer.now())
                self.close_account(f'answered {answer.status}')
                await self.writer.whole(answer)
            case Finish():
                self.close_account('streamed')
                await self.writer.finish()
            case BreakOff():
                self.close_account('broken off')
                self.writer.break_off()
                raise ConnectionResetError('an answer was broken off')
            case RefuseWith(kind, detail, outcome):
                self.close_account(f'refused {kind.slug} {outcome.value}')
                problem = Problem(kind, detail, outcome)
                await self.writer.whole(self.render(problem))

    def render(self, problem: Problem) -> WholeAnswer:
        """Return a refusal; one that did not run says when to come back."""
        answer = render_problem(problem)
        if problem.outcome is not Outcome.not_run:
            return answer
        extra = [(b'retry-after', b'%.3f' % self.retry_after_s)]
        if self.request.handed_over and self.progress.arrivals:
            extra.append((ARRIVED_HEADER, b'true'))
        if self.request.handed_over and self.is_quarantined:
            extra.append((QUARANTINED_HEADER, b'true'))
        return WholeAnswer(
            answer.status,
            (*answer.headers, *extra),
            answer.body,
        )

    def close_account(self, ending: str) -> None:
        """Log and count how the request ended, and by which decisions."""
        self.account.close(
            ending,
            self.progress,
            self.context.active_revision().revision.revision,
            self.context.metrics,
            self.context.timer.now(),
        )
