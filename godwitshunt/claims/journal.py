"""The claim journal: what a holder must not forget, on disk.

Records are appended to numbered segments; a segment whose claims are all
below the floor is deleted whole, so nothing is ever rewritten. A record is a
length, a checksum of the length, a checksum of the body, and the body.

A short record at the end of the last segment is a torn write: it was never
answered for, and is cut. Anything else that does not read is corruption: the
journal is lost and its holder recovers like one without a disk. Without the
checksum of the length, a flipped bit in it would look like a torn write, and
cutting there would forget votes that were answered for; callers would notice
by a call that ran twice.
"""

import asyncio
import os
import struct
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

import crc32c
from result import Err, Ok, Result

from godwitshunt.exceptions import StorageError
from godwitshunt.storage import sync_folder

HEADER = struct.Struct('>III')
LENGTH = struct.Struct('>I')
SEGMENT_SUFFIX = '.claims'
LOST_SUFFIX = '.lost'


@dataclass(frozen=True)
class JournalLost:
    """There was no journal, or it does not read."""

    path: str
    reason: str


@dataclass(frozen=True)
class SegmentEnd:
    """The records of a segment, and whether a torn write was cut."""

    bodies: tuple[bytes, ...]
    length: int
    torn: bool


def record_bytes(body: bytes) -> bytes:
    """Return a record as it stands in a segment."""
    length = LENGTH.pack(len(body))
    header = HEADER.pack(len(body), crc32c.crc32c(length), crc32c.crc32c(body))
    return header + body


def read_segment(content: bytes) -> SegmentEnd | None:
    """Return a segment's records; None where one is corrupt.

    Examples
    --------
    >>> content = record_bytes(b'vote') + record_bytes(b'next')[:-1]
    >>> read_segment(content)
    SegmentEnd(bodies=(b'vote',), length=16, torn=True)
    """
    bodies: list[bytes] = []
    position = 0
    while position < len(content):
        start = position + HEADER.size
        if start > len(content):
            return SegmentEnd(tuple(bodies), position, torn=True)
        length, length_sum, body_sum = HEADER.unpack_from(content, position)
        if crc32c.crc32c(LENGTH.pack(length)) != length_sum:
            return None
        body = content[start : start + length]
        if len(body) < length:
            return SegmentEnd(tuple(bodies), position, torn=True)
        if crc32c.crc32c(body) != body_sum:
            return None
        bodies.append(body)
        position = start + length
    return SegmentEnd(tuple(bodies), position, torn=False)


