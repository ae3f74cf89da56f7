"""One claim's way to its outcome: asks holders and follows `claimant`."""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Ok

from godwitshunt.claims.claimant import (
    AskAgain,
    ClaimAnew,
    ClaimStep,
    End,
    Run,
    Wait,
    Yield,
    decide_claim,
    decide_deadline,
    decide_wait,
)
from godwitshunt.claims.gen.wire import ttypes
from godwitshunt.claims.holder_task import KINDS, ClaimHolderTask
from godwitshunt.claims.keys import ClaimKey
from godwitshunt.claims.messages import (
    ClaimOutcome,
    Granted,
    InProgress,
    RunUnknown,
)
from godwitshunt.claims.standing import of_present_lives
from godwitshunt.claims.verdicts import (
    Attempt,
    Claim,
    HolderAnswer,
    HolderRequest,
    Query,
    Verdict,
)
from godwitshunt.claims.wire import holder_answer_from_wire, request_to_wire
from godwitshunt.exceptions import FrameError
from godwitshunt.membership.background_tasks import BackgroundTasks
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import Timer

# A holder that does not answer for that long is counted as gone, so that a
# frozen one does not keep two attempts that split the others.
ASK_TIMEOUT_S = 1.0
FIRST_PAUSE_S = 0.005
LONGEST_PAUSE_S = 0.1
ATTEMPT_BITS = 62
RIVAL_CHECK_S = 0.5


def draw_attempt_number() -> int:
    """Return a random number for an attempt; 0 stands for none."""
    return secrets.randbits(ATTEMPT_BITS) + 1


@dataclass
class HolderLinks:
    """Ways to the holders, and the epochs heard from them.

    Parameters
    ----------
    own : ClaimHolderTask
        Asked directly where this VM is a holder itself.
    epochs : dict
        The highest epoch heard, by region and generation.
    heard_s : dict
        When a majority was last heard, in monotonic seconds.
    draw_number : callable
        Returns an attempt's number, never the same twice.
    """

    links: PeerLinks
    own: ClaimHolderTask
    timer: Timer
    metrics: Metrics
    addresses: dict[str, Address] = field(default_factory=dict)
    epochs: dict[tuple[str, int], int] = field(default_factory=dict)
    heard_s: dict[tuple[str, int], float] = field(default_factory=dict)
    background_tasks: BackgroundTasks = field(default_factory=BackgroundTasks)
    draw_number: Callable[[], int] = draw_attempt_number

    def learn(self, generation: tuple[str, int], epoch: int) -> None:
        """Follow a higher epoch that a holder told."""
        known = self.epochs.get(generation, 0)
        self.epochs[generation] = max(known, epoch)

    async def ask(
        self,
        holder: str,
        request: HolderRequest,
        timeout_s: float,
    ) -> HolderAnswer | None:
        """Return a holder's answer; None where none came."""
        key = request.attempt.key
        generation = (key.region, key.generation)
        epoch = self.epochs.get(generation, 0)
        if holder == self.own.name:
            return await self.own.answer(request, epoch)
        body = request_to_wire(request, epoch)
        reply = await self.call(holder, KINDS[type(request)], body, timeout_s)
        if reply is None:
            return None
        try:
            wire = decode(ttypes.ClaimReply, reply)
            answer = holder_answer_from_wire(wire)
        except FrameError:
            self.metrics.count('claims_replies_malformed_total')
            return None
        if answer.standing is not None:
            self.learn(generation, answer.standing.epoch)
        return answer

    async def call(
        self,
        holder: str,
        kind: MessageKind,
        struct: object,
        timeout_s: float = ASK_TIMEOUT_S,
    ) -> bytes | None:
        """Send a struct to a holder; None where no reply came."""
        address = self.addresses.get(holder)
        if address is None:
            return None
        reply = await self.links.call(address, kind, encode(struct), timeout_s)
        return reply.ok_value if isinstance(reply, Ok) else None

    async def is_running(self, vm: str, key: str) -> bool | None:
        """Ask a VM whether it runs a key's call; None where it is silent."""
        call = ttypes.RunningCall(key=key)
        reply = await self.call(vm, MessageKind.claim_running, call)
        if reply is None:
            return None
        try:
            return bool(decode(ttypes.RunningReply, reply).running)
        except FrameError:
            self.metrics.count('claims_replies_malformed_total')
            return None

    async def pause(self, duration_s: float) -> None:
        """Wait on the timer."""
        over = asyncio.get_running_loop().create_future()
        self.timer.after(duration_s, lambda: over.done() or over.set_result(0))
        await over


