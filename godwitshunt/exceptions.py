"""Exceptions and warnings that godwitshunt raises.

Expected outcomes of a call travel as `result.Err` with a data class of the
slice; the classes here are for faults that a caller cannot go on from.
"""

from dataclasses import dataclass

__all__ = [
    'GodwitshuntError',
    'GodwitshuntWarning',
    'SettingsError',
    'ManifestError',
    'FrameError',
    'HandshakeError',
    'StorageError',
    'StorageCorrupt',
    'StorageFull',
    'StorageLocked',
    'StorageReadOnly',
]


class GodwitshuntError(Exception):
    """Base of every exception that godwitshunt raises."""


class GodwitshuntWarning(UserWarning):
    """Base of every warning that godwitshunt issues."""


@dataclass(frozen=True)
class FieldProblem:
    """One wrong field of a document that a person or a program wrote.

    Parameters
    ----------
    field : str
        Path of the field, parts joined by dots.
    found : str
        The value as it was read, shortened to 80 characters.
    expected : str
        What the model accepts there.
    """

    field: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f'{self.field}: found {self.found}, expected {self.expected}'


@dataclass
class DocumentError(GodwitshuntError):
    """A document that does not fit its model.

    Parameters
    ----------
    source : str
        The file or the request that the document came from.
    problems : tuple of FieldProblem
        Every wrong field.
    """

    source: str
    problems: tuple[FieldProblem, ...]

    def __str__(self) -> str:
        lines = '; '.join(str(problem) for problem in self.problems)
        return f'{self.source}: {lines}'


class SettingsError(DocumentError):
    """A settings file that does not fit its model."""


class ManifestError(DocumentError):
    """A manifest that does not fit its model."""


@dataclass
class FrameError(GodwitshuntError):
    """A frame from another process that is too long or cannot be decoded."""

    reason: str


@dataclass
class HandshakeError(GodwitshuntError):
    """A peer that did not prove that it knows the cluster key."""

    reason: str


@dataclass
class StorageError(GodwitshuntError):
    """The data folder cannot be used: full, read-only, locked or corrupt."""

    path: str
    reason: str

    def __str__(self) -> str:
        return f'{self.path}: {self.reason}'


class StorageCorrupt(StorageError):
    """What the data folder holds is not what was written there."""


class StorageFull(StorageError):
    """The disk has no room for what must be written."""


class StorageLocked(StorageError):
    """Another process uses the data folder."""


class StorageReadOnly(StorageError):
    """The data folder cannot be written."""
