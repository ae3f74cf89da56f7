"""A server that states a rate limit, and a world to send to it."""

import asyncio
import itertools
from contextlib import suppress
from dataclasses import dataclass, field

from tests.platform_client import ask
from tests.platform_server import Server, refusal
from tests.platform_world import World

# The platform counts what reaches a server in any window of this length.
WINDOW_S = 4.0
FACTOR = 1.5
ALLOWANCE = 5
# A VM knows of a rest this long after the refusal that asked for it.
REST_KNOWN_S = 0.5
# Work of a request. With a few requests under way, pickers use both engines of
# a region; of two idle ones they may always take the same.
WORKS_S = 0.15
FULL_HEAD = 'HTTP/1.1 503 Shed\r\nNot-Executed: 1\r\n'
LIMIT_LINE = 'server-limit: '


@dataclass
class LimitedServer(Server):
    """A server that adds headers of its own to all its answers.

    Parameters
    ----------
    stated : str
        Header lines, each with its end.
    arrivals : list of (float, str)
        When requests reached it, by the loop's clock, and from which VM.
    breaks : bool
        True to break off each answer after its head.
    rest : str
        Text of `Retry-After` in the refusal of every request; empty to serve.
    rested : list of (float, str)
        When it refused a request so, and from which VM.
    works_s : float
        Work of a request, in seconds.
    """

    stated: str = ''
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    breaks: bool = False
    rest: str = ''
    rested: list[tuple[float, str]] = field(default_factory=list)
    works_s: float = WORKS_S

    def state_limit(self, text):
        """State a rate limit from now on; None ends it."""
        self.stated = '' if text is None else f'{LIMIT_LINE}{text}\r\n'

    async def answer(self, reader, writer, head, fields, body):
        """Answer a request with the stated headers."""
        if fields.get('expect-instance') == self.instance:
            arrival = (
                asyncio.get_running_loop().time(),
                writer.get_extra_info('peername')[0],
            )
            self.arrivals.append(arrival)
            if self.rest:
                self.rested.append(arrival)
                writer.write(rest_refusal(self.rest, fields))
                return
            await asyncio.sleep(self.works_s)
        stating = StatingWriter(writer, self.stated.encode(), self.breaks)
        await super().answer(reader, stating, head, fields, body)

    def state_leaving(self, text='1'):
        """State that it leaves from now on; heartbeats say nothing of it."""
        self.stated = f'server-leaving: {text}\r\n'

    def times(self, since_s=0.0):
        """Return when requests reached it since a time."""
        return [at_s for at_s, _ in self.arrivals if at_s >= since_s]

    def reborn(self):
        """Return another incarnation that takes over the address."""
        self.listener.close()
        return type(self)(self.host, self.service, self.zone, port=self.port)


def rest_refusal(rest, fields):
    """Return a refusal that asks for rest."""
    return refusal(f'{FULL_HEAD}Retry-After: {rest}\r\n', fields)


class StatingWriter:
    """Adds header lines after the status line of an answer."""

    def __init__(self, writer, stated, breaks):
        self.writer = writer
        self.stated = stated
        self.breaks = breaks
        self.transport = writer.transport

    def write(self, content):
        """Write bytes; an answer's head with the added lines."""
        if content.startswith(b'HTTP/1.1 '):
            status, rest = content.split(b'\r\n', 1)
            content = b'%s\r\n%s%s' % (status, self.stated, rest)
            if self.breaks:
                head = content.split(b'\r\n\r\n', 1)[0]
                self.writer.write(b'%s\r\n\r\n' % head)
                self.writer.close()
                return
        if not self.writer.is_closing():
            self.writer.write(content)

    async def drain(self):
        """Wait until the written bytes are sent."""
        await self.writer.drain()

    def close(self):
        """Close the connection."""
        self.writer.close()


@dataclass(frozen=True)
class Hosts:
    """Addresses of a world with two entry VMs in the north."""

    network: str

    @property
    def control(self):
        """Addresses of the control processes."""
        return tuple(f'{self.network}.{number}' for number in (1, 2, 3))

    @property
    def entries(self):
        """Addresses of the entry processes, two of the north and the south."""
        return tuple(f'{self.network}.{number}' for number in (11, 12, 21))


class LimitedWorld(World):
    """A world of servers that state rate limits."""

    def __init__(self, folder, hosts):
        zones = ('zone-a', 'zone-a', 'zone-b')
        super().__init__(
            folder,
            server_type=LimitedServer,
            control_hosts=hosts.control,
            entry_zones=dict(zip(hosts.entries, zones, strict=True)),
            network=hosts.network,
        )

    def state(self, service, text):
        """Have all servers of a service state a limit; None ends it."""
        for server in self.servers.values():
            if server.service == service:
                server.state_limit(text)


async def ask_steadily(entries, path, seconds, per_s, answers=None):
    """Send requests at a steady rate; return the answers and their times.

    Returns
    -------
    list of (float, float, Answer)
        When each request was sent and answered.
    """
    answers = [] if answers is None else answers
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    tasks = []
    for entry in itertools.cycle(entries):
        if loop.time() >= end_s:
            break
        tasks.append(asyncio.create_task(ask_once(entry, path, answers)))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*tasks)
    return answers


async def ask_once(entry, path, answers):
    """Send one request and keep its answer."""
    loop = asyncio.get_running_loop()
    sent_s = loop.time()
    with suppress(OSError, TimeoutError):
        _, answer = await ask(entry, path)
        answers.append((sent_s, loop.time(), answer))


def most_in_a_window(times, since_s=0.0):
    """Return the most requests in any window that ends after a time."""
    most = 0
    first = 0
    for place, at_s in enumerate(times):
        while at_s - times[first] >= WINDOW_S:
            first += 1
        if at_s >= since_s:
            most = max(most, place + 1 - first)
    return most


def allowed(per_s):
    """Return how many requests a limit allows in a window."""
    return FACTOR * per_s * WINDOW_S + ALLOWANCE


def most_within_a_rest(server, rest_s):
    """Return the most requests of one VM within one rest that it was asked for.

    The platform counts from half a second after the refusal on.
    """
    most = 0
    for refused_s, refused_vm in server.rested:
        within = [
            at_s
            for at_s, vm in server.arrivals
            if vm == refused_vm
            and refused_s + REST_KNOWN_S < at_s < refused_s + rest_s
        ]
        most = max(most, len(within))
    return most
