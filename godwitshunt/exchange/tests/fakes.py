"""A small entry VM and scripted upstreams for the tests of this slice."""

import asyncio
import hashlib
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field, replace
from random import Random

import h11
from result import Ok

from godwitshunt.configuration.revision import Revision, VmRecord, VmRole
from godwitshunt.exchange.gateway import ExchangeTask
from godwitshunt.exchange.ports import Ports
from godwitshunt.exchange.tests.local_slices import (
    FreeRetries,
    LocalClaims,
    NoLimits,
)
from godwitshunt.manifest import parse_manifest
from godwitshunt.membership.views import RegionView, UpstreamView
from godwitshunt.routing.admission import AdmissionQueue
from godwitshunt.routing.messages import Forward, RefusalReason, Refuse, Serve
from godwitshunt.settings import Address, EntrySettings, LimitSettings
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import TimerService
from standins.ports import free_address

KEY = b'cluster key'
LISTENING_PORTS = range(10000, 32000)
MANIFEST = {
    'number': 7,
    'deployment': 'test',
    'regions': [{'name': 'kochi'}, {'name': 'kozhikode'}],
    'services': [
        {'name': 'chat', 'kind': 'model'},
        {
            'name': 'pages',
            'kind': 'plain',
            'non_idempotent_methods': ['POST'],
        },
    ],
    'models': [{'name': 'roster', 'service': 'chat'}],
    'classes': [{'name': 'urgent', 'priority': 3, 'deadline_s': 20}],
    'residency': [
        {'name': 'stay', 'regions': ['kochi']},
        {'name': 'away', 'regions': ['kozhikode']},
    ],
    'callers': [
        {
            'name': name,
            'key_sha256': hashlib.sha256(name.encode()).hexdigest(),
            'home': home,
            'request_class': 'urgent',
            'residency': residency,
        }
        for name, home, residency in (
            ('ward', 'kochi', None),
            ('office', 'kochi', 'stay'),
            ('desk', 'kozhikode', 'away'),
        )
    ],
}


@dataclass
class FixedConfiguration:
    """A revision that the test sets."""

    revision: Revision | None

    def current(self) -> Revision | None:
        return self.revision


@dataclass
class FixedMembership:
    """Upstreams that the test sets."""

    region: str = 'kochi'
    isolated: bool = False
    upstreams: tuple[UpstreamView, ...] = ()
    in_progress: Counter = field(default_factory=Counter)
    announced: list = field(default_factory=list)

    def announce(self, name, announcement):
        self.announced.append((name, announcement))
        return Ok(2.5)

    def withdraw(self, name: str, incarnation: int) -> None:
        self.announced.append((name, incarnation))

    def view(self) -> RegionView:
        return RegionView(
            self.region,
            self.upstreams,
            isolated=self.isolated,
        )

    def record_sent(self, name: str, tokens: int) -> None:
        self.in_progress[name] += 1

    def record_finished(self, name: str, tokens: int) -> None:
        self.in_progress[name] -= 1


@dataclass
class InOrder:
    """Takes the first upstream that has not failed, then the VMs."""

    forwards: tuple[Forward, ...] = ()

    def __call__(self, view, request, objective, random):
        for upstream in view.upstreams:
            fits = upstream.service == request.service
            if fits and upstream.name not in request.excluded:
                return Serve(upstream)
        for forward in self.forwards:
            if forward.vm not in request.excluded:
                return forward
        return Refuse(RefusalReason.no_upstream, 2.0)


@dataclass
class Vm:
    """An entry VM's exchange and what the test sets of it."""

    exchange: ExchangeTask
    configuration: FixedConfiguration
    membership: FixedMembership
    choose: InOrder
    claims: LocalClaims
    metrics: Metrics

    @property
    def address(self) -> Address:
        return self.exchange.settings.http

    def count(self, line: str) -> bool:
        """Tell whether a line stands in the metrics."""
        return line.encode() in self.metrics.render()


@asynccontextmanager
async def started_vm(name: str = 'k1', region: str = 'kochi', **limits):
    """Yield an entry VM that listens."""
    address = free_address()
    settings = EntrySettings(
        name=name,
        region=region,
        failure_domain='a',
        http=address,
        peer=address,
        control=(address,),
        cluster_key_file='unused',
        limits=LimitSettings(**limits),
        upstream_token_sha256=hashlib.sha256(b'token').hexdigest(),
    )
    record = VmRecord(name, region, 'a', VmRole.entry, address, address)
    manifest = parse_manifest(json.dumps(MANIFEST))
    timer = TimerService()
    metrics = Metrics()
    vm = Vm(
        exchange=None,
        configuration=FixedConfiguration(Revision(7, '', manifest, (record,))),
        membership=FixedMembership(region),
        choose=InOrder(),
        claims=LocalClaims(settings),
        metrics=metrics,
    )
    ports = Ports(
        configuration=vm.configuration,
        membership=vm.membership,
        claims=vm.claims,
        limits=NoLimits(),
        retries=FreeRetries(),
        choose=vm.choose,
        entries=lambda caller: (record,),
        timer=timer,
        queue=AdmissionQueue.from_config(manifest.classes, Random(7)),
    )
    vm.exchange = ExchangeTask.from_config(settings, KEY, ports, metrics)
    await vm.exchange.start()
    try:
        yield vm
    finally:
        async with asyncio.timeout(5):
            await vm.exchange.close()
        timer.close()


