"""Holders and claimants under every fault, for a search of schedules.

The pure parts decide everything; here messages wait in a bag, from which they
are delivered in any order, twice, or never, and holders restart at any time.
"""

from dataclasses import dataclass, field

from godwitshunt.claims.claimant import AskAgain, Run, Wait, decide_claim
from godwitshunt.claims.holder import EPOCH_S, Holder, HolderChange
from godwitshunt.claims.holder_table import reload_change
from godwitshunt.claims.keys import ClaimKey, parse_key
from godwitshunt.claims.messages import (
    AlreadyAnswered,
    RunUnknown,
    StoredAnswer,
)
from godwitshunt.claims.recovery import (
    Recovered,
    Recovery,
    TellIncarnation,
)
from godwitshunt.claims.standing import Standing
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
class Trial:
    """One attempt, as its claimant sees it."""

    attempt: Attempt
    epoch: int
    answers: dict[str, HolderAnswer] = field(default_factory=dict)
    state: str = 'claiming'


@dataclass
class RecoveryTrial:
    """One life's way back to voting."""

    recovery: Recovery
    replies: dict[str, Standing] = field(default_factory=dict)


@dataclass(frozen=True)
class ToHolder:
    """A claimant's request on its way."""

    holder: str
    request: HolderRequest
    trial: int
    epoch: int


@dataclass(frozen=True)
class ToClaimant:
    """A holder's answer on its way."""

    holder: str
    trial: int
    answer: HolderAnswer


@dataclass(frozen=True)
class ToPeer:
    """A recovering holder's question on its way."""

    holder: str
    sender: str
    life: int
    incarnation: int


@dataclass(frozen=True)
class FromPeer:
    """A fellow holder's standing on its way."""

    holder: str
    sender: str
    life: int
    incarnation: int
    standing: Standing


