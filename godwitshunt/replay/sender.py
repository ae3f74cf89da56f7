"""Open-loop sending of a trace: each request at its time, come what may.

A sender that waited for answers before it sent on would send less to a slow
system and hide its slowness (coordinated omission). So times are counted from
the stated arrival.
"""

import asyncio
import json
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Self

from result import Err, Ok, Result

from godwitshunt.exchange.relay import FINAL_EVENT
from godwitshunt.exchange.upstream_call import UpstreamCall
from godwitshunt.exchange.upstream_messages import (
    AnswerHead,
    BrokenAnswerError,
    ConnectFailed,
    OutgoingRequest,
)
from godwitshunt.exchange.upstream_pool import UpstreamPool
from godwitshunt.replay.prompts import chat_body
from godwitshunt.replay.results import Ending, Sample
from godwitshunt.replay.traces import TraceRequest
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics

OK_STATUS = 200
MILLISECONDS = 1000
GRACE_S = 2.0
DIRECTORY_TIMEOUT_S = 5.0
DIRECTORY_PERIOD_S = 2.0
FIRST_REFRESHES = 20
FIRST_PAUSE_S = 0.5
TAIL_BYTES = 64
BROKEN = (OSError, BrokenAnswerError)
# TimeoutError is an OSError; wrong JSON and a wrong address are ValueErrors.
NO_DIRECTORY = (*BROKEN, LookupError, ValueError)


@dataclass(frozen=True)
class DirectoryFailed:
    """No known entry VM gave a directory for a caller."""

    caller: str
    reason: str


@dataclass(frozen=True)
class Directory:
    """What ``GET /v1/entries`` told a caller."""

    entries: tuple[Address, ...]
    key_stamp: str | None = None

    @classmethod
    def from_document(cls, document: dict) -> Self:
        """Read the directory's answer."""
        return cls(
            tuple(Address(**entry['address']) for entry in document['entries']),
            document.get('key_stamp'),
        )


@dataclass
class Sender:
    """Sends the requests of a trace.

    Parameters
    ----------
    known : dict of str to tuple of Address
        Entry VMs to ask for the directory, by region; the key ``''`` holds
        those of callers whose region has none.
    keys : dict of str to str
        Each caller's key.
    noticed : callable
        Called at the end of each request.
    """

    known: dict[str, tuple[Address, ...]]
    keys: dict[str, str]
    noticed: Callable[[Sample], None]
    directories: dict[str, Directory] = field(default_factory=dict)
    pool: UpstreamPool = field(default_factory=lambda: UpstreamPool(Metrics()))

    async def replay(self, trace: tuple[TraceRequest, ...]) -> list[Sample]:
        """Send a trace; return every sample in the trace's order."""
        callers = {request.caller: request.home for request in trace}
        await self.first_refresh(callers)
        refreshing = asyncio.create_task(self.refresh_often(callers))
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        tasks = []
        try:
            for number, request in enumerate(trace):
                due_s = start_s + request.arrival_s
                await asyncio.sleep(max(0.0, due_s - loop.time()))
                sending = self.send(request, number, due_s)
                tasks.append(asyncio.create_task(sending))
            return list(await asyncio.gather(*tasks))
        finally:
            refreshing.cancel()
            self.pool.close()

    async def first_refresh(self, callers: dict[str, str]) -> None:
        """Ask until every caller has a directory, for a bounded time.

        VMs that have just started do not know yet of each other.
        """
        for _ in range(FIRST_REFRESHES):
            await self.refresh(callers)
            if len(self.directories) == len(callers):
                return
            await asyncio.sleep(FIRST_PAUSE_S)

    async def refresh_often(self, callers: dict[str, str]) -> None:
        """Ask for the directories again and again, as callers do."""
        while True:
            await asyncio.sleep(DIRECTORY_PERIOD_S)
            await self.refresh(callers)

    async def refresh(self, callers: dict[str, str]) -> None:
        """Ask for every caller's directory; keep the old one on failure."""
        answers = await asyncio.gather(
            *(self.ask(caller, home) for caller, home in callers.items()),
        )
        for caller, answer in zip(callers, answers, strict=True):
            if isinstance(answer, Ok):
                self.directories[caller] = answer.ok_value

    async def ask(
        self,
        caller: str,
        home: str,
    ) -> Result[Directory, DirectoryFailed]:
        """Ask the entry VMs of a caller's region for its directory."""
        reason = 'no entry is known'
        known = self.known.get(home) or self.known.get('', ())
        for entry in known:
            try:
                async with asyncio.timeout(DIRECTORY_TIMEOUT_S):
                    return Ok(await self.ask_one(entry, caller))
            except NO_DIRECTORY as failed:
                reason = repr(failed)
        return Err(DirectoryFailed(caller, reason))

    async def ask_one(self, entry: Address, caller: str) -> Directory:
        """Ask one entry VM."""
        request = self.outgoing('GET', '/v1/entries', caller, b'')
        opened = await self.pool.open(entry, request)
        if isinstance(opened, Err):
            raise ConnectionError(opened.err_value.reason)
        call = opened.ok_value
        try:
            await call.send(request)
            head = await call.head(request)
            body = await read_body(call)
        finally:
            call.abandon()
        if head.status != OK_STATUS:
            raise ConnectionError(f'status {head.status}')
        directory = Directory.from_document(json.loads(body))
        if not directory.entries:
            raise ConnectionError('an empty directory')
        return directory

    def outgoing(
        self,
        method: str,
        target: str,
        caller: str,
        body: bytes,
        *headers: tuple[bytes, bytes],
    ) -> OutgoingRequest:
        """Return a request of a caller."""
        key = self.keys.get(caller, '')
        return OutgoingRequest(
            method=method,
            target=target,
            headers=((b'authorization', f'Bearer {key}'.encode()), *headers),
            body=body,
            request_id=secrets.token_hex(8),
        )

    async def send(
        self,
        request: TraceRequest,
        number: int,
        due_s: float,
    ) -> Sample:
        """Send one request and return what became of it."""
        attempt = Attempt(self, request, number, due_s)
        limit_s = request.deadline_s + GRACE_S
        try:
            async with asyncio.timeout(limit_s):
                sample = await attempt.run()
        except TimeoutError:
            sample = attempt.sample(Ending.late)
        except BROKEN:
            sample = attempt.sample(Ending.broken)
        finally:
            attempt.close()
        self.noticed(sample)
        return sample


