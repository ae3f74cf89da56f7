"""Strangers on the ports between VMs, byte by byte."""

import asyncio
from contextlib import asynccontextmanager, closing

import pytest

from godwitshunt.exceptions import HandshakeError
from godwitshunt.peer import MessageKind, encode
from godwitshunt.peer.codec import decode
from godwitshunt.peer.frames import frame, read_frame
from godwitshunt.peer.gen.wire.ttypes import (
    Challenge,
    Envelope,
    Hello,
    Opening,
)
from godwitshunt.peer.handshake import PROTOCOL_VERSION, greet, prove
from godwitshunt.peer.tests.test_links import KIND, started_links

KEY = b'key'
NONCE = b'n' * 16
NAME = 'stranger'


@asynccontextmanager
async def listening(heard):
    """Yield links with the key that keep every message in a list."""
    async with started_links('b', KEY) as links:

        async def keep(sender, body):
            heard.append((sender, body))
            return body

        links.subscribe(KIND, keep)
        yield links


async def introduce(links, proof_of, version=PROTOCOL_VERSION):
    """Connect with raw frames; send a message right after the proof."""
    address = links.options.listen
    reader, writer = await asyncio.open_connection(address.host, address.port)
    envelope = Envelope(MessageKind.vm_heartbeat, 1, False, b'x')
    with closing(writer):
        writer.write(frame(encode(Opening(version, NONCE))))
        challenge = decode(Challenge, await read_frame(reader, 4096))
        hello = Hello(NAME, proof_of(challenge))
        writer.write(frame(encode(hello)) + frame(encode(envelope)))
        return await asyncio.wait_for(read_frame(reader, 4096), 2)


def sound(challenge):
    """Prove the key."""
    return prove(KEY, 'connecting', NAME, challenge.nonce, NONCE)


def another_key(challenge):
    """Prove another key."""
    return prove(b'other', 'connecting', NAME, challenge.nonce, NONCE)


def played_back(challenge):
    """Give the proof of an earlier handshake, recorded on the network."""
    return prove(KEY, 'connecting', NAME, b'o' * 16, NONCE)


def reflected(challenge):
    """Give the accepting side's own proof back to it."""
    return challenge.proof


def none_at_all(challenge):
    """Give no proof."""
    return b''


async def test_who_proves_the_key_is_heard():
    """The message that goes right after the proof is answered."""
    heard = []
    async with listening(heard) as links:
        reply = decode(Envelope, await introduce(links, sound))
    assert reply.body == b'x'
    assert heard == [(NAME, b'x')]


@pytest.mark.parametrize(
    'proof_of',
    [another_key, played_back, reflected, none_at_all],
)
async def test_who_does_not_prove_the_key_is_not_heard(proof_of):
    """A stranger sends a message without waiting for an answer.

    Heard, it could tell control VMs of upstreams and revisions that are not.
    """
    heard = []
    async with listening(heard) as links:
        with pytest.raises((EOFError, OSError)):
            await introduce(links, proof_of)
        text = links.metrics.render()
    assert b'peer_handshakes_refused_total' in text
    assert heard == []


async def test_another_version_is_refused():
    """A VM runs the program of before, which shakes hands in other steps."""
    heard = []
    async with listening(heard) as links:
        with pytest.raises((EOFError, OSError)):
            await introduce(links, sound, version=PROTOCOL_VERSION - 1)
        text = links.metrics.render()
    assert b'peer_handshakes_refused_total' in text
    assert heard == []


@pytest.mark.parametrize('key', [b'other', KEY])
async def test_nothing_is_sent_to_who_does_not_prove_the_key(key):
    """Another process took a peer's address; it knows no key, or another.

    Neither the proof nor the first message may reach it.
    """
    got = bytearray()

    async def pretend(reader, writer):
        got.extend(await read_frame(reader, 4096))
        proof = prove(key, 'accepting', 'b', b'not yours', NONCE)
        challenge = Challenge(PROTOCOL_VERSION, 'b', NONCE, proof)
        opening = len(got)
        writer.write(frame(encode(challenge)))
        got.extend(await reader.read())
        assert len(got) == opening
        writer.close()

    server = await asyncio.start_server(pretend, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    with pytest.raises(HandshakeError):
        await greet(reader, writer, KEY, 'a')
    writer.close()
    server.close()
    assert decode(Opening, bytes(got)).protocol_version == PROTOCOL_VERSION
