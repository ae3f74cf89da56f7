"""Entry VMs hear from control which upstream keeps which prompt parts."""

from itertools import count

from godwitshunt.peer import decode, encode
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.prefixes import (
    MAX_PREFIXES,
    PREFIX_KEPT_S,
    PrefixRead,
    PrefixTable,
)
from godwitshunt.registry.records import EntryRecord
from godwitshunt.registry.service import RegistryService
from godwitshunt.registry.watch import OwnState, RegistryWatch
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics

KEY = 7


class Clock:
    """A timer that stands where a test puts it."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def now(self) -> float:
        """Return the time that the test has set."""
        return self.now_s


class Deployment:
    """Entry VMs and control VMs whose polls a test carries by hand."""

    def __init__(self, controls: tuple[str, ...] = ('near', 'far')) -> None:
        self.clock = Clock()
        self.ports = count(1000)
        self.controls = {name: self.control() for name in controls}
        self.round_trips_s = {'near': 0.002, 'far': 0.11}

    def control(self) -> RegistryService:
        """Return a control VM's registry that has just started."""
        return RegistryService(None, self.clock, Metrics())

    def entry(self, name: str) -> RegistryWatch:
        """Return an entry VM's watch."""
        address = Address(host='10.0.0.1', port=next(self.ports))
        record = EntryRecord(name, 's', 'a', 'a1', address, address, True)
        return RegistryWatch(
            {},
            tuple,
            lambda: OwnState(record, {}),
            None,
            self.clock,
            Metrics(),
        )

    def poll(self, watch: RegistryWatch, control: str) -> ttypes.PollReply:
        """Carry one poll to a control VM and its answer back."""
        sent_s = self.clock.now_s
        told = watch.own_prefixes.version
        message = decode(ttypes.Poll, encode(watch.message_to(control, sent_s)))
        service = self.controls[control]
        now_s = self.clock.now_s
        service.hear(message, now_s)
        reply = service.reply(message.entry.name, message)
        arrived_s = now_s + self.round_trips_s[control]
        watch.take(control, reply, sent_s, arrived_s)
        watch.take_prefixes(control, reply, told, arrived_s)
        return reply

    def poll_all(self, *watches: RegistryWatch) -> None:
        """Carry one poll of each entry VM to each control VM."""
        for watch in watches:
            for control in self.controls:
                self.poll(watch, control)
        self.clock.now_s += 0.35


def holders(watch: RegistryWatch) -> frozenset[str]:
    """Return who keeps the prefix, as an entry VM believes."""
    return watch.prefixes.holders(KEY, watch.timer.now())


def test_a_read_that_one_vm_saw_is_known_to_another():
    """Two VMs get requests that share a long prompt.

    Without news of the first one's read, the second sends its request to an
    upstream that reads the prompt again, and its callers wait for that.
    """
    deployment = Deployment()
    one, other = deployment.entry('one'), deployment.entry('other')
    deployment.poll_all(one, other)
    one.note_read(KEY, 'i-1')
    deployment.poll_all(one, other)
    assert holders(other) == {'i-1'}


def test_a_read_is_asked_of_the_nearest_control_vm_alone():
    """Every control VM hears of every read; asked of all, they cost bytes."""
    deployment = Deployment()
    one, other = deployment.entry('one'), deployment.entry('other')
    deployment.poll_all(one, other)
    one.note_read(KEY, 'i-1')
    deployment.poll_all(one)
    assert deployment.poll(other, 'far').prefixes == []
    assert len(deployment.poll(other, 'near').prefixes) == 1
    assert deployment.poll(other, 'near').prefixes == []


def test_a_control_vm_that_started_anew_is_told_all_again():
    """The nearest control VM restarts with an empty table.

    What it had been told before would be lost, and with it, for the VMs that
    ask it, the places of all prompts.
    """
    deployment = Deployment()
    one, other = deployment.entry('one'), deployment.entry('other')
    deployment.poll_all(one)
    one.note_read(KEY, 'i-1')
    deployment.poll_all(one)
    deployment.controls['near'] = deployment.control()
    deployment.poll_all(one)
    deployment.poll_all(one, other)
    deployment.poll_all(other)
    assert holders(other) == {'i-1'}


def test_the_next_control_vm_tells_all_where_the_nearest_falls_silent():
    """The nearest control VM dies; the next one is asked from then on."""
    deployment = Deployment()
    one, other = deployment.entry('one'), deployment.entry('other')
    deployment.poll_all(one, other)
    one.note_read(KEY, 'i-1')
    deployment.poll_all(one)
    deployment.clock.now_s += 4.0
    deployment.poll(other, 'far')
    deployment.poll(other, 'far')
    assert holders(other) == {'i-1'}


def test_a_read_ages_on_its_way_and_is_forgotten_everywhere():
    """An engine drops what was not used for long; a belief must end, too."""
    deployment = Deployment()
    one, other = deployment.entry('one'), deployment.entry('other')
    one.note_read(KEY, 'i-1')
    deployment.poll_all(one, other)
    deployment.clock.now_s += PREFIX_KEPT_S / 2
    deployment.poll_all(one, other)
    deployment.poll_all(one, other)
    assert holders(other) == {'i-1'}
    deployment.clock.now_s += PREFIX_KEPT_S / 2
    assert holders(other) == frozenset()
    one.tick()
    assert not one.own_prefixes.reads


def test_a_late_old_read_changes_nothing():
    """Reads overtake one another between VMs."""
    table = PrefixTable()
    table.note(PrefixRead(KEY, 'i-1', read_s=5.0))
    table.note(PrefixRead(KEY, 'i-1', read_s=4.0))
    assert table.version == 1
    assert table.since(0) == (PrefixRead(KEY, 'i-1', read_s=5.0),)


def test_a_table_is_bounded():
    """Prompts that are never shared would else fill a VM's memory."""
    table = PrefixTable()
    for key in range(MAX_PREFIXES + 10):
        table.note(PrefixRead(key, 'i-1', read_s=float(key)))
    assert len(table.reads) == len(table.by_key) == MAX_PREFIXES
    assert table.holders(0, now_s=0.0) == frozenset()
