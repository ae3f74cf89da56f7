"""Small files that always hold one whole record."""

from godwitshunt.storage.kept_file import KeptFile, KeptRecord, sync_folder

__all__ = ['KeptFile', 'KeptRecord', 'sync_folder']
