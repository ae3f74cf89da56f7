"""Known entry VMs, and destinations to avoid for a while; no I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from godwitshunt.registry import EntryRecord

# Budgets are divided among the entry VMs that were listed within this time,
# because a VM that is partitioned may still send requests.
ENTRY_TTL_S = 45.0
# Round trip assumed for a region whose control VMs have not answered yet:
# about 5,000 km of fibre.
UNKNOWN_ROUND_TRIP_S = 0.1


@dataclass(frozen=True)
class ListedVm:
    """Where an entry VM is, and when control VMs last listed it."""

    region: str
    failure_domain: str
    listed_s: float


@dataclass
class Neighbours:
    """Entry VMs that share budgets with this one, and avoided destinations.

    Parameters
    ----------
    name : str
        Name of this VM.
    region : str
        Region of this VM.
    failure_domain : str
        Its failure domain; empty where it shares nothing by domains.
    round_trips : dict
        Measured round trip to the control VMs of each other region, in
        seconds.
    listed : dict
        Each known entry VM.
    avoided_until : dict
        Time until which a VM, or ``REGION SERVICE``, gets no request.
    """

    name: str
    region: str
    failure_domain: str = ''
    round_trips: dict[str, float] = field(default_factory=dict)
    listed: dict[str, ListedVm] = field(default_factory=dict)
    avoided_until: dict[str, float] = field(default_factory=dict)

    def round_trip_s(self, region: str) -> float:
        """Return the round trip to another region in seconds."""
        return self.round_trips.get(region, UNKNOWN_ROUND_TRIP_S)

    def one_way_s(self, region: str) -> float:
        """Return the one-way network delay to another region in seconds."""
        return self.round_trip_s(region) / 2

    def record_entries(
        self, entries: Mapping[str, EntryRecord], now_s: float
    ) -> None:
        """Record the entry VMs that the control VMs list now."""
        for name, entry in entries.items():
            self.listed[name] = ListedVm(
                entry.region, entry.failure_domain, now_s
            )
        self.listed[self.name] = ListedVm(
            self.region, self.failure_domain, now_s
        )
        for name, vm in tuple(self.listed.items()):
            if now_s - vm.listed_s > ENTRY_TTL_S:
                self.listed.pop(name)

    def count(self) -> int:
        """Return the entry VMs of all regions, this one included."""
        return max(1, len(self.listed))

    def names_in_region(self) -> tuple[str, ...]:
        """Return the entry VMs of this region, this one included."""
        others = (
            name
            for name, vm in self.listed.items()
            if vm.region == self.region and name != self.name
        )
        return (self.name, *others)

    def count_in_region(self) -> int:
        """Return how many entry VMs this region has, this one included."""
        return len(self.names_in_region())

    def count_in_domain(self) -> int:
        """Return how many entry VMs its domain has, this one included."""
        others = (
            name
            for name, vm in self.listed.items()
            if vm.failure_domain == self.failure_domain and name != self.name
        )
        return 1 + sum(1 for _ in others)

    def avoid(self, destination: str, until_s: float) -> None:
        """Avoid a VM, or a service of a region, until a time."""
        self.avoided_until[destination] = until_s

    def is_avoided(self, destination: str, now_s: float) -> bool:
        """Return whether a destination is avoided now."""
        until_s = self.avoided_until.get(destination)
        if until_s is None:
            return False
        if now_s >= until_s:
            self.avoided_until.pop(destination)
            return False
        return True

    def avoided_for(self, service: str, now_s: float) -> frozenset[str]:
        """Return the VMs and regions that are avoided for a service now."""
        suffix = f' {service}'
        return frozenset(
            destination.removesuffix(suffix)
            for destination in tuple(self.avoided_until)
            if self.is_avoided(destination, now_s)
        )
