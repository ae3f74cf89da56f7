"""Replacement of an atomic file, and detection of damaged content."""

import pytest

from godwitshunt.exceptions import StorageError
from godwitshunt.storage import AtomicFile, StoredRecord

FIRST, SECOND = StoredRecord(1, b'first'), StoredRecord(2, b'second' * 100)


@pytest.fixture
def atomic_file(tmp_path):
    """Return a file that does not exist yet, in a missing folder."""
    return AtomicFile(tmp_path / 'data' / 'record.bin', b'TEST')


def test_last_record_is_read(atomic_file):
    """A process that restarts reads the last written record."""
    assert atomic_file.read() is None
    atomic_file.write(FIRST)
    atomic_file.write(SECOND)
    assert atomic_file.read() == SECOND


def test_crash_during_a_write_preserves_previous_record(atomic_file):
    """Power is lost while the temporary file is written."""
    atomic_file.write(FIRST)
    atomic_file.path.with_suffix('.new').write_bytes(b'TESThalf')
    assert atomic_file.read() == FIRST
    atomic_file.write(SECOND)
    assert atomic_file.read() == SECOND


def test_truncated_or_corrupted_content_is_rejected(atomic_file):
    """A torn write truncates the file, or the disk corrupts a byte."""
    atomic_file.write(FIRST)
    content = atomic_file.path.read_bytes()
    truncated = [content[:length] for length in range(len(content))]
    # The checksum covers the body only, not the number in the header.
    checked_offsets = [*range(8), *range(16, len(content))]
    flipped = [
        content[:offset] + bytes([content[offset] ^ 1]) + content[offset + 1 :]
        for offset in checked_offsets
    ]
    assert {
        atomic_file.parse(damaged) for damaged in (*truncated, *flipped)
    } == {None}


def test_file_of_another_kind_is_rejected(atomic_file):
    """A file whose magic bytes differ reads as no record."""
    atomic_file.write(FIRST)
    assert AtomicFile(atomic_file.path, b'ELSE').read() is None


def test_unusable_data_folder_raises_storage_error(tmp_path):
    """A regular file exists at the path of the data folder."""
    (tmp_path / 'data').write_bytes(b'')
    unusable = AtomicFile(tmp_path / 'data' / 'record.bin', b'TEST')
    with pytest.raises(StorageError):
        unusable.write(FIRST)
    with pytest.raises(StorageError):
        unusable.read()
