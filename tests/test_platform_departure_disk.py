"""A control VM loses its disk right after it acknowledged a departure."""

import asyncio
import shutil
import signal
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

from tests.platform_client import ask
from tests.platform_documents import ADDRESS_PREFIX
from tests.platform_server import SEAL, Server, refusal
from tests.platform_world import World

NETWORK = f'{ADDRESS_PREFIX}.35'
CONTROL_HOSTS = tuple(f'{NETWORK}.{number}' for number in (1, 2, 3))
ENTRY_ZONES = {f'{NETWORK}.11': 'zone-a', f'{NETWORK}.21': 'zone-b'}
OK = 200
# Upstreams are as busy as they can be: a silent one is then used, too.
WORK_S = 0.2
SLOTS = 8
CALLERS = 12
HEARTBEAT_S = 0.8
CALM_S = 4.0
DOWN_S = 1.0
# Requests may arrive for so long after the acknowledgement, and for so long
# from VMs that were out of touch.
DRAIN_S = 3.0
CONTACT_S = 5.0
WATCHED_S = 4.0


@dataclass
class BusyServer(Server):
    """A server that takes a moment for each request."""

    arrived_s: list = field(default_factory=list)
    places: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(SLOTS)
    )

    async def answer(self, reader, writer, head, fields, body):
        """Answer a health check at once, and a request after a moment."""
        echo = fields.get('attempt-id', '')
        if head.startswith(b'GET /healthz'):
            writer.write(
                f'HTTP/1.1 200 OK\r\nattempt-id: {echo}\r\n'
                f'Instance-Id: {self.instance}\r\n'
                'Content-Length: 0\r\n\r\n'.encode()
            )
            return
        if fields.get('expect-instance') != self.instance:
            writer.write(refusal('HTTP/1.1 421 No\r\n', fields))
            return
        self.arrived_s.append(asyncio.get_running_loop().time())
        async with self.places:
            await asyncio.sleep(WORK_S)
        writer.write(
            f'HTTP/1.1 200 OK\r\nattempt-id: {echo}\r\n{SEAL}\r\n'
            'Content-Length: 2\r\n\r\nok'.encode()
        )


async def announce_steadily(world, server):
    """Send a server's heartbeats to one control VM after the other."""
    place = 0
    while True:
        await world.control(
            'PUT',
            f'/-/instances/{server.instance}',
            server.heartbeat(),
            world.control_hosts[place % len(world.control_hosts)],
        )
        place += 1
        await asyncio.sleep(HEARTBEAT_S)


async def ask_steadily(entry):
    """Send requests to an entry VM without a pause."""
    while True:
        with suppress(OSError, TimeoutError):
            await ask(entry, '/safe/x')


async def lose_disk(world, host):
    """Kill a control VM and start it again with an empty folder."""
    process = world.processes[host]
    process.send_signal(signal.SIGKILL)
    await process.wait()
    shutil.rmtree(world.folder / host)
    await asyncio.sleep(DOWN_S)
    await world.start_process(host, 'zone-a', control=True, bootstrap=False)


@asynccontextmanager
async def running(*works):
    """Run coroutines as tasks for the time of a block; yield the tasks."""
    tasks = [asyncio.create_task(work) for work in works]
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()


async def depart(world, server):
    """Let a server leave; return the requests that came too late."""
    loop = asyncio.get_running_loop()
    host = world.control_hosts[-1]
    async with running(announce_steadily(world, server)):
        await asyncio.sleep(CALM_S)
    left = await world.control(
        'DELETE', f'/-/instances/{server.instance}', host=host
    )
    acknowledged_s = loop.time()
    assert left.status == OK
    assert server.arrived_s
    await lose_disk(world, host)
    late_s = max(acknowledged_s + DRAIN_S, loop.time() + CONTACT_S)
    await asyncio.sleep(late_s + WATCHED_S - loop.time())
    return [arrived_s for arrived_s in server.arrived_s if arrived_s > late_s]


@asynccontextmanager
async def started(folder):
    """Yield a deployment of busy servers, and end it."""
    world = World(
        folder,
        control_hosts=CONTROL_HOSTS,
        entry_zones=ENTRY_ZONES,
        network=NETWORK,
        server_type=BusyServer,
    )
    try:
        await world.start()
        yield world
    finally:
        await world.close()


async def test_an_acknowledged_departure_outlives_a_disk(tmp_path):
    """The departure was on one disk; the server got requests until its end."""
    async with started(tmp_path) as world:
        server = BusyServer(f'{NETWORK}.120', 'app', 'zone-a')
        await server.start()
        world.servers['leaving'] = server
        world.silent.add('leaving')
        callers = [
            ask_steadily(entry)
            for entry in world.entry_zones
            for _ in range(CALLERS)
        ]
        async with running(*callers):
            assert await depart(world, server) == []
