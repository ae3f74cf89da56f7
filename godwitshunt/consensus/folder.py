"""The data folder of a replica: a log, a snapshot, and their recovery.

The file ``log`` begins with the replica's identity, so that votes and entries
cannot outlive the incarnation that promised them, nor the other way round.
Then come votes and entries in the order of their saving; an entry replaces
the one of its index and all after it. Both files are replaced as a whole by
writing another, syncing it, renaming it, and syncing the folder.
"""

import secrets
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Self

from godwitshunt.consensus.codec import (
    entry_record,
    membership_record,
    read_entry,
    read_membership,
    read_replica,
    replica_name,
)
from godwitshunt.consensus.events import (
    Save,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
)
from godwitshunt.consensus.files import FileSystem
from godwitshunt.consensus.formation import FIRST_INCARNATION
from godwitshunt.consensus.gen.wire import ttypes as wire
from godwitshunt.consensus.log import Log
from godwitshunt.consensus.members import ReplicaId
from godwitshunt.consensus.messages import Entry, Snapshot
from godwitshunt.consensus.records import pack_record, scan_records
from godwitshunt.consensus.stored import StoredState
from godwitshunt.exceptions import FrameError, StorageCorrupt
from godwitshunt.peer import decode, encode

LOG = 'log'
SNAPSHOT = 'snapshot'
NEW_SUFFIX = '.new'
INCARNATION_BYTES = 8
UNREADABLE = (FrameError, AttributeError, TypeError, ValueError)


def make_incarnation() -> str:
    """Return a random identity for a new data folder."""
    return secrets.token_hex(INCARNATION_BYTES)


@dataclass
class DataFolder:
    """What a replica has on disk, and the saving of more.

    Parameters
    ----------
    files : FileSystem
        The folder's files; opened, hence locked.
    stored : StoredState
        What was found at the opening.
    vote : SaveVote
        The newest term and vote; written again into each new log file.
    """

    files: FileSystem
    stored: StoredState
    vote: SaveVote

    @classmethod
    def open(
        cls,
        files: FileSystem,
        name: str,
        incarnation_source: Callable[[], str] = make_incarnation,
        first: Entry | None = None,
    ) -> Self:
        """Lock the folder and read it, or begin a new incarnation.

        Parameters
        ----------
        files : FileSystem
            The folder's files.
        name : str
            The replica's VM.
        incarnation_source : callable
            Draws the identity of an empty folder.
        first : Entry or None
            The first entry of a new cluster, for an empty folder that the
            cluster begins with.

        Raises
        ------
        StorageCorrupt
            Where the folder does not hold what was written. The replica must
            not vote or lead: move the folder away, and let it join as new.
        StorageError
            Where the folder cannot be used otherwise.
        """
        files.open()
        try:
            stored = recover(files, name, incarnation_source, first)
        except BaseException:
            files.close()
            raise
        return cls(files, stored, SaveVote(stored.term, stored.voted_for))

    def save(self, saves: Iterable[Save]) -> None:
        """Put votes, entries and snapshots on disk with one sync.

        Raises
        ------
        StorageError
            Where that failed. What is on disk is then not known: a sync that
            failed must not be tried again, since the second may say yes to
            bytes that were dropped. The replica must stop.
        """
        pending: list[bytes] = []
        for save in saves:
            match save:
                case SaveVote():
                    self.vote = save
                    pending.append(vote_record(save))
                case SaveEntries(entries):
                    pending.extend(map(pack_entry, entries))
                case SaveSnapshot():
                    # The new log holds all entries that are pending.
                    pending.clear()
                    self.save_snapshot(save)
        if pending:
            self.files.append(LOG, b''.join(pending))
            self.files.sync(LOG)

    def save_snapshot(self, save: SaveSnapshot) -> None:
        """Replace the snapshot, then the log that it makes shorter.

        In this order a crash between leaves a log that is longer than it
        need be; in the other one it would leave a gap.
        """
        identity = self.stored.identity
        replace_file(
            self.files,
            SNAPSHOT,
            pack_snapshot(identity, save.snapshot),
        )
        header = log_header(identity, save.base_index, save.base_term)
        blob = b''.join(
            (header, vote_record(self.vote), *map(pack_entry, save.entries)),
        )
        replace_file(self.files, LOG, blob)

    def close(self) -> None:
        """Let other processes use the folder."""
        self.files.close()


def replace_file(files: FileSystem, name: str, blob: bytes) -> None:
    """Replace a file so that a crash leaves the old or the new, whole."""
    new = name + NEW_SUFFIX
    files.write_new(new, blob)
    files.sync(new)
    files.rename(new, name)
    files.sync_folder()


def recover(
    files: FileSystem,
    name: str,
    incarnation_source: Callable[[], str],
    first: Entry | None,
) -> StoredState:
    """Read what a folder holds, or begin a new incarnation in an empty one."""
    blob = files.read(LOG)
    snapshot_blob = files.read(SNAPSHOT)
    if blob is None and snapshot_blob is None:
        return begin(files, name, incarnation_source, first)
    if blob is None:
        raise StorageCorrupt(LOG, 'the log is missing beside a snapshot')
    try:
        return read_folder(files, name, blob, snapshot_blob)
    # A record with a right checksum that does not decode was written by
    # something else, or by a later version.
    except UNREADABLE as bad:
        raise StorageCorrupt(LOG, f'a record cannot be read: {bad!r}') from bad


