"""Small files that always hold one whole record."""

from godwitshunt.storage.atomic_file import (
    AtomicFile,
    StoredRecord,
    sync_folder,
)

__all__ = ['AtomicFile', 'StoredRecord', 'sync_folder']
