"""Bad input at the caller's border: typed, counted, harmless to others."""

import asyncio
import json

import pytest

from godwitshunt.exchange.tests.fakes import (
    chat_bytes,
    raw,
    request_bytes,
    started_vm,
)

TIMEOUT_S = 0.15


def post(rest: bytes) -> bytes:
    """Return a request whose later part is given."""
    return b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n%s' % rest


FRAMING = [
    (b'GARBAGE\r\n\r\n', 'malformed'),
    (b'GET / HTTP/1.0\r\n\r\n', 'http-version'),
    (b'GET / HTTP/1.1\r\nno colon\r\n\r\n', 'malformed'),
    (b'GET / HTTP/1.1\r\nHost : x\r\n\r\n', 'malformed'),
    (b'GET / HTTP/1.1\r\n\r\n', 'malformed'),
    (b'CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n', 'malformed'),
    (b'GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n', 'malformed'),
    (
        post(b'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd'),
        'ambiguous-length',
    ),
    (post(b'Content-Length: 3, 4\r\n\r\nabcd'), 'ambiguous-length'),
    (post(b'Content-Length: -3\r\n\r\n'), 'ambiguous-length'),
    (
        post(
            b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
        ),
        'ambiguous-length',
    ),
    (post(b'Transfer-Encoding: gzip\r\n\r\n'), 'malformed'),
    (post(b'Transfer-Encoding: chunked\r\n\r\nzz\r\n'), 'malformed'),
    (post(b'X: %s' % (b'a' * 4000)), 'header-too-large'),
    (post(b'Content-Length: 9999\r\n\r\n'), 'body-too-large'),
    (
        post(
            b'Transfer-Encoding: chunked\r\n\r\n800\r\n%s' % (b'a' * 2048),
        ),
        'body-too-large',
    ),
    (b'GET / HT', 'read-timeout'),
    (post(b'Content-Length: 9\r\n\r\nhalf'), 'read-timeout'),
]


@pytest.mark.parametrize(('sent', 'kind'), FRAMING)
async def test_wrong_framing_is_refused_and_the_connection_closed(sent, kind):
    """A broken or hostile client sends what two servers may read differently.

    It gets one typed answer and a closed connection. Without that, a hidden
    second request could run in another caller's name.
    """
    async with started_vm(
        header_bytes=1024,
        body_bytes=1024,
        read_timeout_s=TIMEOUT_S,
    ) as vm:
        reply = await raw(vm.address, sent)
        assert (reply.kind, reply.outcome) == (kind, 'unknown')
        assert reply.headers['connection'] == 'close'
        assert vm.count(f'http_refused_total{{kind="{kind}"}} 1')
        other = await raw(vm.address, request_bytes('GET', '/healthz'))
        assert other.status == 200


GOOD = json.loads(chat_bytes().partition(b'\r\n\r\n')[2])
ANNOUNCEMENT = {
    'incarnation': 1,
    'sequence': 1,
    'service': 'chat',
    'address': {'host': '127.0.0.1', 'port': 9},
}


def chat(**changes) -> bytes:
    """Return a chat request with changed fields."""
    return request_bytes(body=json.dumps({**GOOD, **changes}).encode())


def announce(name: str = 'a', token: str = 'token', **changes) -> bytes:
    """Return an announcement with changed fields."""
    body = json.dumps({**ANNOUNCEMENT, **changes}).encode()
    return request_bytes('PUT', f'/v1/upstreams/{name}', body, token)


CONTENT = [
    (chat_bytes(caller=None), 401, 'unauthorized', 'not-run'),
    (chat_bytes(caller='stranger'), 401, 'unauthorized', 'not-run'),
    (
        chat_bytes(caller='stranger', Idempotency_Key='k'),
        401,
        'unauthorized',
        'unknown',
    ),
    (request_bytes(body=b'{"model"'), 400, 'invalid-document', 'not-run'),
    (request_bytes(body=b'[]'), 400, 'invalid-document', 'not-run'),
    (chat(messages=[]), 400, 'invalid-document', 'not-run'),
    (chat(max_tokens='many'), 400, 'invalid-document', 'not-run'),
    (chat(model='other'), 404, 'not-found', 'not-run'),
    (
        chat_bytes(Godwitshunt_Class='fast'),
        400,
        'invalid-document',
        'not-run',
    ),
    (
        chat_bytes(Godwitshunt_Deadline_Ms='soon'),
        400,
        'invalid-document',
        'not-run',
    ),
    (chat_bytes(Godwitshunt_Forward='e30='), 403, 'forbidden', 'not-run'),
    (chat_bytes(Godwitshunt_Forward='%%%'), 403, 'forbidden', 'not-run'),
    (chat_bytes(), 503, 'no-upstream', 'not-run'),
    (request_bytes('GET', '/elsewhere'), 404, 'not-found', 'not-run'),
    (
        request_bytes('GET', '/v1/chat/completions'),
        405,
        'method-not-allowed',
        'not-run',
    ),
    (request_bytes('GET', '/services/chat/x'), 404, 'not-found', 'not-run'),
    (request_bytes('POST', '/services/pages/x'), 400, 'key-missing', 'not-run'),
    (
        request_bytes('POST', '/services/pages/x', Idempotency_Key='mine'),
        400,
        'key-malformed',
        'not-run',
    ),
    (
        request_bytes('POST', '/services/pages/x', Idempotency_Key='k' * 300),
        400,
        'key-malformed',
        'unknown',
    ),
    (request_bytes('POST', '/v1/entries'), 405, 'method-not-allowed', None),
    (
        request_bytes('GET', '/v1/entries', caller='x'),
        401,
        'unauthorized',
        None,
    ),
    (announce(token='wrong'), 401, 'unauthorized', 'not-run'),
    (announce(colour='red'), 400, 'invalid-document', 'not-run'),
    (announce(sequence=-1), 400, 'invalid-document', 'not-run'),
    (announce(name='../x'), 404, 'not-found', 'not-run'),
    (
        request_bytes('DELETE', '/v1/upstreams/a', caller='token'),
        400,
        'invalid-document',
        'not-run',
    ),
    (
        request_bytes('GET', '/v1/upstreams/a', caller='token'),
        405,
        'method-not-allowed',
        'not-run',
    ),
]


