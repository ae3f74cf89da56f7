"""What limits of callers cost a VM, by the size of the deployment.

``python -m benchmarks.limits`` prints, for each size, the time to divide the
limits, the memory of a VM's state, and its messages a second.
"""

import sys
import time
import tracemalloc
from dataclasses import dataclass
from random import Random

import defopt

from godwitshunt.configuration.revision import Revision, VmRecord, VmRole
from godwitshunt.manifest import Manifest
from godwitshunt.peer import encode
from godwitshunt.routing import LimitPlan, order_entries
from godwitshunt.routing.limits import CallerLimits
from godwitshunt.routing.limits_task import update_to_wire
from godwitshunt.settings import Address

MILLISECONDS = 1000
KIBIBYTE = 1024
ENVELOPE_BYTES = 16
STRAY_SHARE = 0.1
SECONDS = 20
ADDRESS = Address(host='127.0.0.1', port=1)


@dataclass(frozen=True)
class Size:
    """A deployment's size; requests are those of the whole."""

    regions: int
    vms: int
    callers: int
    requests_per_s: int


SIZES = (
    Size(regions=3, vms=8, callers=20, requests_per_s=50),
    Size(regions=6, vms=60, callers=300, requests_per_s=1400),
    Size(regions=19, vms=480, callers=1100, requests_per_s=11000),
)


def make_revision(size: Size) -> Revision:
    """Return a revision of a size; each caller uses half of its limit."""
    rate = 2 * size.requests_per_s / size.callers
    regions = [f'region-{number}' for number in range(size.regions)]
    vms = tuple(
        VmRecord(
            name=f'vm-{number}',
            region=regions[number % size.regions],
            failure_domain='f',
            role=VmRole.entry,
            http=ADDRESS,
            peer=ADDRESS,
        )
        for number in range(size.vms)
    )
    manifest = Manifest(
        number=1,
        deployment='d',
        regions=tuple({'name': name} for name in regions),
        services=({'name': 'chat', 'kind': 'model'},),
        classes=({'name': 'urgent'},),
        callers=tuple(
            {
                'name': f'organisation-{number}',
                'key_sha256': '0' * 64,
                'home': regions[number % size.regions],
                'request_class': 'urgent',
                'requests_per_s': rate,
                'burst': max(1, round(rate)),
            }
            for number in range(size.callers)
        ),
    )
    return Revision(1, '', manifest, vms)


class Region:
    """The VMs of one region under load, with a perfect network."""

    def __init__(self, size: Size) -> None:
        self.size = size
        self.random = Random(1)
        self.revision = make_revision(size)
        self.members = [
            vm for vm in self.revision.vms if vm.region == 'region-0'
        ]
        self.limits: dict[str, CallerLimits] = {}
        for vm in self.members:
            plan = LimitPlan.from_revision(self.revision, vm.name)
            made = CallerLimits.from_config(plan.quotas, len(self.limits))
            made.configure(plan.quotas, plan.grantors)
            self.limits[vm.name] = made
        self.sent_bytes = 0
        self.limited = 0
        self.asked = 0

    def run(self) -> None:
        """Let callers ask and VMs gossip for some virtual seconds."""
        members = tuple(self.members)
        order = {
            caller.name: order_entries(members, 'region-0', caller.name)
            for caller in self.revision.manifest.callers
            if caller.home == 'region-0'
        }
        per_s = self.size.requests_per_s // self.size.regions
        for second in range(SECONDS):
            for number in range(per_s):
                caller = self.random.choice(list(order))
                self.ask(caller, order[caller], second + number / per_s)
            self.gossip(second + 1.0)

    def ask(
        self,
        caller: str,
        order: tuple[VmRecord, ...],
        now: float,
    ) -> None:
        """Send one request to the first VM, or a stray one to any."""
        vm = order[0]
        if self.random.random() < STRAY_SHARE:
            vm = self.random.choice(order)
        self.asked += 1
        admission = self.limits[vm.name].admit(caller, now)
        self.limited += type(admission).__name__ == 'Limited'

    def gossip(self, now: float) -> None:
        """Let every VM send its messages."""
        for name, limits in self.limits.items():
            limits.expire(now)
            for peer in limits.peers_to_notify(now):
                news = limits.compose_update(peer, now)
                self.sent_bytes += len(encode(update_to_wire(news)))
                self.sent_bytes += ENVELOPE_BYTES
                receiver = self.limits.get(peer)
                if receiver is not None:
                    receiver.receive(name, news, now)

    def bytes_per_s(self) -> float:
        """Return the bytes that one VM sends a second."""
        return self.sent_bytes / SECONDS / len(self.members)


def measure() -> None:
    """Print what limits cost at each size."""
    for size in SIZES:
        revision = make_revision(size)
        begin_s = time.perf_counter()
        LimitPlan.from_revision(revision, 'vm-0')
        divide_s = time.perf_counter() - begin_s
        tracemalloc.start()
        region = Region(size)
        region.run()
        held = tracemalloc.get_traced_memory()[0] / len(region.members)
        tracemalloc.stop()
        sys.stdout.write(
            f'{size}: divide {divide_s * MILLISECONDS:.1f} ms, '
            f'state {held / KIBIBYTE:.0f} KiB, '
            f'sent {region.bytes_per_s():.0f} B/s, '
            f'limited {region.limited / region.asked:.4f}\n',
        )


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(measure))


if __name__ == '__main__':
    main()
