"""The task that joins a replica to its cluster and heals the membership."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from result import Err, Ok

from godwitshunt.consensus.codec import read_replica
from godwitshunt.consensus.events import AddLearner, MemberChange
from godwitshunt.consensus.failures import ChangeUnderway
from godwitshunt.consensus.gen.wire import ttypes as wire
from godwitshunt.consensus.healing import (
    Candidate,
    Candidates,
    HealingOptions,
    is_silent,
    next_change,
)
from godwitshunt.consensus.health import VoterHealthLog
from godwitshunt.consensus.joiner import Joiner
from godwitshunt.consensus.status import MemberStatus
from godwitshunt.consensus.task import ConsensusTask
from godwitshunt.exceptions import FrameError
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.settings import Address
from godwitshunt.telemetry import log_change
from godwitshunt.timer import Subscription, Timer

CHECK_PERIOD_S = 0.25
# Between two looks at a change that waits for others.
POLL_S = 0.05
# For so long after it was admitted a learner is looked at each POLL_S.
CATCH_UP_S = 2.0
# Without a leader's message for so long a voter asks to be let in: it may
# have been taken out while it was cut off. Above the time of an election.
LEADERLESS_S = 2.5
# A replica that is no voter cannot be elected, and has to ask for a leader.
LEADERLESS_LEARNER_S = 1.0
# A member that is silent for so long is asked which folder it has.
PROBE_AFTER_S = 0.5
PROBE_TIMEOUT_S = 0.8


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
    subscription: Subscription | None = None
    joining: asyncio.Task[None] | None = None
    healing: asyncio.Task[None] | None = None
    probing: set[Address] = field(default_factory=set)
    admitted_s: float = float('-inf')
    refused: tuple[MemberChange, str] | None = None
    candidates: Candidates = field(init=False)
    joiner: Joiner = field(init=False)
    health: VoterHealthLog = field(init=False)

    def __post_init__(self) -> None:
        """Create what follows from the parameters."""
        self.candidates = Candidates(self.options)
        self.joiner = Joiner(self.consensus, self.known, self.links, self.timer)
        self.health = VoterHealthLog(self.consensus.metrics)

    def start(self) -> None:
        """Accept others' requests to join, and begin to check."""
        self.links.subscribe(MessageKind.replica_join, self.on_join)
        self.subscription = self.timer.every(CHECK_PERIOD_S, self.check)
        self.check()

    async def close(self) -> None:
        """Check no more."""
        if self.subscription is not None:
            self.subscription.cancel()

    def check(self) -> None:
        """Begin what is due: a request to join, or changes of members."""
        leadership = self.consensus.leadership()
        if not leadership.is_leader:
            self.stop_healing()
            if leadership.name is None or self.is_leaderless():
                self.begin_join()
            return
        members = self.members()
        self.health.note(members, self.led_s())
        self.probe_silent(members)
        self.begin_healing()

    def is_leaderless(self) -> bool:
        """Tell whether no leader's message has come here for too long."""
        state = self.consensus.replica.state
        is_voter = state.membership.is_voter(state.identity)
        limit_s = LEADERLESS_S if is_voter else LEADERLESS_LEARNER_S
        return self.timer.now() - state.heard_s > limit_s

    def led_s(self) -> float:
        """Return for how long this replica has led, in seconds."""
        return self.timer.now() - self.consensus.replica.state.leader_since_s

    def members(self) -> tuple[MemberStatus, ...]:
        """Return the members, as far as this leader can know them."""
        return heard_while_leading(self.consensus.members(), self.led_s())

    def begin_join(self) -> None:
        """Ask to be let in, unless that is under way."""
        if self.joining is None or self.joining.done():
            self.joining = self.consensus.spawn(self.joiner.join())

    def begin_healing(self) -> None:
        """Make the changes that are due, unless that is under way."""
        if self.healing is None or self.healing.done():
            self.healing = self.consensus.spawn(self.heal())

    def stop_healing(self) -> None:
        """End the changes of a leadership that is over.

        A change that this replica proposed then would else be waited for,
        also where it leads again long before the wait ends.
        """
        self.health.reset()
        if self.healing is not None:
            self.healing.cancel()

    async def on_join(self, sender: str, body: bytes) -> bytes:
        """Note who asks to join, where this replica leads."""
        asked = decode(wire.JoinRequest, body)
        replica = read_replica(asked.replica)
        if replica.name != sender:
            raise FrameError(f'{sender} asked as {replica}')
        leadership = self.consensus.leadership()
        if leadership.is_leader:
            address = Address(host=asked.host, port=asked.port)
            self.candidates.note(
                Candidate(replica, address, self.timer.now()),
            )
            self.probe_replaced(sender)
            self.begin_healing()
        return encode(self.reply(leadership.is_leader, leadership.name))

    def reply(self, leads: bool, leader: str | None) -> wire.JoinReply:
        """Return the reply to a request to join."""
        named = [one.address for one in self.consensus.members()]
        named.extend(self.joiner.contacts.answering(self.timer.now()))
        reply = wire.JoinReply(
            leads=leads,
            contacts=[
                wire.PeerAddress(address.host, address.port)
                for address in dict.fromkeys(named)
            ],
        )
        address = self.leader_address(leader)
        if address is not None:
            reply.host = address.host
            reply.port = address.port
        return reply

    def leader_address(self, name: str | None) -> Address | None:
        """Return where the leader is reached, as the log states it."""
        for member in self.consensus.members():
            if member.replica.name == name and member.voter:
                return member.address
        return None

    def probe_silent(self, members: tuple[MemberStatus, ...]) -> None:
        """Ask silent members which folder they have.

        A VM that lost its disk may know nobody who could let it in, where
        all VMs of its settings lost theirs; its leader still knows where it
        is.
        """
        for member in members:
            if is_silent(member, PROBE_AFTER_S):
                self.begin_probe(member)

    def probe_replaced(self, name: str) -> None:
        """Ask a VM which folder it has, as it has asked to join."""
        for member in self.consensus.members():
            if member.replica.name == name:
                self.begin_probe(member)

    def begin_probe(self, member: MemberStatus) -> None:
        """Ask who answers at a member's address, unless that is under way."""
        if member.address not in self.probing:
            self.probing.add(member.address)
            self.consensus.spawn(self.probe(member))

    async def probe(self, member: MemberStatus) -> None:
        """Note a VM that answers with another folder than its member's."""
        try:
            found = await self.consensus.transport.identify(
                member.address,
                PROBE_TIMEOUT_S,
            )
        except FrameError as bad:
            log_change('consensus:probe_malformed', fault=str(bad))
            return
        finally:
            self.probing.discard(member.address)
        if isinstance(found, Err):
            return
        replica = found.ok_value.replica
        if replica.name != member.replica.name or replica == member.replica:
            return
        self.candidates.note(
            Candidate(
                replica,
                member.address,
                self.timer.now(),
                confirmed=True,
            ),
        )
        if self.consensus.leadership().is_leader:
            self.begin_healing()

    async def heal(self) -> None:
        """Make the changes of members that are due, one after the other."""
        while self.consensus.leadership().is_leader:
            change = next_change(
                self.members(),
                self.candidates.alive(self.timer.now()),
                self.options,
            )
            if change is None:
                if not self.awaits_learner():
                    return
                await asyncio.sleep(POLL_S)
            elif not await self.make(change):
                return

    def awaits_learner(self) -> bool:
        """Tell whether a learner that was just admitted has yet to catch up."""
        if self.timer.now() - self.admitted_s > CATCH_UP_S:
            return False
        return any(
            not member.voter and not member.caught_up
            for member in self.consensus.members()
        )

    async def make(self, change: MemberChange) -> bool:
        """Commit a change; tell whether the next one can be decided on."""
        began_s = self.timer.now()
        changed = await self.consensus.change_members(change)
        match changed:
            case Err(ChangeUnderway()):
                await asyncio.sleep(POLL_S)
                return True
            case Err(failure):
                self.log_refused(change, repr(failure))
                return False
            case Ok():
                self.refused = None
        now_s = self.timer.now()
        if isinstance(change, AddLearner):
            self.admitted_s = now_s
        log_change(
            'consensus:membership_healed',
            change=repr(change),
            took_s=round(now_s - began_s, 3),
            led_s=round(self.led_s(), 3),
        )
        self.note_health()
        return True

    def note_health(self) -> None:
        """Publish which voters answer, as this leader sees it."""
        if self.consensus.leadership().is_leader:
            self.health.note(self.members(), self.led_s())

    def log_refused(self, change: MemberChange, failure: str) -> None:
        """Log a change that failed, once in a row."""
        if self.refused != (change, failure):
            self.refused = (change, failure)
            log_change(
                'consensus:membership_not_healed',
                change=repr(change),
                failure=failure,
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
