"""The claim journal on a real folder: torn, corrupt, refused, rotated."""

import asyncio
import errno
import os

import pytest
from result import Err, Ok

from godwitshunt.claims import Granted, KeyExpired, NoMajority, RunUnknown
from godwitshunt.claims.holder import EPOCH_S
from godwitshunt.claims.journal import (
    ClaimJournal,
    read_segment,
    record_bytes,
)
from godwitshunt.claims.tests.test_task import Region
from godwitshunt.exceptions import FrameError, StorageError
from godwitshunt.peer import MessageKind

RECORDS = tuple(f'record {number}'.encode() for number in range(4))


async def written(folder) -> ClaimJournal:
    """Return a journal with the records above, closed."""
    journal = ClaimJournal(folder)
    assert isinstance(journal.load(), Err)
    journal.begin_segment(RECORDS[:1])
    for body in RECORDS[1:]:
        journal.append(body)
    await journal.sync()
    await journal.close()
    return journal


def test_a_torn_record_is_cut_and_a_flipped_bit_is_corrupt():
    """Power fails within a write, or a disk returns another byte.

    What was torn was answered for by nobody. A corrupt record was: going on
    without it would forget a vote.
    """
    content = b''.join(map(record_bytes, RECORDS))
    last = len(record_bytes(RECORDS[-1]))
    for cut in range(1, last):
        end = read_segment(content[:-cut])
        assert (end.bodies, end.torn) == (RECORDS[:-1], True)
    for place, _ in enumerate(content):
        flipped = bytearray(content)
        flipped[place] ^= 0x10
        assert read_segment(bytes(flipped)) is None


async def test_a_journal_goes_on_after_a_torn_write(tmp_path):
    """The process dies within a write, starts again, and writes more."""
    journal = await written(tmp_path)
    with journal.path(1).open('ab') as segment:
        segment.write(record_bytes(b'torn')[:-1])
    again = ClaimJournal(tmp_path)
    assert again.load() == Ok(RECORDS)
    again.begin_segment(())
    again.append(b'more')
    await again.sync()
    await again.close()
    assert ClaimJournal(tmp_path).load() == Ok((*RECORDS, b'more'))


@pytest.mark.parametrize('fault', ['flip', 'gap', 'empty'])
async def test_a_lost_journal_is_set_aside(tmp_path, fault):
    """The disk damages a segment, or loses it; or it is a new disk."""
    journal = await written(tmp_path)
    for _ in range(2):
        journal.begin_segment((b'next',))
    await journal.close()
    if fault == 'flip':
        content = bytearray(journal.path(1).read_bytes())
        content[20] ^= 1
        journal.path(1).write_bytes(content)
    elif fault == 'gap':
        journal.path(2).unlink()
    else:
        for path in tmp_path.iterdir():
            path.unlink()
    again = ClaimJournal(tmp_path)
    assert isinstance(again.load(), Err)
    again.begin_segment((b'new',))
    await again.close()
    assert ClaimJournal(tmp_path).load() == Ok((b'new',))


@pytest.mark.parametrize('call', ['write', 'fsync'])
async def test_a_disk_that_refuses_ends_the_votes(tmp_path, monkeypatch, call):
    """The disk is full or fails while claims are recorded.

    A vote that is not on the disk must not count, also when a later write
    would succeed.
    """
    region = await Region(2, tmp_path, 'ab').start_all()
    real = getattr(os, call)

    def refuse(*arguments):
        raise OSError(errno.ENOSPC, 'No space left on device')

    monkeypatch.setattr(os, call, refuse)
    key = region.key()
    assert isinstance(await region.claim('a', key, timeout_s=0.3), NoMajority)
    monkeypatch.setattr(os, call, real)
    assert isinstance(await region.claim('a', key, timeout_s=0.3), NoMajority)
    for name in 'ab':
        region.kill(name)
    for name in 'ab':
        await region.start(name)
    await region.network.advance(0.6)
    fresh = region.key('after-repair')
    assert isinstance(await region.claim('b', fresh), Granted)


async def test_an_unusable_folder_is_refused_at_the_start(tmp_path):
    """The data folder is a file."""
    (tmp_path / 'claims-a').write_text('')
    with pytest.raises(StorageError):
        await Region(1, tmp_path, 'a').start('a')


async def test_a_crash_between_the_journal_and_the_reply(tmp_path):
    """Both VMs die after their votes were written and before any answer.

    Whether the call ran is not known, so that a resend must not run it.
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


async def test_segments_go_with_their_epochs(tmp_path):
    """A holder runs for hours: its journal stays small, its floor stays."""
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
    """A peer of another version sends what does not decode."""
    region = await Region(1).start_all()
    links = region.network.links[region.vms['a'].peer]
    try:
        reply = await links.handlers[kind]('stranger', body)
    except FrameError:
        reply = None
    assert reply is None
    assert isinstance(await region.claim('a', region.key()), Granted)
