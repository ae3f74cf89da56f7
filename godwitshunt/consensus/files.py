"""The few file system calls that a data folder needs.

Tests put a file system in their place that loses what was not synced.
"""

import errno
import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import MappingProxyType
from typing import Protocol, Self

from godwitshunt.exceptions import (
    StorageError,
    StorageFull,
    StorageLocked,
    StorageReadOnly,
)

LOCK_NAME = 'lock'
FILE_MODE = 0o600
ERROR_KINDS = MappingProxyType(
    {
        errno.ENOSPC: StorageFull,
        errno.EDQUOT: StorageFull,
        errno.EROFS: StorageReadOnly,
        errno.EACCES: StorageReadOnly,
        errno.EPERM: StorageReadOnly,
        errno.EWOULDBLOCK: StorageLocked,
    }
)


class FileSystem(Protocol):
    """Files of one folder, by name. Every failure is a `StorageError`."""

    def open(self) -> None:
        """Make the folder and keep other processes out of it."""

    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, None where there is no such file."""

    def write_new(self, name: str, blob: bytes) -> None:
        """Make a file, or replace what it holds; not synced."""

    def append(self, name: str, blob: bytes) -> None:
        """Write at the end of a file; not synced."""

    def truncate(self, name: str, size_bytes: int) -> None:
        """Cut a file; not synced."""

    def rename(self, old: str, new: str) -> None:
        """Give a file another's name, whose file goes; not synced."""

    def sync(self, name: str) -> None:
        """Return once a file's bytes will outlast a loss of power."""

    def sync_folder(self) -> None:
        """Return once the names of files will outlast a loss of power."""

    def close(self) -> None:
        """Let other processes use the folder."""


@contextmanager
def typed_errors(path: Path) -> Iterator[None]:
    """Turn operating system errors into typed ones."""
    try:
        yield
    except OSError as error:
        kind = ERROR_KINDS.get(error.errno or 0, StorageError)
        raise kind(str(path), error.strerror or repr(error)) from error


class DiskFileSystem:
    """Files of one folder on a disk.

    Parameters
    ----------
    folder : pathlib.Path
        The folder, made where it is missing.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.descriptors: dict[str, int] = {}

    @classmethod
    def from_config(cls, folder: Path) -> Self:
        """Make the file system of a folder that settings name."""
        return cls(folder)

    def open(self) -> None:
        """Make the folder and keep other processes out of it.

        Two processes that write one log would mix their records, and each
        would answer for votes of the other.
        """
        with typed_errors(self.folder):
            make_folder(self.folder)
            descriptor = self.descriptor(LOCK_NAME)
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                self.close()
                raise

    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, None where there is no such file."""
        path = self.folder / name
        with typed_errors(path):
            return path.read_bytes() if path.exists() else None

    def write_new(self, name: str, blob: bytes) -> None:
        """Make a file, or replace what it holds; not synced."""
        self.truncate(name, 0)
        self.append(name, blob)

    def append(self, name: str, blob: bytes) -> None:
        """Write at the end of a file; not synced."""
        rest = memoryview(blob)
        with typed_errors(self.folder / name):
            descriptor = self.descriptor(name)
            while rest:
                written = os.write(descriptor, rest)
                rest = rest[written:]

    def truncate(self, name: str, size_bytes: int) -> None:
        """Cut a file; not synced."""
        with typed_errors(self.folder / name):
            os.ftruncate(self.descriptor(name), size_bytes)

    def rename(self, old: str, new: str) -> None:
        """Give a file another's name, whose file goes; not synced."""
        with typed_errors(self.folder / new):
            self.forget(old)
            self.forget(new)
            os.replace(self.folder / old, self.folder / new)

    def sync(self, name: str) -> None:
        """Return once a file's bytes will outlast a loss of power."""
        with typed_errors(self.folder / name):
            os.fsync(self.descriptor(name))

    def sync_folder(self) -> None:
        """Return once the names of files will outlast a loss of power."""
        with typed_errors(self.folder):
            sync_path(self.folder)

    def close(self) -> None:
        """Let other processes use the folder."""
        for name in tuple(self.descriptors):
            self.forget(name)

    def descriptor(self, name: str) -> int:
        """Return the descriptor of a file, opened at first use."""
        if name not in self.descriptors:
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            path = self.folder / name
            self.descriptors[name] = os.open(path, flags, FILE_MODE)
        return self.descriptors[name]

    def forget(self, name: str) -> None:
        """Close the descriptor of a file where it is open."""
        descriptor = self.descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def make_folder(folder: Path) -> None:
    """Make a folder, with those above it, and have their names synced."""
    if folder.is_dir():
        return
    make_folder(folder.parent)
    folder.mkdir()
    sync_path(folder.parent)


def sync_path(folder: Path) -> None:
    """Sync the names that a folder holds."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
