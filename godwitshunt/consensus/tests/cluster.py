"""Replicas on virtual time, with disks and a network that tests break.

Each step is a list of plain values, so that a schedule can be kept as JSON.
The promises of consensus are checked after every step.
"""

from dataclasses import dataclass, field
from random import Random

from godwitshunt.consensus import events as ev
from godwitshunt.consensus.batches import arrange
from godwitshunt.consensus.codec import decode_message, encode_message
from godwitshunt.consensus.folder import DataFolder
from godwitshunt.consensus.gen.wire import ttypes as wire
from godwitshunt.consensus.members import ReplicaId
from godwitshunt.consensus.messages import EntryKind, VoteReply
from godwitshunt.consensus.replica import Replica
from godwitshunt.consensus.state import ReplicaOptions, Role
from godwitshunt.consensus.tests.disk import MemoryFileSystem, PowerLoss
from godwitshunt.exceptions import StorageCorrupt, StorageError
from godwitshunt.peer import decode
from godwitshunt.settings import Address

OPTIONS = ReplicaOptions(
    election_timeout_s=1.0,
    heartbeat_s=0.2,
    append_bytes=64,
    chunk_bytes=8,
    retained_entries=2,
)
ADDRESS = Address(host='10.0.0.1', port=1)
TICK_S = 0.1


@dataclass
class Node:
    """A VM: its disk outlives the replica that runs on it."""

    name: str
    files: MemoryFileSystem = field(default_factory=MemoryFileSystem)
    replica: Replica | None = None
    folder: DataFolder | None = None
    frozen: bool = False
    rate: float = 1.0
    incarnations: int = 0
    applied: list[tuple[int, bytes]] = field(default_factory=list)
    error: StorageError | None = None

    def incarnation(self) -> str:
        """Return the next incarnation, the same in every run."""
        self.incarnations += 1
        return str(self.incarnations)

    @property
    def runs(self) -> bool:
        return self.replica is not None and not self.frozen


