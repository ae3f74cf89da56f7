"""Simulation of holders and claimants under faults, to search schedules.

The pure modules make all decisions. Messages in flight are delivered in any
order, twice, or never, and holders restart at any time.
"""

from dataclasses import dataclass, field

from godwitshunt.claims.claimant import PollAgain, Run, Wait, next_voting_step
from godwitshunt.claims.holder import EPOCH_S, Holder, HolderChange
from godwitshunt.claims.holder_status import HolderStatus
from godwitshunt.claims.holder_table import restore_change
from godwitshunt.claims.keys import ClaimKey, parse_key
from godwitshunt.claims.messages import (
    AlreadyAnswered,
    RunUnknown,
    StoredAnswer,
)
from godwitshunt.claims.recovery import (
    AnnounceIncarnation,
    Recovered,
    Recovery,
)
from godwitshunt.claims.verdicts import (
    Attempt,
    Claim,
    Finish,
    HolderAnswer,
    HolderRequest,
    Release,
)

ANSWER = StoredAnswer(200, (), b'done')


@dataclass
class SimulatedAttempt:
    """One attempt as its claimant sees it."""

    attempt: Attempt
    epoch: int
    answers: dict[str, HolderAnswer] = field(default_factory=dict)
    state: str = 'claiming'


@dataclass
class SimulatedRecovery:
    """The recovery of one holder after a restart."""

    recovery: Recovery
    replies: dict[str, HolderStatus] = field(default_factory=dict)


@dataclass(frozen=True)
class ToHolder:
    """A claimant's request in flight."""

    holder: str
    request: HolderRequest
    attempt_index: int
    epoch: int


@dataclass(frozen=True)
class ToClaimant:
    """A holder's answer in flight."""

    holder: str
    attempt_index: int
    answer: HolderAnswer


@dataclass(frozen=True)
class ToPeer:
    """A recovering holder's query in flight."""

    holder: str
    sender: str
    restart_count: int
    incarnation: int


@dataclass(frozen=True)
class FromPeer:
    """A peer's status in flight."""

    holder: str
    sender: str
    restart_count: int
    incarnation: int
    status: HolderStatus


