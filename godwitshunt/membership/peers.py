"""The VMs that membership talks to, out of the revision in force."""

from dataclasses import dataclass, field

from godwitshunt.configuration.revision import Revision, VmRecord, VmRole
from godwitshunt.membership.transit import ClockReading
from godwitshunt.settings import Address

# A VM that sends nothing for three keepalives is left out of summaries.
SILENCE_LIMIT_S = 3.0

NamedAddresses = tuple[tuple[str, Address], ...]


@dataclass
class RegionPeers:
    """Entry VMs of the own region and of the others.

    Parameters
    ----------
    name, region : str
        This VM's own.
    own : dict
        Peer addresses of the region's other entry VMs by name.
    others : dict
        For each other region, peer addresses of its entry VMs by name.
    http : dict
        For each other region, its entry VMs' names and HTTP addresses.
    """

    name: str
    region: str
    own: dict[str, Address] = field(default_factory=dict)
    others: dict[str, dict[str, Address]] = field(default_factory=dict)
    http: dict[str, NamedAddresses] = field(default_factory=dict)
    everywhere: frozenset[str] = frozenset()
    draining: set[str] = field(default_factory=set)
    turn: int = 0

    def apply_revision(self, revision: Revision) -> None:
        """Take the admitted VMs of a revision."""
        entries = [vm for vm in revision.vms if vm.role is VmRole.entry]
        regions: dict[str, list[VmRecord]] = {}
        for entry in entries:
            regions.setdefault(entry.region, []).append(entry)
        self.own = peer_addresses(regions.pop(self.region, []))
        self.own.pop(self.name, None)
        self.others = {
            region: peer_addresses(there) for region, there in regions.items()
        }
        self.http = {
            region: http_addresses(there) for region, there in regions.items()
        }
        self.everywhere = frozenset(known.name for known in entries)
        self.draining &= set(self.own)

    def note_draining(self, name: str, *, draining: bool) -> None:
        """Note whether a VM of the region takes new requests."""
        if draining:
            self.draining.add(name)
        else:
            self.draining.discard(name)

    def next_in_turn(self) -> str | None:
        """Return the region's other VMs one after the other."""
        if not self.own:
            return None
        self.turn += 1
        return sorted(self.own)[self.turn % len(self.own)]

    def absent(
        self,
        heard: dict[str, tuple[ClockReading, float]],
        now_s: float,
    ) -> frozenset[str]:
        """Return the region's VMs that drain or were not heard of lately."""
        silent = {
            name
            for name in self.own
            if name not in heard or now_s - heard[name][1] > SILENCE_LIMIT_S
        }
        return frozenset(silent | self.draining)


def peer_addresses(vms: list[VmRecord]) -> dict[str, Address]:
    """Return where peers reach VMs, by name."""
    return {vm.name: vm.peer for vm in vms}


def http_addresses(vms: list[VmRecord]) -> NamedAddresses:
    """Return where callers reach VMs."""
    return tuple((vm.name, vm.http) for vm in vms)
