"""Entry VMs and control VMs in one process, linked in memory."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from result import Err, Ok

from godwitshunt.peer import MessageKind
from godwitshunt.peer.messages import NotSent, OutcomeUnknown
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.records import EntryRecord
from godwitshunt.registry.service import RegistryService
from godwitshunt.registry.table_updates import ControlLocation
from godwitshunt.registry.watch import OwnState, RegistryWatch
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import VirtualTimerService

Handler = Callable[[str, bytes], Awaitable[bytes | None]]
REGIONS = {'a': 'kochi', 'b': 'tvm'}


def address(number: int) -> Address:
    """Return the address of a VM."""
    return Address(host=f'10.0.0.{number}', port=7660)


def control_location(number: int = 1, domain: str = 'a') -> ControlLocation:
    """Return the location of a control VM that knows no others."""
    return ControlLocation(address(number), REGIONS[domain], REGIONS, tuple)


@dataclass
class Network:
    """A network with one-way failures, and the handlers at each address.

    Parameters
    ----------
    handlers : dict
        Handlers of each address, by message kind.
    addresses : dict
        Address of each VM by its name.
    cut : set
        Pairs of addresses: messages from the first to the second are lost.
    late : set
        Addresses of VMs whose replies arrive after the timeout.
    frozen : set
        Addresses of VMs that neither receive nor send.
    delay : callable
        Advances the time by the delay of one direction.
    """

    handlers: dict[Address, dict[int, Handler]] = field(default_factory=dict)
    addresses: dict[str, Address] = field(default_factory=dict)
    cut: set[tuple[Address, Address]] = field(default_factory=set)
    late: set[Address] = field(default_factory=set)
    frozen: set[Address] = field(default_factory=set)
    delay: Callable[[], None] = lambda: None

    def delivers(self, sender: Address, receiver: Address) -> bool:
        """Return whether a message is delivered in one direction."""
        running = sender not in self.frozen and receiver not in self.frozen
        return running and (sender, receiver) not in self.cut

    def split(self, first: Address, second: Address) -> None:
        """Cut the connection of two VMs in both directions."""
        self.cut |= {(first, second), (second, first)}

    def heal(self) -> None:
        """Deliver all messages again."""
        self.cut.clear()
        self.late.clear()
        self.frozen.clear()


@dataclass
class InMemoryLinks:
    """Links of one VM; messages are handled synchronously."""

    own: Address
    name: str
    network: Network
    calls: list[tuple[Address, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.network.addresses[self.name] = self.own

    def subscribe(self, kind: int, handler: Handler) -> None:
        """Register a handler for a message kind."""
        self.network.handlers.setdefault(self.own, {})[kind] = handler

    async def call(
        self,
        target: Address,
        kind: int,
        body: bytes,
        timeout_s: float,
        on_late: Callable[[bytes], None] | None = None,
    ) -> Ok[bytes] | Err[NotSent | OutcomeUnknown]:
        """Deliver a message and its reply."""
        self.calls.append((target, kind))
        handler = self.network.handlers.get(target, {}).get(kind)
        if handler is None or not self.network.delivers(self.own, target):
            return Err(NotSent(str(target), 'cut'))
        self.network.delay()
        reply = await handler(self.name, body)
        self.network.delay()
        if reply is None or not self.network.delivers(target, self.own):
            return Err(OutcomeUnknown(str(target), 'cut'))
        if target in self.network.late:
            if on_late is not None:
                on_late(reply)
            return Err(OutcomeUnknown(str(target), 'late'))
        return Ok(reply)

    def push(self, peer: str, kind: int, body: bytes) -> bool:
        """Deliver a message to a VM by its name."""
        self.notify(self.network.addresses[peer], kind, body)
        return True

    def notify(self, target: Address, kind: int, body: bytes) -> None:
        """Deliver a message that has no reply."""
        handler = self.network.handlers.get(target, {}).get(kind)
        if handler is None or not self.network.delivers(self.own, target):
            return
        coroutine = handler(self.name, body)
        try:
            coroutine.send(None)
        except StopIteration:
            return
        coroutine.close()
        raise AssertionError('the handler of a one-way message suspended')


class Deployment:
    """Control VMs and entry VMs on one clock.

    Parameters
    ----------
    control : dict
        Failure domain of each control VM, by the number in its address.
    """

    def __init__(self, control: dict[int, str] | None = None) -> None:
        self.timer = VirtualTimerService()
        self.timer.advance(100)
        self.network = Network()
        self.domains = control or {1: 'a', 2: 'b'}
        self.controls = {
            number: self.start_control(number) for number in self.domains
        }

    @property
    def addresses(self) -> tuple[Address, ...]:
        """Addresses of the control VMs."""
        return tuple(map(address, self.domains))

    def start_control(self, number: int) -> RegistryService:
        """Start a control VM; return its registry."""
        links = InMemoryLinks(address(number), f'c-{number}', self.network)
        location = ControlLocation(
            address(number),
            REGIONS[self.domains[number]],
            REGIONS,
            lambda: self.addresses,
        )
        service = RegistryService(location, links, self.timer, Metrics())
        links.subscribe(MessageKind.registry_poll, service.on_poll)
        return service

    def restart(self, number: int) -> RegistryService:
        """Restart a control VM's process, with an empty table."""
        self.controls[number] = self.start_control(number)
        return self.controls[number]

    def entry(self, number: int, domain: str = 'a') -> RegistryWatch:
        """Start an entry VM; return its watch, which polls only on request."""
        name = f'e-{number}'
        links = InMemoryLinks(address(number), name, self.network)
        record = EntryRecord(
            name,
            's',
            REGIONS[domain],
            domain,
            address(number),
            address(number),
            True,
        )
        watch = RegistryWatch(
            REGIONS[domain],
            REGIONS,
            lambda: self.addresses,
            lambda: OwnState(record, empty_report),
            links,
            self.timer,
            Metrics(),
        )
        watch.start_poll = lambda target: None
        return watch

    async def exchange(self, *numbers: int) -> None:
        """Let control VMs poll the others; all of them if none is named."""
        for number in numbers or self.controls:
            for other in self.addresses:
                if other != address(number):
                    await self.controls[number].tables.poll(other)

    async def poll_controls(self, watch: RegistryWatch) -> None:
        """Let an entry VM poll every control VM, then those that are due."""
        for number in self.controls:
            await self.poll(watch, number)
        await self.poll(watch)

    async def poll(self, watch: RegistryWatch, *numbers: int) -> None:
        """Let an entry VM poll control VMs; the due ones if none is named."""
        now_s = self.timer.now()
        due = watch.contacts.due(watch.known_controls(), now_s, 0)
        names = [str(address(number)) for number in numbers] or due
        for control in self.addresses:
            if str(control) in names:
                await watch.poll(control)


def empty_report(source: str) -> ttypes.LoadReport:
    """Return the report of an entry VM without requests."""
    return ttypes.LoadReport(
        number=1,
        session='s',
        loads=[],
        places_of='',
        places_taken=0,
        shown=[],
        prefixes=[],
    )
