"""The newest revision on a VM's disk, for a restart while it is isolated."""

import os
from dataclasses import dataclass
from pathlib import Path
from struct import Struct

import crc32c
from result import Ok

from godwitshunt.configuration.document import (
    digest_of,
    pack_document,
    unpack_document,
)
from godwitshunt.configuration.history import Held
from godwitshunt.exceptions import StorageError

FILE_NAME = 'configuration.bin'
HEADER = Struct('>4sIQ')
MAGIC = b'GWC1'


@dataclass(frozen=True)
class KeptRevision:
    """One file that always holds one whole revision.

    A crash while the file is written would leave a part of it, and the VM
    would restart without configuration; so the new file is written and synced
    beside the old one and takes its name only then.
    """

    folder: Path

    def read(self) -> Held | None:
        """Return the kept revision; None where there is none that is whole.

        Raises
        ------
        StorageError
            Where the folder exists but cannot be read.
        """
        path = self.folder / FILE_NAME
        try:
            content = path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as failed:
            raise StorageError(str(path), failed.strerror or '') from None
        return read_record(content)

    def write(self, held: Held) -> None:
        """Keep a revision; it is on the disk when this returns.

        Raises
        ------
        StorageError
            Where the disk is full or cannot be written.
        """
        body = pack_document(held.document)
        header = HEADER.pack(MAGIC, crc32c.crc32c(body), held.revision)
        path = self.folder / FILE_NAME
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            write_synced(path.with_suffix('.new'), header + body)
            path.with_suffix('.new').replace(path)
            sync_folder(self.folder)
        except OSError as failed:
            raise StorageError(str(path), failed.strerror or '') from None


def read_record(content: bytes) -> Held | None:
    """Return the revision in a file's content; None where it is damaged."""
    if len(content) < HEADER.size:
        return None
    magic, checksum, revision = HEADER.unpack_from(content)
    body = content[HEADER.size :]
    if magic != MAGIC or crc32c.crc32c(body) != checksum:
        return None
    read = unpack_document(body)
    if isinstance(read, Ok):
        return Held(revision, digest_of(read.ok_value), read.ok_value)
    return None


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