@dataclass
class Attempt:
    """One request on its way to the first entry VM of its directory."""

    sender: Sender
    request: TraceRequest
    number: int
    due_s: float
    call: UpstreamCall | None = None
    first_s: float | None = None
    head: AnswerHead | None = None
    tail: bytes = b''

    async def run(self) -> Sample:
        """Send, read to the end, and judge."""
        directory = self.sender.directories.get(self.request.caller)
        outgoing = self.outgoing(directory)
        if directory is None:
            return self.sample(Ending.refused)
        opened = await self.open(directory, outgoing)
        if isinstance(opened, Err):
            return self.sample(Ending.refused)
        self.call = opened.ok_value
        await self.call.send(outgoing)
        self.head = await self.call.head(outgoing)
        await self.read()
        return self.judge()

    async def open(
        self,
        directory: Directory,
        outgoing: OutgoingRequest,
    ) -> Result[UpstreamCall, ConnectFailed]:
        """Connect to the first entry VM that takes a connection."""
        opened = Err(ConnectFailed('no entry is known'))
        for entry in directory.entries:
            opened = await self.sender.pool.open(entry, outgoing)
            if isinstance(opened, Ok):
                break
        return opened

    def outgoing(self, directory: Directory | None) -> OutgoingRequest:
        """Return the request as it goes out."""
        request = self.request
        deadline_ms = int(request.deadline_s * MILLISECONDS)
        headers = [
            (b'content-type', b'application/json'),
            (b'godwitshunt-class', request.request_class.encode()),
            (b'godwitshunt-deadline-ms', str(deadline_ms).encode()),
        ]
        if not request.idempotent and directory is not None:
            key = f'{directory.key_stamp}.{secrets.token_hex(8)}'
            headers.append((b'idempotency-key', key.encode()))
        if request.model is not None:
            target = '/v1/chat/completions'
            body = chat_body(request, self.number)
        else:
            target = f'/services/{request.service}/records/{self.number}'
            body = b'' if request.idempotent else b'{}'
        plain_read = request.model is None and request.idempotent
        return self.sender.outgoing(
            'GET' if plain_read else 'POST',
            target,
            request.caller,
            body,
            *headers,
        )

    async def read(self) -> None:
        """Read the whole body; note the time of its first bytes."""
        while True:
            chunk = await self.call.chunk()
            if not chunk:
                return
            if self.first_s is None:
                self.first_s = self.elapsed_s()
            self.tail = (self.tail + chunk)[-TAIL_BYTES:]

    def judge(self) -> Sample:
        """Return how a whole HTTP answer counts."""
        fields = dict(self.head.headers)
        if self.head.status != OK_STATUS:
            outcome = fields.get(b'godwitshunt-outcome')
            refused = outcome == b'not-run'
            return self.sample(Ending.refused if refused else Ending.unknown)
        # A stream without its final marker is a part of an answer.
        if self.request.model and not self.tail.endswith(FINAL_EVENT):
            return self.sample(Ending.broken)
        if not self.call.release():
            return self.sample(Ending.broken)
        in_time = self.elapsed_s() <= self.request.deadline_s
        return self.sample(Ending.whole if in_time else Ending.late)

    def sample(self, ending: Ending) -> Sample:
        """Return the sample of this request."""
        answered = ending in {Ending.whole, Ending.late}
        fields = dict(self.head.headers) if self.head else {}
        return Sample(
            request=self.request,
            ending=ending,
            first_s=self.first_s if answered else None,
            total_s=self.elapsed_s() if answered else None,
            region=text(fields.get(b'godwitshunt-region')),
            entry=text(fields.get(b'godwitshunt-entry')),
        )

    def elapsed_s(self) -> float:
        """Return the seconds since the stated arrival."""
        return asyncio.get_running_loop().time() - self.due_s

    def close(self) -> None:
        """Close the connection unless it was given back."""
        if self.call is not None:
            self.call.abandon()


def text(field_value: bytes | None) -> str | None:
    """Return a header's value as text."""
    return None if field_value is None else field_value.decode()


async def read_body(call: UpstreamCall) -> bytes:
    """Return a whole body."""
    parts = []
    while True:
        chunk = await call.chunk()
        if not chunk:
            return b''.join(parts)
        parts.append(chunk)
