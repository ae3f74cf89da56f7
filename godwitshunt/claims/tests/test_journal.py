"""Tests of the claim journal in a real folder."""

import asyncio
import errno
import os

import pytest
from result import Err, Ok

from godwitshunt.claims import Granted, KeyExpired, NoMajority, RunUnknown
from godwitshunt.claims.holder import EPOCH_S
from godwitshunt.claims.journal import (
    ClaimJournal,
    encode_record,
    read_segment,
)
from godwitshunt.claims.tests.test_task import Region
from godwitshunt.exceptions import FrameError, StorageError
from godwitshunt.peer import MessageKind

RECORDS = tuple(f'record {number}'.encode() for number in range(4))


async def write_journal(folder) -> ClaimJournal:
    """Write `RECORDS` to a journal and return it closed."""
    journal = ClaimJournal(folder)
    assert isinstance(journal.load(), Err)
    journal.begin_segment(RECORDS[:1])
    for body in RECORDS[1:]:
        journal.append(body)
    await journal.sync()
    await journal.close()
    return journal


def test_torn_record_is_truncated_and_flipped_bit_is_corruption():
    """Power fails during a write, or the disk returns a wrong byte.

    No answer depends on a torn record. One may depend on a corrupt record, so
    skipping it would lose a vote.
    """
    content = b''.join(map(encode_record, RECORDS))
    last_length = len(encode_record(RECORDS[-1]))
    for missing in range(1, last_length):
        segment = read_segment(content[:-missing])
        assert (segment.bodies, segment.torn) == (RECORDS[:-1], True)
    for offset, _ in enumerate(content):
        flipped = bytearray(content)
        flipped[offset] ^= 0x10
        assert read_segment(bytes(flipped)) is None


async def test_journal_continues_after_a_torn_write(tmp_path):
    """The process dies during a write, restarts, and writes more."""
    journal = await write_journal(tmp_path)
    with journal.segment_path(1).open('ab') as segment:
        segment.write(encode_record(b'torn')[:-1])
    reopened = ClaimJournal(tmp_path)
    assert reopened.load() == Ok(RECORDS)
    reopened.begin_segment(())
    reopened.append(b'more')
    await reopened.sync()
    await reopened.close()
    assert ClaimJournal(tmp_path).load() == Ok((*RECORDS, b'more'))


@pytest.mark.parametrize('fault', ['flip', 'gap', 'empty'])
async def test_lost_journal_is_set_aside(tmp_path, fault):
    """A segment is corrupt or missing, or the disk is empty."""
    journal = await write_journal(tmp_path)
    for _ in range(2):
        journal.begin_segment((b'next',))
    await journal.close()
    if fault == 'flip':
        content = bytearray(journal.segment_path(1).read_bytes())
        content[20] ^= 1
        journal.segment_path(1).write_bytes(content)
    elif fault == 'gap':
        journal.segment_path(2).unlink()
    else:
        for path in tmp_path.iterdir():
            path.unlink()
    reopened = ClaimJournal(tmp_path)
    assert isinstance(reopened.load(), Err)
    reopened.begin_segment((b'new',))
    await reopened.close()
    assert ClaimJournal(tmp_path).load() == Ok((b'new',))


@pytest.mark.parametrize('call', ['write', 'fsync'])
async def test_disk_failure_ends_voting(tmp_path, monkeypatch, call):
    """The disk is full or fails while claims are recorded.

    A vote that is not on disk must not count, even if a later write would
    succeed.
    """
    region = await Region(2, tmp_path, 'ab').start_all()
    original = getattr(os, call)

    def fail(*arguments):
        raise OSError(errno.ENOSPC, 'No space left on device')

    monkeypatch.setattr(os, call, fail)
    key = region.key()
    assert isinstance(await region.claim('a', key, timeout_s=0.3), NoMajority)
    monkeypatch.setattr(os, call, original)
    assert isinstance(await region.claim('a', key, timeout_s=0.3), NoMajority)
    for name in 'ab':
        region.kill(name)
    for name in 'ab':
        await region.start(name)
    await region.network.advance(0.6)
    new_key = region.key('after-repair')
    assert isinstance(await region.claim('b', new_key), Granted)


async def test_start_fails_with_an_unusable_folder(tmp_path):
    """The journal folder is a file."""
    (tmp_path / 'claims-a').write_text('')
    with pytest.raises(StorageError):
        await Region(1, tmp_path, 'a').start('a')


async def test_crash_between_journal_write_and_reply(tmp_path):
    """Both VMs die after their votes are written but before any reply.

    Whether the call ran is unknown, so a resend must not run it.
    """
    region = await Region(2, tmp_path, 'ab').start_all()
    key = region.key()
    region.network.partitioned.add(('b', 'a'))
    job = asyncio.ensure_future(region.tasks['a'].claim(key, b'd', 1.0))
    await region.network.advance(0.02)
    for name in 'ab':
        region.kill(name)
    job.cancel()
    region.network.partitioned.clear()
    for name in 'ab':
        await region.start(name)
    await region.network.advance(0.6)
    assert isinstance(await region.claim('b', key, b'd'), RunUnknown)


async def test_segments_are_deleted_with_their_epochs(tmp_path):
    """The journal of a long-running holder stays small.

    The floor epoch must survive the deletion of old segments.
    """
    region = await Region(1, tmp_path, 'a').start_all()
    old = region.key()
    for number in range(6):
        await region.claim('a', region.key(f'in-epoch-{number}'))
        region.network.timer.advance(EPOCH_S)
        await region.network.advance(3.0)
    assert len(list(tmp_path.glob('*/*.claims'))) <= 4
    region.kill('a')
    await region.start('a')
    await region.network.advance(0.6)
    assert isinstance(await region.claim('a', old), KeyExpired)
    assert isinstance(await region.claim('a', region.key('newer-key')), Granted)


@pytest.mark.parametrize('body', [b'', b'\x00', b'\xff' * 40])
@pytest.mark.parametrize(
    'kind',
    [kind for kind in MessageKind if kind.name.startswith('claim_')],
)
async def test_malformed_messages_change_nothing(kind, body):
    """A peer of another version sends a message that does not decode."""
    region = await Region(1).start_all()
    links = region.network.links[region.vms['a'].peer]
    try:
        reply = await links.handlers[kind]('stranger', body)
    except FrameError:
        reply = None
    assert reply is None
    assert isinstance(await region.claim('a', region.key()), Granted)
