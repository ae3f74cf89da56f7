"""A limit over all pickers: never more than it, and most of it for one.

What may be admitted in any window is the bound that operators state: the rate
times the window and the burst, a tenth more, and an allowance.
"""

from dataclasses import dataclass, field
from math import inf

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from godwitshunt.manifest import OrganisationLimit
from godwitshunt.organisations import (
    AdmissionShare,
    LimitPool,
    fixed_shares,
    usable_share,
)
from godwitshunt.organisations.limits import PEER_TIMEOUT_S

NAME = 'wards'
RATE = 100.0
LIMIT = OrganisationLimit(per_s=RATE, burst=RATE)
WINDOW_S = 8.0
OVERAGE = 0.1
# The users' largest organisation sends 683,000 tokens a second, and 190,000 are
# allowed besides.
ALLOWANCE = 0.28 * RATE
TELL_S = 0.2
WAY_S = 0.1
STEP_S = 0.05
REGIONS = {'a': ('a-1', 'a-2'), 'b': ('b-1', 'b-2'), 'c': ('c-1',)}
PICKERS = tuple(name for names in REGIONS.values() for name in names)
# Of its limit, what a hot organisation is to get.
PART_IN_CALM = 0.97
PART_IN_TROUBLE = 0.9
PART_ALL_CUT = 0.85
BOUND = (RATE * WINDOW_S + RATE) * (1 + OVERAGE) + ALLOWANCE


@dataclass
class Node:
    """One picker's process."""

    name: str
    process: int = 0
    pool: LimitPool = field(default_factory=LimitPool)
    heard: dict[str, float] = field(default_factory=dict)
    is_frozen: bool = False

    def start(self, now_s: float) -> None:
        """Begin anew, knowing nothing."""
        self.process += 1
        self.pool = LimitPool()
        self.pool.configure({NAME: LIMIT}, now_s, starts=True)
        self.heard = {}

    def standing(self, now_s: float) -> AdmissionShare:
        """Return what it may admit by."""
        fresh = {
            name: asof_s
            for name, asof_s in self.heard.items()
            if now_s - asof_s <= PEER_TIMEOUT_S
        }
        heard = {*fresh, self.name}
        return AdmissionShare(
            part=usable_share(self.name, REGIONS, PICKERS, heard),
            share=fixed_shares(REGIONS)[self.name],
            peers_seen_s=min(fresh.values(), default=inf),
            allowance=ALLOWANCE,
        )


@dataclass
class Fleet:
    """Pickers that tell each other, with faults; time passes by steps."""

    now_s: float = 0.0
    nodes: dict[str, Node] = field(default_factory=dict)
    cuts: set[tuple[str, str]] = field(default_factory=set)
    told: list = field(default_factory=list)
    admitted: list[tuple[float, float]] = field(default_factory=list)
    next_tell_s: float = 0.0

    def __post_init__(self) -> None:
        for name in PICKERS:
            self.nodes[name] = Node(name)
            self.nodes[name].start(self.now_s)

    def step(self, wanted_per_s: dict[str, float], cost: float = 5.0) -> None:
        """Let time pass; each picker is asked for what is wanted of it."""
        self.now_s += STEP_S
        self.deliver()
        if self.now_s >= self.next_tell_s:
            self.next_tell_s = self.now_s + TELL_S
            self.tell()
        for name, per_s in wanted_per_s.items():
            for _ in range(round(per_s * STEP_S / cost)):
                self.ask(name, cost)

    def ask(self, name: str, cost: float) -> bool:
        """Ask a picker for one request's admission."""
        node = self.nodes[name]
        if node.is_frozen:
            return False
        standing = node.standing(self.now_s)
        if node.pool.wait_s(NAME, cost, standing, self.now_s):
            return False
        node.pool.charge(NAME, cost, self.now_s)
        self.admitted.append((self.now_s, cost))
        return True

    def tell(self) -> None:
        """Send each picker's counts to all others; relays as pairs allow."""
        for node in self.nodes.values():
            if node.is_frozen:
                continue
            sums = dict(node.pool.admitted)
            for other in self.reached(node.name):
                self.told.append(
                    (self.now_s + WAY_S, self.now_s, node, other, sums),
                )

    def reached(self, name: str) -> set[str]:
        """Return the pickers that news of one comes to, over others too."""
        found = {name}
        ahead = [name]
        while ahead:
            one = ahead.pop()
            for other in PICKERS:
                if other not in found and (one, other) not in self.cuts:
                    found.add(other)
                    ahead.append(other)
        return found - {name}

    def deliver(self) -> None:
        """Let pickers hear what has arrived."""
        due = [one for one in self.told if one[0] <= self.now_s]
        self.told = [one for one in self.told if one[0] > self.now_s]
        for _, asof_s, sender, receiver, sums in due:
            node = self.nodes[receiver]
            if node.is_frozen:
                continue
            source = f'{sender.name} {sender.process}'
            share = fixed_shares(REGIONS)[sender.name]
            node.pool.apply_peer_totals(source, sums, asof_s, share)
            node.heard[sender.name] = asof_s

    def cut(self, region: str) -> None:
        """Cut a region off from the others, both ways."""
        here = REGIONS[region]
        for one in here:
            for other in set(PICKERS) - set(here):
                self.cuts.update(((one, other), (other, one)))

    def most_in_a_window(self) -> float:
        """Return the most that was admitted in any window."""
        most = 0.0
        total = 0.0
        first = 0
        for now_s, cost in self.admitted:
            total += cost
            while self.admitted[first][0] < now_s - WINDOW_S:
                total -= self.admitted[first][1]
                first += 1
            most = max(most, total)
        return most

    def part_of_limit(self, since_s: float) -> float:
        """Return the part of the limit that was admitted since a moment."""
        units = sum(cost for at_s, cost in self.admitted if at_s > since_s)
        return units / (RATE * (self.now_s - since_s))


