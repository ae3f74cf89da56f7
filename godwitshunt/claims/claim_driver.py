"""Drive one claim to its outcome by the rules of `claimant`.

`HolderClient` sends requests to the holders; `ClaimDriver` makes the attempts
of one claim.
"""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Ok

from godwitshunt.claims.claimant import (
    ClaimStep,
    End,
    PollAgain,
    Run,
    StartNewAttempt,
    Wait,
    Yield,
    next_voting_step,
    next_waiting_step,
    outcome_at_deadline,
)
from godwitshunt.claims.gen.wire import ttypes
from godwitshunt.claims.holder_status import current_statuses
from godwitshunt.claims.holder_task import MESSAGE_KINDS, ClaimHolderTask
from godwitshunt.claims.keys import ClaimKey
from godwitshunt.claims.messages import (
    ClaimOutcome,
    Granted,
    InProgress,
    RunUnknown,
)
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

# A holder that exceeds this timeout counts as unreachable, so that a frozen
# holder does not block two attempts that split the votes of the others.
HOLDER_TIMEOUT_S = 1.0
INITIAL_BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.1
ATTEMPT_NUMBER_BITS = 62
COMPETITOR_CHECK_INTERVAL_S = 0.5


def draw_attempt_number() -> int:
    """Return a random attempt number, never 0, which means no attempt."""
    return secrets.randbits(ATTEMPT_NUMBER_BITS) + 1


@dataclass
class HolderClient:
    """Sends requests to the holders and records the epochs they report.

    Parameters
    ----------
    local_holder : ClaimHolderTask
        Called directly when this VM is itself a holder.
    epochs : dict
        The highest epoch reported, by region and generation.
    majority_seen_s : dict
        When a majority last replied, in monotonic seconds, by region and
        generation.
    draw_number : callable
        Returns a new attempt number, never the same one twice.
    """

    links: PeerLinks
    local_holder: ClaimHolderTask
    timer: Timer
    metrics: Metrics
    addresses: dict[str, Address] = field(default_factory=dict)
    epochs: dict[tuple[str, int], int] = field(default_factory=dict)
    majority_seen_s: dict[tuple[str, int], float] = field(default_factory=dict)
    background_tasks: BackgroundTasks = field(default_factory=BackgroundTasks)
    draw_number: Callable[[], int] = draw_attempt_number

    def record_epoch(self, generation: tuple[str, int], epoch: int) -> None:
        """Keep the higher of the known and the reported epoch."""
        known = self.epochs.get(generation, 0)
        self.epochs[generation] = max(known, epoch)

    async def send_request(
        self,
        holder: str,
        request: HolderRequest,
        timeout_s: float,
    ) -> HolderAnswer | None:
        """Return a holder's answer, or None without a valid reply."""
        key = request.attempt.key
        generation = (key.region, key.generation)
        epoch = self.epochs.get(generation, 0)
        if holder == self.local_holder.name:
            return await self.local_holder.answer(request, epoch)
        body = request_to_wire(request, epoch)
        reply = await self.call(
            holder, MESSAGE_KINDS[type(request)], body, timeout_s
        )
        if reply is None:
            return None
        try:
            wire = decode(ttypes.ClaimReply, reply)
            answer = holder_answer_from_wire(wire)
        except FrameError:
            self.metrics.count('claims_replies_malformed_total')
            return None
        if answer.holder_status is not None:
            self.record_epoch(generation, answer.holder_status.epoch)
        return answer

    async def call(
        self,
        vm: str,
        kind: MessageKind,
        struct: object,
        timeout_s: float = HOLDER_TIMEOUT_S,
    ) -> bytes | None:
        """Send a struct to a VM and return its reply, or None on failure."""
        address = self.addresses.get(vm)
        if address is None:
            return None
        reply = await self.links.call(address, kind, encode(struct), timeout_s)
        return reply.ok_value if isinstance(reply, Ok) else None

    async def is_running(self, vm: str, key: str) -> bool | None:
        """Return whether a VM runs a key's call, or None without a reply."""
        call = ttypes.RunningCall(key=key)
        reply = await self.call(vm, MessageKind.claim_running, call)
        if reply is None:
            return None
        try:
            return bool(decode(ttypes.RunningReply, reply).running)
        except FrameError:
            self.metrics.count('claims_replies_malformed_total')
            return None

    async def sleep(self, duration_s: float) -> None:
        """Sleep on the timer, which tests replace by virtual time."""
        elapsed = asyncio.get_running_loop().create_future()
        self.timer.after(
            duration_s, lambda: elapsed.done() or elapsed.set_result(0)
        )
        await elapsed


