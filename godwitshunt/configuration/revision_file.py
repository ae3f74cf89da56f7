"""Newest revision on a VM's disk, for a restart during isolation."""

from dataclasses import dataclass
from pathlib import Path

from result import Ok

from godwitshunt.configuration.document import (
    digest_of,
    pack_document,
    unpack_document,
)
from godwitshunt.configuration.history import DocumentRevision
from godwitshunt.storage import AtomicFile, StoredRecord

FILE_NAME = 'configuration.bin'
MAGIC = b'GWC1'


@dataclass(frozen=True)
class RevisionFile:
    """File that holds the newest persisted revision.

    Parameters
    ----------
    folder : Path
        Data folder of the process.
    """

    folder: Path

    @property
    def file(self) -> AtomicFile:
        """File that is replaced atomically at each write."""
        return AtomicFile(self.folder / FILE_NAME, MAGIC)

    def read(self) -> DocumentRevision | None:
        """Return the persisted revision; None if it is missing or corrupt.

        Raises
        ------
        StorageError
            If the folder exists but cannot be read.
        """
        record = self.file.read()
        decoded = None if record is None else unpack_document(record.body)
        if isinstance(decoded, Ok):
            document = decoded.ok_value
            return DocumentRevision(
                record.number, digest_of(document), document
            )
        return None

    def write(self, revision: DocumentRevision) -> None:
        """Persist a revision; it is on disk when this returns.

        Raises
        ------
        StorageError
            If the disk is full or cannot be written.
        """
        body = pack_document(revision.document)
        self.file.write(StoredRecord(revision.revision, body))