ALL = AdmissionShare()
FIRST = {'a-1': 1.0, 'b-1': 1.0, 'c-1': 1.0}


def hot(times: float, regions: dict[str, float] = FIRST) -> dict[str, float]:
    """Return what pickers are asked for, together so many times the limit."""
    whole = sum(regions.values())
    return {name: times * RATE * part / whole for name, part in regions.items()}


def run(fleet: Fleet, wanted: dict[str, float], for_s: float) -> None:
    """Let time pass."""
    for _ in range(round(for_s / STEP_S)):
        fleet.step(wanted)


@pytest.mark.parametrize(
    'spread',
    [FIRST, {'a-1': 1.0}, {'a-1': 8.0, 'b-1': 1.0, 'c-1': 1.0}],
)
def test_hot_organisation_gets_its_limit_wherever_it_asks(spread):
    """One organisation sends seven times its limit, evenly or to one region.

    Divided for good, a region's share would bind it while the others idle.
    """
    fleet = Fleet()
    run(fleet, {}, 2.0)
    # What the burst gave at first is paid back within the first seconds.
    run(fleet, hot(7.0, spread), 22.0)
    assert fleet.part_of_limit(4.0) >= PART_IN_CALM
    assert fleet.most_in_a_window() <= BOUND


def test_regions_cut_from_each_other_stay_within_the_limit():
    """A region is cut off, admits on, and comes back to the others.

    With counts of its own only it would give the whole limit once more.
    """
    fleet = Fleet()
    run(fleet, hot(7.0), 4.0)
    fleet.cut('b')
    run(fleet, hot(7.0), 10.0)
    assert fleet.part_of_limit(6.0) >= PART_IN_TROUBLE
    fleet.cuts.clear()
    run(fleet, hot(7.0), 10.0)
    assert fleet.part_of_limit(16.0) >= PART_IN_TROUBLE
    assert fleet.most_in_a_window() <= BOUND


def test_all_regions_cut_from_each_other():
    """Each goes on with its fixed share, which adds up to the limit."""
    fleet = Fleet()
    run(fleet, hot(7.0), 4.0)
    for region in REGIONS:
        fleet.cut(region)
    run(fleet, hot(7.0), 12.0)
    assert fleet.part_of_limit(6.0) >= PART_ALL_CUT
    assert fleet.most_in_a_window() <= BOUND


def test_picker_that_is_killed_again_and_again():
    """A restarted picker knows nothing of what was admitted before.

    With a full bucket at each start it would give a burst each time.
    """
    fleet = Fleet()
    run(fleet, hot(7.0), 2.0)
    for _ in range(6):
        run(fleet, hot(7.0), 5.0)
        fleet.nodes['b-1'].start(fleet.now_s)
    assert fleet.part_of_limit(2.0) >= PART_IN_TROUBLE
    assert fleet.most_in_a_window() <= BOUND


def test_picker_that_starts_gives_no_burst_at_once():
    """All pickers are killed together, each five seconds.

    The limit's burst has been used by the processes before them.
    """
    fleet = Fleet()
    run(fleet, hot(7.0), 4.0)
    for node in fleet.nodes.values():
        node.start(fleet.now_s)
    before = len(fleet.admitted)
    run(fleet, hot(7.0), 0.2)
    units = sum(cost for _, cost in fleet.admitted[before:])
    # Until they hear each other each may take the limit's rate, no burst.
    assert units <= len(FIRST) * RATE * 0.2


def test_frozen_picker_does_not_wake_with_all_that_time_has_brought():
    """A picker stands still for six seconds and is asked at once again."""
    fleet = Fleet()
    run(fleet, hot(7.0), 4.0)
    fleet.nodes['a-1'].is_frozen = True
    run(fleet, hot(7.0), 6.0)
    fleet.nodes['a-1'].is_frozen = False
    run(fleet, hot(7.0), 6.0)
    assert fleet.most_in_a_window() <= BOUND


