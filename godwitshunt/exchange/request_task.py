"""The task of one request: carries out what the state machine decides."""

import asyncio
from collections.abc import Coroutine
from contextlib import suppress
from dataclasses import replace
from typing import Any

from godwitshunt.claims.messages import StoredAnswer
from godwitshunt.exchange import messages as msg
from godwitshunt.exchange.admission import AdmittedRequest
from godwitshunt.exchange.attempts import Attempt
from godwitshunt.exchange.forwarding import request_digest
from godwitshunt.exchange.health import AttemptHealth
from godwitshunt.exchange.lifecycle import advance
from godwitshunt.exchange.parts import RequestParts
from godwitshunt.exchange.problems import (
    Problem,
    WholeAnswer,
    render_problem,
)
from godwitshunt.exchange.queueing import BEHIND_WAIT_S, QueuePlace
from godwitshunt.exchange.requests import AnswerWriter
from godwitshunt.exchange.residency import check_decision, newest_route
from godwitshunt.exchange.states import RequestState
from godwitshunt.exchange.targets import forward_attempt, upstream_attempt
from godwitshunt.routing.messages import (
    Decision,
    Forward,
    RefusalReason,
    Refuse,
    Serve,
    Wait,
)

KEPT_HEADER = (b'godwitshunt-kept', b'true')


