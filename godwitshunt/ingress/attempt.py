"""One attempt to send a request, to an upstream or another entry VM."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err

from godwitshunt.exchange.attribution import StrayBytesError
from godwitshunt.exchange.deadline import STALL_S
from godwitshunt.exchange.passed_headers import passed_on
from godwitshunt.exchange.problems import (
    OUTCOME_HEADER,
    Headers,
    Outcome,
    WholeAnswer,
)
from godwitshunt.exchange.relay import EVENT_STREAM, StreamPipe
from godwitshunt.exchange.requests import AnswerWriter
from godwitshunt.exchange.upstream_call import UpstreamCall
from godwitshunt.exchange.upstream_messages import (
    AnswerHead,
    BrokenAnswerError,
    OutgoingRequest,
    states_end,
)
from godwitshunt.exchange.upstream_pool import UpstreamPool
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
# These statuses say that the request has not run and never will. They are
# passed on only where the upstream proves it.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Failures of one upstream that another one may not have.
SERVER_FAILURES = range(500, 600)
ARRIVED_HEADER = b'godwitshunt-arrived'
# Set where the request is quarantined at the other VM. All VMs would refuse
# it.
QUARANTINED_HEADER = b'godwitshunt-quarantined'
# Set where the other VM reaches no upstream of its region.
NO_PATHS_HEADER = b'godwitshunt-no-paths'
GAP_CHECK_PERIOD_S = 0.2
# Events of a stream are sent to the caller at most this often. Engines send one
# each 5 ms and more; each send costs a system call, a packet and the caller's
# wake-up. Nobody reads faster, and the first and the last event do not wait.
EVENT_GATHER_S = 0.02


@dataclass(frozen=True)
class ResponseTimeouts:
    """Timeouts of an attempt in seconds; None for no timeout.

    Parameters
    ----------
    first_s : float or None
        Until the head of an answer, or a keepalive of another VM.
    gap_s : float or None
        Between bytes of a stream.
    """

    first_s: float | None = None
    gap_s: float | None = None


@dataclass
class Attempt:
    """One attempt to send a request.

    Parameters
    ----------
    names : HeaderNames
        Names of the headers in the upstream's answer.
    address : Address
        Where the request is sent.
    outgoing : OutgoingRequest
        What is sent.
    events : NumberedEvents
        Splits a stream into events, across the attempts of a request.
    timeouts : ResponseTimeouts
        How long to wait for the answer.
    answer_bytes : int
        Maximum size of an answer that is read whole, and of one event.
    on_activity : callable
        Called for all received data and keepalives.
    on_begun : callable
        Called when the head of a stream is sent to the caller.
    on_stage : callable
        Called when the request reaches a stage.
    on_head : callable
        Called with the head of an answer by the upstream that the request was
        meant for.
    is_forward : bool
        True where the request goes to another entry VM, which may itself refuse
        it.
    answer_started : bool
        True where the head of an answer was received.
    ends_with_connection : bool
        True where the answer states no length and is not chunked, so that the
        end of its connection is taken for its end.
    closed_by_peer : bool
        True where the other side had closed or reset the connection when the
        attempt ended.
    """

    names: HeaderNames
    address: Address
    outgoing: OutgoingRequest
    events: NumberedEvents
    timeouts: ResponseTimeouts
    answer_bytes: int
    on_activity: Callable[[], None]
    on_begun: Callable[[], None]
    on_stage: Callable[[Stage], None]
    on_head: Callable[[AnswerHead], None]
    is_forward: bool = False
    misdirected: bool = False
    connected: bool = False
    answer_started: bool = False
    ends_with_connection: bool = False
    closed_by_peer: bool = False
    call: UpstreamCall | None = None
    last_bytes_s: float = field(default=0.0)

    async def run(
        self,
        pool: UpstreamPool,
        writer: AnswerWriter,
    ) -> AttemptOutcome:
        """Send the request and return the outcome."""
        opened = await pool.open(self.address, self.outgoing)
        if isinstance(opened, Err):
            return NotRun(f'connect: {opened.err_value.reason}')
        self.connected = True
        self.on_stage(Stage.connected)
        self.call = opened.ok_value
        held = writer.channel.held
        if held is not None:
            held.join(self.call.channel)
        try:
            return await self.send_and_receive(writer)
        except StrayBytesError as stray:
            # The upstream is not silent: an answer has come, if not ours.
            self.answer_started = True
            return Lost(str(stray))
        except (BrokenAnswerError, ConnectionError) as error:
            return Lost(str(error) or repr(error))
        finally:
            self.end_call()

    def end_call(self) -> None:
        """Close the connection, unless it was given back to the pool."""
        channel = self.call.channel
        if channel.held is not None:
            channel.held.leave(channel)
        self.closed_by_peer = channel.ended_by_other_side
        self.call.abandon()

    async def send_and_receive(self, writer: AnswerWriter) -> AttemptOutcome:
        """Send the request and receive the answer."""
        await self.call.send(self.outgoing)
        self.on_stage(Stage.sent)
        head = await self.call.head(self.outgoing, self.timeouts.first_s)
        self.answer_started = True
        self.on_activity()
        self.on_stage(Stage.answer_started)
        if head.status != MISDIRECTED:
            self.on_head(head)
        fields = dict(head.headers)
        self.ends_with_connection = not states_end(head, self.outgoing)
        if self.names.not_run in fields or head.status == MISDIRECTED:
            return await self.receive_refusal(head)
        if self.is_forward and OUTCOME_HEADER in fields:
            return await self.receive_vm_refusal(head, fields)
        if head.status in SUCCESS:
            return await self.receive_success(head, fields, writer)
        return await self.receive_failure(head, writer)

    async def receive_refusal(self, head: AnswerHead) -> AttemptOutcome:
        """Receive the proof that the request did not run."""
        self.misdirected = head.status == MISDIRECTED
        await self.read_whole()
        return NotRun(f'status {head.status}', arrived=True)

    async def receive_vm_refusal(
        self,
        head: AnswerHead,
        fields: dict[bytes, bytes],
    ) -> AttemptOutcome:
        """Receive a refusal by another entry VM."""
        body = await self.read_whole()
        reason = f'vm: {read_detail(body)}'
        if fields[OUTCOME_HEADER] == Outcome.not_run.value.encode():
            return NotRun(
                reason,
                arrived=ARRIVED_HEADER in fields,
                is_final=QUARANTINED_HEADER in fields,
                has_no_paths=NO_PATHS_HEADER in fields,
            )
        return Lost(reason, is_reported=True)

    async def receive_success(
        self,
        head: AnswerHead,
        fields: dict[bytes, bytes],
        writer: AnswerWriter,
    ) -> AttemptOutcome:
        """Receive a successful answer; stream it to the caller where it is one.

        Raises
        ------
        BrokenAnswerError
            Where the answer lacks the upstream's signature, is encoded, or is
            no stream although the caller has the start of one.
        """
        if self.names.signature not in fields:
            raise BrokenAnswerError('a success without signature')
        if fields.get(b'content-encoding', b'identity') != b'identity':
            raise BrokenAnswerError('an encoded body')
        if fields.get(b'content-type', b'').startswith(EVENT_STREAM):
            return await self.relay(head, writer)
        if writer.begun:
            raise BrokenAnswerError('resumed as another kind of answer')
        body = await self.read_whole()
        return Answered(WholeAnswer(head.status, caller_headers(head), body))

    async def receive_failure(
        self, head: AnswerHead, writer: AnswerWriter
    ) -> AttemptOutcome:
        """Receive a failure answer.

        A status that promises that the request did not run must not be passed
        on without proof: the caller would repeat a request that may have run.
        """
        body = await self.read_whole()
        if head.status in NOT_RUN_STATUSES:
            return Lost(f'status {head.status} without proof')
        answer = WholeAnswer(head.status, caller_headers(head), body)
        if head.status in SERVER_FAILURES:
            return Failed(answer)
        if writer.begun:
            return Lost(f'resumed as status {head.status}')
        return Answered(answer)

    async def read_whole(self) -> bytes:
        """Return the whole body and release the connection.

        Raises
        ------
        BrokenAnswerError
            Where the body is longer than `answer_bytes`, or may contain a part
            of another answer.
        """
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
            if self.call.channel.held is not None:
                self.call.channel.held.gather_answer(size)
        self.call.release()
        body = b''.join(parts)
        if not self.is_forward:
            names = (self.names.request_id, self.names.signature)
            self.call.check_body(body, names)
        return body

    async def relay(
        self,
        head: AnswerHead,
        writer: AnswerWriter,
    ) -> AttemptOutcome:
        """Relay a stream to the caller until it ends."""
        is_chunked = (b'transfer-encoding', b'chunked') in head.headers
        pipe = StreamPipe(
            call=self.call,
            writer=writer,
            status=head.status,
            headers=caller_headers(head),
            events=self.events,
            longest_event=self.answer_bytes,
            on_begun=self.on_begun,
            on_bytes=self.record_bytes,
            gather_s=EVENT_GATHER_S if is_chunked else 0.0,
        )
        self.record_bytes()
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

    def record_bytes(self) -> None:
        """Record that bytes of the stream were received."""
        self.last_bytes_s = asyncio.get_running_loop().time()
        self.on_activity()

    async def wait_for_end(self, pipe: StreamPipe) -> str | None:
        """Wait until a stream ends or exceeds its gap timeout."""
        gap_s = self.timeouts.gap_s
        if gap_s is None:
            return await pipe.done
        loop = asyncio.get_running_loop()
        while not pipe.done.done():
            due_s = loop.time() + GAP_CHECK_PERIOD_S
            await asyncio.wait((pipe.done,), timeout=GAP_CHECK_PERIOD_S)
            is_stalled = loop.time() - due_s > STALL_S
            if self.call.channel.read_paused or is_stalled:
                # The caller or this process is slow, not the upstream.
                self.last_bytes_s = loop.time()
            if loop.time() - self.last_bytes_s > gap_s and not pipe.done.done():
                return 'silent within a stream'
        return pipe.done.result()


def caller_headers(head: AnswerHead) -> Headers:
    """Return an answer's headers as they are sent to the caller."""
    return passed_on(head.headers, CONNECTION_ONLY)


def read_detail(body: bytes) -> str:
    """Return the detail of another VM's refusal, for logs."""
    try:
        document = json.loads(body)
        return str(document['detail'])[:200]
    except (ValueError, LookupError, TypeError):
        return 'a malformed refusal'
