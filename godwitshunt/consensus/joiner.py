"""Asks control VMs to let this replica into the cluster."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err

from godwitshunt.consensus.codec import replica_name
from godwitshunt.consensus.contacts import Contacts
from godwitshunt.consensus.gen.wire import ttypes as wire
from godwitshunt.consensus.task import ConsensusTask
from godwitshunt.exceptions import FrameError
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.settings import Address
from godwitshunt.telemetry import log_change
from godwitshunt.timer import Timer

JOIN_TIMEOUT_S = 0.8


@dataclass
class Joiner:
    """Asks every control VM that it knows or is told of, all at once.

    A replica without its disk knows the VMs of its settings only. Those may
    have lost theirs, too, and none of them needs to lead: the replies name
    further VMs, which are asked in the same round.

    Parameters
    ----------
    consensus : ConsensusTask
        This replica.
    known : callable
        Returns the peer addresses of control VMs, as far as they are known.
    links : PeerLinks
        To those VMs.
    timer : Timer
        Monotonic time.
    """

    consensus: ConsensusTask
    known: Callable[[], tuple[Address, ...]]
    links: PeerLinks
    timer: Timer
    contacts: Contacts = field(default_factory=Contacts)
    logged: frozenset[Address] = frozenset()

    async def join(self) -> None:
        """Ask until a leader has answered, or everybody was asked."""
        body = self.request()
        asked = set(self.targets())
        self.log_round(asked)
        pending = self.spawn(asked, body)
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if any(one.result() for one in done):
                    return
                named = set(self.targets()).difference(asked)
                asked.update(named)
                pending |= self.spawn(named, body)
        finally:
            for task in pending:
                task.cancel()

    def spawn(
        self,
        addresses: set[Address],
        body: bytes,
    ) -> set[asyncio.Task[bool]]:
        """Start to ask VMs."""
        return {
            asyncio.create_task(self.ask(address, body))
            for address in addresses
        }

    def request(self) -> bytes:
        """Return the encoded request of this replica."""
        own = self.consensus.options.address
        return encode(
            wire.JoinRequest(
                replica=replica_name(self.consensus.identity().replica),
                host=own.host,
                port=own.port,
            ),
        )

    def targets(self) -> tuple[Address, ...]:
        """Return the addresses of all VMs to ask."""
        named = self.contacts.named(self.timer.now())
        known = dict.fromkeys((*named, *self.known()))
        own = self.consensus.options.address
        return tuple(address for address in known if address != own)

    async def ask(self, address: Address, body: bytes) -> bool:
        """Ask one VM; tell whether it leads."""
        answer = await self.links.call(
            address,
            MessageKind.replica_join,
            body,
            JOIN_TIMEOUT_S,
        )
        if isinstance(answer, Err):
            return False
        try:
            return self.handle_reply(address, answer.ok_value)
        except FrameError as bad:
            log_change(
                'consensus:join_malformed',
                sender=str(address),
                fault=str(bad),
            )
            return False

    def handle_reply(self, address: Address, body: bytes) -> bool:
        """Note whom a reply names; True if it comes from a leader."""
        reply = decode(wire.JoinReply, body)
        now_s = self.timer.now()
        self.contacts.note_answer(address, now_s)
        self.contacts.note_named(read_contacts(reply), now_s)
        return bool(reply.leads)

    def log_round(self, targets: set[Address]) -> None:
        """Log whom this replica asks to be let in, when that changes."""
        if targets == self.logged:
            return
        self.logged = frozenset(targets)
        heard_s = self.consensus.replica.state.heard_s
        log_change(
            'consensus:join_asked',
            targets=sorted(map(str, targets)),
            silent_s=round(self.timer.now() - heard_s, 3),
        )


def read_contacts(reply: wire.JoinReply) -> list[Address]:
    """Return the addresses that a reply names, the leader's last."""
    named = [
        Address(host=one.host, port=one.port) for one in reply.contacts or ()
    ]
    if reply.host:
        named.append(Address(host=reply.host, port=reply.port))
    return named
