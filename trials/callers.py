"""Callers of a trial: they follow the directory, resend, and keep a record."""

import asyncio
import itertools
import json
import time
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum

import h11

ATTEMPT_TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 1.0
RESENDS = 6
HANG_UP_S = 0.15
RESEND_PAUSE_S = 0.3
LONGEST_PAUSE_S = 5.0
READ_BYTES = 65536
LOST = (OSError, h11.RemoteProtocolError)
DIRECTORY_LOST = (*LOST, LookupError, ValueError)


class DirectoryRefusedError(LookupError):
    """An entry VM that is not ready refused to give the list."""


class Kind(StrEnum):
    """Kinds of request in a trial."""

    chat = 'chat'
    stream = 'stream'
    look_up = 'look-up'
    filing = 'filing'


class Ending(StrEnum):
    """How one attempt ended, as the caller sees it."""

    whole = 'whole'
    not_run = 'not-run'
    unknown = 'unknown'
    broken = 'broken'


@dataclass(frozen=True)
class Attempt:
    """One attempt at one entry VM."""

    entry: str
    ending: Ending
    status: int = 0
    body: bytes = b''
    headers: dict[str, str] = field(default_factory=dict)
    elapsed_s: float = 0.0

    @property
    def pause_s(self) -> float:
        """How long to wait until the next attempt, as a refusal told."""
        told_s = float(self.headers.get('retry-after', RESEND_PAUSE_S))
        return min(told_s, LONGEST_PAUSE_S)


@dataclass
class Request:
    """One request of the trial and every attempt at it.

    Parameters
    ----------
    number : int
        Identifies the request in prompts, paths and stand-ins' records.
    caller : str
        Who sends it.
    region : str
        Where the caller stands.
    """

    number: int
    kind: Kind
    caller: str
    region: str
    key: str | None = None
    started_s: float = 0.0
    ended_s: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def prompt(self) -> str:
        """A prompt that no other request has."""
        return f'request {self.number} of {self.caller} in {self.region}'

    @property
    def path(self) -> str:
        """The HTTP path."""
        if self.kind in {Kind.chat, Kind.stream}:
            return '/v1/chat/completions'
        return f'/services/archive/certificates/{self.number}'

    @property
    def body(self) -> bytes:
        """The HTTP body."""
        match self.kind:
            case Kind.look_up:
                return b''
            case Kind.filing:
                return json.dumps({'certificate': self.number}).encode()
            case _:
                document = {
                    'model': 'review',
                    'messages': [{'role': 'user', 'content': self.prompt}],
                    'max_tokens': 12,
                    'stream': self.kind is Kind.stream,
                }
                return json.dumps(document).encode()

    @property
    def last(self) -> Attempt:
        """The attempt that decided the request."""
        return self.attempts[-1]


