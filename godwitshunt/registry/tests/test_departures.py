"""Departures are on enough disks before they are acknowledged."""

import asyncio

import pytest
from result import Err, Ok

from godwitshunt.peer import NotSent, OutcomeUnknown
from godwitshunt.registry.departures import COPY_TIMEOUT_S
from godwitshunt.registry.records import UpstreamAnnounced
from godwitshunt.registry.service import RegistryService
from godwitshunt.registry.table_updates import ControlLocation
from godwitshunt.registry.tests.deployment import REGIONS, address
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import VirtualTimerService

INSTANCE = 'i-1'
BORN_MS = 1_790_000_000_000


def announced(sequence=1, draining=False, born_ms=BORN_MS):
    """Return an announcement of the upstream."""
    return UpstreamAnnounced(
        INSTANCE,
        'chat',
        address(90),
        'a',
        8,
        draining,
        0,
        sequence,
        born_ms=born_ms,
    )


class Links:
    """Links between control VMs in one process.

    Parameters
    ----------
    network : dict
        Handlers by address and kind; shared by all.
    silent : set
        Addresses that never answer.
    """

    def __init__(self, own, network, silent):
        self.own = own
        self.network = network
        self.silent = silent
        self.calls = 0

    def subscribe(self, kind, handler):
        """Register a handler."""
        self.network[self.own, kind] = handler

    async def call(self, address, kind, body, timeout_s):
        """Deliver a message, or wait for the timeout."""
        self.calls += 1
        if address in self.silent:
            await asyncio.sleep(timeout_s)
            return Err(OutcomeUnknown(str(address), 'no reply in time'))
        handler = self.network.get((address, kind))
        if handler is None:
            return Err(NotSent(str(address), 'refused'))
        return Ok(await handler(str(self.own), body))


class ControlVms:
    """Control VMs that know each other.

    Parameters
    ----------
    count : int
        How many.
    """

    def __init__(self, count):
        self.network = {}
        self.silent = set()
        self.addresses = tuple(
            address(number) for number in range(1, count + 1)
        )
        self.flushed = dict.fromkeys(self.addresses, 0)
        self.fails_to_flush = set()
        self.services = [self.make(own) for own in self.addresses]
        for service in self.services:
            service.departures.start()

    def make(self, own):
        """Return the registry of one control VM."""
        location = ControlLocation(
            own,
            REGIONS['a'],
            REGIONS,
            lambda: self.addresses,
            lambda: (len(self.addresses) - 1) // 2,
        )
        links = Links(own, self.network, self.silent)
        service = RegistryService(
            location, links, VirtualTimerService(), Metrics()
        )

        async def flush():
            if own in self.fails_to_flush:
                return False
            self.flushed[own] += 1
            return True

        service.departures.flush = flush
        return service

    def count_ended(self):
        """Return how many know that the upstream is gone."""
        return sum(
            INSTANCE not in service.upstreams.entries
            and INSTANCE in service.upstreams.ends.by_instance
            for service in self.services
        )

    def count_draining(self):
        """Return how many know that the upstream drains."""
        entries = [
            service.upstreams.entries.get(INSTANCE) for service in self.services
        ]
        return sum(
            known is not None and known.announcement.draining
            for known in entries
        )


async def withdraw(vms):
    """Let the upstream leave at the first control VM."""
    first = vms.services[0]
    first.announce(announced())
    first.withdraw(INSTANCE)
    return await first.keep_departure(INSTANCE)


@pytest.mark.parametrize(('count', 'disks'), [(1, 1), (2, 1), (3, 2), (5, 3)])
async def test_an_acknowledged_departure_is_on_enough_disks(count, disks):
    """A departure was lost with the one disk that had it."""
    vms = ControlVms(count)
    assert await withdraw(vms)
    assert sum(map(bool, vms.flushed.values())) >= disks
    assert vms.count_ended() >= disks


async def test_a_draining_upstream_is_kept_draining():
    """A drain that an announcement tells is the same promise."""
    vms = ControlVms(5)
    first = vms.services[0]
    first.announce(announced(draining=True))
    assert await first.keep_departure(INSTANCE)
    assert vms.count_draining() >= 3


@pytest.mark.parametrize(
    ('count', 'silent', 'is_kept'),
    [(3, 1, True), (5, 2, True), (3, 2, False), (5, 3, False)],
)
async def test_silent_vms_hold_up_no_departure(count, silent, is_kept):
    """Frozen VMs made an upstream wait, or too few disks were enough."""
    vms = ControlVms(count)
    vms.silent.update(vms.addresses[1 : 1 + silent])
    begun_s = asyncio.get_running_loop().time()
    assert await withdraw(vms) is is_kept
    took_s = asyncio.get_running_loop().time() - begun_s
    assert (took_s < COPY_TIMEOUT_S / 2) is is_kept


@pytest.mark.parametrize('broken', [0, 1])
async def test_a_disk_that_fails_counts_for_none(broken):
    """A VM whose disk is full answered for a departure."""
    vms = ControlVms(3)
    vms.fails_to_flush.add(vms.addresses[broken])
    vms.silent.add(vms.addresses[2])
    assert not await withdraw(vms)


async def test_a_copy_ends_no_newer_start():
    """A copy that was held up ended the upstream's next start."""
    vms = ControlVms(3)
    other = vms.services[1]
    other.announce(announced(born_ms=BORN_MS + 5000))
    assert await withdraw(vms)
    await asyncio.sleep(0)
    known = other.upstreams.entries[INSTANCE].announcement
    assert known.born_ms == BORN_MS + 5000


async def test_a_departure_is_copied_once():
    """Each announcement of a draining upstream was sent to all regions."""
    vms = ControlVms(3)
    first = vms.services[0]
    for sequence in range(1, 9):
        first.announce(announced(sequence, draining=True))
        assert await first.keep_departure(INSTANCE)
    assert first.links.calls == 2
    first.withdraw(INSTANCE)
    assert await first.keep_departure(INSTANCE)
    assert first.links.calls == 4
