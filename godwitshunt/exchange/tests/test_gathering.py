"""Events of a stream are gathered without being lost or held too long.

A gathered event that is not sent when its stream ends, breaks or is given up
would be missing in the caller's answer although a resumed stream goes on
behind it.
"""

import asyncio

import h11
import pytest

from godwitshunt.exchange.relay import StreamPipe
from godwitshunt.exchange.requests import AnswerWriter
from godwitshunt.exchange.upstream_call import UpstreamCall
from godwitshunt.ingress.events import NumberedEvents

GATHER_S = 0.15
HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


class FakeChannel:
    """A connection whose writes are kept one by one."""

    def __init__(self):
        self.sends = []
        self.received = bytearray()
        self.sink = None
        self.on_writable = None
        self.ended = False
        self.ended_cleanly = False
        self.write_paused = False
        self.closed = False

    def write(self, chunk):
        self.sends.append(chunk)

    def take_received(self):
        return b''

    def resume(self):
        """Read on."""

    async def drain(self):
        """Wait for nothing."""

    def close(self):
        self.closed = True


def event(number, tail=b''):
    """Return an event as the upstream's chunk, and what comes with it."""
    body = b'id: %d\ndata: x\n\n' % number
    return b'%x\r\n%s\r\n%s' % (len(body), body, tail)


def answered():
    """Return a caller's connection on which a request was read."""
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    while connection.next_event() is not h11.NEED_DATA:
        if connection.their_state is h11.DONE:
            break
    return connection


def start():
    """Return a pipe whose upstream has sent its head."""
    source = FakeChannel()
    connection = h11.Connection(h11.CLIENT)
    request = h11.Request(method='GET', target='/', headers=[('host', 'x')])
    connection.send(request)
    connection.send(h11.EndOfMessage())
    connection.receive_data(HEAD)
    connection.next_event()
    pipe = StreamPipe(
        call=UpstreamCall(None, None, source, connection, 'GET'),
        writer=AnswerWriter(answered(), FakeChannel()),
        status=200,
        headers=(),
        events=NumberedEvents(),
        longest_event=1000,
        on_begun=lambda: None,
        gather_s=GATHER_S,
    )
    pipe.open()
    return pipe


def sent_events(pipe):
    """Return the numbers of the events in each send to the caller."""
    return [
        [int(part.split(b'\n')[0]) for part in send.split(b'id: ')[1:]]
        for send in pipe.writer.channel.sends
    ]


async def test_the_first_event_goes_out_at_once_with_the_head():
    """A held first event would make every stream later."""
    pipe = start()
    pipe.take(event(1))
    assert sent_events(pipe) == [[1]]
    assert pipe.writer.channel.sends[0].startswith(b'HTTP/1.1 200')


async def test_events_in_quick_succession_share_a_send():
    """They are sent within the time, also where nothing follows."""
    pipe = start()
    for number in (1, 2, 3, 4):
        pipe.take(event(number))
    assert sent_events(pipe) == [[1]]
    await asyncio.sleep(GATHER_S * 2)
    assert sent_events(pipe) == [[1], [2, 3, 4]]


async def test_an_event_sends_what_was_gathered_before_the_timer_does(
    monkeypatch,
):
    """Each timer would wake the process once more."""
    monkeypatch.setattr('godwitshunt.exchange.relay.TIMER_SLACK', 50)
    pipe = start()
    pipe.take(event(1))
    pipe.take(event(2))
    await asyncio.sleep(GATHER_S * 1.1)
    assert sent_events(pipe) == [[1]]
    pipe.take(event(3))
    assert sent_events(pipe) == [[1], [2, 3]]
    assert pipe.sending is None


async def test_an_event_after_a_pause_does_not_wait():
    """Gathering must not delay the events of a slow stream."""
    pipe = start()
    pipe.take(event(1))
    await asyncio.sleep(GATHER_S * 1.5)
    pipe.take(event(2))
    assert sent_events(pipe) == [[1], [2]]


async def test_the_end_does_not_wait_and_shares_its_send():
    """The upstream's slot is free: the end must be noticed at once."""
    pipe = start()
    pipe.take(event(1))
    pipe.take(event(2))
    pipe.take(event(3, b'0\r\n\r\n'))
    assert pipe.done.result() is None
    await pipe.writer.finish()
    assert sent_events(pipe) == [[1], [2, 3]]
    assert pipe.writer.channel.sends[-1].endswith(b'0\r\n\r\n')


async def test_an_end_that_comes_in_two_parts_is_noticed():
    """A split last chunk must not keep the upstream's slot taken."""
    pipe = start()
    pipe.take(event(1))
    pipe.take(event(2, b'0\r\n'))
    pipe.take(b'\r\n')
    assert pipe.done.result() is None


async def test_gathered_events_go_out_where_the_stream_breaks():
    """A resumed stream goes on behind them: they would be missing."""
    pipe = start()
    pipe.take(event(1))
    pipe.take(event(2))
    pipe.call.channel.ended = True
    pipe.take(b'')
    assert pipe.done.result()
    assert sent_events(pipe) == [[1], [2]]


@pytest.mark.parametrize('is_cancelled', [True, False])
async def test_gathered_events_go_out_where_the_stream_is_given_up(
    is_cancelled,
):
    """The deadline passes, or the stream is silent for too long."""
    pipe = start()
    pipe.take(event(1))
    pipe.take(event(2))
    if is_cancelled:
        pipe.done.cancel()
    pipe.close()
    assert sent_events(pipe) == [[1], [2]]


async def test_a_last_event_goes_out_where_its_end_is_not_sent():
    """The deadline passes between the stream's end and the answer's."""
    pipe = start()
    pipe.take(event(1))
    pipe.take(event(2, b'0\r\n\r\n'))
    pipe.close()
    pipe.writer.break_off()
    assert sent_events(pipe) == [[1], [2]]
    assert not pipe.writer.channel.sends[-1].endswith(b'0\r\n\r\n')


async def test_gathered_bytes_are_bounded():
    """A fast upstream must not fill the memory within the time."""
    pipe = start()
    pipe.take(event(1))
    pipe.take(b''.join(map(event, range(2, 1002))))
    assert len(pipe.gathered) < 1000
    assert len(sent_events(pipe)) == 2
