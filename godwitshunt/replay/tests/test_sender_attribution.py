"""Answers that the replay tool counts as whole."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from godwitshunt.replay.results import Ending
from godwitshunt.replay.sender import Directory, Sender
from godwitshunt.replay.tests.test_replay import ask
from godwitshunt.settings import Address

OWN = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown'


@asynccontextmanager
async def answering(answer: bytes):
    """Yield the address of an entry VM that gives one answer to each."""
    made = []

    async def serve(reader, writer):
        made.append(writer)
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                writer.write(answer)
        except (EOFError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield Address(host=host, port=port), made
    finally:
        server.close()


@pytest.mark.parametrize(
    ('answer', 'ending', 'connections'),
    [(OWN, Ending.whole, 1), (OWN * 2, Ending.broken, 2)],
)
async def test_an_answer_followed_by_more_is_not_counted_whole(
    answer, ending, connections
):
    """The tool would show no trace of an entry VM that answers twice."""
    samples = []
    async with answering(answer) as (address, made):
        sender = Sender({}, {'ward': 'key'}, samples.append)
        sender.directories['ward'] = Directory((address,))
        for number in range(2):
            now_s = asyncio.get_running_loop().time()
            request = ask(model=None, service='pages')
            await sender.send(request, number, now_s)
        sender.pool.close()
        assert [sample.ending for sample in samples] == [ending, ending]
        assert len(made) == connections
