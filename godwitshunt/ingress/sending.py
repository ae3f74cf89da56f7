"""Sending a request where it was chosen to go."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from godwitshunt.exchange.requests import AnswerWriter
from godwitshunt.exchange.upstream_messages import (
    OutgoingRequest,
)
from godwitshunt.ingress.attempt import Attempt, Patience
from godwitshunt.ingress.context import IngressContext
from godwitshunt.ingress.events import NumberedEvents
from godwitshunt.ingress.feedback import Lessons, UpstreamAttempt
from godwitshunt.ingress.headers import for_upstream
from godwitshunt.ingress.hops import hop_request, host_of
from godwitshunt.ingress.outcomes import (
    AttemptOutcome,
    Failed,
    Lost,
    NotRun,
    Progress,
)
from godwitshunt.ingress.request_trace import RequestAccount, Stage
from godwitshunt.ingress.requests import RoutedRequest
from godwitshunt.picking.choices import (
    HandOver,
    SendHere,
)
from godwitshunt.registry import UpstreamAnnounced
from godwitshunt.routing.upstream_health import UpstreamHealth
from godwitshunt.settings import Address
from godwitshunt.timer import Timer

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
ENGINE_PATIENCE_S = 2.0
# In parts of the objective: at a plain service another one can still answer in
# time.
PLAIN_PATIENCE_SHARE = 0.6
PATIENCE_RATIO = 4.0
# Silence within a resumable stream after which it goes on elsewhere. Streams
# of less urgent requests pause for long where an engine is full; their callers
# give up after four times the objective.
GAP_PATIENCE_S = 2.2
HOP_EXTRA_S = 0.6
# VMs tell each half second that they work on what was handed to them.
SIGN_OF_LIFE_S = 0.5
HOP_SILENCE_S = 1.7
# Time that an answer needs on its way back.
MARGIN_S = 0.02

numbers = itertools.count(1)


@dataclass
class SignsOfLife:
    """What an upstream has shown of one request's answer."""

    health: UpstreamHealth
    number: int
    tokens: int
    timer: Timer
    on_first: Callable[[], None]
    first_at_s: float | None = None

    def note(self) -> None:
        """Note that bytes of the answer came."""
        now_s = self.timer.now()
        self.health.record_first_bytes(self.number, self.tokens, now_s)
        if self.first_at_s is None:
            self.first_at_s = now_s
            self.on_first()


