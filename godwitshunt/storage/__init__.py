"""Atomic, checksummed storage of single records in files."""

from godwitshunt.storage.atomic_file import (
    AtomicFile,
    StoredRecord,
    sync_folder,
)

__all__ = ['AtomicFile', 'StoredRecord', 'sync_folder']
