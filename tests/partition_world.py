"""Upstreams that some entry VMs cannot reach, and a world of them."""

import asyncio
import ctypes
import random
import secrets
import socket
import struct
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from enum import Enum

from tests.limited_server import LimitedServer
from tests.platform_client import Answer, ask
from tests.platform_world import World

OK = 200
# Socket options of Linux for classic BPF programs, and the program's codes.
ATTACH_FILTER, DETACH_FILTER = 26, 27
LOAD_WORD, JUMP_IF_EQUAL, RETURN = 0x20, 0x15, 6
IP_SOURCE = 0xFFF00000 + 12
WHOLE_PACKET = 0xFFFFFFFF
PATHS = ('/safe/x', '/unsafe/x', '/once/x', '/resumed/x')


class Cut(Enum):
    """How the connections of an entry VM to upstreams fail.

    `reset`: all are reset. `silent`: packets are dropped, also those that open
    a connection. `unanswered`: connections are accepted and never answered.
    `no_new`: those that are open live on, and new ones are reset.
    """

    reset = 'reset'
    silent = 'silent'
    unanswered = 'unanswered'
    no_new = 'no new'


@dataclass
class PartitionedServer(LimitedServer):
    """A server that some entry VMs cannot reach.

    Parameters
    ----------
    cuts : dict
        How the connections of an entry VM fail, by its address.
    writers : set
        Open connections.
    silent_until_s : float
        Time of the loop until which it answers nothing.
    """

    cuts: dict[str, Cut] = field(default_factory=dict)
    writers: set = field(default_factory=set)
    silent_until_s: float = 0.0

    def be_silent(self, seconds):
        """Answer nothing for a while, and go on then."""
        now_s = asyncio.get_running_loop().time()
        self.silent_until_s = now_s + seconds

    def cut(self, hosts, kind):
        """Cut entry VMs off."""
        self.cuts.update(dict.fromkeys(hosts, kind))
        self.apply_filters()
        if kind is Cut.reset:
            for writer in tuple(self.writers):
                if peer_of(writer) in hosts:
                    reset(writer)

    def heal(self, hosts=None):
        """Let entry VMs reach this server again."""
        for host in tuple(self.cuts if hosts is None else hosts):
            self.cuts.pop(host, None)
        self.apply_filters()

    def apply_filters(self):
        """Drop the packets of the entry VMs whose cut is silent."""
        silent = [
            host for host, kind in self.cuts.items() if kind is Cut.silent
        ]
        for listening in self.listener.sockets:
            drop_packets(listening, silent)
        for writer in self.writers:
            drop_packets(writer.get_extra_info('socket'), silent)

    async def accept(self, reader, writer):
        """Serve a connection, unless its VM is cut off."""
        if self.cuts.get(peer_of(writer)) in {Cut.reset, Cut.no_new}:
            reset(writer)
            return
        self.writers.add(writer)
        try:
            with suppress(asyncio.IncompleteReadError):
                await super().accept(reader, writer)
        finally:
            self.writers.discard(writer)

    async def answer(self, reader, writer, head, fields, body):
        """Answer a request, unless its VM gets no answers."""
        if self.cuts.get(peer_of(writer)) is Cut.unanswered:
            await reader.read()
            return
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, self.silent_until_s - now_s))
        await super().answer(reader, writer, head, fields, body)


def peer_of(writer):
    """Return the address of the entry VM on a connection."""
    peer = writer.get_extra_info('peername')
    return '' if peer is None else peer[0]