async def exchange(
    entry: str,
    method: str,
    path: str,
    headers: list[tuple[str, str]],
    body: bytes,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a connection of its own; return the whole answer.

    Raises
    ------
    OSError, h11.RemoteProtocolError, TimeoutError
        Where the answer did not come whole.
    """
    host, port = entry.split(':')
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
    connection = h11.Connection(h11.CLIENT)
    fields = [('Host', entry), ('Content-Length', str(len(body)))]
    fields += headers
    request = h11.Request(method=method, target=path, headers=fields)
    try:
        writer.write(wire_bytes(connection, request, body))
        return await read_answer(reader, connection)
    finally:
        writer.transport.abort()


def wire_bytes(
    connection: h11.Connection,
    request: h11.Request,
    body: bytes,
) -> bytes:
    """Return a whole request as it goes over the wire."""
    events = (request, h11.Data(data=body), h11.EndOfMessage())
    return b''.join(connection.send(event) for event in events)


async def read_answer(
    reader: asyncio.StreamReader,
    connection: h11.Connection,
) -> tuple[int, dict[str, str], bytes]:
    """Read one answer up to its proper end."""
    status = 0
    headers: dict[str, str] = {}
    body = b''
    while True:
        match connection.next_event():
            case h11.Response() as head:
                status = head.status_code
                headers = {
                    name.decode(): text.decode() for name, text in head.headers
                }
            case h11.Data(data=chunk):
                body += bytes(chunk)
            case h11.EndOfMessage():
                return status, headers, body
            case h11.NEED_DATA:
                connection.receive_data(await reader.read(READ_BYTES))
            case _:
                raise ConnectionResetError('connection ended early')


@dataclass
class TrialCaller:
    """A caller in one region.

    Parameters
    ----------
    known : tuple of str
        Entry VMs that the caller was told of once; any answers the directory.
    """

    region: str
    known: tuple[str, ...]
    entries: tuple[str, ...] = ()
    stamp: str = ''
    numbers: itertools.count = field(default_factory=itertools.count)

    async def refresh(self, caller: str) -> bool:
        """Ask for the directory; keep the old list where none answers."""
        for entry in (*self.entries, *self.known):
            try:
                document = await self.ask_directory(entry, caller)
            except DIRECTORY_LOST:
                continue
            listed = [
                '{host}:{port}'.format(**listed['address'])
                for listed in document['entries']
            ]
            self.entries = tuple(listed)
            self.stamp = document['key_stamp'] or self.stamp
            return bool(listed)
        return False

    async def ask_directory(self, entry: str, caller: str) -> dict:
        """Ask one entry VM for its list of entry VMs."""
        async with asyncio.timeout(2):
            answer = await exchange(
                entry,
                'GET',
                '/v1/entries',
                credentials(caller),
                b'',
            )
        document = json.loads(answer[2])
        if 'entries' not in document:
            raise DirectoryRefusedError(document.get('type', ''))
        return document

    async def send(self, request: Request) -> None:
        """Send a request, and again elsewhere until it is decided.

        A request that may be repeated is sent again after every failure; one
        that may not is sent again under its key, as its interface allows.
        """
        await self.refresh(request.caller)
        if request.kind is Kind.filing and request.key is None:
            request.key = f'{self.stamp}.{request.number:08x}'
        if request.kind is Kind.filing and self.entries:
            await self.send_carelessly(request)
        for turn in range(RESENDS):
            if not self.entries:
                await self.refresh(request.caller)
                await asyncio.sleep(RESEND_PAUSE_S)
                continue
            entry = self.entries[turn % len(self.entries)]
            attempt = await attempt_at(entry, request)
            request.attempts.append(attempt)
            if attempt.ending is Ending.whole:
                return
            await asyncio.sleep(attempt.pause_s)
            await self.refresh(request.caller)

    async def send_carelessly(self, request: Request) -> None:
        """Do what makes a call run twice where nothing prevents it.

        One caller in three sends to two VMs at once, as for a better time;
        one in three hangs up within the call. Both then go on as others do,
        under the same key.
        """
        match request.number % 3:
            case 0:
                attempts = await asyncio.gather(
                    attempt_at(self.entries[0], request),
                    attempt_at(self.entries[-1], request),
                )
                request.attempts += attempts
            case 1:
                hurried = attempt_at(self.entries[0], request)
                with suppress(TimeoutError):
                    await asyncio.wait_for(hurried, HANG_UP_S)
                request.attempts.append(Attempt(self.entries[0], Ending.broken))


def credentials(caller: str) -> list[tuple[str, str]]:
    """Return the header that proves a demonstration caller's key."""
    return [('Authorization', f'Bearer {caller}-key')]


async def attempt_at(entry: str, request: Request) -> Attempt:
    """Send a request to one entry VM and tell how that ended."""
    started_s = time.monotonic()
    headers = credentials(request.caller)
    headers.append(('Content-Type', 'application/json'))
    if request.key is not None:
        headers.append(('Idempotency-Key', request.key))
    method = 'GET' if request.kind is Kind.look_up else 'POST'
    try:
        async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
            status, fields, body = await exchange(
                entry,
                method,
                request.path,
                headers,
                request.body,
            )
    except LOST:
        elapsed_s = time.monotonic() - started_s
        return Attempt(entry, Ending.broken, elapsed_s=elapsed_s)
    outcome = fields.get('godwitshunt-outcome', '')
    ending = Ending.whole if status == 200 else Ending.unknown
    if status != 200 and outcome == 'not-run':
        ending = Ending.not_run
    elapsed_s = time.monotonic() - started_s
    return Attempt(entry, ending, status, body, fields, elapsed_s)
