"""A search for schedules of faults that break a promise of consensus.

The search is the same in every run. A longer one from another seed::

    GODWITSHUNT_SCHEDULES=2000 GODWITSHUNT_SEED=7 python -m pytest \
        godwitshunt/consensus/tests/test_schedules.py --timeout 0

A failing run prints its steps as JSON, to be kept in ``tests/traces``.
"""

import json
import os

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
)

from godwitshunt.consensus.tests.cluster import Cluster

SCHEDULES = int(os.environ.get('GODWITSHUNT_SCHEDULES', '0'))
SEED = int(os.environ.get('GODWITSHUNT_SEED', '0'))
# Making a failing schedule shorter may take minutes; CI only shows it.
PHASES = {
    False: (hypothesis.Phase.generate,),
    True: (hypothesis.Phase.generate, hypothesis.Phase.shrink),
}
NODES = st.integers(0, 4)
POSITIONS = st.integers(0, 30)
KINDS = st.sampled_from(('add', 'promote', 'remove'))


def has_spare_voter(machine) -> bool:
    """Tell whether one more disk may be lost, with a majority left."""
    replica = machine.cluster.nodes[machine.leader()].replica
    if replica is None:
        return False
    membership = replica.state.membership
    whole = set(membership.voters).difference(machine.cluster.lost)
    return len(whole) > membership.quorum


class Schedules(RuleBasedStateMachine):
    """Three voters and a spare node; every fault at any moment."""

    voters = 'abc'
    others = 'd'

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster.started(
            self.voters,
            self.others,
            rates={'b': 1.05},
        )
        self.steps: list[list] = []

    def take(self, *step) -> None:
        """Take and record a step."""
        self.steps.append(list(step))
        try:
            self.cluster.run([list(step)])
        except AssertionError:
            hypothesis.note(json.dumps(self.steps))
            raise

    def name(self, number: int) -> str:
        """Return one of the nodes."""
        names = self.voters + self.others
        return names[number % len(names)]

    @rule(seconds=st.sampled_from((0.1, 0.3, 0.8, 1.0, 2.0)))
    def advance(self, seconds):
        """Let time pass, with nothing done meanwhile."""
        self.take('advance', seconds)

    @rule(node=NODES)
    def tick(self, node):
        """Let a node notice the time."""
        self.take('tick', self.name(node))

    @rule(seconds=st.sampled_from((0.2, 0.5, 1.5, 3.0)))
    def settle(self, seconds):
        """Have a calm while, but for what is cut, stopped or frozen."""
        self.take('settle', seconds)

    @rule(positions=st.lists(POSITIONS, min_size=1, max_size=8))
    def deliver(self, positions):
        """Let messages arrive, in any order."""
        for position in positions:
            self.take('deliver', position)

    @rule(what=st.sampled_from(('drop', 'duplicate')), position=POSITIONS)
    def spoil(self, what, position):
        """Lose a message, or have it come twice."""
        self.take(what, position)

    @rule(sender=NODES, receiver=NODES)
    def cut(self, sender, receiver):
        """Break a link in one direction."""
        self.take('cut', self.name(sender), self.name(receiver))

    @rule(node=NODES)
    def isolate(self, node):
        """Cut a node off."""
        self.take('isolate', self.name(node))

    @rule()
    def heal(self):
        """Mend every link."""
        self.take('heal')

    @rule(what=st.sampled_from(('freeze', 'thaw')), node=NODES)
    def hold(self, what, node):
        """Have a node stand still, or go on."""
        self.take(what, self.name(node))

    @rule(node=NODES, kept_bytes=st.sampled_from((0, 7, 1000)))
    def crash(self, node, kept_bytes):
        """Lose power; some unsynced bytes may stay."""
        self.take('crash', self.name(node), kept_bytes)

    @rule(
        what=st.sampled_from(('crash_at', 'kill_at')),
        node=NODES,
        point=st.integers(0, 12),
    )
    def stop_at(self, what, node, point):
        """Lose power, or a process, around a later file system call."""
        self.take(what, self.name(node), point)

    @rule(nodes=st.lists(NODES, min_size=1, max_size=5))
    def restart(self, nodes):
        """Start stopped nodes again."""
        for node in nodes:
            self.take('restart', self.name(node))

    @precondition(has_spare_voter)
    @rule(node=NODES)
    def lose_folder(self, node):
        """Replace a disk by an empty one, and join as a learner."""
        name = self.name(node)
        self.take('lose_folder', name)
        self.take('restart', name)

    @rule(node=NODES, step_s=st.sampled_from((0.0, 0.2, 0.5)))
    def repair(self, node, step_s):
        """Have an operator replace the lost voter of a name."""
        name = self.name(node)
        lost = [str(one) for one in self.cluster.lost if one.name == name]
        changes = [('add', name), ('remove', max(lost, default=name))]
        for kind, member in (*changes, ('promote', name)):
            self.take('change', self.leader(), kind, member)
            self.take('settle', step_s)

    @rule(node=NODES)
    def snapshot(self, node):
        """Compact a log."""
        self.take('snapshot', self.name(node))

    @rule(count=st.integers(1, 4))
    def propose(self, count):
        """Have a program propose."""
        for number in range(count):
            text = f'p{len(self.steps)}.{number}'
            self.take('propose', self.leader(), text)

    @rule(kind=KINDS, member=NODES)
    def change(self, kind, member):
        """Have an operator change the members, wisely or not."""
        self.take('change', self.leader(), kind, self.name(member))

    def leader(self) -> str:
        """Return a replica that may be asked."""
        return self.cluster.leader() or self.voters[0]

    def teardown(self) -> None:
        """After the faults a live majority leads and commits."""
        try:
            self.cluster.recover()
        except AssertionError:
            hypothesis.note(json.dumps(self.steps))
            raise


class FiveVoters(Schedules):
    """Five voters, of which two may fail."""

    voters = 'abcde'
    others = ''


def configured(machine, examples: int):
    """Return the test case of a state machine."""
    if SCHEDULES:
        machine = hypothesis.seed(SEED)(machine)
    case = machine.TestCase
    case.settings = hypothesis.settings(
        max_examples=SCHEDULES or examples,
        stateful_step_count=40,
        derandomize=not SCHEDULES,
        phases=PHASES[bool(SCHEDULES)],
        deadline=None,
        report_multiple_bugs=False,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    return case


TestSchedules = configured(Schedules, 250)
TestFiveVoters = configured(FiveVoters, 100)
