"""An in-memory network and a small deployment for this slice's tests."""

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok

from godwitshunt.configuration import (
    ConfigurationService,
    ConfigurationTask,
    SingleLog,
    VmRecord,
    VmRole,
)
from godwitshunt.manifest import Manifest
from godwitshunt.peer import MessageKind, NotSent, OutcomeUnknown
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import VirtualTimerService

KEY_DIGEST = '0' * 64


def vm(name: str, region: str, port: int, role: str = 'entry') -> VmRecord:
    """Return a VM's record."""
    return VmRecord(
        name,
        region,
        f'{region}-a',
        VmRole(role),
        Address(host='127.0.0.1', port=port),
        Address(host='127.0.0.1', port=port + 1),
    )


def manifest(number: int = 1, **changes) -> Manifest:
    """Return a small manifest with two regions and one bound caller."""
    document = {
        'number': number,
        'deployment': 'statika',
        'regions': [{'name': 'zagreb'}, {'name': 'split'}],
        'services': [{'name': 'chat', 'kind': 'model'}],
        'models': [{'name': 'review', 'service': 'chat'}],
        'classes': [{'name': 'urgent'}],
        'residency': [
            {'name': 'both', 'regions': ['zagreb', 'split']},
            {'name': 'home', 'regions': ['zagreb']},
        ],
        'callers': [caller('site', 'both'), caller('office', None)],
    }
    return Manifest.model_validate({**document, **changes})


def caller(name: str, residency: str | None, home: str = 'zagreb') -> dict:
    """Return a caller's fields."""
    return {
        'name': name,
        'key_sha256': KEY_DIGEST,
        'home': home,
        'request_class': 'urgent',
        'residency': residency,
    }


@dataclass
class Network:
    """Links between processes whose ways can be cut."""

    handlers: dict = field(default_factory=dict)
    cut: set = field(default_factory=set)
    lost_replies: set = field(default_factory=set)
    silent: set = field(default_factory=set)
    bytes_sent: int = 0

    def links(self, address: Address) -> 'FakeLinks':
        return FakeLinks(self, address)


@dataclass
class FakeLinks:
    """One process's side of the network; takes the place of PeerLinks."""

    network: Network
    own: Address

    def subscribe(self, kind: MessageKind, handler) -> None:
        self.network.handlers[self.own, kind] = handler

    async def call(self, address, kind, body, timeout_s):
        if (self.own, address) in self.network.cut:
            return Err(NotSent(str(address), 'cut'))
        if address in self.network.silent:
            await asyncio.Event().wait()
        handler = self.network.handlers.get((address, kind))
        if handler is None:
            return Err(NotSent(str(address), 'refused'))
        reply = await handler('peer', body)
        self.network.bytes_sent += len(body) + len(reply)
        if (address, self.own) in self.network.cut:
            return Err(OutcomeUnknown(str(address), 'reply lost'))
        return Ok(reply)

    def notify(self, address, kind, body) -> None:
        handler = self.network.handlers.get((address, kind))
        if handler is not None and (self.own, address) not in self.network.cut:
            self.network.bytes_sent += len(body)
            asyncio.get_running_loop().create_task(handler('peer', body))


def follower() -> SingleLog:
    """Return the log of a replica that does not lead."""
    log = SingleLog('c2')
    log.leading = False
    return log


@dataclass
class Deployment:
    """Control replicas over one log, and entry VMs, on virtual time."""

    timer: VirtualTimerService = field(default_factory=VirtualTimerService)
    network: Network = field(default_factory=Network)
    log: SingleLog = field(default_factory=lambda: SingleLog('c1'))
    follower_log: SingleLog = field(default_factory=follower)
    services: dict[str, ConfigurationService] = field(default_factory=dict)
    tasks: dict[str, ConfigurationTask] = field(default_factory=dict)
    control: tuple[Address, ...] = tuple(
        Address(host='127.0.0.1', port=port) for port in (101, 103)
    )

    def add_control(self, name: str, region: str, place: int = 0) -> None:
        record = vm(name, region, self.control[place].port - 1, 'control')
        others = tuple(one for one in self.control if one != record.peer)
        service = ConfigurationService(
            record,
            others,
            self.log,
            self.network.links(record.peer),
            self.timer,
            Metrics(),
        )
        service.start()
        self.services[name] = service

    def add_vm(self, name: str, region: str, port: int, **more) -> VmRecord:
        record = vm(name, region, port)
        task = ConfigurationTask(
            record,
            more.get('control', self.control),
            more.get('peers', ()),
            self.network.links(record.peer),
            self.timer,
            Metrics(),
            more.get('kept'),
            more.get('unlisted'),
        )
        task.start()
        self.tasks[name] = task
        return record

    async def run(self, duration_s: float) -> None:
        """Let virtual time pass and every task do its work."""
        for _ in range(round(duration_s * 10)):
            self.timer.advance(0.1)
            for _ in range(30):
                await asyncio.sleep(0)
            for task in self.tasks.values():
                # Held while a revision is written to the real disk.
                async with task.lock:
                    await asyncio.sleep(0)

    async def accept(self, document: Manifest, at: str = 'c1'):
        return (await self.services[at].accept(document)).ok_value

    def revisions(self) -> dict[str, int]:
        return {
            name: task.current.revision if task.current else 0
            for name, task in self.tasks.items()
        }

    async def close(self) -> None:
        for part in (*self.services.values(), *self.tasks.values()):
            await part.close()

    def cut_off(self, address: Address) -> None:
        """Cut a process from the control replicas, both ways."""
        for control in self.control:
            self.network.cut |= {(address, control), (control, address)}
