"""One sending of a request: to an upstream of this region, or to a VM."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err

from godwitshunt.exchange.passed_headers import passed_on
from godwitshunt.exchange.problems import (
    OUTCOME_HEADER,
    Headers,
    Outcome,
    WholeAnswer,
)
from godwitshunt.exchange.relay import EVENT_STREAM, StreamPipe
from godwitshunt.exchange.requests import AnswerWriter
from godwitshunt.exchange.upstream_messages import (
    AnswerHead,
    BrokenAnswerError,
    OutgoingRequest,
)
from godwitshunt.exchange.upstream_pool import (
    UpstreamCall,
    UpstreamPool,
)
from godwitshunt.ingress.events import NumberedEvents
from godwitshunt.ingress.header_names import HeaderNames
from godwitshunt.ingress.headers import CONNECTION_ONLY
from godwitshunt.ingress.outcomes import (
    Answered,
    AttemptOutcome,
    Failed,
    Lost,
    NotRun,
    Streamed,
)
from godwitshunt.ingress.request_trace import Stage
from godwitshunt.settings import Address

SUCCESS = range(200, 300)
MISDIRECTED = 421
# These say that the request has not run and never will; only an upstream that
# proves it may have them passed on.
PROMISES = frozenset((408, 421, 429, 503))
# An upstream's own failures that another one may not have.
SERVER_FAILURES = range(500, 600)
ARRIVED_HEADER = b'godwitshunt-arrived'
# Another VM keeps the request back, as this one would, and others will.
QUARANTINED_HEADER = b'godwitshunt-quarantined'
GAP_CHECK_S = 0.2


@dataclass(frozen=True)
class Patience:
    """How long an attempt is waited for, in seconds; None without a bound.

    Parameters
    ----------
    first_s : float or None
        Until the head of an answer, or a sign of life of a VM.
    gap_s : float or None
        Between bytes of a stream.
    """

    first_s: float | None = None
    gap_s: float | None = None


@dataclass
class Attempt:
    """One sending of a request.

    Parameters
    ----------
    names : HeaderNames
        Of what the upstream's answer tells.
    address : Address
        Where it goes.
    outgoing : OutgoingRequest
        What is sent.
    events : NumberedEvents
        Cuts a stream; knows what the caller has of earlier attempts.
    patience : Patience
        How long it is waited for.
    answer_bytes : int
        Longest answer that is read whole, and longest event.
    from_vm : bool
        True where another VM answers, which may refuse by itself.
    on_life : callable
        Told of every sign of life.
    on_begun : callable
        Told when the head of a stream goes to the caller.
    on_stage : callable
        Told of how far the request has come.
    closed : bool
        True where the other side had closed the connection, or reset it, when
        the attempt ended.
    """

    names: HeaderNames
    address: Address
    outgoing: OutgoingRequest
    events: NumberedEvents
    patience: Patience
    answer_bytes: int
    on_life: Callable[[], None]
    on_begun: Callable[[], None]
    on_stage: Callable[[Stage], None]
    from_vm: bool = False
    misdirected: bool = False
    connected: bool = False
    closed: bool = False
    call: UpstreamCall | None = None
    heard_s: float = field(default=0.0)

    async def run(
        self,
        pool: UpstreamPool,
        writer: AnswerWriter,
    ) -> AttemptOutcome:
        """Send the request and return what it came to."""
        opened = await pool.open(self.address, self.outgoing)
        if isinstance(opened, Err):
            return NotRun(f'connect: {opened.err_value.reason}')
        self.connected = True
        self.on_stage(Stage.connected)
        self.call = opened.ok_value
        try:
            return await self.converse(writer)
        except (BrokenAnswerError, ConnectionError) as broken:
            return Lost(str(broken) or repr(broken))
        finally:
            self.closed = self.call.channel.ended_by_other_side
            self.call.abandon()

    async def converse(self, writer: AnswerWriter) -> AttemptOutcome:
        """Send the request, hear the answer."""
        await self.call.send(self.outgoing)
        self.on_stage(Stage.sent)
        head = await self.call.head(self.outgoing, self.patience.first_s)
        self.on_life()
        self.on_stage(Stage.heard)
        fields = dict(head.headers)
        if self.names.not_run in fields or head.status == MISDIRECTED:
            return await self.hear_refusal(head)
        if self.from_vm and OUTCOME_HEADER in fields:
            return await self.hear_vm(head, fields)
        if head.status in SUCCESS:
            return await self.hear_success(head, fields, writer)
        return await self.hear_failure(head)

    async def hear_refusal(self, head: AnswerHead) -> AttemptOutcome:
        """Take the proof that the request did not run."""
        self.misdirected = head.status == MISDIRECTED
        await self.read_whole()
        return NotRun(f'status {head.status}', arrived=True)

    async def hear_vm(
        self,
        head: AnswerHead,
        fields: dict[bytes, bytes],
    ) -> AttemptOutcome:
        """Take another VM's own refusal."""
        body = await self.read_whole()
        reason = f'vm: {read_detail(body)}'
        if fields[OUTCOME_HEADER] == Outcome.not_run.value.encode():
            return NotRun(
                reason,
                arrived=ARRIVED_HEADER in fields,
                is_final=QUARANTINED_HEADER in fields,
            )
        return Lost(reason)

    async def hear_success(
        self,
        head: AnswerHead,
        fields: dict[bytes, bytes],
        writer: AnswerWriter,
    ) -> AttemptOutcome:
        """Pass a success on; one that no upstream signed is none."""
        if self.names.signature not in fields:
            raise BrokenAnswerError('a success without signature')
        if fields.get(b'content-encoding', b'identity') != b'identity':
            raise BrokenAnswerError('an encoded body')
        if fields.get(b'content-type', b'').startswith(EVENT_STREAM):
            return await self.relay(head, writer)
        if writer.begun:
            raise BrokenAnswerError('resumed as another kind of answer')
        body = await self.read_whole()
        return Answered(WholeAnswer(head.status, told(head), body))

    async def hear_failure(self, head: AnswerHead) -> AttemptOutcome:
        """Take an upstream's failure.

        A promise that the request did not run, without the proof of it, must
        not be passed on: the caller would send again what may have run.
        """
        body = await self.read_whole()
        if head.status in PROMISES:
            return Lost(f'status {head.status} without proof')
        answer = WholeAnswer(head.status, told(head), body)
        if head.status in SERVER_FAILURES:
            return Failed(answer)
        return Answered(answer)

    async def read_whole(self) -> bytes:
        """Return the whole body, bounded, and give the connection back."""
        parts = []
        size = 0
        while True:
            chunk = await self.call.chunk()
            if not chunk:
                break
            size += len(chunk)
            if size > self.answer_bytes:
                raise BrokenAnswerError('the answer is too long')
            parts.append(chunk)
        self.call.release()
        return b''.join(parts)

    async def relay(
        self,
        head: AnswerHead,
        writer: AnswerWriter,
    ) -> AttemptOutcome:
        """Pass a stream on as it comes, until it ends."""
        pipe = StreamPipe(
            call=self.call,
            writer=writer,
            status=head.status,
            headers=told(head),
            events=self.events,
            longest_event=self.answer_bytes,
            on_begun=self.on_begun,
            on_bytes=self.note_bytes,
        )
        self.note_bytes()
        pipe.open()
        try:
            fault = await self.wait_for_end(pipe)
        finally:
            pipe.close()
        if fault is not None:
            return Lost(fault)
        if not writer.begun:
            return Lost('a stream without events')
        self.call.release()
        return Streamed()

    def note_bytes(self) -> None:
        """Note that bytes of the stream came."""
        self.heard_s = asyncio.get_running_loop().time()
        self.on_life()

    async def wait_for_end(self, pipe: StreamPipe) -> str | None:
        """Wait until a stream ends, or has been silent for too long."""
        gap_s = self.patience.gap_s
        if gap_s is None:
            return await pipe.done
        loop = asyncio.get_running_loop()
        while not pipe.done.done():
            await asyncio.wait((pipe.done,), timeout=GAP_CHECK_S)
            if loop.time() - self.heard_s > gap_s and not pipe.done.done():
                return 'silent within a stream'
        return pipe.done.result()


def told(head: AnswerHead) -> Headers:
    """Return an answer's headers as the caller gets them."""
    return passed_on(head.headers, CONNECTION_ONLY)


def read_detail(body: bytes) -> str:
    """Return what another VM's refusal says, for logs."""
    try:
        document = json.loads(body)
        return str(document['detail'])[:200]
    except (ValueError, LookupError, TypeError):
        return 'a malformed refusal'
