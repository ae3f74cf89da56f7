"""Append-only journal of claims on disk.

Records are appended to numbered segments. A segment whose claims are all below
the floor epoch is deleted whole, so that nothing is ever rewritten. A record
consists of its length, a checksum of the length, a checksum of the body, and
the body.

A short record at the end of the last segment is a torn write. No answer was
ever based on it, so it is truncated. Any other unreadable record is
corruption: the journal is lost and its holder recovers like one without a
disk. Without the checksum of the length, a flipped bit in the length would
look like a torn write; truncating there would lose acknowledged votes, and a
call could run twice.
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
    """The journal is missing or corrupt."""

    path: str
    reason: str


@dataclass(frozen=True)
class SegmentContents:
    """The intact records of a segment.

    Parameters
    ----------
    length : int
        Bytes of the segment up to the end of its last intact record.
    torn : bool
        True if a torn write follows the last intact record.
    """

    bodies: tuple[bytes, ...]
    length: int
    torn: bool


def encode_record(body: bytes) -> bytes:
    """Return a record as stored in a segment: header and body."""
    length = LENGTH.pack(len(body))
    header = HEADER.pack(len(body), crc32c.crc32c(length), crc32c.crc32c(body))
    return header + body


def read_segment(content: bytes) -> SegmentContents | None:
    """Return a segment's records, or None if one is corrupt.

    Examples
    --------
    >>> content = encode_record(b'vote') + encode_record(b'next')[:-1]
    >>> read_segment(content)
    SegmentContents(bodies=(b'vote',), length=16, torn=True)
    """
    bodies: list[bytes] = []
    offset = 0
    while offset < len(content):
        start = offset + HEADER.size
        if start > len(content):
            return SegmentContents(tuple(bodies), offset, torn=True)
        length, length_sum, body_sum = HEADER.unpack_from(content, offset)
        if crc32c.crc32c(LENGTH.pack(length)) != length_sum:
            return None
        body = content[start : start + length]
        if len(body) < length:
            return SegmentContents(tuple(bodies), offset, torn=True)
        if crc32c.crc32c(body) != body_sum:
            return None
        bodies.append(body)
        offset = start + length
    return SegmentContents(tuple(bodies), offset, torn=False)


@dataclass
class ClaimJournal:
    """The segments in one folder, written by one process.

    Parameters
    ----------
    folder : Path
        Created if missing.
    current_segment : int
        Number of the segment being written; 0 before `begin_segment`.
    descriptor : int
        File descriptor of the current segment; -1 if none is open.
    appended_count, synced_count : int
        Records appended and synced by this process.
    sync_task : asyncio.Task or None
        The sync in progress.
    failure : StorageError or None
        The latest failure of the disk; no record is appended after one.
    segments : list of int
        Numbers of the existing segments, in ascending order.
    run_blocking : callable
        Runs a blocking call outside the event loop.
    """

    folder: Path
    current_segment: int = 0
    descriptor: int = -1
    appended_count: int = 0
    synced_count: int = 0
    sync_task: asyncio.Task[None] | None = None
    failure: StorageError | None = None
    segments: list[int] = field(default_factory=list)
    run_blocking: Callable[..., Awaitable] = asyncio.to_thread

    def load(self) -> Result[tuple[bytes, ...], JournalLost]:
        """Read every record; an unreadable journal is set aside.

        Raises
        ------
        StorageError
            If the folder cannot be used.
        """
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            numbers = self.segment_numbers()
            outcome = self.read_segments(numbers)
        except OSError as error:
            raise storage_error(self.folder, error) from None
        self.segments = numbers
        if isinstance(outcome, Err):
            self.set_aside()
        return outcome

    def segment_numbers(self) -> list[int]:
        """Return the numbers of the segments in the folder, ascending."""
        paths = self.folder.glob(f'*{SEGMENT_SUFFIX}')
        return sorted(int(path.stem) for path in paths)

    def read_segments(
        self,
        numbers: list[int],
    ) -> Result[tuple[bytes, ...], JournalLost]:
        """Read segments in ascending order."""
        if not numbers:
            return Err(JournalLost(str(self.folder), 'no segment'))
        if numbers != list(range(numbers[0], numbers[-1] + 1)):
            return Err(JournalLost(str(self.folder), 'a segment is missing'))
        bodies: list[bytes] = []
        for number in numbers:
            path = self.segment_path(number)
            parsed = read_segment(path.read_bytes())
            if parsed is None or (parsed.torn and number != numbers[-1]):
                return Err(JournalLost(str(path), 'a record is corrupt'))
            bodies.extend(parsed.bodies)
        return Ok(tuple(bodies))

    def set_aside(self) -> None:
        """Rename every segment, so that no later start reads it.

        Raises
        ------
        StorageError
            If the disk fails.
        """
        try:
            for number in self.segments:
                path = self.segment_path(number)
                path.rename(path.with_suffix(LOST_SUFFIX))
            sync_folder(self.folder)
        except OSError as error:
            raise storage_error(self.folder, error) from None
        self.segments = []

    def segment_path(self, number: int) -> Path:
        """Return the path of a segment."""
        return self.folder / f'{number:08d}{SEGMENT_SUFFIX}'

    def can_begin_segment(self) -> bool:
        """Return whether a segment can begin: no sync uses the current one."""
        return self.sync_task is None

    def begin_segment(self, bodies: Iterable[bytes]) -> None:
        """Start a segment that begins with the given records, and sync it.

        The previous segment is synced first, or truncated after its last
        intact record: a torn write is permitted only at the end of a journal.

        Raises
        ------
        StorageError
            If the disk fails.
        """
        number = 1 + max(self.segments, default=0)
        content = b''.join(encode_record(body) for body in bodies)
        try:
            self.close_segment()
            descriptor = create_segment(self.segment_path(number), content)
        except OSError as error:
            self.failure = storage_error(self.folder, error)
            raise self.failure from None
        self.current_segment = number
        self.descriptor = descriptor
        self.segments.append(number)

    def close_segment(self) -> None:
        """Close the open segment, or truncate one left by a crash."""
        if self.descriptor >= 0:
            os.fsync(self.descriptor)
            os.close(self.descriptor)
            self.descriptor = -1
            self.synced_count = self.appended_count
        elif self.segments:
            path = self.segment_path(self.segments[-1])
            parsed = read_segment(path.read_bytes())
            with path.open('r+b') as segment:
                segment.truncate(parsed.length if parsed else 0)
                os.fsync(segment.fileno())

    def delete_before(self, number: int) -> None:
        """Delete the segments before a number; all their claims are expired."""
        if not self.segments or self.segments[0] >= number:
            return
        # Floor epochs are recorded in the current segment and must be durable
        # before the claims below them are deleted. A restart that found the
        # claims gone and the old floor epoch would grant their keys again.
        os.fsync(self.descriptor)
        while self.segments[0] < number:
            self.segment_path(self.segments.pop(0)).unlink(missing_ok=True)
        sync_folder(self.folder)

    def append(self, body: bytes) -> None:
        """Write a record; it is durable only after `sync`.

        Raises
        ------
        StorageError
            If the disk fails or has failed before: after a failed write no
            later record may be acknowledged.
        """
        if self.failure is not None:
            raise self.failure
        record = encode_record(body)
        try:
            written = os.write(self.descriptor, record)
        except OSError as error:
            self.failure = storage_error(self.folder, error)
            raise self.failure from None
        if written < len(record):
            self.failure = StorageError(str(self.folder), 'short write')
            raise self.failure
        self.appended_count += 1

    async def sync(self) -> None:
        """Return once everything appended so far is durable.

        Callers that arrive during a sync share the next one.

        Raises
        ------
        StorageError
            If the disk fails.
        """
        target_count = self.appended_count
        while self.synced_count < target_count:
            if self.failure is not None:
                raise self.failure
            if self.sync_task is None:
                self.sync_task = asyncio.create_task(self.sync_once())
            await asyncio.shield(self.sync_task)

    async def sync_once(self) -> None:
        """Sync the segment once, outside the event loop."""
        flushed_count = self.appended_count
        try:
            await self.run_blocking(os.fsync, self.descriptor)
        except OSError as error:
            # A failed fsync may have dropped the dirty pages: a retry could
            # report success for lost records.
            self.failure = storage_error(self.folder, error)
        else:
            self.synced_count = max(flushed_count, self.synced_count)
        finally:
            self.sync_task = None

    async def close(self) -> None:
        """Sync and close the current segment."""
        if self.sync_task is not None:
            await self.sync_task
        if self.descriptor >= 0 and self.failure is None:
            self.close_segment()


def create_segment(path: Path, content: bytes) -> int:
    """Write and sync a new segment; return its descriptor."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
    descriptor = os.open(path, flags, 0o600)
    written = os.write(descriptor, content)
    if written < len(content):
        raise OSError('short write')
    os.fsync(descriptor)
    sync_folder(path.parent)
    return descriptor


def storage_error(path: Path, error: OSError) -> StorageError:
    """Return the `StorageError` of a failed file operation."""
    return StorageError(str(path), error.strerror or repr(error))
