"""One file that always holds one whole record, or none."""

import os
from dataclasses import dataclass
from pathlib import Path
from struct import Struct

import crc32c

from godwitshunt.exceptions import StorageError

HEADER = Struct('>4sIQ')


@dataclass(frozen=True)
class StoredRecord:
    """A record as it stands in its file.

    Parameters
    ----------
    number : int
        Tells it from others of its kind, such as a revision.
    body : bytes
        Its content.
    """

    number: int
    body: bytes


@dataclass(frozen=True)
class AtomicFile:
    """A file that is replaced as a whole.

    A crash while a file is written leaves a part of it; so the new one is
    written and synced beside the old one and takes its name only then.

    Parameters
    ----------
    path : Path
        Where it stands.
    magic : bytes
        Four bytes that tell its kind.
    """

    path: Path
    magic: bytes

    def read(self) -> StoredRecord | None:
        """Return the record; None where there is none that is whole.

        Raises
        ------
        StorageError
            Where the folder exists but cannot be read.
        """
        try:
            content = self.path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as failed:
            raise self.fault(failed) from None
        return self.parse(content)

    def parse(self, content: bytes) -> StoredRecord | None:
        """Return the record in a file's content; None where it is damaged."""
        if len(content) < HEADER.size:
            return None
        magic, checksum, number = HEADER.unpack_from(content)
        body = content[HEADER.size :]
        if magic != self.magic or crc32c.crc32c(body) != checksum:
            return None
        return StoredRecord(number, body)

    def write(self, record: StoredRecord) -> None:
        """Keep a record; it is on the disk when this returns.

        Raises
        ------
        StorageError
            Where the disk is full or cannot be written.
        """
        checksum = crc32c.crc32c(record.body)
        header = HEADER.pack(self.magic, checksum, record.number)
        try:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            write_synced(self.path.with_suffix('.new'), header + record.body)
            self.path.with_suffix('.new').replace(self.path)
            sync_folder(self.path.parent)
        except OSError as failed:
            raise self.fault(failed) from None

    def fault(self, failed: OSError) -> StorageError:
        """Return what to raise for a failure of the disk."""
        return StorageError(str(self.path), failed.strerror or '')


def write_synced(path: Path, content: bytes) -> None:
    """Write a file and wait until its content is on the disk."""
    with path.open('wb') as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())


def sync_folder(folder: Path) -> None:
    """Wait until the folder's entries are on the disk."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