class Cluster:
    """Nodes by name, the messages under way, and what was promised."""

    def __init__(
        self,
        names: str,
        seed: int = 0,
        rates: dict[str, float] | None = None,
    ) -> None:
        self.time_s = 0.0
        self.seed = seed
        self.nodes = {
            name: Node(name, rate=(rates or {}).get(name, 1.0))
            for name in names
        }
        self.under_way: list[tuple[str, str, bytes]] = []
        self.cuts: set[tuple[str, str]] = set()
        self.leaders: dict[int, ReplicaId] = {}
        self.committed: dict[int, tuple[int, EntryKind, bytes]] = {}
        self.votes: dict[tuple[ReplicaId, int], ReplicaId] = {}
        self.results: dict[int, ev.Action] = {}
        self.accepted: dict[int, tuple[int, int]] = {}
        self.numbers = 0
        self.lost: set[ReplicaId] = set()
        for node in self.nodes.values():
            self.restart(node.name)

    @classmethod
    def started(cls, voters: str, others: str = '', seed: int = 0, rates=None):
        """Return a cluster whose first nodes are voters, the first leads."""
        cluster = cls(voters + others, seed, rates)
        first = cluster.nodes[voters[0]]
        cluster.step(first, ev.ClusterStarted(ADDRESS))
        cluster.settle(0.5)
        for name in voters[1:]:
            cluster.change(first.name, 'add', name)
            cluster.settle(0.5)
            cluster.change(first.name, 'promote', name)
            cluster.settle(0.5)
        return cluster

    def run(self, steps: list[list]) -> None:
        """Take recorded steps and check the promises after each."""
        for name, *arguments in steps:
            getattr(self, name)(*arguments)
            self.check()

    # Steps: what happens to the nodes and to the network.

    def advance(self, duration_s: float) -> None:
        self.time_s += duration_s

    def tick(self, name: str) -> None:
        self.step(self.nodes[name], ev.Tick())

    def settle(self, duration_s: float) -> None:
        """Let time pass; messages that are not cut arrive at once."""
        end_s = self.time_s + duration_s
        while self.time_s < end_s:
            self.advance(TICK_S)
            for name in self.nodes:
                self.tick(name)
                self.deliver_all()

    def deliver_all(self) -> None:
        for _ in range(200):
            if not self.under_way:
                return
            self.deliver(0)

    def deliver(self, position: int) -> None:
        """Deliver a message, which need not be the oldest."""
        if not self.under_way:
            return
        sender, receiver, body = self.under_way.pop(
            position % len(self.under_way),
        )
        node = self.nodes[receiver]
        if (sender, receiver) in self.cuts or node.replica is None:
            return
        message = decode_message(decode(wire.ReplicaMessage, body))
        self.step(node, ev.Received(message))

    def drop(self, position: int) -> None:
        if self.under_way:
            self.under_way.pop(position % len(self.under_way))

    def duplicate(self, position: int) -> None:
        if self.under_way:
            self.under_way.append(
                self.under_way[position % len(self.under_way)],
            )

    def cut(self, sender: str, receiver: str) -> None:
        """Lose all messages of one direction."""
        self.cuts.add((sender, receiver))

    def isolate(self, name: str) -> None:
        for other in self.nodes:
            self.cuts |= {(name, other), (other, name)}

    def heal(self) -> None:
        self.cuts.clear()

    def freeze(self, name: str) -> None:
        self.nodes[name].frozen = True

    def thaw(self, name: str) -> None:
        self.nodes[name].frozen = False

    def crash(self, name: str, kept_bytes: int = 0) -> None:
        """Stop a node; of what it had not synced some bytes may stay."""
        node = self.nodes[name]
        node.replica = None
        node.frozen = False
        node.files.lose_power(kept_bytes)

    def crash_at(self, name: str, point: int) -> None:
        """Stop a node before or after a later file system call."""
        self.nodes[name].files.stop_at = point

    def kill_at(self, name: str, point: int) -> None:
        """Kill only the process before or after a later file system call."""
        self.nodes[name].files.keeps_cache = True
        self.crash_at(name, point)

    def restart(self, name: str) -> None:
        node = self.nodes[name]
        if node.replica is not None:
            return
        node.error = None
        try:
            node.folder = DataFolder.open(node.files, name, node.incarnation)
        except PowerLoss:
            node.files.stop()
            return
        except StorageError as error:
            node.error = error
            return
        stored = node.folder.stored
        seed = f'{self.seed} {name} {node.incarnations}'
        node.replica = Replica.from_stored(
            stored,
            OPTIONS,
            Random(seed),
            self.now_s(node),
        )
        node.applied = []
        if stored.snapshot is not None:
            self.install(node, stored.snapshot.state)

    def lose_folder(self, name: str) -> None:
        """Put an empty disk into a node that is stopped."""
        node = self.nodes[name]
        self.lost.add(ReplicaId(name, str(node.incarnations)))
        self.crash(name)
        node.files = MemoryFileSystem()

    def corrupt(self, name: str, file: str, offset: int) -> None:
        self.crash(name)
        self.nodes[name].files.corrupt(file, offset)

    # Steps: what programs ask of a replica.

    def propose(self, name: str, text: str) -> int:
        self.numbers += 1
        payload = text.encode()
        self.step(self.nodes[name], ev.Proposed(((self.numbers, payload),)))
        return self.numbers

    def read(self, name: str) -> int:
        self.numbers += 1
        self.step(self.nodes[name], ev.ReadAsked(self.numbers))
        return self.numbers

    def change(self, name: str, kind: str, target: str) -> int:
        """Ask a node to add, promote or remove the target's incarnation."""
        self.numbers += 1
        target_name, _, incarnation = target.partition('/')
        current = str(self.nodes[target_name].incarnations)
        replica = ReplicaId(target_name, incarnation or current)
        change = {
            'add': ev.AddLearner(replica, ADDRESS),
            'promote': ev.PromoteLearner(replica),
            'remove': ev.RemoveMember(replica),
        }[kind]
        self.step(
            self.nodes[name],
            ev.ChangeProposed(self.numbers, change),
        )
        return self.numbers

    def snapshot(self, name: str) -> None:
        node = self.nodes[name]
        if node.replica is not None:
            state = b'\n'.join(b'%d %s' % one for one in node.applied)
            index = node.replica.state.applied_index
            self.step(node, ev.SnapshotTaken(index, state))

    # How a node carries actions out.

    def now_s(self, node: Node) -> float:
        return 1000 + self.time_s * node.rate

    def step(self, node: Node, event: ev.Event) -> None:
        """Give a node an event, and carry out what follows."""
        if not node.runs:
            return
        actions = node.replica.step(event, self.now_s(node))
        while actions and node.replica is not None:
            actions = self.carry_out(node, list(actions))

    def carry_out(self, node: Node, actions: list[ev.Action]):
        batch = arrange(actions)
        for early in batch.early:
            self.act(node, early)
        if batch.saves:
            try:
                node.folder.save(batch.saves)
            except PowerLoss:
                node.replica = None
                node.files.stop()
                return ()
        for late in batch.late:
            self.act(node, late)
        if not batch.saves:
            return ()
        log = node.replica.state.log
        synced = ev.Synced(log.last_index, log.last_term)
        return node.replica.step(synced, self.now_s(node))

    def act(self, node: Node, action: ev.Action) -> None:
        match action:
            case ev.Send(message):
                self.note_vote(node, message)
                receiver = message.header.receiver.name
                if (node.name, receiver) not in self.cuts:
                    body = encode_message(message)
                    self.under_way.append((node.name, receiver, body))
            case ev.Apply(entries):
                for entry in entries:
                    self.apply(node, entry)
            case ev.InstallState(snapshot):
                self.install(node, snapshot.state)
            case ev.ProposalAccepted(number, index, term):
                self.accepted[number] = (index, term)
            case _:
                self.results[action.number] = action

    def apply(self, node: Node, entry) -> None:
        """Note a committed entry, which must be the same everywhere."""
        seen = (entry.term, entry.kind, entry.payload)
        assert self.committed.setdefault(entry.index, seen) == seen
        if entry.kind is EntryKind.payload:
            node.applied.append((entry.index, entry.payload))

    def install(self, node: Node, state: bytes) -> None:
        lines = [line.split(b' ', 1) for line in state.splitlines()]
        installed = [(int(index), payload) for index, payload in lines]
        assert installed[: len(node.applied)] == node.applied
        node.applied = installed

    def recover(self) -> None:
        """Mend everything but lost disks; a majority must then lead."""
        self.heal()
        for node in self.nodes.values():
            node.files.stop_at = None
            node.files.keeps_cache = False
            node.frozen = False
            self.restart(node.name)
        self.settle(20.0)
        self.check()
        if self.leader() is None:
            assert not self.majority_is_alive()
            return
        self.propose(self.leader(), 'after')
        self.settle(1.0)
        self.check()
        assert 'after' in self.payloads()

    def majority_is_alive(self) -> bool:
        """Tell whether the best log of a live voter names a live majority."""
        states = [
            node.replica.state
            for node in self.nodes.values()
            if node.replica is not None
        ]
        alive = {state.identity for state in states}
        best = max(
            (
                (state.log.last_term, state.log.last_index, state.identity)
                for state in states
                if state.may_lead()
            ),
            default=None,
        )
        if best is None:
            return False
        membership = self.nodes[best[2].name].replica.state.membership
        return membership.has_quorum(alive)

    # Promises.

    def note_vote(self, node: Node, message) -> None:
        """One vote a term, never from an empty folder."""
        if not isinstance(message, VoteReply) or not message.granted:
            return
        assert node.replica.state.log.last_index > 0
        if not message.pre_vote:
            voter = (node.replica.identity, message.header.term)
            candidate = message.header.receiver
            assert self.votes.setdefault(voter, candidate) == candidate

    def check(self) -> None:
        """Check what must hold at every instant."""
        running = [one for one in self.nodes.values() if one.replica]
        leaders = [
            node.replica.state
            for node in running
            if node.replica.state.role is Role.leader
        ]
        for state in leaders:
            known = self.leaders.setdefault(state.term, state.identity)
            assert known == state.identity
        for state in leaders:
            # A frozen leader of an earlier term need not know what is new.
            if state.term == max(self.leaders):
                self.check_leader(state)
        leases = [
            node.replica.lease_remaining_s(self.now_s(node)) > 0
            for node in running
        ]
        assert sum(leases) <= 1
        for node in running:
            assert node.applied == self.committed_to(node)

    def committed_to(self, node: Node) -> list[tuple[int, bytes]]:
        """Return the payloads that a node must have applied."""
        last = node.replica.state.applied_index
        return [
            (index, payload)
            for index, (_, kind, payload) in sorted(self.committed.items())
            if kind is EntryKind.payload and index <= last
        ]

    def check_leader(self, state) -> None:
        """Check that a new leader has every committed entry."""
        for index, (term, _, _) in self.committed.items():
            held = state.log.term_at(index)
            assert held == term or index <= state.log.base_index

    # What tests ask.

    def leader(self) -> str | None:
        """Return the leader of the highest term that runs."""
        leading = [
            (node.replica.state.term, node.name)
            for node in self.nodes.values()
            if node.runs and node.replica.state.role is Role.leader
        ]
        return max(leading)[1] if leading else None

    def payloads(self) -> list[str]:
        """Return the committed payloads in their order."""
        return [
            payload.decode()
            for _, (_, kind, payload) in sorted(self.committed.items())
            if kind is EntryKind.payload
        ]

    def voters(self) -> list[str]:
        """Return the voters as the leader knows them."""
        state = self.nodes[self.leader()].replica.state
        return [str(voter) for voter in state.membership.voters]

    def is_corrupt(self, name: str) -> bool:
        return isinstance(self.nodes[name].error, StorageCorrupt)
