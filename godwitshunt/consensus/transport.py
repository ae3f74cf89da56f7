"""Messages between replicas over peer links, and who answers at an address."""

from collections.abc import Callable

from result import Err, Ok, Result

from godwitshunt.consensus.codec import (
    decode_message,
    encode_message,
    read_replica,
    read_reply_address,
    replica_name,
)
from godwitshunt.consensus.failures import Unreachable
from godwitshunt.consensus.gen.wire import ttypes as wire
from godwitshunt.consensus.members import ReplicaId
from godwitshunt.consensus.messages import Message
from godwitshunt.consensus.state import ReplicaState
from godwitshunt.consensus.status import Identity
from godwitshunt.exceptions import FrameError
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.settings import Address

IDENTIFY = wire.ReplicaMessage(identify=True)


class Transport:
    """Sends and receives the messages of one replica.

    Parameters
    ----------
    links : PeerLinks
        Carry the messages.
    address : Address
        Where peers reach this replica.
    """

    def __init__(self, links: PeerLinks, address: Address) -> None:
        self.links = links
        self.address = address
        self.received: Callable[[Message], None] | None = None
        self.state: ReplicaState | None = None
        self.told: dict[ReplicaId, Address] = {}

    def start(
        self,
        state: ReplicaState,
        received: Callable[[Message], None],
    ) -> None:
        """Receive messages for a replica; `received` gets each."""
        self.state = state
        self.received = received
        self.links.subscribe(MessageKind.consensus, self.receive)

    def stop(self) -> None:
        """Receive and send no more."""
        self.state = None

    def send(self, message: Message) -> None:
        """Send a message to its receiver, where its address is known."""
        receiver = message.header.receiver
        address = self.address_of(receiver)
        if address is None:
            return
        # A learner with an empty folder does not know the members yet.
        known = self.state.membership.is_voter(receiver)
        body = encode_message(message, None if known else self.address)
        self.links.notify(address, MessageKind.consensus, body)

    def address_of(self, replica: ReplicaId) -> Address | None:
        """Return a member's address, or the one that a stranger told."""
        if self.state is None:
            return None
        member = self.state.membership.find(replica)
        return self.told.get(replica) if member is None else member.address

    async def receive(self, sender: str, body: bytes) -> bytes | None:
        """Take a frame from a peer whose name is proven."""
        if self.state is None:
            return None
        envelope = decode(wire.ReplicaMessage, body)
        if envelope.identify:
            return encode_identity(self.identity())
        message = decode_message(envelope)
        if message.header.sender.name != sender:
            raise FrameError(f'{sender} sent as {message.header.sender}')
        told = read_reply_address(envelope)
        if told is not None:
            self.told[message.header.sender] = told
        self.received(message)
        return None

    def identity(self) -> Identity:
        """Return who answers here."""
        return Identity(self.state.identity, self.state.log.last_index == 0)

    async def identify(
        self,
        address: Address,
        timeout_s: float,
    ) -> Result[Identity, Unreachable]:
        """Ask who answers at an address."""
        answer = await self.links.call(
            address,
            MessageKind.consensus,
            encode(IDENTIFY),
            timeout_s,
        )
        match answer:
            case Ok(body):
                return Ok(decode_identity(body))
            case _:
                return Err(Unreachable(str(address)))


def encode_identity(identity: Identity) -> bytes:
    """Return the wire form of an identity."""
    return encode(
        wire.Identity(replica_name(identity.replica), identity.unused),
    )


def decode_identity(body: bytes) -> Identity:
    """Read the wire form of an identity."""
    identity = decode(wire.Identity, body)
    return Identity(read_replica(identity.replica), bool(identity.unused))
