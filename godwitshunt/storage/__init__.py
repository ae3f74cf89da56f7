"""Small files that always hold one whole record."""

from godwitshunt.storage.kept_file import AtomicFile, StoredRecord, sync_folder

__all__ = ['AtomicFile', 'StoredRecord', 'sync_folder']
