"""A limit shared by all pickers is never exceeded and is almost fully usable.

The bound for any window is the one that operators set: the rate times the
window plus the burst, a tenth more, and an allowance.
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
OVERAGE_SHARE = 0.1
# The largest organisation of the users sends 683,000 tokens per second, with an
# allowance of 190,000.
ALLOWANCE = 0.28 * RATE
SEND_PERIOD_S = 0.2
NETWORK_DELAY_S = 0.1
STEP_S = 0.05
REGIONS = {'a': ('a-1', 'a-2'), 'b': ('b-1', 'b-2'), 'c': ('c-1',)}
PICKERS = tuple(name for names in REGIONS.values() for name in names)
# Minimum share of its limit that an organisation with excess demand gets.
PART_NORMAL = 0.97
PART_WITH_FAULTS = 0.9
PART_ALL_PARTITIONED = 0.85
BOUND = (RATE * WINDOW_S + RATE) * (1 + OVERAGE_SHARE) + ALLOWANCE


@dataclass
class PickerNode:
    """The process of one picker."""

    name: str
    process: int = 0
    pool: LimitPool = field(default_factory=LimitPool)
    report_times: dict[str, float] = field(default_factory=dict)
    is_frozen: bool = False

    def start(self, now_s: float) -> None:
        """Start a new process without any state."""
        self.process += 1
        self.pool = LimitPool()
        self.pool.configure({NAME: LIMIT}, now_s, starts=True)
        self.report_times = {}

    def admission_share(self, now_s: float) -> AdmissionShare:
        """Return the share of the limit that the picker may admit."""
        fresh = {
            name: asof_s
            for name, asof_s in self.report_times.items()
            if now_s - asof_s <= PEER_TIMEOUT_S
        }
        reachable = {*fresh, self.name}
        return AdmissionShare(
            part=usable_share(self.name, REGIONS, PICKERS, reachable),
            share=fixed_shares(REGIONS)[self.name],
            peers_seen_s=min(fresh.values(), default=inf),
            allowance=ALLOWANCE,
        )


@dataclass
class Fleet:
    """Simulated pickers that exchange totals, with faults, in time steps."""

    now_s: float = 0.0
    nodes: dict[str, PickerNode] = field(default_factory=dict)
    partitions: set[tuple[str, str]] = field(default_factory=set)
    messages: list = field(default_factory=list)
    admitted: list[tuple[float, float]] = field(default_factory=list)
    next_send_s: float = 0.0

    def __post_init__(self) -> None:
        for name in PICKERS:
            self.nodes[name] = PickerNode(name)
            self.nodes[name].start(self.now_s)

    def step(self, demand_per_s: dict[str, float], cost: float = 5.0) -> None:
        """Advance the time by one step with the demand at each picker."""
        self.now_s += STEP_S
        self.deliver()
        if self.now_s >= self.next_send_s:
            self.next_send_s = self.now_s + SEND_PERIOD_S
            self.send_totals()
        for name, per_s in demand_per_s.items():
            for _ in range(round(per_s * STEP_S / cost)):
                self.request(name, cost)

    def request(self, name: str, cost: float) -> bool:
        """Request an admission from a picker; return whether it is granted."""
        node = self.nodes[name]
        if node.is_frozen:
            return False
        admission_share = node.admission_share(self.now_s)
        if node.pool.wait_s(NAME, cost, admission_share, self.now_s):
            return False
        node.pool.charge(NAME, cost, self.now_s)
        self.admitted.append((self.now_s, cost))
        return True

    def send_totals(self) -> None:
        """Send the totals of each picker to all others, relayed if needed."""
        for node in self.nodes.values():
            if node.is_frozen:
                continue
            totals = dict(node.pool.admitted)
            for other in self.reachable(node.name):
                self.messages.append(
                    (
                        self.now_s + NETWORK_DELAY_S,
                        self.now_s,
                        node,
                        other,
                        totals,
                    ),
                )

    def reachable(self, name: str) -> set[str]:
        """Return the pickers that a picker reaches directly or by relay."""
        visited = {name}
        queue = [name]
        while queue:
            picker = queue.pop()
            for other in PICKERS:
                if (
                    other not in visited
                    and (picker, other) not in self.partitions
                ):
                    visited.add(other)
                    queue.append(other)
        return visited - {name}

    def deliver(self) -> None:
        """Deliver the messages that have arrived."""
        due = [message for message in self.messages if message[0] <= self.now_s]
        self.messages = [
            message for message in self.messages if message[0] > self.now_s
        ]
        for _, asof_s, sender, receiver, totals in due:
            node = self.nodes[receiver]
            if node.is_frozen:
                continue
            source = f'{sender.name} {sender.process}'
            share = fixed_shares(REGIONS)[sender.name]
            node.pool.apply_peer_totals(source, totals, asof_s, share)
            node.report_times[sender.name] = asof_s

    def partition(self, region: str) -> None:
        """Partition a region from the others in both directions."""
        inside = REGIONS[region]
        for picker in inside:
            for other in set(PICKERS) - set(inside):
                self.partitions.update(((picker, other), (other, picker)))

    def max_in_window(self) -> float:
        """Return the maximum of admitted units in any window."""
        maximum = 0.0
        total = 0.0
        first = 0
        for now_s, cost in self.admitted:
            total += cost
            while self.admitted[first][0] < now_s - WINDOW_S:
                total -= self.admitted[first][1]
                first += 1
            maximum = max(maximum, total)
        return maximum

    def part_of_limit(self, since_s: float) -> float:
        """Return the share of the limit that was admitted since a time."""
        units = sum(cost for at_s, cost in self.admitted if at_s > since_s)
        return units / (RATE * (self.now_s - since_s))


FULL_SHARE = AdmissionShare()
PRIMARY_PICKERS = {'a-1': 1.0, 'b-1': 1.0, 'c-1': 1.0}


def demand_units(
    factor: float, regions: dict[str, float] = PRIMARY_PICKERS
) -> dict[str, float]:
    """Return the demand at each picker, in total a multiple of the limit."""
    total = sum(regions.values())
    return {
        name: factor * RATE * part / total for name, part in regions.items()
    }


def run(fleet: Fleet, demand: dict[str, float], for_s: float) -> None:
    """Advance the time under a constant demand."""
    for _ in range(round(for_s / STEP_S)):
        fleet.step(demand)


@pytest.mark.parametrize(
    'spread',
    [PRIMARY_PICKERS, {'a-1': 1.0}, {'a-1': 8.0, 'b-1': 1.0, 'c-1': 1.0}],
)
def test_excess_demand_gets_the_whole_limit_in_any_region(spread):
    """One organisation sends seven times its limit, evenly or to one region.

    With a fixed division it would get one region's share while the others'
    shares are unused.
    """
    fleet = Fleet()
    run(fleet, {}, 2.0)
    # The first seconds are excluded, because they include the initial burst.
    run(fleet, demand_units(7.0, spread), 22.0)
    assert fleet.part_of_limit(4.0) >= PART_NORMAL
    assert fleet.max_in_window() <= BOUND


def test_partitioned_regions_stay_within_the_limit():
    """A region is partitioned, continues to admit, and is reconnected.

    With only its own totals it would admit the whole limit a second time.
    """
    fleet = Fleet()
    run(fleet, demand_units(7.0), 4.0)
    fleet.partition('b')
    run(fleet, demand_units(7.0), 10.0)
    assert fleet.part_of_limit(6.0) >= PART_WITH_FAULTS
    fleet.partitions.clear()
    run(fleet, demand_units(7.0), 10.0)
    assert fleet.part_of_limit(16.0) >= PART_WITH_FAULTS
    assert fleet.max_in_window() <= BOUND


def test_all_regions_partitioned_from_each_other():
    """Each admits its fixed share; together these are the limit."""
    fleet = Fleet()
    run(fleet, demand_units(7.0), 4.0)
    for region in REGIONS:
        fleet.partition(region)
    run(fleet, demand_units(7.0), 12.0)
    assert fleet.part_of_limit(6.0) >= PART_ALL_PARTITIONED
    assert fleet.max_in_window() <= BOUND


def test_repeatedly_killed_picker():
    """A restarted picker does not know what was admitted before.

    With a full bucket at each start it would admit a burst each time.
    """
    fleet = Fleet()
    run(fleet, demand_units(7.0), 2.0)
    for _ in range(6):
        run(fleet, demand_units(7.0), 5.0)
        fleet.nodes['b-1'].start(fleet.now_s)
    assert fleet.part_of_limit(2.0) >= PART_WITH_FAULTS
    assert fleet.max_in_window() <= BOUND


def test_restarted_pickers_admit_no_burst():
    """All pickers are killed together.

    The processes before them have already used the burst of the limit.
    """
    fleet = Fleet()
    run(fleet, demand_units(7.0), 4.0)
    for node in fleet.nodes.values():
        node.start(fleet.now_s)
    before = len(fleet.admitted)
    run(fleet, demand_units(7.0), 0.2)
    units = sum(cost for _, cost in fleet.admitted[before:])
    # Until the first reports each picker may admit the rate, but no burst.
    assert units <= len(PRIMARY_PICKERS) * RATE * 0.2


def test_frozen_picker_does_not_admit_the_units_of_its_pause():
    """A picker freezes for six seconds and gets requests right after that."""
    fleet = Fleet()
    run(fleet, demand_units(7.0), 4.0)
    fleet.nodes['a-1'].is_frozen = True
    run(fleet, demand_units(7.0), 6.0)
    fleet.nodes['a-1'].is_frozen = False
    run(fleet, demand_units(7.0), 6.0)
    assert fleet.max_in_window() <= BOUND


def test_units_of_an_unreachable_peer_leave_no_debt():
    """A picker was frozen while the others admitted the whole limit.

    If all these units were charged at once, it would refuse requests for
    seconds although they are within the limit.
    """
    pool = LimitPool()
    pool.configure({NAME: LIMIT}, 0.0, starts=False)
    pool.apply_peer_totals('b-1', {NAME: 0.0}, 0.0)
    assert not pool.wait_s(NAME, 5.0, FULL_SHARE, 6.0)
    pool.apply_peer_totals('b-1', {NAME: 600.0}, 6.0)
    assert not pool.wait_s(NAME, 5.0, FULL_SHARE, 6.2)


def test_changed_limit_applies_at_once():
    """An operator lowers a limit far below the demand and raises it again."""
    pool = LimitPool()
    pool.configure({NAME: LIMIT}, 0.0, starts=False)
    low = OrganisationLimit(per_s=10.0, burst=10.0)
    assert not pool.wait_s(NAME, 50.0, FULL_SHARE, 0.0)
    pool.configure({NAME: low}, 1.0, starts=False)
    admitted = 0.0
    for tick in range(160):
        now_s = 1.0 + tick * STEP_S
        if not pool.wait_s(NAME, 1.0, FULL_SHARE, now_s):
            pool.charge(NAME, 1.0, now_s)
            admitted += 1.0
    assert admitted <= 10.0 * WINDOW_S + 10.0
    pool.configure({NAME: LIMIT}, 9.0, starts=False)
    assert not pool.wait_s(NAME, 5.0, FULL_SHARE, 9.2)


def test_admissions_of_an_entry_vm_are_charged_to_the_pool():
    """A VM had no picker for a moment and admitted requests by itself."""
    pool = LimitPool()
    pool.configure({NAME: LIMIT}, 0.0, starts=False)
    pool.apply_vm_totals('vm-1', {}, 0.0)
    pool.apply_vm_totals('vm-1', {NAME: 80.0}, 0.1)
    pool.apply_vm_totals('vm-1', {NAME: 80.0}, 0.2)
    assert pool.admitted == {NAME: 80.0}
    assert pool.wait_s(NAME, 60.0, FULL_SHARE, 0.2) > 0


def test_small_organisation_sends_several_prompts_at_once():
    """Each of its prompts costs a third of its limit per second.

    The region's share between two messages of the pickers is less than two
    prompts. Without the allowance, every second prompt would be refused
    although the limit is not reached.
    """
    pool = LimitPool()
    pool.configure({NAME: LIMIT}, 0.0, starts=False)
    messages = AdmissionShare(share=0.3, peers_seen_s=0.9, allowance=4 * RATE)
    for _ in range(3):
        assert not pool.wait_s(NAME, 30.0, messages, 1.0)
        pool.charge(NAME, 30.0, 1.0)
    assert pool.wait_s(NAME, 30.0, messages, 1.0) > 0
    unreported_units = AdmissionShare(share=0.3, peers_seen_s=0.9)
    assert pool.wait_s(NAME, 30.0, unreported_units, 1.0) > 0


def test_request_larger_than_the_burst_is_admitted_by_a_full_bucket():
    """A prompt costs more than a second of its organisation's limit."""
    pool = LimitPool()
    pool.configure({NAME: LIMIT}, 0.0, starts=False)
    assert not pool.wait_s(NAME, 350.0, FULL_SHARE, 0.0)
    pool.charge(NAME, 350.0, 0.0)
    # The balance is -250, and the next request costs one unit.
    assert pool.wait_s(NAME, 1.0, FULL_SHARE, 0.0) == pytest.approx(2.51)


