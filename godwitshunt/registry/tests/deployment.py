"""Entry VMs and control VMs in one process; tests carry their messages."""

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
    """Return where a control VM stands that knows no other."""
    return ControlLocation(address(number), REGIONS[domain], REGIONS, tuple)


@dataclass
class Network:
    """Who reaches whom, one way each, and who listens where.

    Parameters
    ----------
    listening : dict
        Handlers of each address, by the kind of message.
    cut : set
        Pairs of address: nothing passes from the first to the second.
    takes : callable
        Lets the time pass that one way takes.
    """

    listening: dict[Address, dict[int, Handler]] = field(default_factory=dict)
    cut: set[tuple[Address, Address]] = field(default_factory=set)
    frozen: set[Address] = field(default_factory=set)
    takes: Callable[[], None] = lambda: None

    def passes(self, one: Address, other: Address) -> bool:
        """Tell whether a message passes one way."""
        here = one not in self.frozen and other not in self.frozen
        return here and (one, other) not in self.cut

    def split(self, one: Address, other: Address) -> None:
        """Let nothing pass between two VMs."""
        self.cut |= {(one, other), (other, one)}

    def heal(self) -> None:
        """Let everything pass."""
        self.cut.clear()
        self.frozen.clear()


@dataclass
class CarriedLinks:
    """Links of one VM; each message is handled while its sender waits."""

    own: Address
    name: str
    network: Network
    calls: list[tuple[Address, int]] = field(default_factory=list)

    def subscribe(self, kind: int, handler: Handler) -> None:
        """Hand messages of a kind to a handler."""
        self.network.listening.setdefault(self.own, {})[kind] = handler

    async def call(
        self,
        target: Address,
        kind: int,
        body: bytes,
        timeout_s: float,
    ) -> Ok[bytes] | Err[NotSent | OutcomeUnknown]:
        """Carry a message and its reply."""
        self.calls.append((target, kind))
        handler = self.network.listening.get(target, {}).get(kind)
        if handler is None or not self.network.passes(self.own, target):
            return Err(NotSent(str(target), 'cut'))
        self.network.takes()
        reply = await handler(self.name, body)
        self.network.takes()
        if reply is None or not self.network.passes(target, self.own):
            return Err(OutcomeUnknown(str(target), 'cut'))
        return Ok(reply)

    def tell(self, target: Address, kind: int, body: bytes) -> None:
        """Carry a message that nobody answers."""
        handler = self.network.listening.get(target, {}).get(kind)
        if handler is None or not self.network.passes(self.own, target):
            return
        waiting = handler(self.name, body)
        try:
            waiting.send(None)
        except StopIteration:
            return
        waiting.close()
        raise AssertionError('a report was not handled at once')


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
        """Return a control VM's registry that has just started."""
        links = CarriedLinks(address(number), f'c-{number}', self.network)
        control_location = ControlLocation(
            address(number),
            REGIONS[self.domains[number]],
            REGIONS,
            lambda: self.addresses,
        )
        service = RegistryService(
            control_location, links, self.timer, Metrics()
        )
        links.subscribe(MessageKind.registry_poll, service.on_poll)
        return service

    def restart(self, number: int) -> RegistryService:
        """Let a control VM's process start anew, with an empty table."""
        self.controls[number] = self.start_control(number)
        return self.controls[number]

    def entry(self, number: int, domain: str = 'a') -> RegistryWatch:
        """Return an entry VM's watch."""
        name = f'e-{number}'
        links = CarriedLinks(address(number), name, self.network)
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
            lambda: OwnState(record, nothing_to_report),
            links,
            self.timer,
            Metrics(),
        )
        watch.start_poll = lambda target: None
        return watch

    async def exchange(self, *numbers: int) -> None:
        """Let control VMs ask one another; all of them where none is named."""
        for number in numbers or self.controls:
            for other in self.addresses:
                if other != address(number):
                    await self.controls[number].tables.ask(other)

    async def poll_controls(self, watch: RegistryWatch) -> None:
        """Let an entry VM ask all control VMs for the first time."""
        for number in self.controls:
            await self.poll(watch, number)
        await self.poll(watch)

    async def poll(self, watch: RegistryWatch, *numbers: int) -> None:
        """Let an entry VM ask control VMs; those that are due if not named."""
        now_s = self.timer.now()
        due = watch.contacts.to_ask(watch.known_control(), now_s, 0)
        names = [str(address(number)) for number in numbers] or due
        for one in self.addresses:
            if str(one) in names:
                await watch.poll(one)


def nothing_to_report(source: str) -> ttypes.LoadReport:
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