class RequestTask:
    """One request from its admission to its end.

    Parameters
    ----------
    parts : RequestParts
        What every request's task works with.
    admitted : AdmittedRequest
        The request.
    writer : AnswerWriter
        Where its answer goes.
    """

    def __init__(
        self,
        parts: RequestParts,
        admitted: AdmittedRequest,
        writer: AnswerWriter,
    ) -> None:
        self.parts = parts
        self.admitted = admitted
        self.writer = writer
        self.started_s = parts.ports.timer.now()
        self.state = RequestState(
            admitted.facts,
            delivered=admitted.resume_offset,
        )
        self.place = QueuePlace(
            parts.ports.queue,
            self.started_s,
            self.started_s + admitted.deadline_s,
        )
        self.health = AttemptHealth(parts.ports)
        self.attempt: Attempt | None = None
        self.operation: asyncio.Task[msg.Event] | None = None
        self.interruption: msg.Event | None = None

    async def run(self) -> None:
        """Live the request's life."""
        timer = self.parts.ports.timer
        deadline = timer.after(
            self.admitted.deadline_s,
            lambda: self.interrupt(msg.DeadlinePassed()),
        )
        channel = self.writer.channel
        channel.on_lost = lambda: self.interrupt(msg.CallerGone())
        try:
            await self.live()
        finally:
            deadline.cancel()
            self.give_up()
        channel.on_lost = None
        self.observe('request_seconds')

    def give_up(self) -> None:
        """Hold nothing any more: no place in the queue, no upstream."""
        self.place.leave()
        self.end_attempt()

    async def live(self) -> None:
        """Take events to actions until none follows."""
        event = msg.Admitted()
        while event is not None:
            step = advance(self.state, event)
            self.state = step[0]
            event = await self.carry_out_all(step[1])

    def interrupt(self, event: msg.Event) -> None:
        """Stop the operation under way, where the event changes anything."""
        _, actions = advance(self.state, event)
        if not actions or self.interruption is not None:
            return
        self.interruption = event
        if self.operation is not None:
            self.operation.cancel()

    async def carry_out_all(
        self,
        actions: tuple[msg.Action, ...],
    ) -> msg.Event | None:
        """Carry out actions in order; return the event that follows."""
        event = None
        for action in actions:
            # A caller that is gone must not keep a claim from being settled.
            with suppress(ConnectionError):
                event = await self.carry_out(action)
        return event

    async def carry_out(self, action: msg.Action) -> msg.Event | None:
        """Carry out one action."""
        match action:
            case msg.Claim():
                return await self.claim()
            case msg.Choose():
                return self.choose(action)
            case msg.Pause(delay_s):
                return await self.interruptible(pause(delay_s))
            case msg.Dispatch():
                return await self.interruptible(self.dispatch(action))
            case msg.Relay():
                return await self.interruptible(self.relay())
            case msg.CancelAttempt():
                self.end_attempt()
            case _:
                await self.answer_caller(action)
        return None

    async def answer_caller(self, action: msg.Action) -> None:
        """Carry out an action that ends the answer, or the claim."""
        match action:
            case msg.SendWhole(answer):
                await self.writer.whole(answer)
            case msg.SendKept(kept):
                headers = (*kept.headers, KEPT_HEADER)
                answer = WholeAnswer(kept.status, headers, kept.body)
                await self.writer.whole(answer)
            case msg.RefuseWith(problem):
                await self.refuse(problem)
            case msg.EndStream():
                await self.writer.finish()
            case msg.BreakOff():
                self.writer.break_off()
            case _:
                await self.settle_claim(action)

    async def settle_claim(self, action: msg.Action) -> None:
        """Tell the holders how the claimed call ended."""
        claims = self.parts.ports.claims
        key = self.admitted.key
        match action:
            case msg.KeepAnswer(answer):
                kept = StoredAnswer(answer.status, answer.headers, answer.body)
                await claims.finish(key, kept)
            case msg.AbandonClaim():
                await claims.finish(key, None)
            case msg.ReleaseClaim():
                await claims.release(key)

    async def interruptible(
        self,
        step: Coroutine[Any, Any, msg.Event],
    ) -> msg.Event:
        """Run an operation that the deadline or the caller can stop."""
        if self.interruption is not None:
            step.close()
            return self.take_interruption()
        self.operation = asyncio.create_task(step)
        try:
            return await self.operation
        except asyncio.CancelledError:
            if self.interruption is None:
                raise
            return self.take_interruption()
        finally:
            self.operation = None

    def take_interruption(self) -> msg.Event:
        """Return what stopped the operation."""
        event = self.interruption
        self.interruption = None
        return event

    async def claim(self) -> msg.Event:
        """Ask the claim holders; never stopped, so that the grant is known."""
        request = self.admitted.request
        # The caller is part of what must be the same: under another's key
        # nobody may get that caller's kept answer.
        caller = self.admitted.route.caller
        digest = request_digest(
            f'{caller} {request.method}',
            request.target,
            request.body,
        )
        claims = self.parts.ports.claims
        outcome = await claims.claim(self.admitted.key, digest)
        return msg.ClaimSettled(outcome)

    def choose(self, action: msg.Choose) -> msg.Event:
        """Decide on the newest revision, and check the decision on it."""
        if self.interruption is not None:
            return self.take_interruption()
        ports = self.parts.ports
        now = ports.timer.now()
        if action.spend_retry and not ports.retries.spend(now):
            self.parts.metrics.count('retries_denied_total')
            return msg.RetryDenied()
        return msg.Decided(self.decide(action.excluded))

    def decide(self, excluded: frozenset[str]) -> Decision:
        """Return the checked routing decision, or a wait in the queue."""
        if self.place.is_behind:
            return Wait(BEHIND_WAIT_S)
        ports = self.parts.ports
        now = ports.timer.now()
        revision = ports.configuration.current()
        self.parts.callers.refresh(revision)
        caller = self.parts.callers.by_name.get(self.admitted.route.caller)
        if caller is None:
            return Refuse(RefusalReason.residency)
        route = replace(
            newest_route(self.admitted.route, revision, caller),
            excluded=excluded,
            deadline_s=self.remaining_s(),
            waited_s=now - self.started_s,
        )
        view = ports.membership.view()
        decision = ports.choose(
            view,
            route,
            revision.manifest.objective,
            self.parts.chance,
        )
        checked = check_decision(
            decision,
            route,
            self.parts.settings.region,
            isolated=view.isolated,
        )
        return self.place.follow(checked, route, now)

    def remaining_s(self) -> float:
        """Return seconds until the deadline."""
        now = self.parts.ports.timer.now()
        return max(0.0, self.started_s + self.admitted.deadline_s - now)

    async def dispatch(self, action: msg.Dispatch) -> msg.Event:
        """Send the request to an upstream or to a VM."""
        self.end_attempt()
        self.health.begin()
        self.parts.metrics.count('attempts_total')
        membership = self.parts.ports.membership
        match action.target:
            case Serve(upstream):
                self.attempt = upstream_attempt(
                    self.parts,
                    self.admitted,
                    action,
                    self.remaining_s(),
                )
                pool = self.parts.pool
                tokens = action.target.uncached_tokens
                membership.record_sent(upstream.name, tokens)
            case Forward():
                self.attempt = forward_attempt(
                    self.parts,
                    self.admitted,
                    action,
                    self.remaining_s(),
                )
                pool = self.parts.vms
                self.parts.metrics.count('forwards_total')
        if action.resume_offset:
            self.parts.metrics.count('streams_resumed_total')
        event = await self.attempt.dispatch(pool)
        self.note_event(event)
        if not isinstance(event, msg.HeadArrived):
            self.end_attempt()
        return event

    def note_event(self, event: msg.Event) -> None:
        """Count how an attempt ended."""
        self.health.hear(self.attempt.target, event)
        metrics = self.parts.metrics
        match event:
            case msg.AttemptFailed(sent):
                kind = 'broke' if sent else 'unreachable'
                metrics.count('attempts_failed_total', kind=kind)
            case msg.NotRunTold():
                metrics.count('attempts_failed_total', kind='refused')
            case msg.StreamBroke():
                metrics.count('streams_broken_total')
            case msg.AnswerArrived() | msg.StreamEnded():
                home = self.admitted.route.home
                away = self.target_region() != home
                metrics.count('answers_total', away=str(away).lower())

    def note_first_token(self) -> None:
        """Count the first token of a stream, and how well it was predicted."""
        self.observe('first_token_seconds')
        self.health.hear_first_token(self.attempt.target)

    def target_region(self) -> str:
        """Return the region of the present attempt."""
        match self.attempt.target:
            case Serve(upstream):
                return upstream.region
            case Forward(region):
                return region

    def end_attempt(self) -> None:
        """Close the present attempt and count its end, once."""
        if self.attempt is None:
            return
        self.attempt.cancel()
        if isinstance(self.attempt.target, Serve):
            self.health.end(self.attempt.target)
        self.attempt = None

    async def relay(self) -> msg.Event:
        """Pass the stream on."""
        event = await self.attempt.relay(
            self.writer,
            self.note_first_token,
        )
        self.note_event(event)
        self.end_attempt()
        return event

    async def refuse(self, problem: Problem) -> None:
        """Send a refusal."""
        self.parts.metrics.count('refusals_total', kind=problem.kind.slug)
        answer = render_problem(problem)
        entry = (b'godwitshunt-entry', self.parts.settings.name.encode())
        await self.writer.whole(
            replace(answer, headers=(*answer.headers, entry)),
        )

    def observe(self, name: str) -> None:
        """Add the time since admission to a histogram."""
        route = self.admitted.route
        now = self.parts.ports.timer.now()
        self.parts.metrics.observe(
            name,
            now - self.started_s,
            caller=route.caller,
            request_class=route.request_class,
        )


async def pause(delay_s: float) -> msg.Event:
    """Wait."""
    await asyncio.sleep(delay_s)
    return msg.PauseEnded()
