"""In-memory peer links with faults, on virtual time."""

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

LINK_DELAY_S = 0.001


@dataclass
class FakeNetwork:
    """Carries messages between named fake links.

    Parameters
    ----------
    partitioned : set of (str, str)
        Pairs of sender and receiver between which all messages are lost.
    stalled : set of (str, str)
        Pairs of sender and receiver between which all messages are delayed
        until `release`, as by a suspended process or a full buffer.
    copies : int
        How often each message is delivered.
    stalled_messages : list
        Directions and delivery callbacks of the delayed messages.
    sent : list of (str, str, int, int)
        Sender, receiver, kind and length of each message.
    """

    timer: VirtualTimerService = field(default_factory=VirtualTimerService)
    partitioned: set[tuple[str, str]] = field(default_factory=set)
    stalled: set[tuple[str, str]] = field(default_factory=set)
    copies: int = 1
    stalled_messages: list[tuple] = field(default_factory=list)
    links: dict[Address, 'FakeLinks'] = field(default_factory=dict)
    sent: list[tuple[str, str, int, int]] = field(default_factory=list)

    def join(self, name: str, address: Address) -> 'FakeLinks':
        """Return new links for a process, in place of earlier ones."""
        self.links[address] = FakeLinks(name, self, address)
        return self.links[address]

    def transmit(self, direction: tuple[str, str], deliver: object) -> None:
        """Deliver, delay or drop a message."""
        if direction in self.partitioned:
            return
        if direction in self.stalled:
            self.stalled_messages.append((direction, deliver))
            return
        for _ in range(self.copies):
            self.timer.after(LINK_DELAY_S, deliver)

    def release(self) -> None:
        """Deliver all delayed messages in order and stop delaying."""
        self.stalled.clear()
        messages = tuple(self.stalled_messages)
        self.stalled_messages.clear()
        for direction, deliver in messages:
            self.transmit(direction, deliver)

    async def advance(self, duration_s: float) -> None:
        """Advance virtual time in steps and run tasks between them."""
        end_s = self.timer.now() + duration_s
        while self.timer.now() < end_s - 1e-9:
            self.timer.advance(min(0.005, end_s - self.timer.now()))
            for _ in range(4):
                await asyncio.sleep(0)


@dataclass
class FakeLinks:
    """In-memory replacement of `PeerLinks`."""

    name: str
    network: FakeNetwork
    address: Address
    handlers: dict[int, object] = field(default_factory=dict)

    def subscribe(self, kind, handler) -> None:
        self.handlers[kind] = handler

    def notify(self, address, kind, body) -> None:
        self.send(address, kind, body, None)

    async def call(self, address, kind, body, timeout_s):
        future = asyncio.get_running_loop().create_future()
        self.network.timer.after(timeout_s, lambda: resolve(future, None))
        if address not in self.network.links:
            return Err(
                NotSent(str(address), 'no process listens at this address')
            )
        self.send(address, kind, body, future)
        reply = await future
        if reply is None:
            return Err(OutcomeUnknown(str(address), 'no reply in time'))
        return Ok(reply)

    def send(self, address, kind, body, future) -> None:
        peer = self.network.links.get(address)
        # The links of a killed or restarted process send no messages.
        is_alive = self.network.links.get(self.address) is self
        if peer is None or not is_alive:
            return
        self.network.sent.append((self.name, peer.name, kind, len(body)))

        async def handle_message() -> None:
            handler = peer.handlers.get(kind)
            reply = handler and await handler(self.name, body)
            if reply is not None and future is not None:
                self.network.transmit(
                    (peer.name, self.name),
                    lambda: resolve(future, reply),
                )

        def deliver() -> None:
            task = asyncio.get_running_loop().create_task(handle_message())
            RUNNING_TASKS.add(task)
            task.add_done_callback(RUNNING_TASKS.discard)

        self.network.transmit((self.name, peer.name), deliver)


# Strong references to running tasks, which the event loop does not hold.
RUNNING_TASKS: set = set()


def resolve(future, reply) -> None:
    """Set a future's result unless it is done."""
    if not future.done():
        future.set_result(reply)


def vm_record(name: str, region: str, number: int) -> VmRecord:
    """Return the record of an entry VM with generated addresses."""
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
    """Return a revision with the given VMs and claim holders."""
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
