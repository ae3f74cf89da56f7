"""Entry VMs that this one has known, and those to avoid for a while; pure."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from godwitshunt.registry import EntryRecord

# Budgets are shared with VMs that were heard within so long: one that is cut
# off may still be sending.
COUNTED_S = 45.0
# A region that no control VM of has answered yet is taken for so far away, in
# seconds there and back: some 5,000 km of fibre.
UNKNOWN_ROUND_TRIP_S = 0.1


@dataclass
class Neighbours:
    """Which entry VMs share budgets with this one, and which are avoided.

    Parameters
    ----------
    region : str
        This VM's region.
    round_trips : dict
        Seconds to each other region and back, as calls to its control VMs
        took.
    """

    name: str
    region: str
    round_trips: dict[str, float] = field(default_factory=dict)
    seen: dict[str, tuple[str, float]] = field(default_factory=dict)
    avoided: dict[str, float] = field(default_factory=dict)

    def round_trip_s(self, region: str) -> float:
        """Return the seconds to another region and back."""
        return self.round_trips.get(region, UNKNOWN_ROUND_TRIP_S)

    def record_entries(
        self, entries: Mapping[str, EntryRecord], now_s: float
    ) -> None:
        """Note the entry VMs that control tells of now."""
        for name, entry in entries.items():
            self.seen[name] = (entry.region, now_s)
        self.seen[self.name] = (self.region, now_s)
        for name, (_, heard_s) in tuple(self.seen.items()):
            if now_s - heard_s > COUNTED_S:
                self.seen.pop(name)

    def count(self) -> int:
        """Return the entry VMs of all regions, this one included."""
        return max(1, len(self.seen))

    def count_in_region(self) -> int:
        """Return the entry VMs of this region, this one included."""
        here = sum(region == self.region for region, _ in self.seen.values())
        return max(1, here)

    def avoid(self, place: str, until_s: float) -> None:
        """Send nothing to a VM, or a region's service, until then."""
        self.avoided[place] = until_s

    def is_avoided(self, place: str, now_s: float) -> bool:
        """Tell whether nothing is sent to a place now."""
        until_s = self.avoided.get(place)
        if until_s is None:
            return False
        if now_s >= until_s:
            self.avoided.pop(place)
            return False
        return True

    def avoided_for(self, service: str, now_s: float) -> frozenset[str]:
        """Return the VMs and regions that get no request of a service now."""
        suffix = f' {service}'
        return frozenset(
            place.removesuffix(suffix)
            for place in tuple(self.avoided)
            if self.is_avoided(place, now_s)
        )
