"""News of upstreams under any cuts, freezes and restarts of control VMs.

Control VMs tell each other their tables and entry VMs ask one for all of them.
Whatever is cut between whom, an entry VM that reaches a control VM both ways
must soon know what that one acknowledged: an upstream that leaves exits 3 s
after its acknowledgement, and what it still gets then is lost.
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
# The bound that is stated where the age is set, with the time to the next look
# and the way there.
KNOWN_WITHIN_S = STALE_AFTER_S + POLL_PERIOD_S + 0.1


class News(RuleBasedStateMachine):
    """Three control VMs, three entry VMs, and what may happen to them."""

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
        # When each control VM acknowledged that an upstream leaves.
        self.acknowledged: dict[tuple[str, int], float] = {}
        self.reached_since: dict[tuple[int, int], float] = {}
        self.versions: dict[tuple[int, str], tuple[str, int]] = {}
        self.pass_time(0.3)

    def teardown(self):
        """Close what was opened."""
        if hasattr(self, 'loop'):
            self.loop.close()

    @property
    def now_s(self):
        """The time that has passed."""
        return self.deployment.timer.now()

    @rule(name=st.sampled_from('xyz'), control=st.sampled_from(CONTROLS))
    def announce(self, name, control):
        """Let an upstream announce itself to one control VM."""
        if (name, control) in self.acknowledged:
            return
        self.sequence += 1
        told = announced(name, self.sequence, port=80 + ord(name))
        self.deployment.controls[control].announce(told)
        self.live.add(name)

    @precondition(lambda machine: machine.live)
    @rule(
        control=st.sampled_from(CONTROLS),
        says_good_bye=st.booleans(),
        data=st.data(),
    )
    def leave(self, control, says_good_bye, data):
        """Let an upstream leave; it says so to one control VM."""
        name = data.draw(st.sampled_from(sorted(self.live)))
        service = self.deployment.controls[control]
        self.sequence += 1
        if says_good_bye:
            service.withdraw(name)
        else:
            port = 80 + ord(name)
            told = announced(name, self.sequence, port=port, draining=True)
            service.announce(told)
        self.live.discard(name)
        self.acknowledged.setdefault((name, control), self.now_s)

    @rule(pair=st.sampled_from(tuple(combinations(VMS, 2))), both=st.booleans())
    def cut_pair(self, pair, both):
        """Let nothing pass between two VMs, or only one way."""
        self.cut(pair, both)

    def cut(self, pair, both):
        """Cut two VMs off from one another, or the first from the second."""
        one, other = map(address, pair)
        self.deployment.network.cut.add((one, other))
        if both:
            self.deployment.network.cut.add((other, one))
        self.note_reach()

    @rule(number=st.sampled_from(CONTROLS), one_way=st.booleans())
    def split_control(self, number, one_way):
        """Cut a control VM off from the others, not from entry VMs."""
        for other in CONTROLS:
            if other != number:
                self.cut((number, other), not one_way)

    @rule(number=st.sampled_from(CONTROLS))
    def freeze(self, number):
        """Let a control VM stand still."""
        self.deployment.network.frozen.add(address(number))
        self.note_reach()

    @rule()
    def heal(self):
        """Let everything pass again."""
        self.deployment.network.heal()
        self.note_reach()

    @rule(number=st.sampled_from(CONTROLS))
    def restart(self, number):
        """Let a control VM's process start anew; its disk keeps its table."""
        before = self.deployment.controls[number]
        service = self.deployment.restart(number)
        ends = before.upstreams.gone_since(0)
        kept = [one.announcement for one in before.upstreams.entries.values()]
        service.upstreams.restore(kept, ends, self.now_s)

    @rule(seconds=st.floats(0.1, 3.0))
    def wait(self, seconds):
        """Let time pass."""
        self.pass_time(seconds)

    def pass_time(self, seconds):
        """Let VMs ask as they do by themselves."""
        self.note_reach()
        ends_s = self.now_s + seconds
        while self.now_s < ends_s:
            self.deployment.timer.advance(POLL_PERIOD_S)
            self.run(self.deployment.exchange())
            for watch in self.watches.values():
                self.run(self.ask_due(watch))

    async def ask_due(self, watch):
        """Let an entry VM ask the control VMs that it asks by itself."""
        due = watch.contacts.to_ask(
            watch.known_control(),
            self.now_s,
            watch.period_s(),
        )
        for control in self.deployment.addresses:
            if str(control) in due:
                await watch.poll(control)

    def run(self, work):
        """Run a coroutine."""
        self.loop.run_until_complete(work)

    def note_reach(self):
        """Note since when each entry VM reaches each control VM."""
        network = self.deployment.network
        for entry in ENTRIES:
            for control in CONTROLS:
                there, back = address(entry), address(control)
                reaches = network.passes(there, back) and network.passes(
                    back, there
                )
                if reaches:
                    self.reached_since.setdefault((entry, control), self.now_s)
                else:
                    self.reached_since.pop((entry, control), None)

    @invariant()
    def a_leaving_is_known_in_time(self):
        """Check that an acknowledged leaving is known to all who reach."""
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
    def no_table_goes_back(self):
        """Check that a version of one process never falls."""
        if not hasattr(self, 'versions'):
            return
        for entry, watch in self.watches.items():
            for control, table in watch.merged.tables.items():
                before = self.versions.get((entry, control), ('', 0))
                if before[0] == table.source:
                    assert table.version >= before[1]
                self.versions[entry, control] = (table.source, table.version)


TestNews = News.TestCase
TestNews.settings = settings(
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
)
