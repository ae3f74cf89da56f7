"""Announcing a stand-in to the entry VMs of its region."""

import asyncio
import itertools
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import h11

PERIOD_S = 0.5
TIMEOUT_S = 1.0
READ_BYTES = 65536
LOST = (OSError, h11.RemoteProtocolError, TimeoutError)


@dataclass
class Announcer:
    """Sends `PUT /v1/upstreams/{name}` to every entry, again and again.

    Parameters
    ----------
    describe : callable
        Returns the announcement without incarnation, sequence and leaving.
    token : str or None
        Sent as a bearer token where entries ask for one.
    """

    name: str
    entries: tuple[str, ...]
    describe: Callable[[], dict]
    token: str | None = None
    leaving: bool = False
    # Restarts within one clock tick still differ; the number only has to
    # grow from one start of this upstream to the next.
    incarnation: int = field(default_factory=time.time_ns)
    sequence: itertools.count = field(
        default_factory=lambda: itertools.count(1)
    )
    task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to announce."""
        self.task = asyncio.create_task(self.run())

    async def close(self) -> None:
        """Announce no more."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def leave(self) -> None:
        """Tell every entry that no new work is taken."""
        self.leaving = True
        await self.announce()

    async def withdraw(self) -> None:
        """Tell every entry that the upstream is gone."""
        path = f'/v1/upstreams/{self.name}?incarnation={self.incarnation}'
        await self.tell_all('DELETE', path, b'')

    async def run(self) -> None:
        """Announce each period."""
        while True:
            await self.announce()
            await asyncio.sleep(PERIOD_S)

    async def announce(self) -> None:
        """Send one announcement to every entry."""
        document = self.describe()
        document['incarnation'] = self.incarnation
        document['sequence'] = next(self.sequence)
        document['leaving'] = self.leaving
        body = json.dumps(document).encode()
        await self.tell_all('PUT', f'/v1/upstreams/{self.name}', body)

    async def tell_all(self, method: str, path: str, body: bytes) -> None:
        """Send one request to every entry; one that is away misses it."""
        await asyncio.gather(
            *(self.tell(entry, method, path, body) for entry in self.entries),
        )

    async def tell(
        self,
        entry: str,
        method: str,
        path: str,
        body: bytes,
    ) -> int | None:
        """Send one request; return the status, None where none came."""
        headers = [('Host', entry), ('Content-Length', str(len(body)))]
        if self.token is not None:
            headers.append(('Authorization', f'Bearer {self.token}'))
        request = h11.Request(method=method, target=path, headers=headers)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                return await send(entry, request, body)
        except LOST:
            return None


async def send(entry: str, request: h11.Request, body: bytes) -> int:
    """Send one request on a connection of its own; return the status."""
    host, _, port = entry.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    connection = h11.Connection(h11.CLIENT)
    try:
        for part in (request, h11.Data(data=body), h11.EndOfMessage()):
            writer.write(connection.send(part))
        return await read_status(reader, connection)
    finally:
        writer.close()


async def read_status(
    reader: asyncio.StreamReader,
    connection: h11.Connection,
) -> int:
    """Read until the head of the answer; return its status."""
    event = connection.next_event()
    while not isinstance(event, h11.Response):
        connection.receive_data(await reader.read(READ_BYTES))
        event = connection.next_event()
    return event.status_code