Script = Callable[['Upstream', asyncio.StreamWriter, bytes], Awaitable[None]]


@dataclass
class Upstream:
    """A raw server that reads requests and plays a script for each.

    Parameters
    ----------
    read_requests : bool
        False plays the script as soon as a connection is accepted.
    """

    name: str
    script: Script
    service: str = 'chat'
    region: str = 'kochi'
    read_requests: bool = True
    address: Address = field(default_factory=free_address)
    requests: list[bytes] = field(default_factory=list)
    server: asyncio.Server | None = None
    arrived: asyncio.Event = field(default_factory=asyncio.Event)
    gone: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def view(self) -> UpstreamView:
        return UpstreamView(
            self.name,
            self.region,
            self.service,
            self.address,
            1,
            honours_resume=True,
        )

    async def serve(self, reader, writer) -> None:
        try:
            while self.read_requests:
                head = await reader.readuntil(b'\r\n\r\n')
                length = int(field_of(head, b'content-length') or 0)
                body = await reader.readexactly(length)
                self.requests.append(head + body)
                self.arrived.set()
                await self.script(self, writer, head + body)
            await self.script(self, writer, b'')
        except (OSError, EOFError):
            self.gone.set()
        finally:
            writer.close()


def field_of(head: bytes, name: bytes) -> bytes | None:
    """Return a header's content from a raw head."""
    for line in head.split(b'\r\n'):
        found, _, content = line.partition(b':')
        if found.lower() == name:
            return content.strip()
    return None


@asynccontextmanager
async def started_upstream(upstream: Upstream):
    """Yield an upstream that listens."""
    upstream.server = await asyncio.start_server(
        upstream.serve,
        upstream.address.host,
        upstream.address.port,
    )
    try:
        yield upstream
    finally:
        upstream.server.close()


@dataclass
class Reply:
    """An answer as a caller reads it."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    whole: bool = False

    @property
    def kind(self) -> str:
        """Return the last part of the problem's type."""
        return json.loads(self.body)['type'].rpartition(':')[2]

    @property
    def outcome(self) -> str | None:
        return self.headers.get('godwitshunt-outcome')


async def raw(address: Address, sent: bytes) -> Reply:
    """Send bytes; read one answer, or what comes of it."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    connection = h11.Connection(h11.CLIENT)
    connection.send(
        h11.Request(method='GET', target='/', headers=[('host', 'x')]),
    )
    connection.send(h11.EndOfMessage())
    reply = Reply()
    writer.write(sent)
    try:
        with suppress(OSError, h11.RemoteProtocolError):
            await read_reply(reader, connection, reply)
    finally:
        writer.close()
    return reply


async def read_reply(reader, connection, reply: Reply) -> None:
    """Read into a reply until its end or the connection's."""
    while True:
        match connection.next_event():
            case h11.Response() as head:
                reply.status = head.status_code
                reply.headers = {
                    name.decode(): text.decode() for name, text in head.headers
                }
            case h11.Data(data=chunk):
                reply.body += bytes(chunk)
            case h11.EndOfMessage():
                reply.whole = True
                return
            case h11.NEED_DATA:
                connection.receive_data(await reader.read(65536))
            case h11.ConnectionClosed():
                return


def request_bytes(
    method: str = 'POST',
    path: str = '/v1/chat/completions',
    body: bytes = b'',
    caller: str | None = 'ward',
    **headers: str,
) -> bytes:
    """Return a request as it goes over the wire."""
    lines = [f'{method} {path} HTTP/1.1', 'Host: x']
    lines.append(f'Content-Length: {len(body)}')
    if caller is not None:
        lines.append(f'Authorization: Bearer {caller}')
    lines += [
        f'{name.replace("_", "-")}: {text}' for name, text in headers.items()
    ]
    return b'\r\n'.join((*map(str.encode, lines), b'', body))


def chat_bytes(prompt: str = 'who?', stream: bool = False, **options) -> bytes:
    """Return a chat request."""
    document = {
        'model': 'roster',
        'messages': [{'role': 'user', 'content': prompt}],
        'stream': stream,
    }
    return request_bytes(body=json.dumps(document).encode(), **options)


def prompt_of(request: bytes) -> str:
    """Return the prompt of a chat request that an upstream got."""
    body = request.partition(b'\r\n\r\n')[2]
    return json.loads(body)['messages'][0]['content']


def newer(revision: Revision, **changes) -> Revision:
    """Return the next revision with a changed manifest."""
    document = {**MANIFEST, **changes}
    manifest = parse_manifest(json.dumps(document))
    return replace(
        revision,
        revision=revision.revision + 1,
        manifest=manifest,
    )