@pytest.mark.parametrize(('sent', 'status', 'kind', 'outcome'), CONTENT)
async def test_wrong_content_is_refused_with_its_own_type(
    sent,
    status,
    kind,
    outcome,
):
    """A client's mistake is named, with the field and what was expected."""
    async with started_vm() as vm:
        reply = await raw(vm.address, sent)
        assert (reply.status, reply.kind) == (status, kind)
        assert outcome in {None, reply.outcome}
        assert reply.whole
        assert not vm.membership.announced


async def test_right_announcements_are_taken():
    """An upstream that follows the interface is known from then on."""
    async with started_vm() as vm:
        reply = await raw(vm.address, announce('engine-1', leaving=True))
        assert json.loads(reply.body) == {'lease_s': 2.5}
        path = '/v1/upstreams/engine-1?incarnation=4'
        gone = request_bytes('DELETE', path, caller='token')
        assert (await raw(vm.address, gone)).status == 200
        (name, announced), departed = vm.membership.announced
        assert (name, announced.leaving) == ('engine-1', True)
        assert departed == ('engine-1', 4)


async def test_connections_beyond_the_limit_are_told_so():
    """A client opens connections without end; it must not use up memory."""
    async with started_vm(connections=2) as vm:
        host, port = vm.address.host, vm.address.port
        held = [await asyncio.open_connection(host, port) for _ in range(2)]
        await asyncio.sleep(0)
        reply = await raw(vm.address, request_bytes('GET', '/healthz'))
        assert (reply.status, reply.kind) == (503, 'too-many-connections')
        for _, writer in held:
            writer.close()


async def test_directory_lists_entries_with_a_stamp_for_keys():
    """A caller learns where to go and how to make keys."""
    async with started_vm() as vm:
        reply = await raw(vm.address, request_bytes('GET', '/v1/entries'))
        document = json.loads(reply.body)
        assert [entry['name'] for entry in document['entries']] == ['k1']
        assert document['key_stamp'].startswith('kochi.')
        assert document['ttl_s'] > 0


@pytest.mark.parametrize(
    ('path', 'status'),
    [('/healthz', b'200'), ('/nowhere', b'404')],
)
async def test_head_gets_a_head_only(path, status):
    """A watcher asks by HEAD; a body would be read as the next answer."""
    async with started_vm() as vm:
        address = vm.address
        reader, writer = await asyncio.open_connection(
            address.host,
            address.port,
        )
        writer.write(request_bytes('HEAD', path))
        first = await reader.readuntil(b'\r\n\r\n')
        writer.write(request_bytes('GET', '/healthz'))
        second = await reader.readuntil(b'\r\n\r\n')
        assert (first[9:12], second[9:12]) == (status, b'200')
        writer.close()


async def test_requests_on_one_connection_get_their_own_answers_in_order():
    """A caller sends its next request before the answer has come."""
    async with started_vm() as vm:
        address = vm.address
        reader, writer = await asyncio.open_connection(
            address.host,
            address.port,
        )
        writer.write(request_bytes('GET', '/healthz') * 2)
        writer.write(request_bytes('GET', '/nowhere'))
        statuses = []
        for _ in range(3):
            head = await reader.readuntil(b'\r\n\r\n')
            statuses.append(head[9:12])
            lengths = [line for line in head.split(b'\r\n') if b'ength' in line]
            await reader.readexactly(int(lengths[0].split()[1]))
        assert statuses == [b'200', b'200', b'404']
        writer.close()
