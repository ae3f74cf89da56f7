"""Faults of a trial, from a fixed seed: kills, freezes, cuts, lost disks."""

import random
from dataclasses import dataclass


@dataclass(frozen=True)
class Kill:
    """SIGKILL a VM's process; start it again after a while."""

    vm: str
    down_s: float
    lose_folder: bool = False


@dataclass(frozen=True)
class Freeze:
    """SIGSTOP a VM's process; wake it after a while."""

    vm: str
    frozen_s: float


@dataclass(frozen=True)
class Cut:
    """Hold back what networks send to others; the callers' network is 0."""

    directions: frozenset[tuple[int, int]]
    cut_s: float


@dataclass(frozen=True)
class Restart:
    """SIGTERM a VM's process, wait for its clean end, start it again."""

    vm: str


@dataclass(frozen=True)
class Leave:
    """Tell an upstream to leave; start it again after a while."""

    upstream: str
    away_s: float


Fault = Kill | Freeze | Cut | Restart | Leave


@dataclass(frozen=True)
class Planned:
    """A fault and when it strikes, in seconds from the trial's start."""

    at_s: float
    fault: Fault


def isolate(network: int, networks: tuple[int, ...]) -> frozenset:
    """Return the directions that cut one network from all others."""
    others = [other for other in networks if other != network]
    outward = {(network, other) for other in others}
    inward = {(other, network) for other in others}
    return frozenset(outward | inward)


def plan_faults(
    seed: int,
    duration_s: float,
    vms: tuple[str, ...],
    upstreams: tuple[str, ...],
    networks: tuple[int, ...],
) -> list[Planned]:
    """Draw one fault after the other, each short, some of them together.

    Parameters
    ----------
    seed : int
        The same seed gives the same plan.
    duration_s : float
        Faults strike within this time; the last fifth stays quiet.
    """
    draw = random.Random(seed)
    planned = []
    at_s = 2.0
    while at_s < duration_s * 0.8:
        planned.append(
            Planned(at_s, draw_fault(draw, vms, upstreams, networks))
        )
        at_s += draw.uniform(0.5, 4.0)
    return planned


def draw_fault(
    draw: random.Random,
    vms: tuple[str, ...],
    upstreams: tuple[str, ...],
    networks: tuple[int, ...],
) -> Fault:
    """Draw one fault."""
    match draw.randrange(9):
        case 0 | 1:
            return Kill(draw.choice(vms), draw.uniform(0.2, 4))
        case 2:
            lost = draw.choice(vms)
            return Kill(lost, draw.uniform(0.2, 4), lose_folder=True)
        case 3 | 4:
            return Freeze(draw.choice(vms), draw.uniform(0.5, 5))
        case 5:
            network = draw.choice(networks)
            return Cut(isolate(network, networks), draw.uniform(2, 8))
        case 6:
            one_way = (draw.choice(networks), draw.choice(networks))
            return Cut(frozenset((one_way,)), draw.uniform(1, 5))
        case 7:
            return Restart(draw.choice(vms))
        case _:
            return Leave(draw.choice(upstreams), draw.uniform(1, 4))
