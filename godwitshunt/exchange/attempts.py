"""One attempt at one upstream or VM: sending, reading, relaying."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from types import MappingProxyType

from result import Err, Ok

from godwitshunt.exchange import messages as msg
from godwitshunt.exchange.attribution import StrayBytesError, StrayKind
from godwitshunt.exchange.outgoing import (
    RESUME_HEADER,
)
from godwitshunt.exchange.passed_headers import OWN_PREFIX, passed_on
from godwitshunt.exchange.problems import (
    OUTCOME_HEADER,
    TYPE_PREFIX,
    Headers,
    Outcome,
    Problem,
    ProblemKind,
    WholeAnswer,
)
from godwitshunt.exchange.relay import (
    EVENT_STREAM,
    EventSplitter,
    StreamPipe,
)
from godwitshunt.exchange.requests import AnswerWriter
from godwitshunt.exchange.upstream_call import UpstreamCall
from godwitshunt.exchange.upstream_messages import (
    REQUEST_ID,
    AnswerHead,
    BrokenAnswerError,
    OutgoingRequest,
)
from godwitshunt.exchange.upstream_pool import UpstreamPool
from godwitshunt.routing.messages import Forward
from godwitshunt.settings import Address

OK = 200
# VMs tell each second that they work on a forwarded request.
SIGN_OF_LIFE_S = 1.0
SILENCE_S = 3.5
TRANSIENT = frozenset((502, 503, 504))
NOT_TOLD = frozenset((RESUME_HEADER, REQUEST_ID, b'godwitshunt-entry'))
CARRIAGE_RETURN = b'\r'
KIND_BY_TYPE = MappingProxyType(
    {TYPE_PREFIX + kind.slug: kind for kind in ProblemKind},
)


class OwnEvents(EventSplitter):
    """Cuts a stream into whole events, and refuses another answer in it.

    An upstream may write a late second answer within a chunk of a stream. The
    lines of its head end with a carriage return, those of events do not.
    """

    def take(self, chunk: bytes) -> bytes:
        """Return the whole events that end in this chunk.

        Raises
        ------
        StrayBytesError
            Where the chunk may contain another answer.
        """
        if CARRIAGE_RETURN in chunk:
            raise StrayBytesError(
                StrayKind.embedded, 'an answer within a stream'
            )
        return super().take(chunk)


@dataclass
class Attempt:
    """One sending of a request.

    Parameters
    ----------
    target : Serve or Forward
        Where it goes.
    address : Address
        The target's address.
    request : OutgoingRequest
        What is sent.
    served : tuple of (bytes, bytes)
        Headers that tell the caller who served.
    streams : bool
        False where an answer is read whole even if it is a stream, since it
        has to be kept.
    repeatable : bool
        True where an upstream's transient error is answered by a retry.
    answer_bytes : int
        Longest answer that is read whole.
    resume_offset : int
        Whole events that the caller already has.
    is_named : bool
        True where the answer repeats the id of the request.
    """

    target: msg.Target
    address: Address
    request: OutgoingRequest
    served: Headers
    streams: bool
    repeatable: bool
    answer_bytes: int
    resume_offset: int = 0
    call: UpstreamCall | None = None
    head: AnswerHead | None = None
    events: EventSplitter = field(default_factory=OwnEvents)
    is_named: bool = False

    @property
    def is_forward(self) -> bool:
        """True where the target is a VM, which answers a request once."""
        return isinstance(self.target, Forward)

    async def dispatch(self, pool: UpstreamPool) -> msg.Event:
        """Send the request; read the head, and the body where unary."""
        match await pool.open(self.address, self.request):
            case Err(failed):
                return msg.AttemptFailed(sent=False, reason=failed.reason)
            case Ok(call):
                self.call = call
        try:
            await self.call.send(self.request)
            self.head = await self.call.head(
                self.request,
                self.longest_silence_s(),
            )
            self.check_named(self.head)
            return await self.hear_head(self.head)
        except (BrokenAnswerError, ConnectionError) as broken:
            self.cancel()
            return msg.AttemptFailed(sent=True, reason=str(broken))

    def longest_silence_s(self) -> float | None:
        """Return how long a VM may be silent before its answer.

        A frozen VM keeps its connections open; one notices by callers that
        wait for their whole deadline. A call that may not be repeated waits
        on: given up, its answer would be lost with no other try allowed.
        """
        if self.repeatable and self.is_forward:
            return SILENCE_S
        return None

    def check_named(self, head: AnswerHead) -> None:
        """Refuse an answer without an id where it may be another one's.

        An upstream may answer a request twice, the second time late.
        """
        self.is_named = REQUEST_ID in dict(head.headers)
        is_shared = self.call.use.is_shared
        if is_shared and not (self.is_named or self.is_forward):
            raise self.call.stray_error(
                StrayKind.unnamed, 'an answer without id on a reused connection'
            )

    async def hear_head(self, head: AnswerHead) -> msg.Event:
        """Decide by the head how the body is read."""
        if self.streams and is_event_stream(head):
            self.check_stream(head)
            self.events.delivered = self.resume_offset
            return msg.HeadArrived()
        body = await self.read_whole()
        if self.is_forward:
            told = read_refusal(head, body)
            if told is not None:
                return told
        if self.repeatable and head.status in TRANSIENT:
            return msg.AttemptFailed(sent=True, reason=f'status {head.status}')
        answer = WholeAnswer(head.status, self.told_headers(head), body)
        return msg.AnswerArrived(answer)

    def check_stream(self, head: AnswerHead) -> None:
        """Refuse a stream that is not chunked, or goes on at another event.

        Bytes of another answer within a chunked stream break its chunks; with
        a length they would be taken for events. An engine that ignores the
        offset would start anew, and the caller would get the beginning twice.
        The engine repeats the offset that it resumes at, and only that is
        believed.
        """
        if (b'transfer-encoding', b'chunked') not in head.headers:
            raise BrokenAnswerError('a stream that is not chunked')
        if not self.resume_offset:
            return
        told = dict(head.headers).get(RESUME_HEADER)
        if told != str(self.resume_offset).encode():
            raise BrokenAnswerError('resumed at another offset')

    async def read_whole(self) -> bytes:
        """Return the whole body, bounded, its length checked by h11."""
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
        if not self.release():
            raise BrokenAnswerError('more came than the answer')
        body = b''.join(parts)
        self.call.check_body(body, (REQUEST_ID,))
        return body

    def release(self) -> bool:
        """Give the connection back; False where more than the answer came.

        A connection is used again only where its answers repeat their ids:
        a late second answer without one would be taken for that of the next
        request.
        """
        if self.is_named or self.is_forward:
            return self.call.release()
        received = self.call.channel.received
        surplus = self.call.connection.trailing_data[0] or received
        self.call.abandon()
        return not surplus

    async def relay(
        self,
        writer: AnswerWriter,
        on_begun: Callable[[], None],
    ) -> msg.Event:
        """Pass a stream on to the caller as it comes, until it ends."""
        pipe = StreamPipe(
            call=self.call,
            writer=writer,
            status=self.head.status,
            headers=self.told_headers(self.head),
            events=self.events,
            longest_event=self.answer_bytes,
            on_begun=on_begun,
        )
        pipe.open()
        try:
            fault = await pipe.done
        finally:
            pipe.close()
        if fault is None:
            self.release()
            return msg.StreamEnded()
        self.cancel()
        return msg.StreamBroke(self.events.delivered, writer.begun, fault)

    def told_headers(self, head: AnswerHead) -> Headers:
        """Return the head's headers as the caller gets them.

        Only this system's own VMs may tell who served; the same names from
        an upstream are dropped, so that none can claim another's place.
        """
        headers = passed_on(head.headers)
        if self.is_forward:
            headers = (*headers, *own_headers(head.headers))
        return (*headers, *self.served)

    def cancel(self) -> None:
        """Close the connection where it is still this attempt's."""
        if self.call is not None:
            self.call.abandon()


