"""Updates of upstreams under partitions, freezes and restarts of control VMs.

Control VMs exchange their tables and entry VMs poll one for all of them. In
any partition, an entry VM that reaches a control VM in both directions must
soon know what that control VM acknowledged: an upstream exits 3 s after its
departure is acknowledged, and requests that it receives then are lost.
"""

import asyncio
from itertools import combinations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from godwitshunt.registry.contacts import STALE_AFTER_S
from godwitshunt.registry.tests.deployment import Deployment, address
from godwitshunt.registry.tests.test_table import announced
from godwitshunt.registry.watch import POLL_PERIOD_S

CONTROLS = (1, 2, 3)
ENTRIES = (101, 102, 103)
VMS = CONTROLS + ENTRIES
# The bound on a table's age, the interval of checks and the network delay.
KNOWN_WITHIN_S = STALE_AFTER_S + POLL_PERIOD_S + 0.1


class UpdateSchedules(RuleBasedStateMachine):
    """Three control VMs and three entry VMs with random faults."""

    @initialize()
    def start(self):
        """Start all VMs; no upstream has announced itself yet."""
        self.loop = asyncio.new_event_loop()
        self.deployment = Deployment({1: 'a', 2: 'a', 3: 'b'})
        self.watches = {
            number: self.deployment.entry(number, 'a' if number < 103 else 'b')
            for number in ENTRIES
        }
        self.sequence = 0
        self.live: set[str] = set()
        # When each control VM acknowledged the departure of an upstream.
        self.acknowledged: dict[tuple[str, int], float] = {}
        self.reached_since: dict[tuple[int, int], float] = {}
        self.versions: dict[tuple[int, str], tuple[str, int]] = {}
        self.advance(0.3)

    def teardown(self):
        """Close the event loop."""
        if hasattr(self, 'loop'):
            self.loop.close()

    @property
    def now_s(self):
        """The current time, in seconds."""
        return self.deployment.timer.now()

    @rule(name=st.sampled_from('xyz'), control=st.sampled_from(CONTROLS))
    def announce(self, name, control):
        """Announce an upstream to one control VM."""
        if (name, control) in self.acknowledged:
            return
        self.sequence += 1
        announcement = announced(name, self.sequence, port=80 + ord(name))
        self.deployment.controls[control].announce(announcement)
        self.live.add(name)

    @precondition(lambda machine: machine.live)
    @rule(
        control=st.sampled_from(CONTROLS),
        withdraws=st.booleans(),
        data=st.data(),
    )
    def leave(self, control, withdraws, data):
        """Let an upstream withdraw from or drain at one control VM."""
        name = data.draw(st.sampled_from(sorted(self.live)))
        service = self.deployment.controls[control]
        self.sequence += 1
        if withdraws:
            service.withdraw(name)
        else:
            port = 80 + ord(name)
            announcement = announced(
                name,
                self.sequence,
                port=port,
                draining=True,
            )
            service.announce(announcement)
        self.live.discard(name)
        self.acknowledged.setdefault((name, control), self.now_s)

    @rule(pair=st.sampled_from(tuple(combinations(VMS, 2))), both=st.booleans())
    def cut_pair(self, pair, both):
        """Cut the connection of two VMs in one or both directions."""
        self.cut(pair, both)

    def cut(self, pair, both):
        """Lose the messages between two VMs in one or both directions."""
        sender, receiver = map(address, pair)
        self.deployment.network.cut.add((sender, receiver))
        if both:
            self.deployment.network.cut.add((receiver, sender))
        self.record_reach()

    @rule(number=st.sampled_from(CONTROLS), one_way=st.booleans())
    def split_control(self, number, one_way):
        """Cut a control VM off from the other control VMs only."""
        for other in CONTROLS:
            if other != number:
                self.cut((number, other), not one_way)

    @rule(number=st.sampled_from(CONTROLS))
    def freeze(self, number):
        """Freeze a control VM."""
        self.deployment.network.frozen.add(address(number))
        self.record_reach()

    @rule()
    def heal(self):
        """Remove all cuts and freezes."""
        self.deployment.network.heal()
        self.record_reach()

    @rule(number=st.sampled_from(CONTROLS))
    def restart(self, number):
        """Restart a control VM's process, with its table from disk."""
        before = self.deployment.controls[number]
        service = self.deployment.restart(number)
        ends = before.upstreams.ended_since(0)
        stored = [
            entry.announcement for entry in before.upstreams.entries.values()
        ]
        service.upstreams.restore(stored, ends, self.now_s)

    @rule(seconds=st.floats(0.1, 3.0))
    def wait(self, seconds):
        """Advance the time."""
        self.advance(seconds)

    def advance(self, seconds):
        """Advance the time while all VMs poll."""
        self.record_reach()
        ends_s = self.now_s + seconds
        while self.now_s < ends_s:
            self.deployment.timer.advance(POLL_PERIOD_S)
            self.run(self.deployment.exchange())
            for watch in self.watches.values():
                self.run(self.poll_due(watch))

    async def poll_due(self, watch):
        """Let an entry VM poll the control VMs that are due."""
        due = watch.contacts.due(
            watch.known_controls(),
            self.now_s,
            watch.period_s(),
        )
        for control in self.deployment.addresses:
            if str(control) in due:
                await watch.poll(control)

    def run(self, coroutine):
        """Run a coroutine."""
        self.loop.run_until_complete(coroutine)

    def record_reach(self):
        """Record since when each entry VM reaches each control VM."""
        network = self.deployment.network
        for entry in ENTRIES:
            for control in CONTROLS:
                entry_at, control_at = address(entry), address(control)
                reaches = network.delivers(
                    entry_at, control_at
                ) and network.delivers(control_at, entry_at)
                if reaches:
                    self.reached_since.setdefault((entry, control), self.now_s)
                else:
                    self.reached_since.pop((entry, control), None)

    @invariant()
    def departures_are_known_in_time(self):
        """Check that entry VMs know what reachable VMs acknowledged."""
        if not hasattr(self, 'acknowledged'):
            return
        for (name, control), left_s in self.acknowledged.items():
            for entry, watch in self.watches.items():
                since_s = self.reached_since.get((entry, control), self.now_s)
                waited_s = self.now_s - max(left_s, since_s + KNOWN_WITHIN_S)
                if waited_s <= KNOWN_WITHIN_S:
                    continue
                watch.refresh(self.now_s)
                seen = watch.view().upstreams.get(name)
                assert seen is None or seen.announcement.draining, (name, entry)

    @invariant()
    def table_versions_never_fall(self):
        """Check that the table version of a process never falls."""
        if not hasattr(self, 'versions'):
            return
        for entry, watch in self.watches.items():
            for control, table in watch.merged.tables.items():
                before = self.versions.get((entry, control), ('', 0))
                if before[0] == table.source:
                    assert table.version >= before[1]
                self.versions[entry, control] = (table.source, table.version)


TestUpdateSchedules = UpdateSchedules.TestCase
TestUpdateSchedules.settings = settings(
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
)
