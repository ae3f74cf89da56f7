"""Callers' connections that keep all that came on them."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass

from tests.platform_client import KeptConnection, read_answer, render_request

# Lets the event loop read what the connection has received.
UNASKED_WAIT_S = 0.002
UNASKED_BYTES = 65536
STATUSES = range(100, 600)


@dataclass
class WatchedConnection(KeptConnection):
    """A kept connection on which bytes that nobody asked for are noticed."""

    async def read_unasked(self):
        """Return what came since the last answer; None on a new connection."""
        if self.writer is None:
            return None
        unasked = b''
        with suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(UNASKED_WAIT_S):
                unasked = await self.reader.read(UNASKED_BYTES)
        if unasked:
            self.close()
        return unasked

    async def exchange(self, path, attempt, body, wait_s):
        """Send a request and read its answer, or the part that came.

        Raises
        ------
        ValueError
            Where something else than an answer came.
        """
        self.writer.write(render_request(path, attempt, body=body))
        async with asyncio.timeout(wait_s):
            answer = await read_answer(self.reader, keeps_part=True)
        if answer.status not in STATUSES:
            raise ValueError(f'no status line, but {answer}')
        if not answer.complete or answer.fields.get('connection') == 'close':
            self.close()
        return answer
