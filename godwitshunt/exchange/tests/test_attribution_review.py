"""Second answers that are cut short, or come within another answer."""

import asyncio

import pytest

from godwitshunt.exchange.attribution import StrayBytesError, embeds_answer
from godwitshunt.exchange.tests.test_shared_connections import (
    NAMES,
    answer,
    ask,
    join,
    outgoing,
    running,
)
from godwitshunt.exchange.upstream_messages import BrokenAnswerError

HEAD = b'HTTP/1.1 200 OK\r\ndate: now\r\nrequest: r-1\r\n\r\n'
STATUS_BYTES = HEAD.index(b'date')
SILENCE_S = 0.1
# Far more than the silence after which an upstream counts as gone.
WAIT_S = 5.0


async def test_foreign_answer_that_stops_is_not_waited_for():
    """A request that waits up to its deadline behind a part of another one."""
    late = answer('r-1', b'late' * 9)[:-4]
    async with running(answer('r-1'), late, b'') as (up, pool):
        await ask(up, pool, 'r-1')
        sent = outgoing('r-2')
        call = (await pool.open(up.address, sent)).ok_value
        await call.send(sent)
        async with asyncio.timeout(WAIT_S):
            with pytest.raises(BrokenAnswerError):
                await call.head(sent, SILENCE_S)
        call.abandon()


@pytest.mark.parametrize('size', range(STATUS_BYTES, len(HEAD) + 1))
def test_head_that_is_cut_short_is_seen(size):
    """An answer delivered with the start of its repetition."""
    assert embeds_answer(join(b'hi', HEAD[:size]), NAMES)


@pytest.mark.parametrize(
    'body',
    [
        b'GET / HTTP/1.1\r\nrequest: r-1\r\n\r\n',
        b'it answers HTTP/1.1 200 OK',
        b'it answers HTTP/1.1 200 OK\r\nand no more',
        b'HTTP/1.1 200 OK\r\ndate: now\r\n\r\nhi',
    ],
)
def test_quoted_messages_are_no_answers(body):
    """A body refused since it quotes a message."""
    assert not embeds_answer(body, NAMES)


async def test_unframed_answer_with_the_start_of_its_repetition_is_broken():
    """The start of a second answer taken for the end of the first one."""
    whole = answer('r-1', framed=False)
    again = whole[: whole.index(b'nature')]
    async with running(join(whole, again)) as (up, pool):
        with pytest.raises(StrayBytesError):
            await ask(up, pool, 'r-1')


async def test_refusal_without_id_that_fills_a_body_is_broken():
    """A late refusal taken for the rest of an answer with a length."""
    late = b'HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n'
    mixed = answer('r-2', join(b'hi', late))
    async with running(answer('r-1'), mixed) as (up, pool):
        await ask(up, pool, 'r-1')
        with pytest.raises(StrayBytesError):
            await ask(up, pool, 'r-2')


async def test_connection_that_is_ended_by_stray_bytes_is_counted_once():
    """A count of discarded connections above that of made ones."""
    async with running(answer('r-1'), b'') as (up, pool):
        await ask(up, pool, 'r-1')
        up.connections[0].write(answer('r-1'))
        await asyncio.sleep(SILENCE_S)
        assert not any(pool.idle.values())
        discarded = ('upstream_connections_discarded_total', ())
        assert pool.metrics.increases[discarded] == 1


# The head up to a part of a header's line, behind which another one begins.
CUT_HEAD = b'HTTP/1.1 200 OK\r\nrequest: r-2\r\nsignature: '
PLACES = range(len(answer('r-2', b'own')))


async def test_head_that_goes_on_as_another_one_is_broken():
    """A late answer without id delivered behind the id of the next one."""
    mixed = join(CUT_HEAD, answer('', b'late'))
    async with running(answer('r-1'), mixed) as (up, pool):
        await ask(up, pool, 'r-1')
        with pytest.raises(StrayBytesError):
            await ask(up, pool, 'r-2')


@pytest.mark.parametrize('place', PLACES)
@pytest.mark.parametrize('late_id', ['', 'r-1'])
async def test_late_answer_at_any_place_reaches_nobody(place, late_id):
    """A part of another answer delivered, wherever it came."""
    whole = answer('r-2', b'own')
    late = answer(late_id, b'late')
    mixed = join(whole[:place], late, whole[place:])
    async with running(answer('r-1'), mixed) as (up, pool):
        await ask(up, pool, 'r-1')
        try:
            body = await ask(up, pool, 'r-2')
        except BrokenAnswerError:
            return
        assert body == b'own'
