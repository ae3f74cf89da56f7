"""The newest revision on a VM's disk, for a restart while it is isolated."""

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
    """One file that always holds one whole revision."""

    folder: Path

    @property
    def file(self) -> AtomicFile:
        """Where the revision is kept."""
        return AtomicFile(self.folder / FILE_NAME, MAGIC)

    def read(self) -> DocumentRevision | None:
        """Return the kept revision; None where there is none that is whole.

        Raises
        ------
        StorageError
            Where the folder exists but cannot be read.
        """
        kept = self.file.read()
        read = None if kept is None else unpack_document(kept.body)
        if isinstance(read, Ok):
            document = read.ok_value
            return DocumentRevision(kept.number, digest_of(document), document)
        return None

    def write(self, held: DocumentRevision) -> None:
        """Keep a revision; it is on the disk when this returns.

        Raises
        ------
        StorageError
            Where the disk is full or cannot be written.
        """
        body = pack_document(held.document)
        self.file.write(StoredRecord(held.revision, body))