def test_silence_of_a_picker_leaves_no_debt():
    """A picker was frozen while the others admitted the whole limit.

    Charged with all of that at once it would refuse for seconds what the
    limit has room for.
    """
    pool = LimitPool()
    pool.configure({NAME: LIMIT}, 0.0, starts=False)
    pool.apply_peer_totals('b-1', {NAME: 0.0}, 0.0)
    assert not pool.wait_s(NAME, 5.0, ALL, 6.0)
    pool.apply_peer_totals('b-1', {NAME: 600.0}, 6.0)
    assert not pool.wait_s(NAME, 5.0, ALL, 6.2)


def test_lowered_limit_binds_at_once_and_a_raised_one_serves():
    """An operator lowers a limit far below demand, and raises it again."""
    pool = LimitPool()
    pool.configure({NAME: LIMIT}, 0.0, starts=False)
    low = OrganisationLimit(per_s=10.0, burst=10.0)
    assert not pool.wait_s(NAME, 50.0, ALL, 0.0)
    pool.configure({NAME: low}, 1.0, starts=False)
    admitted = 0.0
    for tick in range(160):
        now_s = 1.0 + tick * STEP_S
        if not pool.wait_s(NAME, 1.0, ALL, now_s):
            pool.charge(NAME, 1.0, now_s)
            admitted += 1.0
    assert admitted <= 10.0 * WINDOW_S + 10.0
    pool.configure({NAME: LIMIT}, 9.0, starts=False)
    assert not pool.wait_s(NAME, 5.0, ALL, 9.2)


def test_what_a_vm_admits_alone_counts_for_all():
    """A VM had no picker for a moment, and admitted by its own part."""
    pool = LimitPool()
    pool.configure({NAME: LIMIT}, 0.0, starts=False)
    pool.apply_vm_totals('vm-1', {}, 0.0)
    pool.apply_vm_totals('vm-1', {NAME: 80.0}, 0.1)
    pool.apply_vm_totals('vm-1', {NAME: 80.0}, 0.2)
    assert pool.admitted == {NAME: 80.0}
    assert pool.wait_s(NAME, 60.0, ALL, 0.2) > 0


def test_small_organisation_sends_several_prompts_at_once():
    """Each of its prompts is a third of what its limit allows in a second.

    Its region's share between two messages of the pickers is less than two
    of them; kept to that alone, every second one would be refused in calm.
    """
    pool = LimitPool()
    pool.configure({NAME: LIMIT}, 0.0, starts=False)
    told = AdmissionShare(share=0.3, peers_seen_s=0.9, allowance=4 * RATE)
    for _ in range(3):
        assert not pool.wait_s(NAME, 30.0, told, 1.0)
        pool.charge(NAME, 30.0, 1.0)
    assert pool.wait_s(NAME, 30.0, told, 1.0) > 0
    unreported_units = AdmissionShare(share=0.3, peers_seen_s=0.9)
    assert pool.wait_s(NAME, 30.0, unreported_units, 1.0) > 0


def test_larger_request_than_the_burst_is_admitted_by_a_full_bucket():
    """A prompt counts more than a second of its organisation's limit."""
    pool = LimitPool()
    pool.configure({NAME: LIMIT}, 0.0, starts=False)
    assert not pool.wait_s(NAME, 350.0, ALL, 0.0)
    pool.charge(NAME, 350.0, 0.0)
    # 250 are owed, and one for the next one.
    assert pool.wait_s(NAME, 1.0, ALL, 0.0) == pytest.approx(2.51)


class Limits(RuleBasedStateMachine):
    """Any cut, freeze, restart and demand; the bound holds in every window."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        run(self.fleet, {}, 1.5)

    @rule(
        times=st.sampled_from([0.5, 2.0, 7.0]),
        for_s=st.sampled_from([0.3, 1.0, 4.0]),
        spread=st.sampled_from([FIRST, {'a-1': 1.0}, {'b-1': 1.0, 'c-1': 3.0}]),
    )
    def demand(self, times, for_s, spread):
        """Let an organisation ask."""
        run(self.fleet, hot(times, spread), for_s)

    @rule(region=st.sampled_from(sorted(REGIONS)))
    def cut(self, region):
        """Cut a region off."""
        self.fleet.cut(region)

    @rule(one=st.sampled_from(PICKERS), other=st.sampled_from(PICKERS))
    def cut_pair(self, one, other):
        """Cut two pickers off from one another.

        Where packets pass one way only, no answer comes either way.
        """
        self.fleet.cuts.update(((one, other), (other, one)))

    @rule()
    def join(self):
        """Let all hear each other again."""
        self.fleet.cuts.clear()

    @rule(name=st.sampled_from(PICKERS))
    def restart(self, name):
        """Let a picker's process start anew."""
        self.fleet.nodes[name].start(self.fleet.now_s)

    @rule(name=st.sampled_from(PICKERS), frozen=st.booleans())
    def freeze(self, name, frozen):
        """Stop a picker, or let it go on."""
        self.fleet.nodes[name].is_frozen = frozen

    @invariant()
    def no_window_holds_more_than_the_bound(self):
        """Admit no more in a window than the bound."""
        assert self.fleet.most_in_a_window() <= BOUND


TestLimits = Limits.TestCase
TestLimits.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
)