@dataclass
class ClaimDriver:
    """Makes the attempts of one claim, one at a time.

    Parameters
    ----------
    deadline_s : float
        Monotonic time at which the claim gives up.
    withdraw : callable
        Tells the holders to discard an attempt that will not run.
    attempt : Attempt or None
        The current attempt.
    answers : dict
        The newest answer of each holder.
    yielded_to : str or None
        The VM whose competing attempt this claim waits for.
    """

    client: HolderClient
    vm: str
    key: ClaimKey
    request_digest: bytes
    holders: tuple[str, ...]
    deadline_s: float
    withdraw: Callable[[Attempt], None]
    attempt: Attempt | None = None
    answers: dict[str, HolderAnswer] = field(default_factory=dict)
    yielded_to: str | None = None
    next_competitor_check_s: float = 0.0

    async def run(self) -> ClaimOutcome:
        """Claim the key, or wait for the attempt that holds it."""
        outcome = None
        try:
            outcome = await self.run_attempts()
        finally:
            # Also on cancellation, when the caller has disconnected: an
            # abandoned attempt with votes would block its key.
            if not isinstance(outcome, Granted):
                self.withdraw_attempt()
        return outcome

    async def run_attempts(self) -> ClaimOutcome:
        """Make attempts until one is decided or the deadline passes."""
        step: ClaimStep = StartNewAttempt()
        while isinstance(step, StartNewAttempt) and self.remaining_s() > 0:
            step = await self.collect_votes()
            if isinstance(step, Yield):
                self.yielded_to = step.vm
                self.withdraw_attempt()
                step = await self.wait_for_competitor()
        match step:
            case Run():
                return Granted(self.attempt.number)
            case End(outcome):
                return outcome
        return outcome_at_deadline(
            len(self.holders),
            self.answers,
            self.yielded_to,
        )

    def remaining_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline_s - self.client.timer.now()

    async def collect_votes(self) -> ClaimStep:
        """Request votes on a new attempt until it is decided."""
        self.attempt = Attempt(
            key=self.key,
            request_digest=self.request_digest,
            vm=self.vm,
            number=self.client.draw_number(),
        )
        self.answers.clear()
        self.yielded_to = None
        backoff_s = INITIAL_BACKOFF_S
        step = await self.poll_holders(Claim(self.attempt), self.evaluate_votes)
        while isinstance(step, PollAgain) and self.remaining_s() > backoff_s:
            await self.client.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
            self.discard_stale_votes()
            step = await self.poll_holders(
                Claim(self.attempt), self.evaluate_votes
            )
        return step

    async def wait_for_competitor(self) -> ClaimStep:
        """Poll the holders until the competing attempt has an outcome."""
        backoff_s = INITIAL_BACKOFF_S
        step: ClaimStep = Wait()
        while isinstance(step, Wait) and self.remaining_s() > backoff_s:
            await self.client.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
            self.answers.clear()
            step = await self.query_competitor()
            if isinstance(step, Wait) and self.is_competitor_check_due():
                step = await self.check_competitor()
        if isinstance(step, StartNewAttempt):
            self.yielded_to = None
        return step

    async def query_competitor(self) -> ClaimStep:
        """Query the holders once about the attempt that holds the key."""
        query = Attempt(self.key, self.request_digest, self.vm, 1)
        return await self.poll_holders(Query(query), self.evaluate_wait)

    def is_competitor_check_due(self) -> bool:
        """Return whether the competing VM is due to be queried again."""
        now_s = self.client.timer.now()
        if now_s < self.next_competitor_check_s:
            return False
        self.next_competitor_check_s = now_s + COMPETITOR_CHECK_INTERVAL_S
        return True

    async def check_competitor(self) -> ClaimStep:
        """Ask the competing VM whether it still runs the call.

        A VM that was killed or restarted while it ran the call never reports
        the outcome to the holders. Callers would wait in vain until their
        deadline; they get an unknown outcome immediately instead.
        """
        vm = self.yielded_to
        running = await self.client.is_running(vm, self.key.text)
        if running:
            return Wait()
        if running is None:
            return End(InProgress(vm, unresponsive=True))
        # The call may have finished and been reported since the last query.
        step = await self.query_competitor()
        if not isinstance(step, Wait):
            return step
        return End(RunUnknown(f'{vm} does not know the attempt any more'))

    def withdraw_attempt(self) -> None:
        """Withdraw the current attempt, if there is one."""
        attempt = self.attempt
        self.attempt = None
        if attempt is not None:
            self.withdraw(attempt)

    def evaluate_votes(self, pending: int) -> ClaimStep:
        """Return the next step for the votes received so far."""
        return next_voting_step(
            self.attempt.number,
            len(self.holders),
            self.answers,
            pending,
        )

    def evaluate_wait(self, pending: int) -> ClaimStep:
        """Return the next step for the answers about the competitor."""
        return next_waiting_step(len(self.holders), self.answers)

    async def poll_holders(
        self,
        request: HolderRequest,
        evaluate: Callable[[int], ClaimStep],
    ) -> ClaimStep:
        """Send a request to every holder that has not granted.

        Returns the next step as soon as the answers decide it.
        """
        pending_requests = {
            self.client.background_tasks.run(
                self.client.send_request(
                    holder, request, self.holder_timeout_s()
                ),
            ): holder
            for holder in self.holders
            if not self.has_granted(holder)
        }
        step = evaluate(len(pending_requests))
        while pending_requests and isinstance(step, Wait):
            done, _ = await asyncio.wait(
                pending_requests,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for future in done:
                self.record_answer(
                    pending_requests.pop(future), future.result()
                )
            step = evaluate(len(pending_requests))
        return step

    def record_answer(self, holder: str, answer: HolderAnswer | None) -> None:
        """Store a holder's newest answer, or remove it if none came."""
        if answer is None:
            self.answers.pop(holder, None)
        else:
            self.answers[holder] = answer

    def has_granted(self, holder: str) -> bool:
        """Return whether a holder has granted its vote."""
        answer = self.answers.get(holder)
        return answer is not None and answer.verdict is Verdict.granted

    def discard_stale_votes(self) -> None:
        """Drop votes of holders that have restarted, to poll them again."""
        statuses = {
            holder: answer.holder_status
            for holder, answer in self.answers.items()
            if answer.holder_status is not None
        }
        current = current_statuses(statuses)
        self.answers = {holder: self.answers[holder] for holder in current}

    def holder_timeout_s(self) -> float:
        """Return the timeout of one request in seconds."""
        return max(min(HOLDER_TIMEOUT_S, self.remaining_s()), INITIAL_BACKOFF_S)
