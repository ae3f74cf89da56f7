"""What a data folder keeps through crashes, damage and full disks."""

import errno
from contextlib import suppress

import pytest

from godwitshunt.consensus import DataFolder, DiskFileSystem, Membership
from godwitshunt.consensus.events import SaveEntries, SaveSnapshot, SaveVote
from godwitshunt.consensus.files import typed_errors
from godwitshunt.consensus.members import ReplicaId
from godwitshunt.consensus.messages import Entry, EntryKind, Snapshot
from godwitshunt.consensus.tests.disk import MemoryFileSystem, PowerLoss
from godwitshunt.exceptions import (
    StorageCorrupt,
    StorageError,
    StorageFull,
    StorageLocked,
    StorageReadOnly,
)

CANDIDATE = ReplicaId('b', '1')


def entry(index: int, term: int) -> Entry:
    """Return an entry whose payload names its place."""
    return Entry(index, term, EntryKind.payload, b'%d at %d' % (index, term))


SNAPSHOT = Snapshot(2, 1, Membership(), b'state')
LEFT = (entry(2, 1), *(entry(index, 2) for index in range(3, 6)))
SAVES = (
    (SaveVote(1, CANDIDATE),),
    (SaveEntries((entry(1, 1), entry(2, 1))), SaveEntries((entry(3, 1),))),
    (SaveVote(2, None), SaveEntries((entry(3, 2), entry(4, 2)))),
    (
        SaveEntries((entry(5, 2),)),
        SaveSnapshot(SNAPSHOT, 1, 1, LEFT),
    ),
    (SaveVote(3, CANDIDATE), SaveEntries((entry(5, 3),))),
)


def open_folder(files, incarnation: str = '1') -> DataFolder:
    """Open the folder of replica a."""
    return DataFolder.open(files, 'a', lambda: incarnation)


def found(stored) -> tuple:
    """Return what is compared of a folder."""
    held = {one.index: one.term for one in stored.log.entries}
    vote = (stored.term, stored.voted_for)
    return vote, held, stored.log.last_index, stored.snapshot


def all_states() -> list[tuple]:
    """Return what the folder holds after each save, without a crash."""
    files = MemoryFileSystem()
    folder = open_folder(files)
    states = [found(folder.stored)]
    for saves in SAVES:
        folder.save(saves)
        files.locked = False
        folder = open_folder(files)
        states.append(found(folder.stored))
    return states


@pytest.mark.parametrize('kept_bytes', [0, 1, 40, 10_000])
@pytest.mark.parametrize('point', range(40))
def test_power_loss_at_each_file_call_keeps_every_finished_save(
    point,
    kept_bytes,
):
    """Power is lost before or after a write, a sync, or a rename.

    After the restart the replica has at least what it was told is saved, and
    nothing that it never saved; else it would break a vote or lose a commit.
    """
    states = all_states()
    files = MemoryFileSystem(stop_at=point)
    finished = 0
    try:
        folder = open_folder(files)
        for saves in SAVES:
            folder.save(saves)
            finished += 1
    except PowerLoss:
        files.lose_power(kept_bytes)
    files.locked = False
    files.stop_at = None
    stored = open_folder(files, '2').stored
    vote, held, last, snapshot = found(stored)
    later = states[finished : finished + 2]
    assert vote in {state[0] for state in later}
    assert snapshot in [state[3] for state in later]
    assert last >= min(state[2] for state in later)
    if finished:
        assert stored.identity.incarnation == '1'
        for index in range(stored.log.base_index + 1, later[0][2] + 1):
            assert held[index] in {state[1].get(index) for state in later}


@pytest.mark.parametrize('point', range(40))
def test_restart_makes_durable_what_it_has_read(point):
    """The process is killed between a write and its sync, and restarted.

    It finds the records in the machine's memory and goes on from them. When
    power is lost later, they must still be there: it has answered for them.
    """
    files = MemoryFileSystem(stop_at=point)
    with suppress(PowerLoss):
        folder = open_folder(files)
        for saves in SAVES:
            folder.save(saves)
    files.locked = False
    files.stop_at = None
    read = open_folder(files, '2').stored
    files.lose_power()
    again = open_folder(files, '3').stored
    assert (again.identity, found(again)) == (read.identity, found(read))


def saved() -> MemoryFileSystem:
    """Return the files after all saves."""
    files = MemoryFileSystem()
    folder = open_folder(files)
    for saves in SAVES:
        folder.save(saves)
    folder.close()
    return files