def begin(
    files: FileSystem,
    name: str,
    incarnation_source: Callable[[], str],
    first: Entry | None,
) -> StoredState:
    """Begin an incarnation in an empty folder.

    Identity and first entry of a new cluster come in one replaced file. Were
    the entry missing after a crash, the replica would have the identity of a
    first voter, and a later start could give it another first entry than the
    other voters have.
    """
    if first is None:
        identity = ReplicaId(name, incarnation_source())
        replace_file(files, LOG, log_header(identity, 0, 0))
        return StoredState(identity, 0, None, Log(), None)
    identity = ReplicaId(name, FIRST_INCARNATION)
    blob = log_header(identity, 0, 0) + pack_entry(first)
    replace_file(files, LOG, blob)
    return StoredState(identity, first.term, None, Log(entries=[first]), None)


def read_folder(
    files: FileSystem,
    name: str,
    blob: bytes,
    snapshot_blob: bytes | None,
) -> StoredState:
    """Read a folder that is not empty, cut a torn record, sync the rest."""
    scan = scan_records(blob)
    if scan.corrupt_at is not None:
        raise StorageCorrupt(LOG, f'checksum at byte {scan.corrupt_at}')
    records = [decode(wire.LogRecord, body) for body in scan.bodies]
    if not records or records[0].header is None:
        raise StorageCorrupt(LOG, 'the first record is not a header')
    stored = read_log(records)
    if stored.identity.name != name:
        raise StorageCorrupt(LOG, f'the log of {stored.identity.name}')
    snapshot = None
    if snapshot_blob is not None:
        snapshot = read_snapshot(snapshot_blob, stored.identity)
    if join_snapshot(stored.log, snapshot):
        # Entries that are appended now follow the snapshot, not the file.
        replace_file(files, LOG, log_after_snapshot(stored))
    elif scan.good_bytes < len(blob):
        files.truncate(LOG, scan.good_bytes)
    # A process that was killed before its sync leaves records, and names,
    # that can be read here and would yet be lost with the power; the replica
    # answers for all that it goes on from.
    files.sync(LOG)
    files.sync_folder()
    return StoredState(
        stored.identity,
        stored.term,
        stored.voted_for,
        stored.log,
        snapshot,
    )


def read_log(records: list[wire.LogRecord]) -> StoredState:
    """Read identity, newest vote and entries from the records of a log."""
    header = records[0].header
    log = Log(base_index=header.base_index, base_term=header.base_term)
    term = 0
    voted_for = None
    for record in records[1:]:
        if record.vote is not None:
            term = record.vote.term
            given = record.vote.voted_for
            voted_for = None if given is None else read_replica(given)
        else:
            put_entry(log, read_entry(record.entry))
    return StoredState(read_replica(header.replica), term, voted_for, log, None)


def put_entry(log: Log, entry: Entry) -> None:
    """Put an entry in its place, which may be before the end."""
    if not log.base_index < entry.index <= log.last_index + 1:
        raise StorageCorrupt(LOG, f'no entry before {entry.index}')
    log.append((entry,))


def join_snapshot(log: Log, snapshot: Snapshot | None) -> bool:
    """Make the log go on from the snapshot.

    A crash between the two replacements leaves a log from before the
    snapshot; what it holds after the snapshot is kept only if it belongs to
    the same history.

    Returns
    -------
    bool
        Whether the log was emptied, and its file does not fit any more.
    """
    covered = 0 if snapshot is None else snapshot.index
    if log.base_index > covered:
        raise StorageCorrupt(SNAPSHOT, f'no snapshot up to {log.base_index}')
    if snapshot is None or log.term_at(snapshot.index) == snapshot.term:
        return False
    log.reset(snapshot.index, snapshot.term)
    return True


def log_after_snapshot(stored: StoredState) -> bytes:
    """Return the file of a log that is empty after its snapshot."""
    log = stored.log
    header = log_header(stored.identity, log.base_index, log.base_term)
    return header + vote_record(SaveVote(stored.term, stored.voted_for))


def log_header(identity: ReplicaId, base_index: int, base_term: int) -> bytes:
    """Return the first record of a log."""
    header = wire.LogHeader(replica_name(identity), base_index, base_term)
    return pack_record(encode(wire.LogRecord(header=header)))


def vote_record(save: SaveVote) -> bytes:
    """Return the record of a term and a vote."""
    given = save.voted_for
    vote = wire.VoteRecord(
        save.term,
        None if given is None else replica_name(given),
    )
    return pack_record(encode(wire.LogRecord(vote=vote)))


def pack_entry(entry: Entry) -> bytes:
    """Return the record of an entry."""
    return pack_record(encode(wire.LogRecord(entry=entry_record(entry))))


def pack_snapshot(identity: ReplicaId, snapshot: Snapshot) -> bytes:
    """Return the two records of a snapshot."""
    header = wire.SnapshotHeader(
        replica=replica_name(identity),
        index=snapshot.index,
        term=snapshot.term,
        membership=membership_record(snapshot.membership),
    )
    return pack_record(encode(header)) + pack_record(snapshot.state)


def read_snapshot(blob: bytes, identity: ReplicaId) -> Snapshot:
    """Read the two records of a snapshot."""
    scan = scan_records(blob)
    # It was renamed into its place after a sync: even a short record there
    # is no torn write.
    if scan.corrupt_at is not None or len(scan.bodies) != 2:
        raise StorageCorrupt(SNAPSHOT, f'checksum after {scan.good_bytes}')
    header = decode(wire.SnapshotHeader, scan.bodies[0])
    if read_replica(header.replica) != identity:
        raise StorageCorrupt(SNAPSHOT, 'the snapshot of another incarnation')
    return Snapshot(
        index=header.index,
        term=header.term,
        membership=read_membership(header.membership),
        state=scan.bodies[1],
    )
