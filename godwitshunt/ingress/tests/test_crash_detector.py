"""Which lost connections are taken as crashes of upstreams."""

import asyncio
from types import SimpleNamespace

import pytest

from godwitshunt.exchange.channel import Channel
from godwitshunt.ingress.crash_detector import CrashDetector
from godwitshunt.quarantine import Fingerprint, Quarantine
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import TimerService

HOST = '127.0.0.1'
CRASHING = Fingerprint(bytes(16))


def request(fingerprint=CRASHING):
    """Return a request with the attributes that the detector reads."""
    return SimpleNamespace(
        fingerprint=fingerprint,
        organisation_name='',
        http=SimpleNamespace(body=b'hello'),
        suspect_parts=dict,
    )


class Upstream:
    """A crash detector and the one upstream that it checks."""

    def __init__(self):
        timer = TimerService()
        self.quarantine = Quarantine(100.0, timer.now, Metrics())
        self.detector = CrashDetector(self.quarantine, timer)
        self.connects = 0
        self.server = None
        self.port = 0

    async def start(self):
        """Listen for connections."""
        self.server = await asyncio.start_server(self.accept, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        """Count a connection and close it."""
        self.connects += 1
        writer.close()

    async def stop(self):
        """Stop listening."""
        self.server.close()
        await self.server.wait_closed()

    async def lose(self, incarnation='i-1', **fields):
        """Lose a request to the upstream and wait for its check."""
        address = Address(host=HOST, port=self.port)
        self.detector.record_loss(request(**fields), incarnation, address, 0.1)
        await self.detector.wait_checked(incarnation)

    @property
    def losses(self):
        """Number of losses recorded for all requests."""
        records = self.quarantine.table.records.values()
        return sum(len(record.losses) for record in records)


@pytest.fixture
async def upstream():
    """Yield an upstream that listens."""
    listening = Upstream()
    await listening.start()
    yield listening
    await listening.detector.close()
    listening.server.close()


async def test_listening_upstream_counts_as_no_crash(upstream):
    """Connections are also reset, and answers cut short, without a crash."""
    await upstream.lose()
    assert (upstream.losses, upstream.connects) == (0, 1)


async def test_upstream_that_refuses_connections_has_crashed(upstream):
    """Each of the requests of a crashed engine is recorded as lost."""
    await upstream.stop()
    await asyncio.gather(
        upstream.lose(),
        upstream.lose(fingerprint=Fingerprint(bytes(range(16)))),
    )
    assert upstream.losses == 2


async def test_upstream_is_checked_once_for_all_its_requests(upstream):
    """A crashed engine must not cause a connection for each lost request."""
    await asyncio.gather(*(upstream.lose() for _ in range(20)))
    await upstream.lose()
    assert upstream.connects == 1


async def test_upstream_that_keeps_a_connection_open_is_up(upstream):
    """One with as many connections as it takes refuses new ones."""
    upstream.detector.has_open_connection = lambda incarnation, address: True
    await upstream.stop()
    await upstream.lose()
    address = Address(host=HOST, port=upstream.port)
    assert not await upstream.detector.is_end_of_crash('i-1', address)
    assert not upstream.losses


async def test_crash_after_a_check_is_recorded(upstream):
    """An upstream that breaks an answer may crash within the next second."""
    await upstream.lose()
    await asyncio.sleep(0.2)
    await upstream.stop()
    await upstream.lose()
    assert upstream.losses == 1


async def test_unreachable_upstream_counts_as_no_crash(upstream, monkeypatch):
    """A zone without power or a failed link is no crash."""

    async def wait(*args, **fields):
        await asyncio.sleep(10)

    monkeypatch.setattr(asyncio, 'open_connection', wait)
    await upstream.lose()
    assert not upstream.losses


@pytest.mark.parametrize('is_up', [True, False])
async def test_end_of_an_answer_is_told_from_a_crash(upstream, is_up):
    """An exiting process ends an answer without a length cleanly."""
    if not is_up:
        await upstream.stop()
    address = Address(host=HOST, port=upstream.port)
    is_crash = await upstream.detector.is_end_of_crash('i-1', address)
    assert is_crash is not is_up
    assert not upstream.losses


async def checked_at_once():
    """Wait for a check that is done."""


@pytest.mark.parametrize('is_up', [True, False])
async def test_end_of_an_answer_is_unknown_without_paths(upstream, is_up):
    """A part of an answer taken for the whole as the VM lost its paths."""
    if not is_up:
        await upstream.stop()
    upstream.detector.path_monitor = SimpleNamespace(
        are_lost=True, wait_checked=checked_at_once
    )
    address = Address(host=HOST, port=upstream.port)
    assert await upstream.detector.is_end_of_crash('i-1', address)
    assert not upstream.detector.checks
    await upstream.lose()
    assert not upstream.losses


@pytest.mark.parametrize(
    ('error', 'is_closed'),
    [
        (None, True),
        (ConnectionResetError(), True),
        (TimeoutError(), False),
        (OSError(113, 'no route'), False),
    ],
)
def test_connection_timed_out_by_the_kernel_was_not_closed(error, is_closed):
    """Requests at an unreachable machine must not count as lost to a crash."""
    channel = Channel()
    if error is None:
        channel.eof_received()
    channel.connection_lost(error)
    assert channel.ended_by_other_side is is_closed
