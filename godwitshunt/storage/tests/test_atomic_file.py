"""A file that always holds one whole record, through crashes."""

import pytest

from godwitshunt.exceptions import StorageError
from godwitshunt.storage import AtomicFile, StoredRecord

FIRST, SECOND = StoredRecord(1, b'first'), StoredRecord(2, b'second' * 100)


@pytest.fixture
def kept(tmp_path):
    """Return a file that does not exist yet, in a folder that neither does."""
    return AtomicFile(tmp_path / 'data' / 'kept.bin', b'TEST')


def test_the_last_record_is_read(kept):
    """A process restarts."""
    assert kept.read() is None
    kept.write(FIRST)
    kept.write(SECOND)
    assert kept.read() == SECOND


def test_a_crash_within_a_write_leaves_the_record_before(kept):
    """Power is lost while the new file is written beside the old one."""
    kept.write(FIRST)
    kept.path.with_suffix('.new').write_bytes(b'TESThalf')
    assert kept.read() == FIRST
    kept.write(SECOND)
    assert kept.read() == SECOND


def test_every_cut_and_every_flipped_byte_is_none(kept):
    """The disk tore the file, or lost bits of it."""
    kept.write(FIRST)
    content = kept.path.read_bytes()
    cuts = [content[:length] for length in range(len(content))]
    # The number is not covered by the checksum: it stands before the body.
    covered = [*range(8), *range(16, len(content))]
    flips = [
        content[:place] + bytes([content[place] ^ 1]) + content[place + 1 :]
        for place in covered
    ]
    assert {kept.parse(one) for one in (*cuts, *flips)} == {None}


def test_a_file_of_another_kind_is_none(kept):
    """Two files of a folder were exchanged."""
    kept.write(FIRST)
    assert AtomicFile(kept.path, b'ELSE').read() is None


def test_a_folder_that_cannot_be_made_is_told(tmp_path):
    """The data folder's place is taken by a file."""
    (tmp_path / 'data').write_bytes(b'')
    file = AtomicFile(tmp_path / 'data' / 'kept.bin', b'TEST')
    with pytest.raises(StorageError):
        file.write(FIRST)
    with pytest.raises(StorageError):
        file.read()