class ClaimSimulation:
    """Holders of one generation, their claimants, and messages in flight.

    Parameters
    ----------
    count : int
        Number of holders.
    journaled : frozenset of str
        Holders that retain their journal across restarts.
    """

    def __init__(self, count: int, journaled: frozenset[str]) -> None:
        self.names = tuple(f'h{number}' for number in range(count))
        self.journaled = journaled
        self.holders = {name: Holder(name) for name in self.names}
        self.journals: dict[str, list[HolderChange]] = {}
        self.restart_counts = dict.fromkeys(self.names, 0)
        self.active_recoveries: dict[str, SimulatedRecovery] = {}
        self.in_flight: list = []
        self.attempts: list[SimulatedAttempt] = []
        self.keys: list[ClaimKey] = []
        self.runs: dict[str, int] = {}
        self.now_s = 0.0
        for name, holder in self.holders.items():
            holder.record_status()
            self.journals[name] = []
            self.write(name)

    def write(self, name: str) -> None:
        """Append the pending changes of a holder to its journal."""
        self.journals[name].extend(self.holders[name].drain_changes())

    def add_key(self, epoch: int) -> None:
        """Create a key stamped with this epoch."""
        number = len(self.keys)
        key = parse_key(f'split.1.{epoch}.caller{number:04d}').unwrap()
        self.keys.append(key)
        self.runs[key.text] = 0

    def start_attempt(self, key: ClaimKey, number: int, body: bytes) -> None:
        """Start an attempt on a key."""
        epoch = max(holder.epoch for holder in self.holders.values())
        attempt = Attempt(key, body, 'vm', number)
        self.attempts.append(SimulatedAttempt(attempt, epoch))
        self.send(len(self.attempts) - 1, Claim(attempt))

    def send(self, attempt_index: int, request: HolderRequest) -> None:
        """Send the request of an attempt to every holder."""
        epoch = self.attempts[attempt_index].epoch
        self.in_flight.extend(
            ToHolder(name, request, attempt_index, epoch) for name in self.names
        )

    def deliver(self, message: object) -> None:
        """Deliver one message to its receiver."""
        match message:
            case ToHolder(name, request, attempt_index, epoch):
                answer = self.holders[name].apply(request, epoch, self.now_s)
                self.write(name)
                self.in_flight.append(ToClaimant(name, attempt_index, answer))
            case ToClaimant(name, attempt_index, answer):
                self.handle_answer(name, attempt_index, answer)
            case ToPeer():
                self.answer_peer(message)
            case FromPeer():
                self.handle_peer_reply(message)

    def handle_answer(
        self, name: str, attempt_index: int, answer: HolderAnswer
    ) -> None:
        """Let a claimant take its next step on an answer."""
        simulated = self.attempts[attempt_index]
        if simulated.state != 'claiming':
            return
        simulated.answers[name] = answer
        pending = len(self.names) - len(simulated.answers)
        step = next_voting_step(
            simulated.attempt.number,
            len(self.names),
            simulated.answers,
            pending,
        )
        match step:
            case Run():
                simulated.state = 'granted'
            case Wait() | PollAgain():
                return
            case _:
                self.check_outcome(simulated, getattr(step, 'outcome', None))
                self.withdraw(attempt_index)

    def check_outcome(
        self, simulated: SimulatedAttempt, outcome: object
    ) -> None:
        """Check that the outcome reported to a caller is true."""
        runs = self.runs[simulated.attempt.key.text]
        if isinstance(outcome, AlreadyAnswered | RunUnknown):
            assert runs == 1

    def withdraw(self, attempt_index: int) -> None:
        """Withdraw an attempt that has not run."""
        self.attempts[attempt_index].state = 'withdrawn'
        self.send(attempt_index, Release(self.attempts[attempt_index].attempt))

    def run(self, attempt_index: int) -> None:
        """Run a granted attempt."""
        self.attempts[attempt_index].state = 'ran'
        self.runs[self.attempts[attempt_index].attempt.key.text] += 1

    def finish(self, attempt_index: int) -> None:
        """Send the answer of an attempt that ran to the holders."""
        self.send(
            attempt_index, Finish(self.attempts[attempt_index].attempt, ANSWER)
        )

    def restart(self, name: str) -> None:
        """Restart a holder, with its journal if it has one."""
        self.restart_counts[name] += 1
        self.active_recoveries.pop(name, None)
        holder = Holder(name, recovering=True, epoch_began_s=self.now_s)
        if name in self.journaled:
            for change in self.journals[name]:
                restore_change(holder, change)
            holder.ended_epochs.append((holder.epoch - 1, self.now_s))
        self.holders[name] = holder

    def start_recovery(self, name: str) -> None:
        """Start the recovery of a holder that lost its votes."""
        if not self.holders[name].recovering:
            return
        self.active_recoveries[name] = SimulatedRecovery(
            Recovery(name, self.names)
        )
        self.query_peer_holders(name)

    def query_peer_holders(self, name: str) -> None:
        """Send the current queries of a recovery to the peers."""
        incarnation = self.active_recoveries[name].recovery.incarnation
        restart_count = self.restart_counts[name]
        self.in_flight.extend(
            ToPeer(peer, name, restart_count, incarnation)
            for peer in self.names
            if peer != name
        )

    def answer_peer(self, message: ToPeer) -> None:
        """Let a holder answer a recovering peer."""
        status = self.holders[message.holder].answer_peer(
            message.sender,
            message.incarnation,
            0,
            self.now_s,
        )
        self.write(message.holder)
        if status is not None:
            self.in_flight.append(
                FromPeer(
                    message.sender,
                    message.holder,
                    message.restart_count,
                    message.incarnation,
                    status,
                ),
            )

    def handle_peer_reply(self, message: FromPeer) -> None:
        """Let a recovering holder process a reply.

        Replies to queries from before its last restart are dropped.
        """
        name = message.holder
        simulated = self.active_recoveries.get(name)
        if (
            simulated is None
            or message.restart_count != self.restart_counts[name]
        ):
            return
        if message.incarnation != simulated.recovery.incarnation:
            return
        simulated.replies[message.sender] = message.status
        match simulated.recovery.process_replies(simulated.replies):
            case AnnounceIncarnation():
                simulated.replies.clear()
                self.query_peer_holders(name)
            case Recovered() as recovered:
                self.holders[name].recover(recovered, self.now_s)
                self.active_recoveries.pop(name)
                self.write(name)

    def pass_epoch(self, names: tuple[str, ...]) -> None:
        """Let an epoch elapse at some holders."""
        self.now_s += EPOCH_S
        for name in names:
            self.holders[name].tick(self.now_s)
            self.write(name)