@dataclass
class ClaimJournal:
    """Segments in one folder; one process writes them.

    Parameters
    ----------
    folder : Path
        Made where it is missing.
    number : int
        The segment that is written; 0 before `begin_segment`.
    run_blocking : callable
        Runs a blocking call off the event loop.
    """

    folder: Path
    number: int = 0
    descriptor: int = -1
    appended: int = 0
    synced: int = 0
    syncing: asyncio.Task[None] | None = None
    failed: StorageError | None = None
    segments: list[int] = field(default_factory=list)
    run_blocking: Callable[..., Awaitable] = asyncio.to_thread

    def load(self) -> Result[tuple[bytes, ...], JournalLost]:
        """Read every record; a journal that does not read is set aside.

        Raises
        ------
        StorageError
            Where the folder cannot be used.
        """
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            numbers = self.segment_numbers()
            outcome = self.read_all(numbers)
        except OSError as failed:
            raise storage_error(self.folder, failed) from None
        self.segments = numbers
        if isinstance(outcome, Err):
            self.set_aside()
        return outcome

    def segment_numbers(self) -> list[int]:
        """Return the segments in the folder, in their order."""
        paths = self.folder.glob(f'*{SEGMENT_SUFFIX}')
        return sorted(int(path.stem) for path in paths)

    def read_all(
        self,
        numbers: list[int],
    ) -> Result[tuple[bytes, ...], JournalLost]:
        """Read segments in their order."""
        if not numbers:
            return Err(JournalLost(str(self.folder), 'no segment'))
        if numbers != list(range(numbers[0], numbers[-1] + 1)):
            return Err(JournalLost(str(self.folder), 'a segment is missing'))
        bodies: list[bytes] = []
        for number in numbers:
            path = self.path(number)
            end = read_segment(path.read_bytes())
            if end is None or (end.torn and number != numbers[-1]):
                return Err(JournalLost(str(path), 'a record is corrupt'))
            bodies.extend(end.bodies)
        return Ok(tuple(bodies))

    def set_aside(self) -> None:
        """Rename every segment, so that no later start takes it for whole.

        Raises
        ------
        StorageError
            Where the disk refuses.
        """
        try:
            for number in self.segments:
                path = self.path(number)
                path.rename(path.with_suffix(LOST_SUFFIX))
            sync_folder(self.folder)
        except OSError as failed:
            raise storage_error(self.folder, failed) from None
        self.segments = []

    def path(self, number: int) -> Path:
        """Return a segment's file."""
        return self.folder / f'{number:08d}{SEGMENT_SUFFIX}'

    def can_begin(self) -> bool:
        """Return whether no sync holds the present segment."""
        return self.syncing is None

    def begin_segment(self, bodies: Iterable[bytes]) -> None:
        """Begin a segment with these records, synced.

        The segment before is synced first and cut at its last whole record:
        a torn write is allowed only at the very end of a journal.

        Raises
        ------
        StorageError
            Where the disk refuses.
        """
        number = 1 + max(self.segments, default=0)
        content = b''.join(record_bytes(body) for body in bodies)
        try:
            self.end_segment()
            descriptor = create_segment(self.path(number), content)
        except OSError as failed:
            self.failed = storage_error(self.folder, failed)
            raise self.failed from None
        self.number = number
        self.descriptor = descriptor
        self.segments.append(number)

    def end_segment(self) -> None:
        """Close the present segment, or cut the one that a crash left."""
        if self.descriptor >= 0:
            os.fsync(self.descriptor)
            os.close(self.descriptor)
            self.descriptor = -1
            self.synced = self.appended
        elif self.segments:
            path = self.path(self.segments[-1])
            end = read_segment(path.read_bytes())
            with path.open('r+b') as segment:
                segment.truncate(end.length if end else 0)
                os.fsync(segment.fileno())

    def drop_before(self, number: int) -> None:
        """Delete segments whose claims are all below the floor."""
        if not self.segments or self.segments[0] >= number:
            return
        # Floors stand in the present segment. They must last before the
        # claims below them go: a restart that read the claims' absence with
        # the lower floor would grant their keys again.
        os.fsync(self.descriptor)
        while self.segments[0] < number:
            self.path(self.segments.pop(0)).unlink(missing_ok=True)
        sync_folder(self.folder)

    def append(self, body: bytes) -> None:
        """Write a record; it lasts only after `sync`.

        Raises
        ------
        StorageError
            Where the disk refuses, now or earlier: after one failed write
            nothing that follows may be answered for.
        """
        if self.failed is not None:
            raise self.failed
        record = record_bytes(body)
        try:
            written = os.write(self.descriptor, record)
        except OSError as failed:
            self.failed = storage_error(self.folder, failed)
            raise self.failed from None
        if written < len(record):
            self.failed = StorageError(str(self.folder), 'short write')
            raise self.failed
        self.appended += 1

    async def sync(self) -> None:
        """Return once everything appended so far lasts.

        Writers that come while one sync runs share the next.

        Raises
        ------
        StorageError
            Where the disk refuses.
        """
        target = self.appended
        while self.synced < target:
            if self.failed is not None:
                raise self.failed
            if self.syncing is None:
                self.syncing = asyncio.create_task(self.sync_once())
            await asyncio.shield(self.syncing)

    async def sync_once(self) -> None:
        """Sync the segment once, off the event loop."""
        reached = self.appended
        try:
            await self.run_blocking(os.fsync, self.descriptor)
        except OSError as failed:
            # A failed fsync may have dropped the pages: trying again could
            # report success for records that are gone.
            self.failed = storage_error(self.folder, failed)
        else:
            self.synced = max(reached, self.synced)
        finally:
            self.syncing = None

    async def close(self) -> None:
        """Close the present segment, synced."""
        if self.syncing is not None:
            await self.syncing
        if self.descriptor >= 0 and self.failed is None:
            self.end_segment()


def create_segment(path: Path, content: bytes) -> int:
    """Write a new file that lasts; return its descriptor."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
    descriptor = os.open(path, flags, 0o600)
    written = os.write(descriptor, content)
    if written < len(content):
        raise OSError('short write')
    os.fsync(descriptor)
    sync_folder(path.parent)
    return descriptor


def storage_error(path: Path, failed: OSError) -> StorageError:
    """Return the typed error of a refused file operation."""
    return StorageError(str(path), failed.strerror or repr(failed))
