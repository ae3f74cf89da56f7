"""A file with a single checksummed record, replaced atomically."""

import os
from dataclasses import dataclass
from pathlib import Path
from struct import Struct

import crc32c

from godwitshunt.exceptions import StorageError

# Magic bytes, CRC-32C of the body, and the record's number.
HEADER = Struct('>4sIQ')


@dataclass(frozen=True)
class StoredRecord:
    """A record in an `AtomicFile`.

    Parameters
    ----------
    number : int
        Identifies the record among others of its kind, such as a revision
        number.
    body : bytes
        The payload.
    """

    number: int
    body: bytes


@dataclass(frozen=True)
class AtomicFile:
    """A file that is replaced atomically.

    A crash during a write leaves a partial file. Therefore the new content is
    written and synced to a temporary file, which is then renamed over the old
    one.

    Parameters
    ----------
    path : Path
        Path of the file.
    magic : bytes
        Four bytes that identify the kind of file.
    """

    path: Path
    magic: bytes

    def read(self) -> StoredRecord | None:
        """Return the record; None if the file is missing or damaged.

        Raises
        ------
        StorageError
            If the file or its folder cannot be read.
        """
        try:
            content = self.path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as os_error:
            raise self.storage_error(os_error) from None
        return self.parse(content)

    def parse(self, content: bytes) -> StoredRecord | None:
        """Decode the content of a file; return None if it is damaged."""
        if len(content) < HEADER.size:
            return None
        magic, checksum, number = HEADER.unpack_from(content)
        body = content[HEADER.size :]
        if magic != self.magic or crc32c.crc32c(body) != checksum:
            return None
        return StoredRecord(number, body)

    def write(self, record: StoredRecord) -> None:
        """Replace the record; it is durable once this returns.

        Raises
        ------
        StorageError
            If the file cannot be written, for example because the disk is full.
        """
        checksum = crc32c.crc32c(record.body)
        header = HEADER.pack(self.magic, checksum, record.number)
        try:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            write_synced(self.path.with_suffix('.new'), header + record.body)
            self.path.with_suffix('.new').replace(self.path)
            sync_folder(self.path.parent)
        except OSError as os_error:
            raise self.storage_error(os_error) from None

    def storage_error(self, os_error: OSError) -> StorageError:
        """Convert an operating system error to a `StorageError`."""
        return StorageError(str(self.path), os_error.strerror or '')


def write_synced(path: Path, content: bytes) -> None:
    """Write a file and sync its content to disk."""
    with path.open('wb') as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())


def sync_folder(folder: Path) -> None:
    """Sync the entries of a folder to disk."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
