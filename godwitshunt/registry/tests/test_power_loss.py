"""All machines lose power at once and restart within a second or two."""

import asyncio
import threading

import pytest

from godwitshunt.exceptions import StorageError
from godwitshunt.quarantine import (
    Fingerprint,
    Loss,
    LostRequest,
    QuarantineStatus,
    SuspectPart,
)
from godwitshunt.registry.merged_tables import MergedTables
from godwitshunt.registry.service import RegistryService
from godwitshunt.registry.table import Stale, Taken
from godwitshunt.registry.tests.deployment import control_location
from godwitshunt.registry.tests.test_merged_tables import REGIONS, table_update
from godwitshunt.registry.tests.test_table import announced
from godwitshunt.registry.upstream_file import FILE_NAME, UpstreamFile
from godwitshunt.storage import AtomicFile, StoredRecord
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import VirtualTimerService

BORN = 1_790_000_000_000
LETHAL = Fingerprint(bytes(16))


def started(folder) -> RegistryService:
    """Start a control VM with a data folder; return its registry."""
    upstream_file = UpstreamFile(folder)
    timer = VirtualTimerService()
    service = RegistryService(
        control_location(),
        None,
        timer,
        Metrics(),
        upstream_file,
    )
    service.persistence.restore()
    return service


async def restarted(service: RegistryService) -> RegistryService:
    """Return the registry after a flush and a loss of power."""
    assert await service.flush()
    return started(service.persistence.file.folder)


async def test_upstreams_are_known_before_they_announce_themselves(tmp_path):
    """Upstreams announce themselves every 1.2 s, each to one control VM.

    Until then requests would be rejected although all upstreams are running.
    """
    before = started(tmp_path)
    before.announce(announced('i-1', born_ms=BORN))
    before.announce(announced('i-2', port=81))
    after = await restarted(before)
    assert set(after.upstreams.entries) == {'i-1', 'i-2'}
    assert all(entry.silent for entry in after.upstreams.entries.values())
    assert after.announce(announced('i-1', 2, born_ms=BORN)) == Taken()
    assert not after.upstreams.entries['i-1'].silent


async def test_departed_upstreams_are_not_restored_as_ready(tmp_path):
    """One upstream is draining, another withdrew; both were acknowledged.

    Restored as ready, they would receive requests that fail when they exit.
    """
    before = started(tmp_path)
    before.announce(announced('i-1'))
    before.announce(announced('i-2', port=81))
    before.announce(announced('i-1', 2, draining=True))
    before.withdraw('i-2')
    after = await restarted(before)
    assert after.upstreams.entries['i-1'].announcement.draining
    assert after.announce(announced('i-2', 9, port=81)) == Stale()
    tables = MergedTables(REGIONS)
    tables.apply(table_update(after.upstreams, 0), 0, 0)
    assert list(tables.view(0).upstreams) == ['i-1']


async def test_departure_stored_by_one_control_vm_applies_to_all(tmp_path):
    """Two control VMs knew an upstream; it withdrew from one of them."""
    first, second = started(tmp_path / 'one'), started(tmp_path / 'other')
    for service in (first, second):
        service.announce(announced('i-1', born_ms=BORN))
    first.withdraw('i-1')
    after_first, after_second = await restarted(first), await restarted(second)
    tables = MergedTables(REGIONS)
    tables.apply(table_update(after_second.upstreams, 0, source='c-2'), 0, 0)
    tables.apply(table_update(after_first.upstreams, 0), 0, 0)
    assert tables.view(0).upstreams == {}


async def test_restored_upstream_is_replaced_at_its_address(tmp_path):
    """An upstream ended in the outage and another one got its address."""
    before = started(tmp_path)
    before.announce(announced('i-1'))
    after = await restarted(before)
    after.announce(announced('i-2', service='other'))
    assert list(after.upstreams.entries) == ['i-2']


@pytest.mark.parametrize('content', [b'', b'GWU1', b'x' * 200])
async def test_damaged_file_is_ignored(tmp_path, content):
    """Power was lost while the file was written, or the file is foreign."""
    (tmp_path / FILE_NAME).write_bytes(content)
    assert started(tmp_path).upstreams.entries == {}


async def test_file_with_other_content_is_ignored(tmp_path):
    """The checksum is right but the content is no table of upstreams."""
    stored = UpstreamFile(tmp_path).storage
    written = AtomicFile(stored.path, stored.magic)
    written.write(StoredRecord(1, b'\xff' * 40))
    assert started(tmp_path).upstreams.entries == {}


async def test_departure_not_on_disk_is_not_acknowledged(tmp_path, monkeypatch):
    """The disk is full when an upstream withdraws.

    If this were acknowledged, the upstream would be restored as ready after a
    loss of power. Writing is retried every quarter of a second; the failure
    and the recovery are logged once each.
    """
    lines = []
    monkeypatch.setattr(
        'godwitshunt.registry.upstream_persistence.log_change',
        lambda kind, **fields: lines.append(kind),
    )
    service = started(tmp_path)
    service.announce(announced('i-1'))
    assert await service.flush()

    def refuse(self, record):
        raise StorageError('disk', 'full')

    with monkeypatch.context() as full:
        full.setattr(AtomicFile, 'write', refuse)
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


async def test_change_during_a_write_is_written_before_acknowledgement(
    tmp_path,
    monkeypatch,
):
    """A second upstream withdraws while a slow write is in progress.

    Its acknowledgement must wait for a write that includes its withdrawal.
    """
    service = started(tmp_path)
    for name, port in (('i-1', 80), ('i-2', 81)):
        service.announce(announced(name, port=port))
    assert await service.flush()
    started_write, may_finish = threading.Event(), threading.Event()
    write = AtomicFile.write

    def write_slowly(self, record):
        started_write.set()
        may_finish.wait(5)
        write(self, record)

    monkeypatch.setattr(AtomicFile, 'write', write_slowly)
    service.withdraw('i-1')
    first = asyncio.create_task(service.flush())
    await asyncio.to_thread(started_write.wait, 5)
    service.withdraw('i-2')
    second = asyncio.create_task(service.flush())
    await asyncio.sleep(0)
    may_finish.set()
    assert await first
    assert await second
    assert started(tmp_path).upstreams.entries == {}


@pytest.mark.parametrize('part', [None, SuspectPart('llm bad', 1)])
async def test_quarantine_survives_a_loss_of_power(tmp_path, part):
    """What crashed three upstreams must not crash three more."""
    before = started(tmp_path)
    before.announce(announced('i-1'))
    assert await before.flush()
    for number in range(3):
        before.timer.advance(1)
        loss = Loss(f'i-{number}', before.timer.now(), 0.1)
        before.quarantine.record_loss(LostRequest(LETHAL, '', 5, loss, part))
    await before.persistence.write()
    after = started(tmp_path)
    assessment = after.quarantine.assessment(LETHAL)
    assert assessment.status is QuarantineStatus.quarantined
    assert after.quarantine.has_suspected_parts() is (part is not None)
