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


@dataclass
class Neighbours:
    """Entry VMs that share budgets with this one, and avoided destinations.

    Parameters
    ----------
    name : str
        Name of this VM.
    region : str
        Region of this VM.
    round_trips : dict
        Measured round trip to the control VMs of each other region, in
        seconds.
    last_seen : dict
        Region of each known entry VM, and when it was last listed.
    avoided_until : dict
        Time until which a VM, or ``REGION SERVICE``, gets no request.
    """

    name: str
    region: str
    round_trips: dict[str, float] = field(default_factory=dict)
    last_seen: dict[str, tuple[str, float]] = field(default_factory=dict)
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
            self.last_seen[name] = (entry.region, now_s)
        self.last_seen[self.name] = (self.region, now_s)
        for name, (_, heard_s) in tuple(self.last_seen.items()):
            if now_s - heard_s > ENTRY_TTL_S:
                self.last_seen.pop(name)

    def count(self) -> int:
        """Return the entry VMs of all regions, this one included."""
        return max(1, len(self.last_seen))

    def names_in_region(self) -> tuple[str, ...]:
        """Return the entry VMs of this region, this one included."""
        others = (
            name
            for name, (region, _) in self.last_seen.items()
            if region == self.region and name != self.name
        )
        return (self.name, *others)

    def count_in_region(self) -> int:
        """Return how many entry VMs this region has, this one included."""
        return len(self.names_in_region())

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
