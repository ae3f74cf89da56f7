"""Promises of grants under any order of events, delays, losses, restarts.

Guards against capacity that is granted twice, a grant that is spent twice, and
requests that run by a grant after its end.
"""

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from godwitshunt.grants import (
    GRANT_TTL_S,
    Capacity,
    GrantNews,
    GrantQuery,
    GrantUse,
    Redemption,
    RegionGrants,
)

SERVICE = 'chat'
ONE_WAY_S = 0.05
TOKENS = 10.0
QUERY = GrantQuery(SERVICE, TOKENS)
REGIONS = ('a', 'b', 'c')
# Two regions have two pickers; entry VMs of a region query one or both.
PICKERS = {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b', 'c1': 'c'}
SLOTS = {'a': 12, 'b': 7, 'c': 3}
pickers = st.sampled_from(sorted(PICKERS))
regions = st.sampled_from(REGIONS)


@dataclass
class HandOver:
    """A request on its way with the grant that it names."""

    use: GrantUse
    granter: str
    sent_s: float


@dataclass
class Message:
    """News of a picker, possibly delayed or repeated."""

    control: str
    source: str
    news: GrantNews
    made_s: float


@dataclass
class State:
    """What the promises are checked against."""

    now_s: float = 100.0
    starts: int = 0
    redeemed: set = field(default_factory=set)
    spent: set = field(default_factory=set)
    ends: dict = field(default_factory=dict)
    running: dict = field(default_factory=lambda: dict.fromkeys(REGIONS, 0))


class Grants(RuleBasedStateMachine):
    """Five pickers in three regions; a network that does anything."""

    def __init__(self) -> None:
        super().__init__()
        self.state = State()
        self.messages: list[Message] = []
        self.handovers: list[HandOver] = []
        self.pickers: dict[str, RegionGrants] = {}
        for name in PICKERS:
            self.start(name, reporters=int(name.endswith('1')))

    def start(self, name: str, reporters: int) -> None:
        """Start a picker's process without memory of the previous one."""
        self.state.starts += 1
        self.pickers[name] = RegionGrants.from_config(
            name,
            PICKERS[name],
            f'{name}~{self.state.starts}',
            lambda _: ONE_WAY_S,
            self.state.now_s,
        )
        self.pickers[name].reporters = reporters

    def room(self, region: str) -> Capacity:
        """Return what is free in a region."""
        free = SLOTS[region] - self.state.running[region]
        return Capacity(free, free * TOKENS)

    @rule(seconds=st.sampled_from((0.01, 0.05, 0.2, 0.3, 0.7)))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.state.now_s += seconds

    @rule(name=pickers)
    def issue(self, name: str) -> None:
        """Grant, and send the news to all others."""
        picker = self.pickers[name]
        now_s = self.state.now_s
        region = PICKERS[name]
        self.exchange_in_region(name)
        others = [other for other in REGIONS if other != region]
        grants = picker.issue({SERVICE: self.room(region)}, others, now_s)
        for grant in grants:
            self.state.ends[grant.source, grant.number] = grant.expires_s
        news = picker.make_news({}, now_s)
        source = picker.issuer.source
        self.messages.append(Message(name, source, news, now_s))

    def exchange_in_region(self, name: str) -> None:
        """Bring the news of the region's other pickers up to date.

        Pickers of a region that do not hear each other grant by shares of what
        each believes to be free, which no message keeps exact.
        """
        now_s = self.state.now_s
        for other, region in PICKERS.items():
            if other != name and region == PICKERS[name]:
                news = self.pickers[other].make_news({}, now_s)
                self.pickers[name].receive(other, region, news, now_s, now_s)

    @rule(name=pickers, count=st.integers(0, 2))
    def move_entries(self, name: str, count: int) -> None:
        """Let entry VMs begin or stop to query a picker."""
        self.exchange_in_region(name)
        self.pickers[name].record_reporters(count, self.state.now_s)

    @rule(name=pickers, position=st.integers(0, 50))
    def deliver(self, name: str, position: int) -> None:
        """Deliver any earlier message, in any order and any number of times.

        The receiver believes it to be recent, as one that was delayed on its
        way does not show it.
        """
        if not self.messages:
            return
        message = self.messages[-1 - position % len(self.messages)]
        if PICKERS[message.control] != PICKERS[name]:
            now_s = self.state.now_s
            self.pickers[name].receive(
                message.control,
                PICKERS[message.control],
                message.news,
                now_s - ONE_WAY_S,
                now_s,
            )

    @rule(name=pickers, region=regions)
    def spend(self, name: str, region: str) -> None:
        """Hand a request over, or learn that no grant permits it."""
        now_s = self.state.now_s
        picker = self.pickers[name]
        is_possible = picker.may_hand_over(region, QUERY, now_s)
        use = picker.spend(region, QUERY, now_s)
        assert is_possible == (use is not None)
        if use is None:
            return
        key = (name, picker.issuer.source, use)
        assert key not in self.state.spent, 'a picker spent a slot twice'
        self.state.spent.add(key)
        granter = use.source.partition('~')[0]
        assert PICKERS[granter] == region
        self.handovers.append(HandOver(use, granter, now_s))

    @rule(position=st.integers(0, 50), is_repeated=st.booleans())
    def arrive(self, position: int, *, is_repeated: bool) -> None:
        """Redeem a grant; the hand-over may be delayed or repeated."""
        if not self.handovers:
            return
        position %= len(self.handovers)
        handover = self.handovers[position]
        if not is_repeated:
            self.handovers.pop(position)
        self.redeem(handover)

    def redeem(self, handover: HandOver) -> None:
        """Redeem a grant and check that it is honoured once and in time."""
        use, now_s = handover.use, self.state.now_s
        picker = self.pickers[handover.granter]
        result = picker.redeem(use, QUERY, now_s)
        if result is not Redemption.honoured:
            return
        assert use not in self.state.redeemed, 'a slot was redeemed twice'
        assert now_s < self.state.ends[use.source, use.number]
        self.state.redeemed.add(use)
        self.state.running[PICKERS[handover.granter]] += 1

    @rule(region=regions)
    def start_own(self, region: str) -> None:
        """Start an own request in what no grant holds."""
        names = [name for name in PICKERS if PICKERS[name] == region]
        now_s = self.state.now_s
        held = sum(
            self.pickers[name].issuer.held(SERVICE, now_s).slots
            for name in names
        )
        first = self.pickers[names[0]]
        seen = first.unheld(SERVICE, self.room(region), now_s).slots
        if seen > 0 and held < self.room(region).slots:
            first.record_start(SERVICE, TOKENS, now_s)
            self.state.running[region] += 1

    @rule(region=regions)
    def end_one(self, region: str) -> None:
        """End a request of a region."""
        running = self.state.running[region]
        self.state.running[region] = max(0, running - 1)

    @rule(name=pickers)
    def overflow(self, name: str) -> None:
        """Record a request that found no room."""
        self.pickers[name].record_overflow(SERVICE, TOKENS, self.state.now_s)

    @rule(name=pickers)
    def restart(self, name: str) -> None:
        """Restart a picker; its grants are honoured no longer."""
        self.start(name, self.pickers[name].reporters)

    @invariant()
    def grants_no_more_than_there_is(self) -> None:
        """Check the grants of each picker against the free capacity."""
        now_s = self.state.now_s
        held = dict.fromkeys(REGIONS, Capacity())
        for name, picker in self.pickers.items():
            held[PICKERS[name]] += picker.issuer.held(SERVICE, now_s)
        for region, capacity in held.items():
            assert capacity.slots <= self.room(region).slots
            assert capacity.tokens <= self.room(region).tokens + 1e-6

    @invariant()
    def holds_nothing_after_expiry(self) -> None:
        """Check that no grant holds capacity for longer than its lifetime."""
        later_s = self.state.now_s + GRANT_TTL_S
        for picker in self.pickers.values():
            assert picker.issuer.held(SERVICE, later_s).slots == 0
            assert picker.holder.held(SERVICE, later_s).slots == 0


TestGrants = Grants.TestCase
TestGrants.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None
)
