"""Patterns of load after Pallikkara's sheet, and what became of requests."""

from dataclasses import dataclass, field

from benchmarks.sheet_engine import PALLIKKARA, Job
from godwitshunt.registry import EntryRecord, UpstreamSeen
from godwitshunt.registry.records import UpstreamAnnounced
from godwitshunt.settings import Address

ADDRESS = Address(host='127.0.0.1', port=1)


@dataclass(frozen=True)
class Pattern:
    """A pattern of load, after Pallikkara's sheet.

    Parameters
    ----------
    engines : dict
        Engines of each region.
    vms : int
        Entry VMs of each region.
    long_per_s, short_per_s : float
        Requests of all regions in a second, before peaks.
    peaks : dict
        Factors by region; 1 where not named.
    short_homes : tuple of str
        Regions that short requests may be served in; empty for all.
    prompts : int
        Long prompts that are shared.
    seconds : float
        How long callers ask.
    told : bool
        False where VMs do not tell one another what engines keep.
    """

    engines: dict[str, int] = field(
        default_factory=lambda: {'kochi': 4, 'tvm': 3, 'kozhikode': 2},
    )
    vms: int = 2
    long_per_s: float = 9.62
    short_per_s: float = 151.0
    peaks: dict[str, float] = field(default_factory=dict)
    short_homes: tuple[str, ...] = ('kochi', 'tvm')
    prompts: int = 60
    seconds: float = 12.0
    told: bool = True
    seed: int = 1


@dataclass
class Tally:
    """What became of one kind of request."""

    asked: int = 0
    refused: int = 0
    jobs: list[Job] = field(default_factory=list)

    def share_on_time(self, objective_s: float) -> float:
        """Return the share with its first event within an objective."""
        on_time = sum(
            job.first_s is not None and job.first_s - job.asked_s <= objective_s
            for job in self.jobs
        )
        return on_time / max(1, self.asked)


def engine_places(pattern: Pattern) -> dict[str, str]:
    """Return the region of each engine, by its name."""
    return {
        f'{region}-{number}': region
        for region, count in pattern.engines.items()
        for number in range(count)
    }


def upstream(name: str, region: str) -> UpstreamSeen:
    """Return an engine as control tells of it."""
    slots = PALLIKKARA.slots
    told = UpstreamAnnounced(name, 'llm', ADDRESS, region, slots, False, 0, 1)
    return UpstreamSeen(told, region, 0.0, None, silent=False)


def door(region: str) -> EntryRecord:
    """Return an entry VM of a region as control tells of it."""
    return EntryRecord(region, 's', region, region, ADDRESS, ADDRESS, True)
