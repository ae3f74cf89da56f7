"""Entry VMs that limit their retries, in virtual time and without a network."""

from dataclasses import dataclass, field
from random import Random

from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.registry import EntryRecord
from godwitshunt.routing.allowance_lease import AllowanceLease
from godwitshunt.routing.retry_window import RetryBounds, RetryWindow
from godwitshunt.settings import Address
from trials.retry_windows import ServiceTimes

BOUNDS = RetryBounds(share=0.2, allowance=58, window_s=10)
VMS = {'a': 3, 'b': 4, 'c': 2}
STEP_S = 0.25
RESTART_S = 0.5
REQUESTS_PER_S = 30
ADDRESS = Address(host='127.0.0.1', port=1)


@dataclass(frozen=True)
class Event:
    """Something that happens to the fleet.

    Parameters
    ----------
    at_s, for_s : float
        When it happens, and how long a cut or an isolation lasts.
    kind : str
        `kill`, `cut` (each domain from the others), `isolate` (VMs from
        control VMs), `fail` (upstreams begin or cease to fail) or `shift`
        (most requests go to a domain).
    where : str
        Domain of the VMs that it happens to; empty for all.
    """

    at_s: float
    kind: str
    where: str = ''
    for_s: float = 0.0


@dataclass
class Vm:
    """One entry VM, whose process may be replaced."""

    name: str
    domain: str
    started_s: float = -100.0
    isolated_until_s: float = 0.0

    def __post_init__(self):
        self.restart(self.started_s)

    def restart(self, now_s):
        """Begin as a new process."""
        self.started_s = now_s
        self.neighbours = Neighbours(self.name, self.domain, self.domain)
        self.window = RetryWindow(BOUNDS)
        self.lease = AllowanceLease(BOUNDS.window_s, now_s)

    def record(self):
        """Return what it tells control VMs."""
        return EntryRecord(
            self.name, 's', self.domain, self.domain, ADDRESS, ADDRESS, True
        )

    def tick(self, listed, now_s):
        """Take what control VMs list."""
        entries = {vm.name: vm.record() for vm in listed}
        self.neighbours.record_entries(entries, now_s)
        self.lease.renew(now_s)

    def may_retry(self, now_s):
        """Spend a retry where the limit allows it."""
        sharers = len(VMS) * self.neighbours.count_in_domain()
        part = self.lease.part(now_s, sharers)
        return self.window.spend(now_s, part).is_allowed


@dataclass
class Fleet:
    """All VMs, and the requests and retries that upstreams get."""

    random: Random
    events: list[Event]
    vms: list[Vm] = field(default_factory=list)
    times: ServiceTimes = field(default_factory=ServiceTimes)
    weights: dict[str, float] = field(default_factory=dict)
    fails: bool = False
    cut_until_s: float = 0.0

    def __post_init__(self):
        self.vms = [
            Vm(f'{domain}-{number}', domain)
            for domain, count in VMS.items()
            for number in range(count)
        ]
        self.weights = dict.fromkeys(VMS, 1.0)

    def run(self, until_s, from_s=-20.0):
        """Serve requests until a time."""
        now_s = from_s
        pending = sorted(self.events, key=lambda event: event.at_s)
        while now_s < until_s:
            while pending and pending[0].at_s <= now_s:
                self.happen(pending.pop(0), now_s)
            self.tell(now_s)
            for _ in range(int(REQUESTS_PER_S * STEP_S)):
                self.serve(now_s + self.random.random() * STEP_S)
            now_s += STEP_S

    def happen(self, event, now_s):
        """Apply an event."""
        vms = [vm for vm in self.vms if event.where in {'', vm.domain}]
        match event.kind:
            case 'kill':
                for vm in vms:
                    vm.restart(now_s + RESTART_S)
            case 'cut':
                self.cut_until_s = now_s + event.for_s
            case 'isolate':
                for vm in vms:
                    vm.isolated_until_s = now_s + event.for_s
            case 'fail':
                self.fails = not self.fails
            case 'shift':
                self.weights = dict.fromkeys(VMS, 0.1)
                self.weights[event.where or 'a'] = 2.0

    def tell(self, now_s):
        """Let control VMs list the VMs that reach them."""
        heard = [
            vm
            for vm in self.vms
            if now_s >= max(vm.isolated_until_s, vm.started_s)
        ]
        for vm in heard:
            is_cut = now_s < self.cut_until_s
            vm.tick(
                [
                    other
                    for other in heard
                    if not is_cut or other.domain == vm.domain
                ],
                now_s,
            )

    def serve(self, now_s):
        """Send a request, and again where its upstream fails."""
        domain = self.random.choices(
            list(self.weights), list(self.weights.values())
        )[0]
        vms = [vm for vm in self.vms if vm.domain == domain]
        vm = self.random.choice(vms)
        self.times.requests.append(now_s)
        if now_s < vm.started_s:
            return
        vm.window.record_first_try(now_s)
        if self.fails and vm.may_retry(now_s):
            self.times.retries.append(now_s)

    def closest_window(self):
        """Return the window with most retries for its limit."""
        return self.times.closest(BOUNDS)
