"""Sending of requests to chosen destinations."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from godwitshunt.exchange.requests import AnswerWriter
from godwitshunt.exchange.upstream_messages import (
    AnswerHead,
    OutgoingRequest,
)
from godwitshunt.ingress.attempt import Attempt, ResponseTimeouts
from godwitshunt.ingress.context import IngressContext
from godwitshunt.ingress.events import NumberedEvents
from godwitshunt.ingress.feedback import AttemptFeedback, CompletedAttempt
from godwitshunt.ingress.headers import upstream_headers
from godwitshunt.ingress.hops import build_forward_request, host_header
from godwitshunt.ingress.outcomes import (
    Answered,
    AttemptOutcome,
    Failed,
    Lost,
    NotRun,
    Progress,
    Streamed,
)
from godwitshunt.ingress.path_monitor import WatchedAttempt
from godwitshunt.ingress.request_trace import RequestTrace, Stage
from godwitshunt.ingress.requests import (
    URGENCY_OF_FIRST_LEVEL,
    RoutedRequest,
)
from godwitshunt.picking.choices import (
    HandOver,
    SendHere,
)
from godwitshunt.registry import UpstreamAnnounced
from godwitshunt.registry.records import MemoryClaim
from godwitshunt.routing.engine_memory import memory_claim
from godwitshunt.routing.selection import Demand
from godwitshunt.routing.upstream_health import UpstreamHealth
from godwitshunt.routing.upstream_paths import Suspicion
from godwitshunt.settings import Address
from godwitshunt.timer import Timer

# The region's upstreams are a millisecond away. One that accepts no connection
# within this is unreachable, and another one can still answer in time.
CONNECT_TIMEOUT_S = 0.3
# Connections that were idle for longer are not used for non-repeatable
# requests. The other end may have closed them or be unreachable, and then it
# is unknown whether the request ran.
NON_REPEATABLE_IDLE_S = 0.5
REPEATABLE_IDLE_S = 4.0
# Where the upstream is known to be live, only its own idle time-out bounds the
# reuse: an entry VM with nine requests a second sends one to each of twenty
# engines each two seconds, and would open a connection for most of them.
LIVE_IDLE_S = 60.0
# A repeatable request is retried elsewhere after this, or after
# `TIMEOUT_RATIO` times its prediction if that is longer. A busy engine must
# not be given up: another one would process the prompt again.
ENGINE_TIMEOUT_S = 2.0
# Share of the objective after which another plain service can still answer in
# time.
PLAIN_TIMEOUT_SHARE = 0.6
TIMEOUT_RATIO = 4.0
# Pause within a resumable stream after which it is resumed elsewhere. Streams
# of less urgent requests pause for long at a full engine, and callers give up
# after four times the objective.
STREAM_GAP_TIMEOUT_S = 2.2
FORWARD_GAP_EXTRA_S = 0.6
# Period of the keepalives that VMs send while they serve a forwarded request.
KEEPALIVE_PERIOD_S = 0.5
FORWARD_TIMEOUT_S = 1.7
# Time for the answer to reach the caller.
RETURN_MARGIN_S = 0.02

attempt_numbers = itertools.count(1)


@dataclass
class AnswerActivity:
    """Activity of the answer to one attempt at an upstream."""

    health: UpstreamHealth
    number: int
    tokens: int
    timer: Timer
    on_first: Callable[[], None]
    first_at_s: float | None = None

    def record(self) -> None:
        """Record that bytes of the answer were received."""
        now_s = self.timer.now()
        if self.first_at_s is not None:
            self.health.last_seen_s = now_s
            return
        self.health.record_first_bytes(self.number, self.tokens, now_s)
        self.first_at_s = now_s
        self.on_first()


@dataclass
class Sender:
    """Makes the attempts of one request and reports their outcomes.

    Parameters
    ----------
    excluded : set of str
        Incarnations, VMs and regions that are not to be chosen again.
    silent : set of str
        Incarnations that were given up because they answered nothing.
    in_flight : bool
        True during an attempt.
    prompt_reader : str or None
        Incarnation that processes the prompt in the current attempt; None
        where another VM chooses it.
    watched : WatchedAttempt or None
        The current attempt, where it goes to an upstream.
    """

    context: IngressContext
    request: RoutedRequest
    writer: AnswerWriter
    progress: Progress
    trace: RequestTrace
    excluded: set[str] = field(default_factory=set)
    silent: set[str] = field(default_factory=set)
    in_flight: bool = False
    prompt_reader: str | None = None
    watched: WatchedAttempt | None = None

    def __post_init__(self) -> None:
        self.events = NumberedEvents(last_id=self.request.resume_after)
        self.feedback = AttemptFeedback(self.context, self.request)

    async def send(self, choice: SendHere | HandOver) -> AttemptOutcome:
        """Send the request to the chosen destination."""
        match choice:
            case SendHere():
                return await self.send_to_upstream(choice)
            case HandOver():
                return await self.forward(choice)

    async def send_to_upstream(self, choice: SendHere) -> AttemptOutcome:
        """Send the request to an upstream of this region."""
        context = self.context
        announcement = choice.upstream.announcement
        health = context.upstreams.health_of(announcement.incarnation)
        tokens = choice.unread_tokens
        activity = AnswerActivity(
            health,
            next(attempt_numbers),
            tokens,
            context.timer,
            context.picker.schedule_report,
        )
        sent_s = context.timer.now()
        health.begin(activity.number, tokens, sent_s, self.claim(choice))
        if choice.chosen_by_picker:
            context.picker.schedule_start_report()
        else:
            context.picker.schedule_report()
        context.upstreams.record_sent(
            self.request.service.name, announcement.incarnation
        )
        attempt = self.make_attempt(
            announcement.address,
            self.build_upstream_request(announcement),
            self.timeouts(choice.predicted_s),
            activity.record,
            on_head=partial(
                context.answer_headers.read,
                announcement,
                self.request.id,
                sent_s=sent_s,
            ),
        )
        self.prompt_reader = announcement.incarnation
        outcome: AttemptOutcome | None = None
        self.watch(choice, attempt)
        try:
            outcome = await self.run_attempt(attempt, announcement)
        finally:
            health.end(activity.number, tokens)
            self.report(choice, attempt, outcome, activity, sent_s)
        return outcome

    def watch(self, choice: SendHere, attempt: Attempt) -> None:
        """Let the path monitor watch an attempt at an upstream."""
        route = self.request.route
        runs = self.progress.runs + int(self.request.repeat)
        self.watched = WatchedAttempt(
            choice.upstream.announcement.incarnation,
            self.request.id,
            attempt,
            choice.predicted_s,
            may_repeat=route.repeatable and runs + 1 < route.attempts,
        )
        self.context.path_monitor.attempts.add(self.watched)

    def unwatch(self) -> None:
        """End the watch of the current attempt."""
        self.context.path_monitor.attempts.discard(self.watched)
        self.watched = None

    def claim(self, choice: SendHere) -> MemoryClaim:
        """Return what the request claims of its engine's memory."""
        prompt = self.request.prompt
        demand = Demand(
            prompt.prompt_tokens,
            prompt.shared_tokens,
            prompt.shared_key,
            reserved_tokens=choice.reserved_tokens,
        )
        return memory_claim(demand)

    def answer_tokens(self, outcome: AttemptOutcome | None) -> int | None:
        """Return the length of a complete stream; None if it is not known.

        Event ids begin at 1, also in a stream that was resumed.
        """
        engine = self.request.service.engine
        is_complete = isinstance(outcome, Streamed)
        if engine is None or not is_complete or not self.events.last_id:
            return None
        return self.events.last_id * engine.tokens_per_event

    def count_first_try(self, now_s: float) -> None:
        """Count a request in the retry window when it is first sent.

        An attempt that did not connect, here or at another VM, sent nothing.
        """
        if not self.progress.arrivals and not self.trace.first_tries:
            service = self.request.service.name
            self.context.budgets.retry_window(service).record_first_try(now_s)
            self.trace.first_tries += 1
            self.context.metrics.count(
                'ingress_first_tries_total', service=service
            )

    def report(
        self,
        choice: SendHere,
        attempt: Attempt,
        outcome: AttemptOutcome | None,
        activity: AnswerActivity,
        sent_s: float,
    ) -> None:
        """Report an attempt; exclude the upstream where it failed."""
        self.unwatch()
        self.context.picker.schedule_report()
        first_s = None
        if activity.first_at_s is not None:
            first_s = activity.first_at_s - sent_s
        took_s = self.context.timer.now() - sent_s
        completed = CompletedAttempt(
            choice,
            attempt,
            outcome,
            first_s,
            took_s,
            self.answer_tokens(outcome),
        )
        self.trace.record_attempt(completed.incarnation, outcome)
        if isinstance(outcome, (NotRun, Lost, Failed)):
            self.excluded.add(completed.incarnation)
        if completed.suspicion is Suspicion.silence:
            self.silent.add(completed.incarnation)
        self.feedback.report_upstream(completed)

    async def forward(self, choice: HandOver) -> AttemptOutcome:
        """Forward the request to another entry VM."""
        self.prompt_reader = None
        attempt = self.make_attempt(
            choice.entry.hop,
            self.build_forward_request(choice),
            self.forward_timeouts(),
            ignore_activity,
            on_head=ignore_head,
            is_forward=True,
        )
        sent_s = self.context.timer.now()
        outcome = await self.run_attempt(attempt)
        took_s = self.context.timer.now() - sent_s
        destination = f'{choice.entry.region}/{choice.entry.name}'
        self.trace.record_attempt(destination, outcome)
        failed = self.feedback.report_vm(choice, attempt, outcome, took_s)
        if failed is not None:
            self.excluded.add(failed)
        return outcome

    async def run_attempt(
        self,
        attempt: Attempt,
        announcement: UpstreamAnnounced | None = None,
    ) -> AttemptOutcome:
        """Run an attempt, with `in_flight` set until its outcome is known.

        Parameters
        ----------
        announcement : UpstreamAnnounced or None
            The upstream; None for another VM.
        """
        pool = self.context.hops if attempt.is_forward else self.context.pool
        self.in_flight = True
        outcome = await attempt.run(pool, self.writer)
        if announcement is not None and attempt.ends_with_connection:
            outcome = await self.confirm_end(outcome, announcement)
        self.in_flight = False
        return outcome

    async def confirm_end(
        self, outcome: AttemptOutcome, announcement: UpstreamAnnounced
    ) -> AttemptOutcome:
        """Return a loss if an answer ended because its upstream crashed.

        An upstream that is leaving may exit after its last answers.
        """
        if not isinstance(outcome, (Answered, Streamed, Failed)):
            return outcome
        crashed = await self.context.crash_detector.is_end_of_crash(
            announcement.incarnation, announcement.address
        )
        if crashed and not self.feedback.is_leaving(announcement):
            return Lost('ended with its upstream')
        return outcome

    def make_attempt(
        self,
        address: Address,
        outgoing: OutgoingRequest,
        timeouts: ResponseTimeouts,
        on_activity: Callable[[], None],
        *,
        on_head: Callable[[AnswerHead], None],
        is_forward: bool = False,
    ) -> Attempt:
        """Create an attempt; a stream that has begun is resumed."""
        self.events.resume()
        return Attempt(
            names=self.context.names,
            address=address,
            outgoing=outgoing,
            events=self.events,
            timeouts=timeouts,
            answer_bytes=self.context.settings.limits.answer_bytes,
            on_activity=partial(self.record_activity, on_activity),
            on_begun=self.record_begun,
            on_stage=self.record_stage,
            on_head=on_head,
            is_forward=is_forward,
        )

    def record_stage(self, stage: Stage) -> None:
        """Record that the request has reached a stage."""
        now_s = self.context.timer.now()
        self.trace.record_stage(stage, now_s)
        if stage is Stage.sent and self.watched is not None:
            self.watched.sent_s = now_s
            self.count_first_try(now_s)

    def record_activity(self, on_activity: Callable[[], None]) -> None:
        """Record activity and, in a stream that has begun, its gaps."""
        on_activity()
        if self.watched is not None:
            self.context.path_monitor.record_received()
        if self.progress.begun:
            self.trace.record_bytes(self.context.timer.now())

    def record_begun(self) -> None:
        """Record that the head of a stream is sent to the caller.

        At its first event an engine has processed the whole prompt and caches
        the shared parts for other requests.
        """
        self.progress.begun = True
        self.trace.record_answer_start(self.context.timer.now())
        prompt = self.request.prompt
        if self.prompt_reader is not None and prompt.is_worth_caching:
            self.context.watch.record_cached_prefix(
                prompt.shared_key, self.prompt_reader
            )

    def resume_after(self) -> int | None:
        """Return the id of the last event that the caller has received."""
        if self.progress.begun:
            return self.events.last_id
        return self.request.resume_after

    def remaining_s(self) -> float:
        """Return the seconds that an upstream may take."""
        return (
            self.request.remaining_s(self.context.timer.now()) - RETURN_MARGIN_S
        )

    def timeouts(self, predicted_s: float) -> ResponseTimeouts:
        """Return the timeouts of an attempt at an upstream."""
        route = self.request.route
        runs = self.progress.runs + int(self.request.repeat)
        if not route.repeatable or runs + 1 >= route.attempts:
            return ResponseTimeouts()
        min_s = ENGINE_TIMEOUT_S
        if self.request.service.engine is None:
            min_s = PLAIN_TIMEOUT_SHARE * route.objective_s
        first_s = max(min_s, TIMEOUT_RATIO * predicted_s)
        return ResponseTimeouts(first_s, STREAM_GAP_TIMEOUT_S)

    def forward_timeouts(self) -> ResponseTimeouts:
        """Return the timeouts of a forwarded attempt.

        A request that is not repeatable has none: after a timeout its answer
        would be lost, and it could not be sent again.
        """
        if not self.request.route.repeatable:
            return ResponseTimeouts()
        return ResponseTimeouts(
            FORWARD_TIMEOUT_S, STREAM_GAP_TIMEOUT_S + FORWARD_GAP_EXTRA_S
        )

    def build_upstream_request(
        self, announcement: UpstreamAnnounced
    ) -> OutgoingRequest:
        """Return the request as it is sent to an upstream."""
        request = self.request
        runs_once = not request.route.repeatable
        return OutgoingRequest(
            method=request.http.method,
            target=request.http.target,
            headers=upstream_headers(
                request.headers,
                self.context.names,
                announcement.instance,
                self.remaining_s(),
                self.urgency(),
                self.resume_after(),
                request.organisation_name,
            ),
            body=request.http.body,
            request_id=request.id,
            longest_idle_s=NON_REPEATABLE_IDLE_S
            if runs_once
            else REPEATABLE_IDLE_S,
            longest_live_idle_s=LIVE_IDLE_S,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            host=host_header(request.http),
            id_header=self.context.names.request_id,
            until_close=True,
            repeats_id=True,
            origin=announcement.incarnation,
        )

    def urgency(self) -> int:
        """Return the urgency that an upstream is told.

        It is the same for all requests to a scheduled service: the region's
        queue has decided the order, and an upstream must not preempt one.
        """
        if self.request.service.name in self.context.picker.scheduled:
            return URGENCY_OF_FIRST_LEVEL
        return self.request.urgency

    def build_forward_request(self, choice: HandOver) -> OutgoingRequest:
        """Return the request as it is sent to another entry VM."""
        return build_forward_request(
            self.request,
            choice,
            self.context,
            self.remaining_s(),
            self.resume_after(),
            repeat=bool(self.progress.arrivals),
        )


def ignore_activity() -> None:
    """Ignore keepalives of another VM."""


def ignore_head(head: AnswerHead) -> None:
    """Ignore the head of another VM's answer.

    What it states is of an upstream that this VM does not send requests to.
    """