@dataclass
class Sender:
    """Makes the attempts of one request, and learns from each.

    Parameters
    ----------
    excluded : set of str
        Incarnations, VMs and regions that failed this request.
    under_way : bool
        True while an attempt is.
    reader : str or None
        Incarnation that reads the prompt in the attempt under way; None where
        another VM chooses it.
    """

    context: IngressContext
    request: RoutedRequest
    writer: AnswerWriter
    progress: Progress
    account: RequestAccount
    excluded: set[str] = field(default_factory=set)
    under_way: bool = False
    reader: str | None = None

    def __post_init__(self) -> None:
        self.events = NumberedEvents(last_id=self.request.resume_after)
        self.lessons = Lessons(self.context, self.request)

    async def send(self, choice: SendHere | HandOver) -> AttemptOutcome:
        """Send the request where it was chosen to go."""
        match choice:
            case SendHere():
                return await self.send_here(choice)
            case HandOver():
                return await self.hand_over(choice)

    async def send_here(self, choice: SendHere) -> AttemptOutcome:
        """Send the request to an upstream of this region."""
        context = self.context
        told = choice.upstream.announcement
        health = context.upstreams.health_of(told.incarnation)
        tokens = choice.unread_tokens
        signs = SignsOfLife(
            health,
            next(numbers),
            tokens,
            context.timer,
            context.picker.schedule_report,
        )
        sent_s = context.timer.now()
        self.note_first_try(sent_s)
        health.begin(signs.number, tokens, sent_s)
        context.picker.schedule_report()
        context.upstreams.record_sent(
            self.request.service.name, told.incarnation
        )
        attempt = self.make_attempt(
            told.address,
            self.upstream_request(told),
            self.patience(choice.predicted_s),
            signs.note,
        )
        self.reader = told.incarnation
        outcome: AttemptOutcome | None = None
        try:
            outcome = await self.make(attempt)
        finally:
            health.end(signs.number, tokens)
            self.learn(choice, attempt, outcome, signs, sent_s)
        return outcome

    def note_first_try(self, now_s: float) -> None:
        """Count a request that no upstream has had, for the retry budget."""
        if not self.progress.arrivals:
            service = self.request.service.name
            self.context.budgets.retry_window(service).record_first_try(now_s)

    def learn(
        self,
        choice: SendHere,
        attempt: Attempt,
        outcome: AttemptOutcome | None,
        signs: SignsOfLife,
        sent_s: float,
    ) -> None:
        """Learn of the upstream; do not choose it again where it failed."""
        self.context.picker.schedule_report()
        first_s = None
        if signs.first_at_s is not None:
            first_s = signs.first_at_s - sent_s
        took_s = self.context.timer.now() - sent_s
        made = UpstreamAttempt(choice, attempt, outcome, first_s, took_s)
        self.account.note_attempt(made.instance, outcome)
        if isinstance(outcome, (NotRun, Lost, Failed)):
            self.excluded.add(made.instance)
        self.lessons.of_upstream(made)

    async def hand_over(self, choice: HandOver) -> AttemptOutcome:
        """Hand the request to an entry VM of another region."""
        self.reader = None
        attempt = self.make_attempt(
            choice.entry.hop,
            self.hop_request(choice),
            self.hop_patience(),
            ignore,
            from_vm=True,
        )
        sent_s = self.context.timer.now()
        outcome = await self.make(attempt)
        took_s = self.context.timer.now() - sent_s
        place = f'{choice.entry.region}/{choice.entry.name}'
        self.account.note_attempt(place, outcome)
        failed = self.lessons.of_vm(choice, attempt, outcome, took_s)
        if failed is not None:
            self.excluded.add(failed)
        return outcome

    async def make(self, attempt: Attempt) -> AttemptOutcome:
        """Make an attempt; while it is under way, its outcome is unknown."""
        pool = self.context.hops if attempt.from_vm else self.context.pool
        self.under_way = True
        outcome = await attempt.run(pool, self.writer)
        self.under_way = False
        return outcome

    def make_attempt(
        self,
        address: Address,
        outgoing: OutgoingRequest,
        patience: Patience,
        on_life: Callable[[], None],
        *,
        from_vm: bool = False,
    ) -> Attempt:
        """Return an attempt; a stream that began goes on where it stands."""
        if self.progress.begun:
            self.events.resume()
        return Attempt(
            names=self.context.names,
            address=address,
            outgoing=outgoing,
            events=self.events,
            patience=patience,
            answer_bytes=self.context.settings.limits.answer_bytes,
            on_life=partial(self.note_life, on_life),
            on_begun=self.note_begun,
            on_stage=self.note_stage,
            from_vm=from_vm,
        )

    def note_stage(self, stage: Stage) -> None:
        """Note how far the request has come."""
        self.account.note_stage(stage, self.context.timer.now())

    def note_life(self, on_life: Callable[[], None]) -> None:
        """Note that something came, of a stream that the caller gets, too."""
        on_life()
        if self.progress.begun:
            self.account.note_bytes(self.context.timer.now())

    def note_begun(self) -> None:
        """Note that the head of a stream goes to the caller.

        With its first event an engine has read the whole prompt, and keeps
        the shared parts for the next request that has them.
        """
        self.progress.begun = True
        self.account.record_first_try(self.context.timer.now())
        prompt = self.request.prompt
        if self.reader is not None and prompt.worth_keeping:
            self.context.watch.record_cached_prefix(
                prompt.shared_key, self.reader
            )

    def resume_after(self) -> int | None:
        """Return the id of the last event that the caller has."""
        if self.progress.begun:
            return self.events.last_id
        return self.request.resume_after

    def remaining_s(self) -> float:
        """Return the seconds that an upstream may take."""
        return self.request.remaining_s(self.context.timer.now()) - MARGIN_S

    def patience(self, predicted_s: float) -> Patience:
        """Return how long an attempt at an upstream is waited for."""
        route = self.request.route
        runs = self.progress.runs + int(self.request.repeat)
        if not route.repeatable or runs + 1 >= route.attempts:
            return Patience()
        least_s = ENGINE_PATIENCE_S
        if self.request.service.engine is None:
            least_s = PLAIN_PATIENCE_SHARE * route.objective_s
        first_s = max(least_s, PATIENCE_RATIO * predicted_s)
        return Patience(first_s, GAP_PATIENCE_S)

    def hop_patience(self) -> Patience:
        """Return how long another VM is waited for.

        A call that may not be repeated waits on: given up, its answer would
        be lost with no other try allowed.
        """
        if not self.request.route.repeatable:
            return Patience()
        return Patience(HOP_SILENCE_S, GAP_PATIENCE_S + HOP_EXTRA_S)

    def upstream_request(self, told: UpstreamAnnounced) -> OutgoingRequest:
        """Return the request as an upstream gets it."""
        request = self.request
        once = not request.route.repeatable
        return OutgoingRequest(
            method=request.http.method,
            target=request.http.target,
            headers=for_upstream(
                request.headers,
                self.context.names,
                told.instance,
                self.remaining_s(),
                request.urgency,
                self.resume_after(),
                request.organisation_name,
            ),
            body=request.http.body,
            request_id=request.id,
            longest_idle_s=ONCE_IDLE_S if once else REPEATABLE_IDLE_S,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            host=host_of(request.http),
            id_header=self.context.names.request_id,
            until_close=True,
            skips_others=True,
            origin=told.incarnation,
        )

    def hop_request(self, choice: HandOver) -> OutgoingRequest:
        """Return the request as another entry VM gets it."""
        return hop_request(
            self.request,
            choice.entry,
            self.context,
            self.remaining_s(),
            self.resume_after(),
            repeat=bool(self.progress.arrivals),
        )


def ignore() -> None:
    """Take no note of another VM's signs of life."""
