"""One request on a connection to an upstream or another VM."""

import asyncio
import re
from collections.abc import Awaitable, Iterable
from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING, TypeVar

import h11

from godwitshunt.exchange.attribution import (
    UNFRAMED_SINGLE_USE_S,
    StrayBytesError,
    StrayKind,
    begins_answer,
    embeds_answer,
    head_embeds_answer,
    named_id,
)
from godwitshunt.exchange.channel import Channel
from godwitshunt.exchange.deadline import deadline
from godwitshunt.exchange.requests import SLICE_BYTES
from godwitshunt.exchange.upstream_connection import ConnectionUse, new_parser
from godwitshunt.exchange.upstream_messages import (
    IDLE_LIMIT_S,
    REQUEST_ID,
    AnswerHead,
    BrokenAnswerError,
    OutgoingRequest,
    Place,
    check_answer,
    is_of_another,
    named_request,
    states_end,
    told_idle_limit_s,
)

if TYPE_CHECKING:
    from godwitshunt.exchange.upstream_pool import UpstreamPool

Received = TypeVar('Received')

BODYLESS_METHODS = frozenset(('GET', 'HEAD', 'DELETE'))
# Answers to other requests that are read past at most.
MAX_SKIPPED = 4
# An upstream that has answered, and takes nothing more of the request for this
# long, does not want the rest.
UNREAD_AFTER_S = 0.3
FINAL_STATUS = re.compile(rb'HTTP/1\.[01] [2-5]')
# Informational answers that are read before an answer: so many at once, and so
# many more each second.
INFORMATIONAL_BURST = 100
INFORMATIONAL_PER_S = 20
# Time for an answer to follow one to another request on a new connection.
FOREIGN_WAIT_S = 1.0


