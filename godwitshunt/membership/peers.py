"""Entry VMs that membership exchanges messages with."""

from dataclasses import dataclass, field

from godwitshunt.configuration.revision import Revision, VmRecord, VmRole
from godwitshunt.membership.transit import ClockReading
from godwitshunt.settings import Address

# Three keepalive periods; summaries omit a VM that is silent for longer.
UNRESPONSIVE_AFTER_S = 3.0

NamedAddresses = tuple[tuple[str, Address], ...]


@dataclass
class RegionPeers:
    """Entry VMs of the local region and of the other regions.

    Parameters
    ----------
    name, region : str
        Name and region of this VM.
    local_peers : dict
        Peer addresses of the region's other entry VMs by name.
    remote_peers : dict
        For each other region, peer addresses of its entry VMs by name.
    remote_http : dict
        For each other region, names and HTTP addresses of its entry VMs.
    all_names : frozenset of str
        Names of the entry VMs of all regions.
    draining : set of str
        Local peers that accept no new requests.
    round_robin_index : int
        Counter for `next_peer`.
    """

    name: str
    region: str
    local_peers: dict[str, Address] = field(default_factory=dict)
    remote_peers: dict[str, dict[str, Address]] = field(default_factory=dict)
    remote_http: dict[str, NamedAddresses] = field(default_factory=dict)
    all_names: frozenset[str] = frozenset()
    draining: set[str] = field(default_factory=set)
    round_robin_index: int = 0

    def apply_revision(self, revision: Revision) -> None:
        """Replace the known VMs with the entry VMs of a revision."""
        entries = [vm for vm in revision.vms if vm.role is VmRole.entry]
        regions: dict[str, list[VmRecord]] = {}
        for entry in entries:
            regions.setdefault(entry.region, []).append(entry)
        self.local_peers = peer_addresses(regions.pop(self.region, []))
        self.local_peers.pop(self.name, None)
        self.remote_peers = {
            region: peer_addresses(vms) for region, vms in regions.items()
        }
        self.remote_http = {
            region: http_addresses(vms) for region, vms in regions.items()
        }
        self.all_names = frozenset(entry_vm.name for entry_vm in entries)
        self.draining &= set(self.local_peers)

    def record_draining(self, name: str, *, draining: bool) -> None:
        """Record whether a VM of the region is draining."""
        if draining:
            self.draining.add(name)
        else:
            self.draining.discard(name)

    def next_peer(self) -> str | None:
        """Return the next local peer in round-robin order, if any."""
        if not self.local_peers:
            return None
        self.round_robin_index += 1
        return sorted(self.local_peers)[
            self.round_robin_index % len(self.local_peers)
        ]

    def unavailable(
        self,
        last_readings: dict[str, tuple[ClockReading, float]],
        now_s: float,
    ) -> frozenset[str]:
        """Return the local peers that are draining or unresponsive."""
        unresponsive = {
            name
            for name in self.local_peers
            if name not in last_readings
            or now_s - last_readings[name][1] > UNRESPONSIVE_AFTER_S
        }
        return frozenset(unresponsive | self.draining)


def peer_addresses(vms: list[VmRecord]) -> dict[str, Address]:
    """Return the peer addresses of VMs by name."""
    return {vm.name: vm.peer for vm in vms}


def http_addresses(vms: list[VmRecord]) -> NamedAddresses:
    """Return the names and HTTP addresses of VMs."""
    return tuple((vm.name, vm.http) for vm in vms)
