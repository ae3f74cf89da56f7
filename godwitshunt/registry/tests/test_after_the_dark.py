"""All machines lose power at once, and come back within a second or two."""

import asyncio
import threading

import pytest

from godwitshunt.exceptions import StorageError
from godwitshunt.quarantine import (
    Fingerprint,
    Loss,
    LostRequest,
    QuarantineStatus,
)
from godwitshunt.registry.kept_upstreams import FILE_NAME, KeptUpstreams
from godwitshunt.registry.merged_tables import MergedTables
from godwitshunt.registry.service import RegistryService
from godwitshunt.registry.table import Stale, Taken
from godwitshunt.registry.tests.deployment import control_location
from godwitshunt.registry.tests.test_table import announced
from godwitshunt.registry.tests.test_views import REGIONS, news
from godwitshunt.storage import KeptFile, KeptRecord
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import VirtualTimerService

BORN = 1_790_000_000_000
LETHAL = Fingerprint(bytes(16))


def started(folder) -> RegistryService:
    """Return a control VM's registry that has just started."""
    kept = KeptUpstreams(folder)
    timer = VirtualTimerService()
    service = RegistryService(control_location(), None, timer, Metrics(), kept)
    service.keeper.restore()
    return service


async def restarted(service: RegistryService) -> RegistryService:
    """Return the registry after a loss of power, once all was written."""
    assert await service.flush()
    return started(service.keeper.kept.folder)


async def test_upstreams_are_known_before_they_announce_themselves(tmp_path):
    """Upstreams announce themselves each 1.2 s, each to one control VM.

    Until then callers would be refused, although every upstream is well.
    """
    before = started(tmp_path)
    before.announce(announced('i-1', born_ms=BORN))
    before.announce(announced('i-2', port=81))
    after = await restarted(before)
    assert set(after.upstreams.entries) == {'i-1', 'i-2'}
    assert all(one.silent for one in after.upstreams.entries.values())
    assert after.announce(announced('i-1', 2, born_ms=BORN)) == Taken()
    assert not after.upstreams.entries['i-1'].silent


async def test_who_leaves_does_not_come_back(tmp_path):
    """One drains, another one said good-bye; both were acknowledged.

    Remembered as ready, they would get requests that are cut when they exit.
    """
    before = started(tmp_path)
    before.announce(announced('i-1'))
    before.announce(announced('i-2', port=81))
    before.announce(announced('i-1', 2, draining=True))
    before.withdraw('i-2')
    after = await restarted(before)
    assert after.upstreams.entries['i-1'].announcement.draining
    assert after.announce(announced('i-2', 9, port=81)) == Stale()
    merged = MergedTables(REGIONS)
    merged.take(news(after.upstreams, 0), 0, 0)
    assert list(merged.view(0).upstreams) == ['i-1']


async def test_a_departure_kept_here_ends_what_another_vm_remembers(tmp_path):
    """Two control VMs knew an upstream, and one took its good-bye."""
    one, other = started(tmp_path / 'one'), started(tmp_path / 'other')
    for service in (one, other):
        service.announce(announced('i-1', born_ms=BORN))
    one.withdraw('i-1')
    after_one, after_other = await restarted(one), await restarted(other)
    merged = MergedTables(REGIONS)
    merged.take(news(after_other.upstreams, 0, source='c-2'), 0, 0)
    merged.take(news(after_one.upstreams, 0), 0, 0)
    assert merged.view(0).upstreams == {}


async def test_another_upstream_at_the_address_takes_its_place(tmp_path):
    """An upstream ended in the dark, and its address was given away."""
    before = started(tmp_path)
    before.announce(announced('i-1'))
    after = await restarted(before)
    after.announce(announced('i-2', service='other'))
    assert list(after.upstreams.entries) == ['i-2']


@pytest.mark.parametrize('content', [b'', b'GWU1', b'x' * 200])
async def test_a_damaged_file_is_none(tmp_path, content):
    """Power was lost while the file was written, or the disk is another's."""
    (tmp_path / FILE_NAME).write_bytes(content)
    assert started(tmp_path).upstreams.entries == {}


async def test_whole_file_of_another_content_is_none(tmp_path):
    """The checksum fits, and what it covers is no table of upstreams."""
    file = KeptUpstreams(tmp_path).file
    written = KeptFile(file.path, file.magic)
    written.write(KeptRecord(1, b'\xff' * 40))
    assert started(tmp_path).upstreams.entries == {}


async def test_what_is_not_on_disk_is_not_acknowledged(tmp_path, monkeypatch):
    """The disk is full when an upstream says that it leaves.

    Acknowledged, it would be remembered as ready after a loss of power. The
    disk is tried again each quarter of a second; one line tells that it fails
    and one that it is well.
    """
    lines = []
    monkeypatch.setattr(
        'godwitshunt.registry.keeper.log_change',
        lambda kind, **fields: lines.append(kind),
    )
    service = started(tmp_path)
    service.announce(announced('i-1'))
    assert await service.flush()

    def refuse(self, record):
        raise StorageError('disk', 'full')

    with monkeypatch.context() as full:
        full.setattr(KeptFile, 'write', refuse)
        service.withdraw('i-1')
        assert not await service.flush()
        assert not await service.flush()
    assert await service.flush()
    assert [kind for kind in lines if 'keep' in kind] == [
        'registry:keep_failed',
        'registry:keep_recovered',
    ]
    after = started(tmp_path)
    assert after.upstreams.entries == {}
    assert after.announce(announced('i-1', 9)) == Stale()


async def test_a_word_that_comes_while_the_disk_writes_is_written_as_well(
    tmp_path,
    monkeypatch,
):
    """The disk is slow, and a second upstream leaves while it writes.

    Its acknowledgement must wait for a write that holds it.
    """
    service = started(tmp_path)
    for name, port in (('i-1', 80), ('i-2', 81)):
        service.announce(announced(name, port=port))
    assert await service.flush()
    begun, going_on = threading.Event(), threading.Event()
    write = KeptFile.write

    def write_slowly(self, record):
        begun.set()
        going_on.wait(5)
        write(self, record)

    monkeypatch.setattr(KeptFile, 'write', write_slowly)
    service.withdraw('i-1')
    first = asyncio.create_task(service.flush())
    await asyncio.to_thread(begun.wait, 5)
    service.withdraw('i-2')
    second = asyncio.create_task(service.flush())
    await asyncio.sleep(0)
    going_on.set()
    assert await first
    assert await second
    assert started(tmp_path).upstreams.entries == {}


async def test_what_is_kept_back_stays_so_after_the_dark(tmp_path):
    """A request that three upstreams ended under ends three more."""
    before = started(tmp_path)
    before.announce(announced('i-1'))
    assert await before.flush()
    for number in range(3):
        before.timer.advance(1)
        loss = Loss(f'i-{number}', before.timer.now(), 0.1)
        before.quarantine.record_loss(LostRequest(LETHAL, '', 5, loss))
    await before.keeper.keep()
    after = started(tmp_path)
    assessment = after.quarantine.assessment(LETHAL)
    assert assessment.status is QuarantineStatus.quarantined
