"""The life of one request: choose, send, and choose again where allowed."""

import asyncio
import itertools
from dataclasses import dataclass, field

from godwitshunt.exchange.problems import (
    Outcome,
    Problem,
    ProblemKind,
    WholeAnswer,
    render_problem,
)
from godwitshunt.exchange.requests import AnswerWriter
from godwitshunt.exchange.upstream_pool import OutgoingRequest
from godwitshunt.ingress.attempt import (
    ARRIVED_HEADER,
    Attempt,
    Patience,
)
from godwitshunt.ingress.choosing import Ask, HandOver, NoPlace, SendHere
from godwitshunt.ingress.events import NumberedEvents
from godwitshunt.ingress.headers import for_upstream
from godwitshunt.ingress.hops import hop_request, host_of
from godwitshunt.ingress.outcomes import (
    NO_ATTEMPT,
    Again,
    Answered,
    AttemptOutcome,
    BreakOff,
    Deliver,
    Failed,
    Finish,
    Lost,
    NotRun,
    Progress,
    RefuseWith,
    Step,
    Streamed,
)
from godwitshunt.ingress.parts import IngressParts
from godwitshunt.ingress.requests import RoutedRequest
from godwitshunt.ingress.upstreams import of_service
from godwitshunt.registry import Load
from godwitshunt.routing.outliers import Answered as AnsweredInTime
from godwitshunt.routing.outliers import Failed as FailedAttempt
from godwitshunt.routing.selection import Demand
from godwitshunt.routing.upstream_health import DOWN_S, FULL_S
from godwitshunt.telemetry import log_change

# Upstreams of the region are a millisecond away; one that takes no connection
# within this is dark, and another one can still answer in time.
CONNECT_TIMEOUT_S = 0.3
# A connection that was idle for longer is not used for what runs once: its
# other end may have closed it, or be dark, and then nobody knows what ran.
ONCE_IDLE_S = 0.5
REPEATABLE_IDLE_S = 4.0
# A repeatable request is tried elsewhere once it has waited for this, or for
# several times its prediction. An engine that is merely busy must not be given
# up: the prompt would be read once more elsewhere.
LEAST_PATIENCE_S = 2.0
PLAIN_PATIENCE_S = 0.25
PATIENCE_RATIO = 4.0
# Silence within a resumable stream after which it goes on elsewhere. Streams
# of less urgent requests pause for long where an engine is full; their callers
# give up after four times the objective.
GAP_PATIENCE_S = 2.2
HOP_EXTRA_S = 0.6
# VMs tell each half second that they work on what was handed to them.
SIGN_OF_LIFE_S = 0.5
HOP_SILENCE_S = 1.7
AVOID_VM_S = 1.0
AVOID_REGION_S = 0.5
# Time that an answer needs on its way back.
MARGIN_S = 0.02
RETRY_AFTER_S = 0.3

numbers = itertools.count(1)