class ClaimMachine:
    """Holders of one generation, their claimants, and a bag of messages.

    Parameters
    ----------
    count : int
        Holders.
    journaled : frozenset of str
        Holders that keep a journal over restarts.
    """

    def __init__(self, count: int, journaled: frozenset[str]) -> None:
        self.names = tuple(f'h{number}' for number in range(count))
        self.journaled = journaled
        self.holders = {name: Holder(name) for name in self.names}
        self.journals: dict[str, list[HolderChange]] = {}
        self.lives = dict.fromkeys(self.names, 0)
        self.recoveries: dict[str, RecoveryTrial] = {}
        self.bag: list = []
        self.trials: list[Trial] = []
        self.keys: list[ClaimKey] = []
        self.runs: dict[str, int] = {}
        self.now_s = 0.0
        for name, holder in self.holders.items():
            holder.note_standing()
            self.journals[name] = []
            self.write(name)

    def write(self, name: str) -> None:
        """Put what a holder changed into its journal."""
        self.journals[name].extend(self.holders[name].drain_changes())

    def stamp(self, epoch: int) -> None:
        """Give a caller a key of this epoch."""
        number = len(self.keys)
        key = parse_key(f'split.1.{epoch}.caller{number:04d}').unwrap()
        self.keys.append(key)
        self.runs[key.text] = 0

    def begin(self, key: ClaimKey, number: int, body: bytes) -> None:
        """Let a VM attempt a key."""
        epoch = max(holder.epoch for holder in self.holders.values())
        attempt = Attempt(key, body, 'vm', number)
        self.trials.append(Trial(attempt, epoch))
        self.send(len(self.trials) - 1, Claim(attempt))

    def send(self, trial: int, request: HolderRequest) -> None:
        """Send a request to every holder."""
        epoch = self.trials[trial].epoch
        self.bag.extend(
            ToHolder(name, request, trial, epoch) for name in self.names
        )

    def deliver(self, message: object) -> None:
        """Let one message arrive."""
        match message:
            case ToHolder(name, request, trial, epoch):
                answer = self.holders[name].apply(request, epoch, self.now_s)
                self.write(name)
                self.bag.append(ToClaimant(name, trial, answer))
            case ToClaimant(name, trial, answer):
                self.hear(name, trial, answer)
            case ToPeer():
                self.answer_peer(message)
            case FromPeer():
                self.hear_peer(message)

    def hear(self, name: str, number: int, answer: HolderAnswer) -> None:
        """Let a claimant judge an answer."""
        trial = self.trials[number]
        if trial.state != 'claiming':
            return
        trial.answers[name] = answer
        pending = len(self.names) - len(trial.answers)
        step = decide_claim(
            trial.attempt.number,
            len(self.names),
            trial.answers,
            pending,
        )
        match step:
            case Run():
                trial.state = 'granted'
            case Wait() | AskAgain():
                return
            case _:
                self.check_outcome(trial, getattr(step, 'outcome', None))
                self.give_up(number)

    def check_outcome(self, trial: Trial, outcome: object) -> None:
        """Check that what a caller is told is true."""
        runs = self.runs[trial.attempt.key.text]
        if isinstance(outcome, AlreadyAnswered | RunUnknown):
            assert runs == 1

    def give_up(self, number: int) -> None:
        """Withdraw an attempt that has not run."""
        self.trials[number].state = 'over'
        self.send(number, Release(self.trials[number].attempt))

    def run(self, number: int) -> None:
        """Run what was granted."""
        self.trials[number].state = 'ran'
        self.runs[self.trials[number].attempt.key.text] += 1

    def finish(self, number: int) -> None:
        """Tell the holders the answer of what ran."""
        self.send(number, Finish(self.trials[number].attempt, ANSWER))

    def restart(self, name: str) -> None:
        """Restart a holder, with its journal or with nothing."""
        self.lives[name] += 1
        self.recoveries.pop(name, None)
        holder = Holder(name, recovering=True, epoch_began_s=self.now_s)
        if name in self.journaled:
            for change in self.journals[name]:
                reload_change(holder, change)
            holder.ended.append((holder.epoch - 1, self.now_s))
        self.holders[name] = holder

    def ask_peers(self, name: str) -> None:
        """Let a holder that forgot begin its recovery."""
        if not self.holders[name].recovering:
            return
        self.recoveries[name] = RecoveryTrial(Recovery(name, self.names))
        self.send_peers(name)

    def send_peers(self, name: str) -> None:
        """Send the present question of a recovery."""
        incarnation = self.recoveries[name].recovery.incarnation
        life = self.lives[name]
        self.bag.extend(
            ToPeer(peer, name, life, incarnation)
            for peer in self.names
            if peer != name
        )

    def answer_peer(self, message: ToPeer) -> None:
        """Let a holder answer one that recovers."""
        standing = self.holders[message.holder].answer_peer(
            message.sender,
            message.incarnation,
            0,
            self.now_s,
        )
        self.write(message.holder)
        if standing is not None:
            self.bag.append(
                FromPeer(
                    message.sender,
                    message.holder,
                    message.life,
                    message.incarnation,
                    standing,
                ),
            )

    def hear_peer(self, message: FromPeer) -> None:
        """Let a recovering holder take a reply of its present life."""
        name = message.holder
        trial = self.recoveries.get(name)
        if trial is None or message.life != self.lives[name]:
            return
        if message.incarnation != trial.recovery.incarnation:
            return
        trial.replies[message.sender] = message.standing
        match trial.recovery.take_round(trial.replies):
            case TellIncarnation():
                trial.replies.clear()
                self.send_peers(name)
            case Recovered() as recovered:
                self.holders[name].recover(recovered, self.now_s)
                self.recoveries.pop(name)
                self.write(name)

    def pass_epoch(self, names: tuple[str, ...]) -> None:
        """Let an epoch pass at some holders."""
        self.now_s += EPOCH_S
        for name in names:
            self.holders[name].tick(self.now_s)
            self.write(name)
