"""Tests of the revision file when it is incomplete, damaged or unwritable."""

import pytest

from godwitshunt.configuration.document import digest_of, document_of
from godwitshunt.configuration.history import DocumentRevision
from godwitshunt.configuration.revision_file import FILE_NAME, RevisionFile
from godwitshunt.configuration.tests.fakes import Deployment, manifest
from godwitshunt.exceptions import StorageError


def make_revision(number: int) -> DocumentRevision:
    """Return a revision of the manifest with this number."""
    document = document_of(manifest(number))
    return DocumentRevision(number, digest_of(document), document)


@pytest.mark.parametrize(
    'damage',
    [
        lambda written: written[:-1],
        lambda written: written[:10],
        lambda written: b'',
        lambda written: b'?'.join((written[:40], written[41:])),
        lambda written: b''.join((b'XXXX', written[4:])),
        lambda written: b''.join((written, b'?')),
    ],
)
def test_damaged_file_is_ignored(tmp_path, damage):
    """A power failure interrupts a write, or the disk returns other bytes.

    The VM must start without a revision rather than with part of one.
    """
    revision_file = RevisionFile(tmp_path)
    revision_file.write(make_revision(1))
    path = tmp_path / FILE_NAME
    path.write_bytes(damage(path.read_bytes()))
    assert revision_file.read() is None
    revision_file.write(make_revision(2))
    assert revision_file.read().digest == make_revision(2).digest


def test_crash_before_the_rename_keeps_the_older_revision(tmp_path):
    """The VM crashes while it writes a newer revision to a temporary file."""
    revision_file = RevisionFile(tmp_path)
    revision_file.write(make_revision(1))
    (tmp_path / FILE_NAME).with_suffix('.new').write_bytes(b'half')
    assert revision_file.read().digest == make_revision(1).digest


async def test_revision_is_active_if_the_disk_is_unwritable(tmp_path):
    """The disk of the VM is full or read-only when a new revision arrives.

    The revision becomes active, and the failed write is counted.
    """
    not_a_folder = tmp_path / 'file'
    not_a_folder.write_bytes(b'')
    revision_file = RevisionFile(not_a_folder)
    with pytest.raises(StorageError):
        revision_file.write(make_revision(1))
    deployment = Deployment()
    deployment.add_control('c1', 'zagreb')
    deployment.add_vm('e1', 'zagreb', 201)
    task = deployment.tasks['e1']
    task.revision_file = revision_file
    await deployment.run(2)
    await deployment.accept(manifest())
    await deployment.run(2)
    assert task.current.manifest.number == 1
    assert b'configuration_keep_failed_total' in task.metrics.render()
    await deployment.close()
