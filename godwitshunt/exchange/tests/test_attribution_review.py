"""Second answers that are cut short, or come within another answer."""

import asyncio

import pytest

from godwitshunt.exchange.tests.test_shared_connections import (
    answer,
    ask,
    outgoing,
    running,
)
from godwitshunt.exchange.upstream_messages import BrokenAnswerError

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