@dataclass
class UpstreamCall:
    """One request on one connection, and its answer.

    Parameters
    ----------
    pool : UpstreamPool
        Where the connection is given back.
    place : Place
        Who answers.
    channel, connection : Channel, h11.Connection
        The connection and its parser.
    method : str
        The request's method.
    id_header : bytes
        Header that carries the request's id.
    use : ConnectionUse
        How the connection has been used.
    is_unframed : bool
        True where the answer has neither a length nor chunks.
    surplus : bytes
        What came beyond the answer.
    """

    pool: 'UpstreamPool'
    place: Place
    channel: Channel
    connection: h11.Connection
    method: str
    id_header: bytes = REQUEST_ID
    use: ConnectionUse = field(default_factory=ConnectionUse)
    released: bool = False
    whole: bool = False
    is_unframed: bool = False
    surplus: bytes = b''
    idle_limit_s: float = IDLE_LIMIT_S

    async def send(self, request: OutgoingRequest) -> None:
        """Write the request, to its end unless it is answered before."""
        headers = [
            (b'host', request.host or str(self.place.address).encode()),
            *request.headers,
            (request.id_header, request.request_id.encode()),
        ]
        if request.body or request.method not in BODYLESS_METHODS:
            length = str(len(request.body)).encode()
            headers.append((b'content-length', length))
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=headers,
        )
        parts = [self.connection.send(head)]
        if len(request.body) > SLICE_BYTES:
            self.channel.write(parts.pop())
            if not await self.send_slices(request.body):
                return
        elif request.body:
            parts.append(self.connection.send(h11.Data(data=request.body)))
        parts.append(self.connection.send(h11.EndOfMessage()))
        self.channel.write(b''.join(parts))
        await self.channel.drain()

    async def send_slices(self, body: bytes) -> bool:
        """Write a long body as fast as the upstream reads.

        In one piece it would be copied to the send buffer, and be held twice.

        Returns
        -------
        bool
            False where the upstream has answered and does not read the rest.
        """
        for start in range(0, len(body), SLICE_BYTES):
            data = body[start : start + SLICE_BYTES]
            self.channel.write(self.connection.send(h11.Data(data=data)))
            if not await self.drain():
                return False
        return True

    async def drain(self) -> bool:
        """Wait until a part of the body is taken; False for an early answer.

        Raises
        ------
        ConnectionResetError
            Where the upstream is gone without an answer.
        """
        if not self.channel.write_paused:
            await self.channel.drain()
            return True
        draining = asyncio.create_task(self.channel.drain())
        try:
            return await self.is_drained(draining)
        finally:
            draining.cancel()

    async def is_drained(self, draining: asyncio.Task[None]) -> bool:
        """Wait for a task that drains; False where an answer comes first."""
        unsent_bytes = self.channel.buffered_bytes()
        while True:
            await asyncio.wait((draining,), timeout=UNREAD_AFTER_S)
            is_answered = FINAL_STATUS.search(self.channel.received) is not None
            if draining.done():
                if not is_answered:
                    draining.result()
                return draining.exception() is None
            before_bytes = unsent_bytes
            unsent_bytes = self.channel.buffered_bytes()
            if is_answered and unsent_bytes >= before_bytes:
                return False

    async def head(
        self,
        request: OutgoingRequest,
        silence_s: float | None = None,
    ) -> AnswerHead:
        """Return the answer's head; raise where it is none or not ours.

        Parameters
        ----------
        request : OutgoingRequest
            Whose id an answer that repeats one has to repeat.
        silence_s : float or None
            Seconds without a sign of life, such as ``102 Processing``, after
            which the other side counts as gone; None waits on.
        """
        head = await self.next_head(silence_s)
        if is_of_another(head, request) and not self.use.is_shared:
            # No late answer can come here: ours may never follow.
            silence_s = min(silence_s or inf, FOREIGN_WAIT_S)
        skipped = 0
        while is_of_another(head, request) and self.may_skip(request, skipped):
            self.record_stray(StrayKind.skipped, named_request(head, request))
            await self.in_time(self.skip(request), silence_s)
            skipped += 1
            head = await self.next_head(silence_s)
        self.check_attribution(head, request)
        check_answer(head, request)
        self.idle_limit_s = told_idle_limit_s(head.headers)
        self.pool.record_received(self.place)
        return head

    def may_skip(self, request: OutgoingRequest, skipped: int) -> bool:
        """Tell whether an answer to another request may be read past.

        The end of an answer to a HEAD request cannot be told without knowing
        which request it answers.
        """
        return (
            request.repeats_id
            and skipped < MAX_SKIPPED
            and not self.use.had_head_request
        )

    def check_attribution(
        self, head: AnswerHead, request: OutgoingRequest
    ) -> None:
        """Check that an answer is known to be ours, from its head on.

        Raises
        ------
        StrayBytesError
            Where it may be, or may come to contain, an answer to a request
            that has used the connection before.
        """
        named = named_request(head, request)
        if is_of_another(head, request):
            raise self.stray_error(
                StrayKind.foreign, 'an answer to another request', named
            )
        if not request.repeats_id:
            return
        self.is_unframed = not states_end(head, request)
        if self.is_unframed:
            self.pool.use_once(self.place, UNFRAMED_SINGLE_USE_S)
        if self.use.is_shared:
            self.check_shared(head, named)

    def check_shared(self, head: AnswerHead, named: bytes | None) -> None:
        """Check an answer on a connection that other requests have used.

        Raises
        ------
        StrayBytesError
            Where an answer to one of them may be, or come to be, a part of it.
        """
        if named is None:
            raise self.stray_error(
                StrayKind.unnamed, 'an answer without id on a reused connection'
            )
        if head_embeds_answer(head.headers):
            raise self.stray_error(
                StrayKind.embedded, 'an answer within the head of another one'
            )
        if self.is_unframed:
            raise self.stray_error(
                StrayKind.unframed,
                'an answer without a length on a reused connection',
            )

    def check_body(self, body: bytes, names: Iterable[bytes]) -> None:
        """Check that a whole body contains no part of another answer.

        The connection has to be released before: what came beyond the body
        counts, and was recorded then.

        Parameters
        ----------
        body : bytes
            The body.
        names : iterable of bytes
            Headers of which an answer of the upstream has at least one.

        Raises
        ------
        StrayBytesError
            Where it may contain one.
        """
        is_shared = self.use.is_shared
        may_be_mixed = is_shared or self.is_unframed
        if may_be_mixed and embeds_answer(body, names, any_head=is_shared):
            raise self.stray_error(
                StrayKind.embedded, 'an answer within the body of another one'
            )
        if self.use.is_shared and not begins_answer(self.surplus):
            reason = 'a part of an answer beyond its end'
            raise StrayBytesError(StrayKind.surplus, reason)

    def stray_error(
        self, kind: StrayKind, reason: str, named: bytes | None = None
    ) -> StrayBytesError:
        """Record stray bytes; return the error that ends the attempt."""
        self.record_stray(kind, named)
        return StrayBytesError(kind, reason)

    def record_stray(
        self, kind: StrayKind, named: bytes | None = None, size: int = 0
    ) -> None:
        """Record bytes that belong to no waiting request."""
        self.pool.record_stray(kind, self.place, self.use, named or b'', size)

    async def next_head(self, silence_s: float | None) -> AnswerHead:
        """Return the next head that is no sign of life only."""
        event = await self.sign_of_life(silence_s)
        start_s = asyncio.get_running_loop().time()
        received = 0
        while isinstance(event, h11.InformationalResponse):
            received += 1
            passed_s = asyncio.get_running_loop().time() - start_s
            if received > INFORMATIONAL_BURST + INFORMATIONAL_PER_S * passed_s:
                raise BrokenAnswerError('informational answers without end')
            event = await self.sign_of_life(silence_s)
        if not isinstance(event, h11.Response):
            raise BrokenAnswerError('ended before an answer')
        return AnswerHead(event.status_code, tuple(event.headers))

    async def skip(self, request: OutgoingRequest) -> None:
        """Read past an answer to another request, to where ours begins.

        An upstream may answer a request twice, the second time where the
        answer to the next one is due. Given up, a request that may not be
        repeated would be lost although its own answer follows. The parser
        takes one answer to a request; so it is made anew, as after sending.
        """
        chunk = await self.chunk()
        while chunk:
            chunk = await self.chunk()
        surplus, ended = self.connection.trailing_data
        if ended or self.connection.their_state is not h11.DONE:
            raise BrokenAnswerError('an answer to another request')
        self.whole = False
        self.connection = new_parser()
        sent = h11.Request(
            method=request.method,
            target=request.target,
            headers=[(b'host', b'sent')],
        )
        self.connection.send(sent)
        self.connection.send(h11.EndOfMessage())
        if surplus:
            self.connection.receive_data(surplus)

    async def sign_of_life(self, silence_s: float | None) -> object:
        """Return the next event; raise where none comes in time."""
        return await self.in_time(self.event(), silence_s)

    async def in_time(
        self, received: Awaitable[Received], silence_s: float | None
    ) -> Received:
        """Return what is received; raise where it does not come in time."""
        if silence_s is None:
            return await received
        try:
            async with deadline(silence_s):
                return await received
        except TimeoutError:
            raise BrokenAnswerError('no sign of life') from None

    async def chunk(self) -> bytes:
        """Return the next bytes of the body; empty at its clean end."""
        while not self.whole:
            content = self.available()
            if content or self.whole:
                return content
            self.feed(await self.channel.read())
        return b''

    def available(self) -> bytes:
        """Return the part of the body that has come; note its clean end."""
        parts = []
        while not self.whole:
            event = self.next_event()
            match event:
                case h11.Data():
                    parts.append(event.data)
                case h11.EndOfMessage():
                    self.whole = True
                case h11.ConnectionClosed():
                    raise BrokenAnswerError('ended within the answer')
                case _:
                    break
        return b''.join(parts)

    async def event(self) -> object:
        """Return the next event, reading where more is needed."""
        event = self.next_event()
        while event is h11.NEED_DATA:
            self.feed(await self.channel.read())
            event = self.next_event()
        return event

    def next_event(self) -> object:
        """Return the next event, or NEED_DATA."""
        try:
            return self.connection.next_event()
        except h11.RemoteProtocolError as wrong:
            if self.use.is_shared:
                raise self.stray_error(
                    StrayKind.malformed, str(wrong)
                ) from None
            raise BrokenAnswerError(str(wrong)) from None

    def feed(self, received: bytes) -> None:
        """Take bytes of the answer; empty where the connection ended."""
        if not received:
            self.check_end()
        self.connection.receive_data(received)

    def check_end(self) -> None:
        """Raise where the connection's end cannot be an answer's end.

        An answer without a length ends where its connection ends; one whose
        connection was reset looks the same to the parser, and the caller
        would take a part for the whole.
        """
        if self.connection.their_state is h11.SEND_RESPONSE:
            raise BrokenAnswerError('ended before an answer')
        if not self.channel.ended_cleanly:
            raise BrokenAnswerError('reset within the answer')

    def release(self) -> bool:
        """Give the connection back; False where more than the answer came."""
        self.released = True
        self.channel.resume()
        trailing = self.connection.trailing_data[0]
        self.surplus = trailing + bytes(self.channel.received)
        if self.surplus:
            named = named_id(self.surplus, self.id_header)
            size = len(self.surplus)
            self.record_stray(StrayKind.surplus, named, size)
        states = (self.connection.our_state, self.connection.their_state)
        is_over = self.channel.ended or states != (h11.DONE, h11.DONE)
        if self.surplus or is_over:
            self.channel.abort()
            return not self.surplus
        self.pool.keep(self)
        return True

    def abandon(self) -> None:
        """Close the connection, unless it was given back.

        Its answer may still come; on a connection that is closed it can
        reach no other caller, and the upstream sees that nobody waits.
        """
        if not self.released:
            self.released = True
            self.channel.abort()
