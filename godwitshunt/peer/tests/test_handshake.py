"""Handshake with unauthenticated processes, over raw frames."""

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
from godwitshunt.peer.handshake import PROTOCOL_VERSION, compute_proof, initiate
from godwitshunt.peer.tests.test_links import KIND, started_links

KEY = b'key'
NONCE = b'n' * 16
NAME = 'stranger'


@asynccontextmanager
async def recording_links(received):
    """Yield listening links that append every message to `received`."""
    async with started_links('b', KEY) as links:

        async def record(sender, body):
            received.append((sender, body))
            return body

        links.subscribe(KIND, record)
        yield links


async def connect_and_send(links, proof_of, version=PROTOCOL_VERSION):
    """Connect by raw frames and send a message right after the proof."""
    address = links.options.listen
    reader, writer = await asyncio.open_connection(address.host, address.port)
    envelope = Envelope(MessageKind.vm_heartbeat, 1, False, b'x')
    with closing(writer):
        writer.write(frame(encode(Opening(version, NONCE))))
        challenge = decode(Challenge, await read_frame(reader, 4096))
        hello = Hello(NAME, proof_of(challenge))
        writer.write(frame(encode(hello)) + frame(encode(envelope)))
        return await asyncio.wait_for(read_frame(reader, 4096), 2)


def valid_proof(challenge):
    """Return the proof of the cluster key."""
    return compute_proof(KEY, 'connecting', NAME, challenge.nonce, NONCE)


def wrong_key_proof(challenge):
    """Return a proof under another key."""
    return compute_proof(b'other', 'connecting', NAME, challenge.nonce, NONCE)


def replayed_proof(challenge):
    """Return the proof of an earlier handshake."""
    return compute_proof(KEY, 'connecting', NAME, b'o' * 16, NONCE)


def reflected_proof(challenge):
    """Return the accepting side's own proof."""
    return challenge.proof


def empty_proof(challenge):
    """Return an empty proof."""
    return b''


async def test_message_after_valid_proof_is_answered():
    """A message sent right after the proof is handled and answered."""
    received = []
    async with recording_links(received) as links:
        reply = decode(Envelope, await connect_and_send(links, valid_proof))
    assert reply.body == b'x'
    assert received == [(NAME, b'x')]


@pytest.mark.parametrize(
    'proof_of',
    [wrong_key_proof, replayed_proof, reflected_proof, empty_proof],
)
async def test_message_after_invalid_proof_is_ignored(proof_of):
    """A process without the key sends a message right after its proof.

    If it were handled, it could report false upstreams and revisions to
    control VMs.
    """
    received = []
    async with recording_links(received) as links:
        with pytest.raises((EOFError, OSError)):
            await connect_and_send(links, proof_of)
        text = links.metrics.render()
    assert b'peer_handshakes_refused_total' in text
    assert received == []


async def test_other_protocol_version_is_refused():
    """A VM still runs an older release with another handshake."""
    received = []
    async with recording_links(received) as links:
        with pytest.raises((EOFError, OSError)):
            await connect_and_send(
                links, valid_proof, version=PROTOCOL_VERSION - 1
            )
        text = links.metrics.render()
    assert b'peer_handshakes_refused_total' in text
    assert received == []


@pytest.mark.parametrize('key', [b'other', KEY])
async def test_connecting_side_sends_nothing_after_invalid_proof(key):
    """The accepting process has another key, or a proof of another nonce.

    Neither the connecting side's proof nor its first message may be sent to
    a process that took over a peer's address.
    """
    sent_bytes = bytearray()

    async def impersonate_peer(reader, writer):
        sent_bytes.extend(await read_frame(reader, 4096))
        proof = compute_proof(key, 'accepting', 'b', b'not yours', NONCE)
        challenge = Challenge(PROTOCOL_VERSION, 'b', NONCE, proof)
        opening_size = len(sent_bytes)
        writer.write(frame(encode(challenge)))
        sent_bytes.extend(await reader.read())
        assert len(sent_bytes) == opening_size
        writer.close()

    server = await asyncio.start_server(impersonate_peer, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    with pytest.raises(HandshakeError):
        await initiate(reader, writer, KEY, 'a')
    writer.close()
    server.close()
    assert (
        decode(Opening, bytes(sent_bytes)).protocol_version == PROTOCOL_VERSION
    )