def is_event_stream(head: AnswerHead) -> bool:
    """Tell whether an answer is a stream of events."""
    kind = dict(head.headers).get(b'content-type', b'')
    return head.status == OK and kind.startswith(EVENT_STREAM)


def own_headers(headers: Headers) -> Headers:
    """Return the headers that a VM of this system told a caller."""
    return tuple(
        (name, content)
        for name, content in headers
        if name.startswith(OWN_PREFIX) and name not in NOT_TOLD
    )


def read_refusal(head: AnswerHead, body: bytes) -> msg.Event | None:
    """Return what a VM's refusal means; None for an upstream's answer.

    VMs drop the outcome header from answers of upstreams, so where it is
    present the VM itself speaks.
    """
    outcome = dict(head.headers).get(OUTCOME_HEADER)
    if outcome is None:
        return None
    problem = read_problem(body)
    if outcome == Outcome.not_run.value.encode():
        return msg.NotRunTold(problem)
    return msg.AttemptFailed(sent=True, reason=problem.kind.slug)


def read_problem(body: bytes) -> Problem:
    """Return the problem in a refusal of another VM."""
    try:
        document = json.loads(body)
    except ValueError:
        document = None
    if not isinstance(document, dict):
        return Problem(ProblemKind.upstream_broken, 'a malformed refusal')
    kind = KIND_BY_TYPE.get(document.get('type'), ProblemKind.upstream_broken)
    retry_after_s = document.get('retry_after_s')
    if not isinstance(retry_after_s, int | float):
        retry_after_s = None
    return Problem(
        kind,
        str(document.get('detail', '')),
        retry_after_s=retry_after_s,
    )
