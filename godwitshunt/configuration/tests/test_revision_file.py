"""The newest revision on a VM's disk, torn, damaged or not writable."""

import pytest

from godwitshunt.configuration.document import digest_of, document_of
from godwitshunt.configuration.history import DocumentRevision
from godwitshunt.configuration.revision_file import FILE_NAME, RevisionFile
from godwitshunt.configuration.tests.fakes import Deployment, manifest
from godwitshunt.exceptions import StorageError


def held(number: int) -> DocumentRevision:
    """Return a revision."""
    document = document_of(manifest(number))
    return DocumentRevision(number, digest_of(document), document)


@pytest.mark.parametrize(
    'damage',
    [
        lambda whole: whole[:-1],
        lambda whole: whole[:10],
        lambda whole: b'',
        lambda whole: b'?'.join((whole[:40], whole[41:])),
        lambda whole: b''.join((b'XXXX', whole[4:])),
        lambda whole: b''.join((whole, b'?')),
    ],
)
def test_damaged_file_is_no_revision(tmp_path, damage):
    """Power is lost in a write, or the disk returns other bytes.

    Half a configuration must never come into force; the VM starts without.
    """
    kept = RevisionFile(tmp_path)
    kept.write(held(1))
    path = tmp_path / FILE_NAME
    path.write_bytes(damage(path.read_bytes()))
    assert kept.read() is None
    kept.write(held(2))
    assert kept.read().digest == held(2).digest


def test_crash_before_the_rename_leaves_the_older_one(tmp_path):
    """The VM crashes while it writes a newer revision beside the older."""
    kept = RevisionFile(tmp_path)
    kept.write(held(1))
    (tmp_path / FILE_NAME).with_suffix('.new').write_bytes(b'half')
    assert kept.read().digest == held(1).digest


async def test_unwritable_disk_keeps_no_revision_from_being_in_force(tmp_path):
    """The VM's disk is full or read-only when a change comes.

    The change is in force all the same, and the failure is counted.
    """
    blocked = tmp_path / 'file'
    blocked.write_bytes(b'')
    kept = RevisionFile(blocked)
    with pytest.raises(StorageError):
        kept.write(held(1))
    deployment = Deployment()
    deployment.add_control('c1', 'zagreb')
    deployment.add_vm('e1', 'zagreb', 201)
    task = deployment.tasks['e1']
    task.revision_file = kept
    await deployment.run(2)
    await deployment.accept(manifest())
    await deployment.run(2)
    assert task.current.manifest.number == 1
    assert b'configuration_keep_failed_total' in task.metrics.render()
    await deployment.close()
