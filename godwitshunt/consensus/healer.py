"""The task that joins a replica to its cluster and heals the membership."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from result import Err, Ok

from godwitshunt.consensus.codec import read_replica, replica_name
from godwitshunt.consensus.events import MemberChange
from godwitshunt.consensus.gen.wire import ttypes as wire
from godwitshunt.consensus.healing import (
    Candidate,
    HealingOptions,
    next_change,
)
from godwitshunt.consensus.health import VoterHealthLog
from godwitshunt.consensus.status import MemberStatus
from godwitshunt.consensus.task import ConsensusTask
from godwitshunt.exceptions import FrameError
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.settings import Address
from godwitshunt.telemetry import log_change
from godwitshunt.timer import Subscription, Timer

CHECK_PERIOD_S = 0.25
JOIN_TIMEOUT_S = 0.8
# Members that took the same change for done ask again; the leader is new to
# them for a moment after an election, and its view of silence with it.
SETTLE_S = 1.5
# Without a leader's message for so long a replica asks to be let in: it may
# have been taken out while it was cut off. Above the time of an election.
LEADERLESS_S = 2.5


@dataclass
class Healer:
    """Asks to join while this replica hears no leader; heals where it leads.

    Parameters
    ----------
    consensus : ConsensusTask
        This replica.
    known : callable
        Returns the peer addresses of control VMs, as far as they are known.
    links : PeerLinks
        To those VMs.
    timer : Timer
        Monotonic time and the period.
    options : HealingOptions
        Sizes and durations.
    """

    consensus: ConsensusTask
    known: Callable[[], tuple[Address, ...]]
    links: PeerLinks
    timer: Timer
    options: HealingOptions = field(default_factory=HealingOptions)
    candidates: dict[str, Candidate] = field(default_factory=dict)
    led_since_s: float | None = None
    subscription: Subscription | None = None
    joining: bool = False
    changing: bool = False
    told_leader: Address | None = None
    asked: tuple[Address, ...] = ()
    health: VoterHealthLog = field(init=False)

    def __post_init__(self) -> None:
        """Create what follows from the parameters."""
        self.health = VoterHealthLog(self.consensus.metrics)

    def start(self) -> None:
        """Take others' requests to join, and begin to check."""
        self.links.subscribe(MessageKind.replica_join, self.on_join)
        self.subscription = self.timer.every(CHECK_PERIOD_S, self.check)

    async def close(self) -> None:
        """Check no more."""
        if self.subscription is not None:
            self.subscription.cancel()

    def check(self) -> None:
        """Begin what is due: a request to join, or a change of members."""
        leadership = self.consensus.leadership()
        now_s = self.timer.now()
        if not leadership.is_leader:
            self.led_since_s = None
            self.health.reset()
            if leadership.name is None or self.silence_s() > LEADERLESS_S:
                self.background('joining', self.join)
            return
        if self.led_since_s is None:
            self.led_since_s = now_s
        led_s = now_s - self.led_since_s
        members = heard_while_leading(self.consensus.members(), led_s)
        self.health.note(members, led_s)
        if now_s - self.led_since_s >= SETTLE_S:
            self.background('changing', self.heal)

    def silence_s(self) -> float:
        """Return how long no leader's message has come here, in seconds."""
        return self.timer.now() - self.consensus.replica.state.heard_s

    def background(self, flag: str, work: Callable) -> None:
        """Run work in a task unless the last one is still under way."""
        if not getattr(self, flag):
            setattr(self, flag, True)
            self.consensus.spawn(self.guard(flag, work))

    async def guard(self, flag: str, work: Callable) -> None:
        """Do work; note that it is over however it ends."""
        try:
            await work()
        except FrameError as bad:
            log_change('consensus:join_malformed', fault=str(bad))
        finally:
            setattr(self, flag, False)

    async def join(self) -> None:
        """Tell every known control VM, the leader first, that we are here."""
        identity = self.consensus.identity()
        own = self.consensus.options.address
        body = encode(
            wire.JoinRequest(
                replica=replica_name(identity.replica),
                host=own.host,
                port=own.port,
            ),
        )
        told = () if self.told_leader is None else (self.told_leader,)
        targets = tuple(dict.fromkeys((*told, *self.known())))
        self.log_join(targets)
        for address in targets:
            if address == own:
                continue
            answer = await self.links.call(
                address,
                MessageKind.replica_join,
                body,
                JOIN_TIMEOUT_S,
            )
            if isinstance(answer, Ok) and self.hear_join(answer.ok_value):
                return

    def log_join(self, targets: tuple[Address, ...]) -> None:
        """Log whom this replica asks to be let in, when that changes."""
        if targets != self.asked:
            self.asked = targets
            log_change(
                'consensus:join_asked',
                targets=[str(one) for one in targets],
                named_leader=str(self.told_leader),
                silent_s=round(self.silence_s(), 3),
            )

    def hear_join(self, body: bytes) -> bool:
        """Take the reply to a request to join; True from a leader."""
        reply = decode(wire.JoinReply, body)
        self.told_leader = None
        if reply.host:
            self.told_leader = Address(host=reply.host, port=reply.port)
        return bool(reply.leads)

    async def on_join(self, sender: str, body: bytes) -> bytes:
        """Note who asks to join, where this replica leads."""
        asked = decode(wire.JoinRequest, body)
        replica = read_replica(asked.replica)
        if replica.name != sender:
            raise FrameError(f'{sender} asked as {replica}')
        leadership = self.consensus.leadership()
        if leadership.is_leader:
            address = Address(host=asked.host, port=asked.port)
            now_s = self.timer.now()
            self.candidates[sender] = Candidate(replica, address, now_s)
        reply = wire.JoinReply(leads=leadership.is_leader)
        leader = self.leader_address(leadership.name)
        if leader is not None:
            reply.host = leader.host
            reply.port = leader.port
        return encode(reply)

    def leader_address(self, name: str | None) -> Address | None:
        """Return where the leader is reached, as the log states it."""
        for member in self.consensus.members():
            if member.replica.name == name and member.voter:
                return member.address
        return None

    async def heal(self) -> None:
        """Make the one change of members that is due."""
        now_s = self.timer.now()
        led_s = now_s - (self.led_since_s or now_s)
        change = next_change(
            heard_while_leading(self.consensus.members(), led_s),
            self.candidates.values(),
            self.options,
            now_s,
        )
        if change is not None:
            await self.make(change)

    async def make(self, change: MemberChange) -> None:
        """Commit a change; the next check decides anew, whatever comes."""
        changed = await self.consensus.change_members(change)
        outcome = 'committed'
        if isinstance(changed, Err):
            outcome = repr(changed.err_value)
        log_change(
            'consensus:membership_healed',
            change=repr(change),
            outcome=outcome,
        )


def heard_while_leading(
    members: tuple[MemberStatus, ...],
    led_s: float,
) -> tuple[MemberStatus, ...]:
    """Return members with no more silence than the leader could notice.

    A new leader has heard nothing of a member yet; taken for endless silence,
    the first check would replace voters that are alive.
    """
    return tuple(
        member
        if member.silent_s is None
        else replace(member, silent_s=min(member.silent_s, led_s))
        for member in members
    )
