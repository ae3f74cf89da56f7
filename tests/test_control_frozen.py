"""A control replica that is frozen with an order under way, as a process."""

import asyncio
import signal
from contextlib import asynccontextmanager

from godwitshunt.membership.views import UpstreamView
from godwitshunt.peer import MessageKind, PeerLinks, PeerOptions
from godwitshunt.placement.reports import encode_report
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics
from trials.control_processes import (
    KEY,
    ControlProcesses,
    free_address,
    started_control,
)


def entry_links() -> PeerLinks:
    """Return links that an entry VM would have."""
    options = PeerOptions(name='e1', listen=free_address(), key=KEY)
    return PeerLinks.from_config(options, Metrics())


@asynccontextmanager
async def reported_upstream(control: ControlProcesses):
    """Yield an upstream that an entry VM keeps reporting to all replicas."""
    upstream = Upstream()
    await upstream.start()
    entry = entry_links()
    reporting = asyncio.create_task(report(control, entry, upstream.address))
    try:
        yield upstream
    finally:
        reporting.cancel()
        await asyncio.gather(reporting, entry.close(), return_exceptions=True)


async def test_frozen_leader_wakes_past_its_lease(tmp_path):
    """The leader is frozen with an order on its way, and wakes much later.

    Meanwhile another replica leads, and an operator gave a newer order. The
    upstream ignores numbers; it must end with the newer one, and the woken
    replica must not answer with what was current before.
    """
    async with started_control(tmp_path) as control:
        await control.apply(1)
        async with reported_upstream(control) as upstream:
            await freeze_and_wake(control, upstream)


async def freeze_and_wake(
    control: ControlProcesses,
    upstream: 'Upstream',
) -> None:
    """Freeze the leader, have another one act, and wake it."""
    frozen = await control.leader()
    await order(control, 'first')
    await upstream.reached.wait()
    control.signal(frozen, signal.SIGSTOP)
    leader = await control.leader(but=frozen)
    await order(control, 'second', at=leader)
    status, _ = await control.apply(2, at=leader)
    assert status == 200
    await upstream.newest.wait()
    control.signal(frozen, signal.SIGCONT)
    _, woken = await control.until('GET', '/v1/status', at=frozen)
    assert woken['number'] == 2
    await control.apply(3)
    assert upstream.numbers == sorted(upstream.numbers)
    assert upstream.numbers[-1] == 2


async def order(
    control: ControlProcesses,
    name: str,
    at: int | None = None,
) -> None:
    """Give an order until a leader takes it."""
    asked = {
        'order': name,
        'upstream': 'engine',
        'action': 'load-version',
        'subject': name,
    }
    status = 404
    while status == 404:
        status, _ = await control.until('POST', '/v1/orders', asked, at)
    assert status == 200


async def report(
    control: ControlProcesses,
    entry: PeerLinks,
    address: Address,
) -> None:
    """Tell all replicas of an upstream, as an entry VM does."""
    view = UpstreamView('engine', 'split', 'chat', address, 1)
    while True:
        for peer in control.peer:
            kind = MessageKind.placement_report
            entry.notify(peer, kind, encode_report([view]))
        await asyncio.sleep(0.2)


class Upstream:
    """Takes orders and ignores their numbers; the first answer is held."""

    def __init__(self) -> None:
        self.address = free_address()
        self.numbers: list[int] = []
        self.reached = asyncio.Event()
        self.newest = asyncio.Event()

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(
            self.take,
            self.address.host,
            self.address.port,
        )

    async def take(self, reader, writer) -> None:
        """Note an order's number; answer all but the first."""
        request = await reader.readuntil(b'\r\n\r\n')
        number = int(request.split(b' ')[1].rpartition(b'/')[2])
        self.numbers.append(number)
        if self.reached.is_set():
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
            await writer.drain()
        self.reached.set()
        if number == 2:
            self.newest.set()
