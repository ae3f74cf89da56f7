"""Ways to keep one organisation's limit over all VMs, beside each other.

``python -m benchmarks.limit_ways`` plays an organisation that asks for seven
times its limit, evenly at all VMs, in virtual time. For each way, size and
trouble it prints which part of the limit was admitted, and the most that any
window of eight seconds held against what operators allow in one.
"""

import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import product
from math import inf
from random import Random
from typing import Protocol

import defopt

from godwitshunt.manifest import OrganisationLimit
from godwitshunt.organisations import (
    AdmissionShare,
    LimitPool,
    fixed_shares,
    usable_share,
)
from godwitshunt.organisations.limits import PEER_TIMEOUT_S
from godwitshunt.routing.limits import Admitted, CallerLimits, CallerQuota

NAME = 'wards'
RATE = 200.0
LIMIT = OrganisationLimit(per_s=RATE, burst=RATE)
HOT = 7.0
WINDOW_S = 8.0
OVERAGE = 0.1
ALLOWANCE_S = 0.28
ALLOWED = (RATE * WINDOW_S + RATE) * (1 + OVERAGE) + RATE * ALLOWANCE_S
REGIONS = 3
STEP_S = 0.05
WAY_S = 0.1
PICKERS_TELL_S = 0.2
VMS_POLL_S = 0.58
GOSSIP_S = 1.0
LENDERS = 5
SETTLED_S = 4.0
END_S = 24.0
CUT_S = 8.0
KILLED_EACH_S = 5.0


class Way(Protocol):
    """A way to keep the limit over some VMs."""

    def ask(self, vm: int, now_s: float) -> bool:
        """Tell whether a request is admitted."""

    def tell(self, now_s: float) -> None:
        """Let processes tell each other what they have counted."""

    def restart(self, vm: int, now_s: float) -> None:
        """Let the process that a VM depends on start anew."""


def region_of(vm: int) -> int:
    """Return where a VM stands."""
    return vm % REGIONS


@dataclass
class Trouble:
    """What happens while an organisation asks.

    Parameters
    ----------
    cuts : bool
        True where one region is cut off from `CUT_S` on.
    kills : bool
        True where a process is killed each five seconds.
    """

    name: str
    cuts: bool = False
    kills: bool = False

    def hears(self, region: int, other: int, now_s: float) -> bool:
        """Tell whether news of a region reaches another one."""
        is_cut = self.cuts and now_s >= CUT_S
        return region == other or not (is_cut and 0 in {region, other})


TROUBLES = (
    Trouble('calm'),
    Trouble('one region cut off', cuts=True),
    Trouble('a process killed each 5 s', kills=True),
)


@dataclass
class Pickers:
    """Each region's picker counts; counts pass between the pickers."""

    count: int
    trouble: Trouble
    pools: dict[int, LimitPool] = field(default_factory=dict)
    starts: dict[int, int] = field(default_factory=dict)
    peers_seen_s: dict[tuple[int, int], float] = field(default_factory=dict)
    next_s: float = 0.0

    def __post_init__(self) -> None:
        for region in range(REGIONS):
            self.restart(region, 0.0)

    def restart(self, vm: int, now_s: float) -> None:
        """Start the picker of a VM's region anew."""
        region = region_of(vm)
        self.pools[region] = LimitPool()
        self.pools[region].configure({NAME: LIMIT}, now_s, starts=True)
        self.starts[region] = self.starts.get(region, 0) + 1
        for other in range(REGIONS):
            self.peers_seen_s.pop((region, other), None)

    def ask(self, vm: int, now_s: float) -> bool:
        """Ask the picker of the VM's region."""
        region = region_of(vm)
        names = {str(one): (str(one),) for one in range(REGIONS)}
        heard = {
            str(other)
            for other in range(REGIONS)
            if other == region
            or now_s - self.peers_seen_s.get((region, other), -PEER_TIMEOUT_S)
            < PEER_TIMEOUT_S
        }
        standing = AdmissionShare(
            part=usable_share(str(region), names, tuple(names), heard),
            share=1 / REGIONS,
            peers_seen_s=min(
                (
                    self.peers_seen_s[region, int(other)]
                    for other in heard
                    if (region, int(other)) in self.peers_seen_s
                ),
                default=inf,
            ),
        )
        pool = self.pools[region]
        if pool.wait_s(NAME, 1.0, standing, now_s):
            return False
        pool.charge(NAME, 1.0, now_s)
        return True

    def tell(self, now_s: float) -> None:
        """Tell all pickers that are reached what each has admitted."""
        if now_s < self.next_s:
            return
        self.next_s = now_s + PICKERS_TELL_S
        shares = fixed_shares({str(one): (str(one),) for one in self.pools})
        for region, other in product(range(REGIONS), repeat=2):
            if region == other or not self.trouble.hears(region, other, now_s):
                continue
            source = f'{other}.{self.starts[other]}'
            sums = dict(self.pools[other].admitted)
            asof_s = now_s - WAY_S
            share = shares[str(other)]
            self.pools[region].apply_peer_totals(source, sums, asof_s, share)
            self.peers_seen_s[region, other] = asof_s