@dataclass
class RequestLife:
    """One request, from its admission to its end.

    Parameters
    ----------
    parts : IngressParts
        What every request is served with.
    request : RoutedRequest
        The request.
    writer : AnswerWriter
        Where its answer goes.
    """

    parts: IngressParts
    request: RoutedRequest
    writer: AnswerWriter
    excluded: set[str] = field(default_factory=set)
    places: list[str] = field(default_factory=list)
    retry_after_s: float = RETRY_AFTER_S
    under_way: bool = False
    gone: bool = False
    first_s: float | None = None
    choices: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        route = self.request.route
        self.progress = Progress(route.repeatable, route.attempts)
        self.progress.arrivals = int(self.request.repeat)
        self.events = NumberedEvents(last_id=self.request.resume_after)

    async def run(self) -> None:
        """Serve the request; raise where the caller went away."""
        task = asyncio.current_task()
        channel = self.writer.channel

        def lose_caller() -> None:
            self.gone = True
            task.cancel()

        if channel.ended:
            raise ConnectionResetError('the caller is gone')
        channel.on_lost = lose_caller
        try:
            step = await self.decide()
            channel.on_lost = None
            await self.carry_out(step)
        except asyncio.CancelledError:
            if not self.gone:
                raise
            task.uncancel()
            self.log_end('caller gone')
            raise ConnectionResetError('the caller is gone') from None
        finally:
            channel.on_lost = None

    async def decide(self) -> Step:
        """Make attempts until one step ends the request."""
        remaining_s = self.request.remaining_s(self.parts.timer.now())
        try:
            async with asyncio.timeout(max(0.0, remaining_s - MARGIN_S)):
                return await self.make_attempts()
        except TimeoutError:
            return self.progress.pass_deadline(under_way=self.under_way)

    async def make_attempts(self) -> Step:
        """Choose and send until an attempt settles the request."""
        step: Step = Again()
        while isinstance(step, Again):
            choice = self.choose()
            if isinstance(choice, NoPlace):
                return self.refuse(choice)
            outcome = await self.attempt(choice)
            now_s = self.parts.timer.now()
            step = self.progress.take(outcome, self.request.remaining_s(now_s))
        return step

    def choose(self) -> SendHere | HandOver | NoPlace:
        """Return where the request goes now, its budgets spent."""
        while True:
            choice = self.choose_once()
            self.note_choice(choice)
            if isinstance(choice, NoPlace):
                return choice
            if not self.may_repeat():
                return NoPlace(overloaded=True, retry_after_s=RETRY_AFTER_S)
            if isinstance(choice, HandOver) or self.may_send(choice):
                return choice
            self.excluded.add(choice.seen.told.instance)

    def choose_once(self) -> SendHere | HandOver | NoPlace:
        """Return the chooser's choice on what is known now."""
        parts = self.parts
        request = self.request
        prompt = request.prompt
        now_s = parts.timer.now()
        ask = Ask(
            route=request.route,
            service=request.service,
            demand=Demand(
                prompt.prompt_tokens,
                prompt.shared_tokens,
                prompt.shared_key,
                urgent=not request.route.rank,
            ),
            remaining_s=request.remaining_s(now_s),
            now_s=now_s,
            excluded=frozenset(self.excluded),
            local=request.handed_over,
            quiet_regions=request.quiet_regions,
        )
        return parts.chooser.choose(ask, parts.watch.view(), parts.revision())

    def note_choice(self, choice: SendHere | HandOver | NoPlace) -> None:
        """Remember what was chosen, and from what, for the log."""
        told = [
            f'{one.candidate.instance}@{one.candidate.region}'
            f'={one.predicted_s:.3f}s/{one.cost_s:.3f}'
            f'/{one.candidate.in_flight}'
            for one in choice.ranked
        ]
        match choice:
            case SendHere(seen=seen):
                place = seen.told.instance
            case HandOver(entry=entry):
                place = f'{entry.region}/{entry.name}'
            case NoPlace(overloaded=overloaded):
                place = 'overloaded' if overloaded else 'no upstream'
        self.choices.append(f'{place} of {" ".join(told) or "none"}')

    def may_repeat(self) -> bool:
        """Take one repeat from the budget where an upstream had it before."""
        if not self.progress.arrivals:
            return True
        window = self.parts.budgets.retry_window(self.request.service.name)
        now_s = self.parts.timer.now()
        if window.spend(now_s, self.parts.neighbours.count()):
            return True
        self.parts.metrics.count('ingress_retries_denied_total')
        return False

    def may_send(self, choice: SendHere) -> bool:
        """Take one request from a cold upstream's budget."""
        cold = self.request.service.cold_start
        if not choice.is_cold or cold is None:
            return True
        return self.parts.budgets.cold.spend(
            choice.seen.told.instance,
            cold.requests_per_s,
            self.parts.neighbours.count_here(),
            self.parts.timer.now(),
        )

    async def attempt(self, choice: SendHere | HandOver) -> AttemptOutcome:
        """Send the request where it was chosen to go."""
        match choice:
            case SendHere():
                return await self.send_here(choice)
            case HandOver():
                return await self.hand_over(choice)

    async def send_here(self, choice: SendHere) -> AttemptOutcome:
        """Send the request to an upstream of this region."""
        parts = self.parts
        request = self.request
        told = choice.seen.told
        health = parts.upstreams.of(told.instance)
        tokens = request.prompt.prompt_tokens
        number = next(numbers)
        sent_s = parts.timer.now()
        if not self.progress.arrivals:
            window = parts.budgets.retry_window(request.service.name)
            window.note_first(sent_s)
        health.begin(number, tokens, sent_s)
        parts.upstreams.note_sent(request.service.name, told.instance)
        shown: list[float] = []

        def on_life() -> None:
            now_s = parts.timer.now()
            health.show_life(number, tokens, now_s)
            if not shown:
                shown.append(now_s)

        attempt = self.make_attempt(
            told.address,
            self.upstream_request(told.instance),
            self.patience(choice.predicted_s),
            on_life,
        )
        outcome: AttemptOutcome | None = None
        try:
            self.under_way = True
            outcome = await attempt.run(parts.pool, self.writer)
            self.under_way = False
            return outcome
        finally:
            health.end(number, tokens)
            first_s = shown[0] - sent_s if shown else None
            self.learn(choice, attempt, outcome, first_s, sent_s)

    def make_attempt(
        self,
        address: object,
        outgoing: OutgoingRequest,
        patience: Patience,
        on_life: object,
        *,
        from_vm: bool = False,
    ) -> Attempt:
        """Return an attempt; a stream that began goes on where it stands."""
        if self.progress.begun:
            self.events.resume()
        return Attempt(
            names=self.parts.names,
            address=address,
            outgoing=outgoing,
            events=self.events,
            patience=patience,
            answer_bytes=self.parts.settings.limits.answer_bytes,
            on_life=on_life,
            on_begun=self.note_begun,
            from_vm=from_vm,
        )

    def note_begun(self) -> None:
        """Note that the head of a stream goes to the caller."""
        self.progress.begun = True
        self.note_first()

    def note_first(self) -> None:
        """Note when the caller gets the first of its answer."""
        if self.first_s is None:
            self.first_s = self.parts.timer.now() - self.request.arrived_s

    def patience(self, predicted_s: float) -> Patience:
        """Return how long one attempt is waited for."""
        more_left = self.progress.runs + 1 < self.request.route.attempts
        if not (self.request.route.repeatable and more_left):
            return Patience()
        least_s = LEAST_PATIENCE_S
        if self.request.service.engine is None:
            least_s = PLAIN_PATIENCE_S
        first_s = max(least_s, PATIENCE_RATIO * predicted_s)
        return Patience(first_s, GAP_PATIENCE_S)

    def upstream_request(self, instance: str) -> OutgoingRequest:
        """Return the request as an upstream gets it."""
        request = self.request
        now_s = self.parts.timer.now()
        after = request.resume_after
        if self.progress.begun:
            after = self.events.last_id
        repeatable = request.route.repeatable
        return OutgoingRequest(
            method=request.http.method,
            target=request.http.target,
            headers=for_upstream(
                request.headers,
                self.parts.names,
                instance,
                request.remaining_s(now_s) - MARGIN_S,
                request.urgency,
                after,
            ),
            body=request.http.body,
            request_id=request.id,
            longest_idle_s=REPEATABLE_IDLE_S if repeatable else ONCE_IDLE_S,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            host=host_of(request.http),
            id_header=self.parts.names.request_id,
            until_close=True,
            skips_others=True,
        )

    def learn(
        self,
        choice: SendHere,
        attempt: Attempt,
        outcome: AttemptOutcome | None,
        first_s: float | None,
        sent_s: float,
    ) -> None:
        """Learn of the upstream from what the attempt came to.

        Parameters
        ----------
        outcome : AttemptOutcome or None
            None where the caller went away, or the deadline passed.
        first_s : float or None
            Seconds until the first sign of an answer.
        """
        parts = self.parts
        told = choice.seen.told
        name = told.instance
        health = parts.upstreams.of(name)
        now_s = parts.timer.now()
        self.places.append(f'{name}:{type(outcome).__name__}')
        if attempt.misdirected:
            parts.watch.leave(name)
        if not attempt.connected and outcome is not None:
            health.down_until_s = now_s + DOWN_S
        if isinstance(outcome, NotRun):
            self.excluded.add(name)
            if outcome.arrived:
                health.full_until_s = now_s + FULL_S
        if isinstance(outcome, (Lost, Failed)):
            self.excluded.add(name)
        shown = first_s is not None and isinstance(
            outcome,
            (Answered, Streamed),
        )
        if shown:
            health.note_time(first_s, choice.predicted_s, now_s)
            self.learn_speed(first_s, now_s - sent_s, name)
            if self.request.prompt.shared_key is not None:
                health.note_parts(self.request.prompt.shared_key, now_s)
            # How late it was is learned by `note_time`; an upstream that is
            # slow since it is busy must not be left out, or the others would
            # have to bear its load, and be left out in their turn.
            in_time = AnsweredInTime(choice.predicted_s, choice.predicted_s)
            self.note_outcome(name, in_time, now_s)
        elif isinstance(outcome, (Lost, Failed)) or self.is_shedding(
            choice,
            outcome,
        ):
            self.note_outcome(name, FailedAttempt(), now_s)
        elif first_s is None and now_s - sent_s > LEAST_PATIENCE_S:
            self.note_outcome(name, FailedAttempt(), now_s)

    def is_shedding(
        self,
        choice: SendHere,
        outcome: AttemptOutcome | None,
    ) -> bool:
        """Tell whether an upstream turned a request away though it has room.

        A full one that turns requests away is sound; counted as failing, all
        upstreams of a busy region were left out by turns.
        """
        if not isinstance(outcome, NotRun) or not outcome.arrived:
            return False
        chosen = choice.seen.told
        load = self.parts.watch.view().loads.get(chosen.instance, Load())
        load += self.parts.upstreams.of(chosen.instance).load
        return load.in_flight < chosen.slots

    def learn_speed(self, first_s: float, run_s: float, name: str) -> None:
        """Learn what the service takes where nothing waited."""
        view = self.parts.watch.view()
        seen = view.upstreams.get(name)
        load = view.loads.get(name, Load())
        load += self.parts.upstreams.of(name).load
        if seen is not None and load.in_flight < seen.told.slots:
            learned = self.parts.upstreams.learned(self.request.service)
            learned.note(first_s, run_s)

    def note_outcome(self, name: str, seen: object, now_s: float) -> None:
        """Count what an attempt showed of an upstream."""
        service = self.request.service.name
        view = self.parts.watch.view()
        present = [one.told.instance for one in of_service(view, service)]
        self.parts.upstreams.note_outcome(service, name, seen, present, now_s)

    async def hand_over(self, choice: HandOver) -> AttemptOutcome:
        """Hand the request to an entry VM of another region."""
        parts = self.parts
        request = self.request
        entry = choice.entry
        now_s = parts.timer.now()
        after = request.resume_after
        if self.progress.begun:
            after = self.events.last_id
        outgoing = hop_request(
            request,
            entry,
            parts.settings,
            parts.cluster_key,
            parts.names,
            request.remaining_s(now_s) - MARGIN_S,
            after,
            repeat=bool(self.progress.arrivals),
        )
        patience = Patience()
        if request.route.repeatable:
            gap_s = GAP_PATIENCE_S + HOP_EXTRA_S
            patience = Patience(HOP_SILENCE_S, gap_s)
        attempt = self.make_attempt(
            entry.hop,
            outgoing,
            patience,
            lambda: None,
            from_vm=True,
        )
        self.under_way = True
        outcome = await attempt.run(parts.hops, self.writer)
        self.under_way = False
        self.learn_of_vm(choice, attempt, outcome)
        return outcome

    def learn_of_vm(
        self,
        choice: HandOver,
        attempt: Attempt,
        outcome: AttemptOutcome,
    ) -> None:
        """Learn of another VM and its region from a hand-over."""
        entry = choice.entry
        now_s = self.parts.timer.now()
        name = type(outcome).__name__
        self.places.append(f'{entry.region}/{entry.name}:{name}')
        neighbours = self.parts.neighbours
        if not attempt.connected or isinstance(outcome, Lost):
            self.excluded.add(entry.name)
            neighbours.avoid(entry.name, now_s + AVOID_VM_S)
        elif isinstance(outcome, NotRun):
            self.excluded.add(entry.region)
            if not outcome.arrived and NO_ATTEMPT in outcome.reason:
                place = f'{entry.region} {self.request.service.name}'
                neighbours.avoid(place, now_s + AVOID_REGION_S)

    def refuse(self, choice: NoPlace) -> Step:
        """Return the last step of a request that has no place."""
        self.retry_after_s = choice.retry_after_s
        step = self.progress.give_up()
        if isinstance(step, RefuseWith) and choice.overloaded:
            if step.outcome is Outcome.not_run:
                detail = ', '.join(self.progress.reasons) or 'no room in time'
                kind = ProblemKind.overloaded
                return RefuseWith(kind, detail, Outcome.not_run)
        return step

    async def carry_out(self, step: Step) -> None:
        """Send the caller the end of its answer."""
        match step:
            case Deliver(answer):
                self.note_first()
                self.log_end(f'answered {answer.status}')
                await self.writer.whole(answer)
            case Finish():
                self.log_end('streamed')
                await self.writer.finish()
            case BreakOff():
                self.log_end('broken off')
                self.writer.break_off()
                raise ConnectionResetError('an answer was broken off')
            case RefuseWith(kind, detail, outcome):
                self.log_end(f'refused {kind.slug} {outcome.value}')
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
        return WholeAnswer(
            answer.status,
            (*answer.headers, *extra),
            answer.body,
        )

    def log_end(self, ending: str) -> None:
        """Log and count how the request ended, and by which decisions."""
        request = self.request
        now_s = self.parts.timer.now()
        took_s = now_s - request.arrived_s
        route = request.route.name
        result = ending.split(' ', 1)[0]
        metrics = self.parts.metrics
        kind = request.route.kind.value
        metrics.count('ingress_requests_total', kind=kind, ending=ending)
        metrics.observe('ingress_request_seconds', took_s, kind=kind)
        if self.first_s is not None:
            metrics.observe('ingress_first_seconds', self.first_s, kind=kind)
        log_change(
            'ingress:request_ended',
            request=request.id,
            route=route,
            service=request.service.name,
            handed_over=request.handed_over,
            ending=ending,
            result=result,
            took_s=round(took_s, 4),
            first_s=None if self.first_s is None else round(self.first_s, 4),
            left_s=round(request.remaining_s(now_s), 3),
            choices=self.choices,
            attempts=self.places,
            reasons=self.progress.reasons,
            revision=self.parts.revision().revision,
        )