@dataclass
class Ballot:
    """The attempts of one claim, one after the other.

    Parameters
    ----------
    attempt : Attempt
        The present one.
    withdraw : callable
        Has the holders forget an attempt that does not run.
    deadline_s : float
        Monotonic seconds at which the claim gives up.
    """

    links: HolderLinks
    vm: str
    key: ClaimKey
    request_digest: bytes
    holders: tuple[str, ...]
    deadline_s: float
    withdraw: Callable[[Attempt], None]
    attempt: Attempt | None = None
    answers: dict[str, HolderAnswer] = field(default_factory=dict)
    yielded_to: str | None = None
    next_check_s: float = 0.0

    async def run(self) -> ClaimOutcome:
        """Claim, or wait for the attempt that has the key."""
        outcome = None
        try:
            outcome = await self.attempt_until_deadline()
        finally:
            # Also where the caller has gone: an attempt that is left behind
            # with votes would block its key.
            if not isinstance(outcome, Granted):
                self.give_up_attempt()
        return outcome

    async def attempt_until_deadline(self) -> ClaimOutcome:
        """Run attempts until one ends."""
        step: ClaimStep = ClaimAnew()
        while isinstance(step, ClaimAnew) and self.remaining_s() > 0:
            step = await self.vote()
            if isinstance(step, Yield):
                self.yielded_to = step.vm
                self.give_up_attempt()
                step = await self.wait_for_rival()
        match step:
            case Run():
                return Granted(self.attempt.number)
            case End(outcome):
                return outcome
        return decide_deadline(
            len(self.holders),
            self.answers,
            self.yielded_to,
        )

    def remaining_s(self) -> float:
        """Return the seconds until the claim gives up."""
        return self.deadline_s - self.links.timer.now()

    async def vote(self) -> ClaimStep:
        """Ask for votes on a new attempt until it is decided."""
        self.attempt = Attempt(
            key=self.key,
            request_digest=self.request_digest,
            vm=self.vm,
            number=self.links.draw_number(),
        )
        self.answers.clear()
        self.yielded_to = None
        pause_s = FIRST_PAUSE_S
        step = await self.ask_round(Claim(self.attempt), self.judge_claim)
        while isinstance(step, AskAgain) and self.remaining_s() > pause_s:
            await self.links.pause(pause_s)
            pause_s = min(2 * pause_s, LONGEST_PAUSE_S)
            self.forget_past_lives()
            step = await self.ask_round(Claim(self.attempt), self.judge_claim)
        return step

    async def wait_for_rival(self) -> ClaimStep:
        """Ask what became of the attempt that has the key."""
        pause_s = FIRST_PAUSE_S
        step: ClaimStep = Wait()
        while isinstance(step, Wait) and self.remaining_s() > pause_s:
            await self.links.pause(pause_s)
            pause_s = min(2 * pause_s, LONGEST_PAUSE_S)
            self.answers.clear()
            step = await self.ask_of_rival()
            if isinstance(step, Wait) and self.is_check_due():
                step = await self.check_rival()
        if isinstance(step, ClaimAnew):
            self.yielded_to = None
        return step

    async def ask_of_rival(self) -> ClaimStep:
        """Ask the holders once what became of the attempt with the key."""
        query = Attempt(self.key, self.request_digest, self.vm, 1)
        return await self.ask_round(Query(query), self.judge_wait)

    def is_check_due(self) -> bool:
        """Tell whether the rival's VM should be asked again."""
        now_s = self.links.timer.now()
        if now_s < self.next_check_s:
            return False
        self.next_check_s = now_s + RIVAL_CHECK_S
        return True

    async def check_rival(self) -> ClaimStep:
        """Ask the rival's VM whether it still runs the call.

        A VM that was killed, or restarted, while it ran the call never tells
        the holders how it ended. Its callers would wait for nothing until
        their deadline; they are told at once that the outcome is unknown.
        """
        vm = self.yielded_to
        running = await self.links.is_running(vm, self.key.text)
        if running:
            return Wait()
        if running is None:
            return End(InProgress(vm, unresponsive=True))
        # It may have ended, and told the holders, since they were asked.
        step = await self.ask_of_rival()
        if not isinstance(step, Wait):
            return step
        return End(RunUnknown(f'{vm} does not know the attempt any more'))

    def give_up_attempt(self) -> None:
        """Withdraw the present attempt, if there is one."""
        attempt = self.attempt
        self.attempt = None
        if attempt is not None:
            self.withdraw(attempt)

    def judge_claim(self, pending: int) -> ClaimStep:
        """Judge the votes so far."""
        return decide_claim(
            self.attempt.number,
            len(self.holders),
            self.answers,
            pending,
        )

    def judge_wait(self, pending: int) -> ClaimStep:
        """Judge what is told of the attempt that has the key."""
        return decide_wait(len(self.holders), self.answers)

    async def ask_round(
        self,
        request: HolderRequest,
        judge: Callable[[int], ClaimStep],
    ) -> ClaimStep:
        """Ask the holders that have not granted, until the step is known."""
        asked = {
            self.links.background_tasks.run(
                self.links.ask(holder, request, self.ask_timeout_s()),
            ): holder
            for holder in self.holders
            if not self.has_granted(holder)
        }
        step = judge(len(asked))
        while asked and isinstance(step, Wait):
            done, _ = await asyncio.wait(
                asked,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for future in done:
                self.take_answer(asked.pop(future), future.result())
            step = judge(len(asked))
        return step

    def take_answer(self, holder: str, answer: HolderAnswer | None) -> None:
        """Keep a holder's newest answer."""
        if answer is None:
            self.answers.pop(holder, None)
        else:
            self.answers[holder] = answer

    def has_granted(self, holder: str) -> bool:
        """Return whether a holder's vote is in."""
        answer = self.answers.get(holder)
        return answer is not None and answer.verdict is Verdict.granted

    def forget_past_lives(self) -> None:
        """Drop votes of holders that have restarted since, to ask anew."""
        standings = {
            holder: answer.standing
            for holder, answer in self.answers.items()
            if answer.standing is not None
        }
        present = of_present_lives(standings)
        self.answers = {holder: self.answers[holder] for holder in present}

    def ask_timeout_s(self) -> float:
        """Return how long one answer is waited for."""
        return max(min(ASK_TIMEOUT_S, self.remaining_s()), FIRST_PAUSE_S)
