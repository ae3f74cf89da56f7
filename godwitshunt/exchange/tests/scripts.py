"""What scripted upstreams do with a request: right answers and faults."""

import asyncio

from godwitshunt.exchange.tests.fakes import Upstream, field_of, prompt_of

HEAD = b'HTTP/1.1 200 OK\r\n'
STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n'
)
ID_LINE = b'Godwitshunt-Request: %s\r\n'
EVENTS = 6


def answer_to(request: bytes) -> bytes:
    """Return the only right answer to a request."""
    if b'"messages"' in request:
        return f'answer to {prompt_of(request)}'.encode()
    return b'answer to %s' % request.split(b' ', 2)[1]


def whole(request: bytes) -> bytes:
    """Return the right answer as it goes over the wire."""
    body = answer_to(request)
    head = b'%s%s' % (HEAD, repeated_id(request))
    return b'%sContent-Length: %d\r\n\r\n%s' % (head, len(body), body)


def repeated_id(request: bytes) -> bytes:
    """Return the header by which an answer names its request."""
    request_id = field_of(request, b'godwitshunt-request')
    return b'' if request_id is None else ID_LINE % request_id


def events_for(request: bytes) -> list[bytes]:
    """Return every event of the right stream."""
    prompt = prompt_of(request).encode()
    events = [b'data: %s.%d\n\n' % (prompt, index) for index in range(EVENTS)]
    return [*events, b'data: [DONE]\n\n']


def chunk(content: bytes) -> bytes:
    """Return one HTTP chunk."""
    return b'%x\r\n%s\r\n' % (len(content), content)


def stream_head(request: bytes) -> tuple[bytes, int]:
    """Return a stream's head and the offset that it starts at."""
    offset = field_of(request, b'godwitshunt-resume-offset')
    head = b'%s%s' % (STREAM_HEAD, repeated_id(request))
    if offset is None:
        return b'%s\r\n' % head, 0
    echo = b'Godwitshunt-Resume-Offset: %s\r\n\r\n' % offset
    return head + echo, int(offset)


def wants_stream(request: bytes) -> bool:
    """Tell whether a request asks for a stream."""
    return b'"stream": true' in request


async def good(upstream: Upstream, writer, request: bytes) -> None:
    """Answer as asked."""
    if not wants_stream(request):
        writer.write(whole(request))
        return
    head, offset = stream_head(request)
    writer.write(head + chunk(b''.join(events_for(request)[offset:])))
    writer.write(b'0\r\n\r\n')


async def reset(upstream: Upstream, writer, request: bytes) -> None:
    """Reset the connection."""
    writer.transport.abort()


async def short(upstream: Upstream, writer, request: bytes) -> None:
    """End before the length that was told."""
    writer.writelines((HEAD, b'Content-Length: 99\r\n\r\nanswer'))
    writer.close()


async def long(upstream: Upstream, writer, request: bytes) -> None:
    """Send more than the length that was told."""
    writer.writelines((HEAD, b'Content-Length: 6\r\n\r\nanswer and more'))


async def unsized(upstream: Upstream, writer, request: bytes) -> None:
    """Tell no length; the end of the connection may be a crash."""
    writer.writelines((HEAD, b'\r\nanswer'))
    writer.close()


async def malformed(upstream: Upstream, writer, request: bytes) -> None:
    """Answer something that is not HTTP."""
    writer.write(b'not http\r\n\r\n')


async def for_another(upstream: Upstream, writer, request: bytes) -> None:
    """Answer another request."""
    body = b'somebody else'
    writer.writelines((HEAD, b'Godwitshunt-Request: 1234\r\n'))
    writer.write(b'Content-Length: %d\r\n\r\n%s' % (len(body), body))


async def huge(upstream: Upstream, writer, request: bytes) -> None:
    """Answer more than the VM's bound."""
    writer.writelines((HEAD, b'Content-Length: 20000\r\n\r\n', b'a' * 20000))


async def busy(upstream: Upstream, writer, request: bytes) -> None:
    """Say that there is no room."""
    writer.write(b'HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy')


async def doubled(upstream: Upstream, writer, request: bytes) -> None:
    """Send the answer, and once more when nobody waits for one."""
    writer.write(whole(request))
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.write(whole(request))


async def stalled(upstream: Upstream, writer, request: bytes) -> None:
    """Send a part and then nothing."""
    if wants_stream(request):
        head, _ = stream_head(request)
        writer.write(head + chunk(events_for(request)[0]))
    else:
        writer.writelines((HEAD, b'Content-Length: 99\r\n\r\nanswer'))


async def cut_at_event(upstream: Upstream, writer, request: bytes) -> None:
    """Break a stream after two whole events."""
    head, _ = stream_head(request)
    writer.write(head + chunk(b''.join(events_for(request)[:2])))
    writer.close()


async def cut_in_event(upstream: Upstream, writer, request: bytes) -> None:
    """Break a stream within its third event."""
    head, _ = stream_head(request)
    part = b''.join(events_for(request)[:3])[:-4]
    writer.write(head + chunk(part))
    writer.close()


async def no_marker(upstream: Upstream, writer, request: bytes) -> None:
    """End a stream cleanly without its final event."""
    head, _ = stream_head(request)
    part = b''.join(events_for(request)[:2])
    writer.writelines((head, chunk(part), b'0\r\n\r\n'))


async def bad_chunk(upstream: Upstream, writer, request: bytes) -> None:
    """Send two events and then a chunk that is none."""
    head, _ = stream_head(request)
    part = b''.join(events_for(request)[:2])
    writer.writelines((head, chunk(part), b'zz\r\n'))


async def cut_before_events(upstream: Upstream, writer, request: bytes) -> None:
    """Break a stream after its head."""
    writer.write(stream_head(request)[0])
    writer.close()


async def ignores_offset(upstream: Upstream, writer, request: bytes) -> None:
    """Start a resumed stream anew."""
    content = b''.join(events_for(request))
    writer.writelines((STREAM_HEAD, b'\r\n', chunk(content), b'0\r\n\r\n'))