@dataclass
class SumsOfAll:
    """Each VM admits by itself, by sums of all others' that polls bring."""

    count: int
    trouble: Trouble
    pools: list[LimitPool] = field(default_factory=list)
    starts: list[int] = field(default_factory=list)
    told: list[dict[int, float]] = field(default_factory=list)
    phases: list[float] = field(default_factory=list)
    random: Random = field(default_factory=lambda: Random(1))

    def __post_init__(self) -> None:
        for vm in range(self.count):
            self.pools.append(LimitPool())
            self.starts.append(0)
            self.phases.append(self.random.uniform(0, VMS_POLL_S))
            self.restart(vm, 0.0)
        self.told = [{} for _ in range(self.count)]

    def restart(self, vm: int, now_s: float) -> None:
        """Start a VM's process anew."""
        self.pools[vm] = LimitPool()
        self.pools[vm].configure({NAME: LIMIT}, now_s, starts=True)
        self.starts[vm] += 1

    def ask(self, vm: int, now_s: float) -> bool:
        """Ask the VM itself; a region that is not heard keeps its share."""
        heard = [
            other
            for other in range(REGIONS)
            if self.trouble.hears(region_of(vm), other, now_s - PEER_TIMEOUT_S)
        ]
        standing = AdmissionShare(part=len(heard) / REGIONS)
        pool = self.pools[vm]
        if pool.wait_s(NAME, 1.0, standing, now_s):
            return False
        pool.charge(NAME, 1.0, now_s)
        return True

    def tell(self, now_s: float) -> None:
        """Let the VMs poll whose time has come."""
        for vm in range(self.count):
            if now_s < self.phases[vm]:
                continue
            self.phases[vm] += VMS_POLL_S
            self.told[vm] = {
                self.starts[vm]: self.pools[vm].admitted.get(NAME, 0.0),
            }
            total = sum(
                sum(counts.values())
                for other, counts in enumerate(self.told)
                if other != vm
                and self.trouble.hears(region_of(vm), region_of(other), now_s)
            )
            source = 'all others'
            asof_s = now_s - WAY_S
            self.pools[vm].apply_peer_totals(source, {NAME: total}, asof_s)


@dataclass
class Loans:
    """Each VM owns a part of the limit and lends what it doesn't need."""

    count: int
    trouble: Trouble
    limits: list[CallerLimits] = field(default_factory=list)
    next_s: float = 0.0

    def __post_init__(self) -> None:
        self.limits = [self.make(vm) for vm in range(self.count)]

    def make(self, vm: int) -> CallerLimits:
        """Return the limits of a VM that starts."""
        part = RATE / self.count
        quota = CallerQuota(part, max(1.0, part))
        asked = frozenset(
            str((vm + step) % self.count) for step in range(1, LENDERS + 1)
        )
        made = CallerLimits({NAME: quota}, vm + 1)
        made.configure({NAME: quota}, {NAME: asked})
        return made

    def restart(self, vm: int, now_s: float) -> None:
        """Start a VM's process anew."""
        self.limits[vm] = self.make(vm)

    def ask(self, vm: int, now_s: float) -> bool:
        """Ask the VM itself."""
        return isinstance(self.limits[vm].admit(NAME, now_s), Admitted)

    def tell(self, now_s: float) -> None:
        """Let VMs ask for loans, and lend."""
        if now_s < self.next_s:
            return
        self.next_s = now_s + GOSSIP_S
        for vm, one in enumerate(self.limits):
            one.expire(now_s)
            for name in one.peers_to_notify(now_s):
                other = int(name)
                here, there = region_of(vm), region_of(other)
                if self.trouble.hears(here, there, now_s):
                    news = one.compose_update(name, now_s)
                    self.limits[other].receive(str(vm), news, now_s)


WAYS = (
    ('pickers', Pickers),
    ('sums of all VMs', SumsOfAll),
    ('loans', Loans),
)


@dataclass(frozen=True)
class Outcome:
    """What a way came to, against the limit and against what is allowed."""

    part: float
    most: float


def play(way: Way, trouble: Trouble, count: int, skew: int) -> Outcome:
    """Let an organisation ask, at every VM or at every so many-th."""
    admitted: list[float] = []
    asked_at = range(0, count, skew)
    wanted = 0.0
    turn = 0
    killed_s = KILLED_EACH_S
    for step in range(int(END_S / STEP_S)):
        now_s = step * STEP_S
        way.tell(now_s)
        if trouble.kills and now_s >= killed_s:
            killed_s += KILLED_EACH_S
            way.restart(turn % count, now_s)
        wanted += HOT * RATE * STEP_S
        while wanted >= 1:
            wanted -= 1
            turn += 1
            vm = asked_at[turn % len(asked_at)]
            if way.ask(vm, now_s):
                admitted.append(now_s)
    since = [at_s for at_s in admitted if at_s >= SETTLED_S]
    part = len(since) / (RATE * (END_S - SETTLED_S))
    return Outcome(part, most_in_a_window(admitted) / ALLOWED)


def most_in_a_window(admitted: Sequence[float]) -> int:
    """Return the most that any window holds."""
    most = 0
    first = 0
    for place, at_s in enumerate(admitted):
        while admitted[first] < at_s - WINDOW_S:
            first += 1
        most = max(most, place - first + 1)
    return most


def rows(counts: tuple[int, ...], skew: int) -> Iterator[str]:
    """Give a row for each size, trouble and way."""
    for count, trouble, (name, make) in product(counts, TROUBLES, WAYS):
        made = play(make(count, trouble), trouble, count, skew)
        yield (
            f'| {count} | {trouble.name} | {name} | '
            f'{made.part:.2f} | {made.most:.2f} |'
        )


def main(*, counts: tuple[int, ...] = (9, 79, 300), skew: int = 1) -> None:
    """Print a row for each size, trouble and way.

    The organisation asks at every so many-th VM as `skew` says.
    """
    for row in rows(counts, skew):
        sys.stdout.write(f'{row}\n')


if __name__ == '__main__':
    defopt.run(main)