class Limits(RuleBasedStateMachine):
    """The bound holds for any partitions, freezes, restarts and demand."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        run(self.fleet, {}, 1.5)

    @rule(
        factor=st.sampled_from([0.5, 2.0, 7.0]),
        for_s=st.sampled_from([0.3, 1.0, 4.0]),
        spread=st.sampled_from(
            [PRIMARY_PICKERS, {'a-1': 1.0}, {'b-1': 1.0, 'c-1': 3.0}]
        ),
    )
    def demand(self, factor, for_s, spread):
        """Run with a constant demand."""
        run(self.fleet, demand_units(factor, spread), for_s)

    @rule(region=st.sampled_from(sorted(REGIONS)))
    def partition(self, region):
        """Partition a region."""
        self.fleet.partition(region)

    @rule(first=st.sampled_from(PICKERS), second=st.sampled_from(PICKERS))
    def partition_pair(self, first, second):
        """Partition two pickers from each other.

        This includes one-way loss, with which no replies arrive either.
        """
        self.fleet.partitions.update(((first, second), (second, first)))

    @rule()
    def heal(self):
        """Heal all partitions."""
        self.fleet.partitions.clear()

    @rule(name=st.sampled_from(PICKERS))
    def restart(self, name):
        """Restart the process of a picker."""
        self.fleet.nodes[name].start(self.fleet.now_s)

    @rule(name=st.sampled_from(PICKERS), frozen=st.booleans())
    def freeze(self, name, frozen):
        """Freeze or resume a picker."""
        self.fleet.nodes[name].is_frozen = frozen

    @invariant()
    def no_window_exceeds_the_bound(self):
        """Check that no window has more admissions than the bound."""
        assert self.fleet.max_in_window() <= BOUND


TestLimits = Limits.TestCase
TestLimits.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
)
