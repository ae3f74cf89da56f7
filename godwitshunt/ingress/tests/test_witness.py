"""Which lost connections show that an upstream ended."""

import asyncio
from types import SimpleNamespace

import pytest

from godwitshunt.exchange.channel import Channel
from godwitshunt.ingress.crash_detector import CrashWitness
from godwitshunt.quarantine import Fingerprint, Quarantine
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import TimerService

HOST = '127.0.0.1'
LETHAL = Fingerprint(bytes(16))


def request(fingerprint=LETHAL):
    """Return a request as the witness sees it."""
    return SimpleNamespace(
        fingerprint=fingerprint,
        organisation_name='',
        http=SimpleNamespace(body=b'hello'),
    )


class World:
    """A witness, and one place that is up until it ends."""

    def __init__(self):
        timer = TimerService()
        self.quarantine = Quarantine(100.0, timer.now, Metrics())
        self.witness = CrashWitness(self.quarantine, timer)
        self.connects = 0
        self.server = None
        self.port = 0

    async def start(self):
        """Listen."""
        self.server = await asyncio.start_server(self.accept, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        """Count a connection and close it."""
        self.connects += 1
        writer.close()

    async def end(self):
        """Stop listening."""
        self.server.close()
        await self.server.wait_closed()

    async def lose(self, place='i-1', **fields):
        """Lose a request at the place, and let it be looked at."""
        address = Address(host=HOST, port=self.port)
        self.witness.record_loss(request(**fields), place, address, 0.1)
        await self.witness.settled(place)

    @property
    def losses(self):
        """How many losses are held against requests."""
        records = self.quarantine.table.records.values()
        return sum(len(one.losses) for one in records)


@pytest.fixture
async def world():
    """Return a place that listens."""
    made = World()
    await made.start()
    yield made
    await made.witness.close()
    made.server.close()


async def test_upstream_that_lives_on_speaks_against_no_request(world):
    """A reset connection, or an answer cut short, that counts as an end."""
    await world.lose()
    assert (world.losses, world.connects) == (0, 1)


async def test_upstream_that_refuses_connections_has_ended(world):
    """An engine that ended, with several requests."""
    await world.end()
    await asyncio.gather(
        world.lose(),
        world.lose(fingerprint=Fingerprint(bytes(range(16)))),
    )
    assert world.losses == 2


async def test_place_is_looked_at_once_for_all_that_it_had(world):
    """A connection for each of the requests that an engine took along."""
    await asyncio.gather(*(world.lose() for _ in range(20)))
    await world.lose()
    assert world.connects == 1


async def test_silent_place_speaks_against_no_request(world, monkeypatch):
    """A zone that went dark, or a link that was lost."""

    async def wait(*args, **fields):
        await asyncio.sleep(10)

    monkeypatch.setattr(asyncio, 'open_connection', wait)
    await world.lose()
    assert not world.losses


@pytest.mark.parametrize(
    ('fault', 'is_closed'),
    [
        (None, True),
        (ConnectionResetError(), True),
        (TimeoutError(), False),
        (OSError(113, 'no route'), False),
    ],
)
def test_connection_given_up_by_the_kernel_was_not_closed(fault, is_closed):
    """Requests at a dark machine, held to be lost by an end of it."""
    channel = Channel()
    if fault is None:
        channel.eof_received()
    channel.connection_lost(fault)
    assert channel.ended_by_other_side is is_closed
