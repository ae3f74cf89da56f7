"""Links between tasks of one test, on virtual time and with faults."""

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok

from godwitshunt.configuration.revision import (
    HolderSet,
    Revision,
    VmRecord,
    VmRole,
)
from godwitshunt.manifest import Manifest
from godwitshunt.peer import NotSent, OutcomeUnknown
from godwitshunt.settings import Address, EntrySettings
from godwitshunt.timer import VirtualTimerService

DELAY_S = 0.001


@dataclass
class FakeNetwork:
    """Carries messages between named fake links.

    Parameters
    ----------
    cut : set of (str, str)
        Directions that lose everything.
    held : set of (str, str)
        Directions that keep everything until `release`, as a frozen
        process or a full buffer does.
    copies : int
        Times that each message arrives.
    """

    timer: VirtualTimerService = field(default_factory=VirtualTimerService)
    partitioned: set[tuple[str, str]] = field(default_factory=set)
    stalled: set[tuple[str, str]] = field(default_factory=set)
    copies: int = 1
    waiting: list[tuple] = field(default_factory=list)
    links: dict[Address, 'FakeLinks'] = field(default_factory=dict)
    sent: list[tuple[str, str, int, int]] = field(default_factory=list)

    def join(self, name: str, address: Address) -> 'FakeLinks':
        """Return the links of a process; one that restarts has new ones."""
        self.links[address] = FakeLinks(name, self, address)
        return self.links[address]

    def carry(self, way: tuple[str, str], arrive: object) -> None:
        """Let a message arrive, or not."""
        if way in self.partitioned:
            return
        if way in self.stalled:
            self.waiting.append((way, arrive))
            return
        for _ in range(self.copies):
            self.timer.after(DELAY_S, arrive)

    def release(self) -> None:
        """Let everything that was held arrive, in its order."""
        self.stalled.clear()
        waiting = tuple(self.waiting)
        self.waiting.clear()
        for way, arrive in waiting:
            self.carry(way, arrive)

    async def advance(self, duration_s: float) -> None:
        """Let time pass in steps, and tasks run between them."""
        end_s = self.timer.now() + duration_s
        while self.timer.now() < end_s - 1e-9:
            self.timer.advance(min(0.005, end_s - self.timer.now()))
            for _ in range(4):
                await asyncio.sleep(0)


@dataclass
class FakeLinks:
    """Stands in for `PeerLinks`."""

    name: str
    network: FakeNetwork
    address: Address
    handlers: dict[int, object] = field(default_factory=dict)

    def subscribe(self, kind, handler) -> None:
        self.handlers[kind] = handler

    def tell(self, address, kind, body) -> None:
        self.send(address, kind, body, None)

    async def call(self, address, kind, body, timeout_s):
        reply = asyncio.get_running_loop().create_future()
        self.network.timer.after(timeout_s, lambda: settle(reply, None))
        if address not in self.network.links:
            return Err(NotSent(str(address), 'nobody'))
        self.send(address, kind, body, reply)
        answer = await reply
        if answer is None:
            return Err(OutcomeUnknown(str(address), 'no reply in time'))
        return Ok(answer)

    def send(self, address, kind, body, reply) -> None:
        peer = self.network.links.get(address)
        # A process that was killed sends nothing more.
        is_alive = self.network.links.get(self.address) is self
        if peer is None or not is_alive:
            return
        self.network.sent.append((self.name, peer.name, kind, len(body)))

        async def handle() -> None:
            handler = peer.handlers.get(kind)
            answer = handler and await handler(self.name, body)
            if answer is not None and reply is not None:
                self.network.carry(
                    (peer.name, self.name),
                    lambda: settle(reply, answer),
                )

        def arrive() -> None:
            job = asyncio.get_running_loop().create_task(handle())
            JOBS.add(job)
            job.add_done_callback(JOBS.discard)

        self.network.carry((self.name, peer.name), arrive)


JOBS: set = set()


def settle(future, answer) -> None:
    """Resolve a future that may be resolved already."""
    if not future.done():
        future.set_result(answer)


def vm_record(name: str, region: str, number: int) -> VmRecord:
    """Return a VM with made-up addresses."""
    return VmRecord(
        name=name,
        region=region,
        failure_domain=f'{region}-1',
        role=VmRole.entry,
        http=Address(host='127.0.0.1', port=10000 + number),
        peer=Address(host='127.0.0.1', port=20000 + number),
    )


def make_revision(
    vms: tuple[VmRecord, ...],
    holders: tuple[HolderSet, ...] = (),
    number: int = 1,
) -> Revision:
    """Return a revision with these VMs and holders."""
    regions = sorted({vm.region for vm in vms})
    manifest = Manifest.model_validate(
        {
            'number': number,
            'deployment': 'test',
            'regions': [{'name': region} for region in regions],
            'services': [{'name': 'chat', 'kind': 'model'}],
            'classes': [{'name': 'urgent'}],
        },
    )
    return Revision(number, '0' * 64, manifest, vms, holders)


def entry_settings(vm: VmRecord, **changes) -> EntrySettings:
    """Return the settings of a VM."""
    return EntrySettings(
        name=vm.name,
        region=vm.region,
        failure_domain=vm.failure_domain,
        http=vm.http,
        peer=vm.peer,
        control=(vm.peer,),
        cluster_key_file='/nonexistent',
        **changes,
    )