def test_short_last_record_is_cut_at_every_length():
    """Power is lost in the middle of a write.

    The replica starts with all records before, and what it saves next can be
    read again.
    """
    whole = saved().names['log'].content
    files = saved()
    open_folder(files).save((SaveEntries((entry(6, 3),)),))
    longer = files.names['log'].content
    for lost in range(1, len(longer) - len(whole)):
        files = saved()
        files.names['log'].content = longer[:-lost]
        folder = open_folder(files)
        assert folder.stored.log.last_index == 5
        folder.save((SaveEntries((entry(6, 4),)),))
        folder.close()
        assert open_folder(files).stored.log.last_term == 4


@pytest.mark.parametrize('name', ['log', 'snapshot'])
def test_each_changed_byte_is_noticed(name):
    """A disk returns other bytes than were written.

    The replica must not vote on them: its start fails with a typed error.
    """
    blob = saved().names[name].content
    for offset, _ in enumerate(blob):
        files = saved()
        files.corrupt(name, offset)
        with pytest.raises(StorageCorrupt):
            open_folder(files)
        assert not files.locked


@pytest.mark.parametrize(
    ('gone', 'reader'),
    [('log', 'a'), ('snapshot', 'a'), ('', 'b')],
)
def test_mixed_up_folders_are_refused(gone, reader):
    """A file is deleted by hand, or the folder belongs to another VM.

    Going on would forget votes under the same identity, so the start fails.
    """
    files = saved()
    files.names.pop(gone, None)
    with pytest.raises(StorageCorrupt):
        DataFolder.open(files, reader, lambda: '2')


def test_lost_folder_is_another_incarnation():
    """The whole folder is deleted while the VM keeps its name."""
    assert open_folder(MemoryFileSystem(), '2').stored.identity == ReplicaId(
        'a',
        '2',
    )


def test_second_process_on_a_folder_is_refused(tmp_path):
    """An operator starts the program twice on one folder.

    The second one fails at once and names the folder; the first goes on.
    """
    first = DataFolder.open(DiskFileSystem(tmp_path / 'new' / 'data'), 'a')
    first.save(SAVES[0])
    with pytest.raises(StorageLocked):
        DataFolder.open(DiskFileSystem(tmp_path / 'new' / 'data'), 'a')
    for saves in SAVES[1:]:
        first.save(saves)
    first.close()
    again = DataFolder.open(DiskFileSystem(tmp_path / 'new' / 'data'), 'a')
    assert found(again.stored) == all_states()[-1]
    again.close()


@pytest.mark.parametrize(
    ('number', 'kind'),
    [
        (errno.ENOSPC, StorageFull),
        (errno.EDQUOT, StorageFull),
        (errno.EROFS, StorageReadOnly),
        (errno.EACCES, StorageReadOnly),
        (errno.EIO, StorageError),
    ],
)
def test_disk_errors_are_typed(tmp_path, monkeypatch, number, kind):
    """The disk is full, read-only or broken when a replica saves.

    The operator sees which, and of which file.
    """
    folder = DataFolder.open(DiskFileSystem(tmp_path), 'a')

    def fail(*arguments):
        raise OSError(number, 'no')

    for call in ('write', 'fsync'):
        with monkeypatch.context() as patch:
            patch.setattr(f'os.{call}', fail)
            with pytest.raises(kind, match='log: no') as raised:
                folder.save(SAVES[0])
            assert raised.type is kind
    folder.close()
    with pytest.raises(kind), typed_errors(tmp_path):
        fail()


@pytest.mark.parametrize('keeps_cache', [True, False])
@pytest.mark.parametrize('last', [3, 15])
@pytest.mark.parametrize('point', range(8, 24))
def test_entries_after_an_installed_snapshot_are_kept(point, last, keeps_cache):
    """A follower is killed between the two files of a leader's snapshot.

    Its log file ended before the snapshot, or had another history there. The
    entries that it saved next could not be read at the start after, or were
    dropped without a word.
    """
    files = MemoryFileSystem(stop_at=point, keeps_cache=keeps_cache)
    installed = Snapshot(10, 4, Membership(), b'of the leader')
    old = tuple(entry(index, 1) for index in range(1, last + 1))
    try:
        folder = open_folder(files)
        folder.save((SaveVote(1, CANDIDATE), SaveEntries(old)))
        folder.save((SaveVote(4, None), SaveSnapshot(installed, 10, 4, ())))
    except PowerLoss:
        files.stop()
    files.stop_at = None
    files.locked = False
    folder = open_folder(files, '2')
    if folder.stored.snapshot != installed:
        return
    folder.save((SaveVote(5, None),))
    folder.save((SaveEntries((entry(11, 5), entry(12, 5))),))
    files.locked = False
    stored = open_folder(files, '2').stored
    assert [one.index for one in stored.log.entries] == [11, 12]
    assert (stored.log.base_index, stored.term) == (10, 5)