def reset(writer):
    """Reset a connection; a close alone would end an answer cleanly."""
    connection = writer.get_extra_info('socket')
    if connection.fileno() >= 0:
        linger = struct.pack('ii', 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def drop_packets(connection, hosts):
    """Drop the packets that a socket gets from some hosts."""
    handle = connection.fileno()
    if handle < 0:
        return
    with socket.socket(fileno=socket.dup(handle)) as raw:
        if hosts:
            attach_filter(raw, filter_program(hosts))
        else:
            with suppress(OSError):
                raw.setsockopt(socket.SOL_SOCKET, DETACH_FILTER, 0)


def filter_program(hosts):
    """Return the instructions that drop what some hosts send."""
    numbers = [struct.unpack('!I', socket.inet_aton(host))[0] for host in hosts]
    compares = [
        (JUMP_IF_EQUAL, len(hosts) - place, 0, number)
        for place, number in enumerate(numbers)
    ]
    return [
        (LOAD_WORD, 0, 0, IP_SOURCE),
        *compares,
        (RETURN, 0, 0, WHOLE_PACKET),
        (RETURN, 0, 0, 0),
    ]


def attach_filter(raw, instructions):
    """Attach a packet filter to a socket."""
    code = b''.join(struct.pack('HBBI', *one) for one in instructions)
    kept = ctypes.create_string_buffer(code)
    described = struct.pack('HL', len(instructions), ctypes.addressof(kept))
    raw.setsockopt(socket.SOL_SOCKET, ATTACH_FILTER, described)


class PartitionWorld(World):
    """Three entry VMs in the north, one in the south, and five servers."""

    def __init__(self, folder, network, scheduling=None):
        hosts = tuple(f'{network}.{number}' for number in (11, 12, 13, 21))
        self.north = hosts[:3]
        self.south = hosts[3]
        zones = ('zone-a', 'zone-a', 'zone-a', 'zone-b')
        super().__init__(
            folder,
            server_type=PartitionedServer,
            control_hosts=tuple(f'{network}.{one}' for one in (1, 2, 3)),
            entry_zones=dict(zip(hosts, zones, strict=True)),
            network=network,
            scheduling=scheduling,
        )

    async def start(self):
        """Start everything, with an engine in the south as well."""
        await super().start()
        name = 'south-llm'
        host = f'{self.network}.105'
        self.servers[name] = self.server_type(host, 'llm', 'zone-b')
        await self.servers[name].start()
        await self.announce(name)

    def cut(self, hosts, kind):
        """Cut entry VMs off from all servers."""
        for server in self.servers.values():
            server.cut(hosts, kind)

    def heal(self):
        """Let all entry VMs reach all servers."""
        for server in self.servers.values():
            server.heal()

    def share_in_north(self, sent, entries, since_s):
        """Return the share of the served requests that ran in the north."""
        ran = {
            attempt
            for server in self.servers.values()
            if server.zone == 'zone-a'
            for attempt in server.ran
        }
        served = [
            one.attempt in ran
            for one in sent
            if one.entry in entries and one.sent_s >= since_s and one.is_served
        ]
        return sum(served) / max(1, len(served))


@asynccontextmanager
async def running(deployment):
    """Start a deployment, and end it afterwards."""
    try:
        await deployment.start()
        yield deployment
    finally:
        await deployment.close()


async def heal_and_use(deployment):
    """Let all VMs reach all servers, and open connections."""
    deployment.heal()
    await asyncio.sleep(2.0)
    await ask_all(deployment.entry_zones, 1.0)
    return deployment


@dataclass(frozen=True)
class Sent:
    """One request, and how it ended.

    Parameters
    ----------
    sent_s, took_s : float
        When it was sent, in seconds since the start, and how long it took.
    """

    entry: str
    path: str
    attempt: str
    sent_s: float
    took_s: float
    answer: Answer

    @property
    def is_served(self):
        """True where the answer is whole."""
        return self.answer.status == OK and self.answer.complete


async def ask_all(entries, seconds, per_s=10, seed=1):
    """Send requests of all kinds to each entry VM at a steady rate."""
    draw = random.Random(seed)
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    sent = []
    async with asyncio.TaskGroup() as tasks:
        while loop.time() < start_s + seconds:
            for entry in entries:
                path = draw.choice(PATHS)
                tasks.create_task(ask_once(entry, path, start_s, sent))
            await asyncio.sleep(1 / per_s)
    return sent


async def ask_once(entry, path, start_s, sent):
    """Send one request and keep how it ended."""
    loop = asyncio.get_running_loop()
    sent_s = loop.time()
    attempt = secrets.token_hex(8)
    answer = Answer(0, {}, b'', complete=False)
    with suppress(OSError, TimeoutError):
        _, answer = await ask(entry, path, attempt=attempt)
    took_s = loop.time() - sent_s
    sent.append(Sent(entry, path, attempt, sent_s - start_s, took_s, answer))


def served_share(sent, entries, since_s=0.0, path=''):
    """Return the share of requests at some entry VMs that were served."""
    served = [
        one.is_served
        for one in sent
        if one.entry in entries
        and one.sent_s >= since_s
        and one.path.startswith(path)
    ]
    return sum(served) / max(1, len(served))
