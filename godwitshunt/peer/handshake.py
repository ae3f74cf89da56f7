"""Mutual proof of the cluster key before the first message.

Each side proves the key over both nonces, so that a recorded handshake cannot
be played back. The connecting side opens and sends its first message right
after its proof: with the connection that takes three round trips to the first
reply, 0.33 s between regions that are 55 ms apart, where a challenge from the
accepting side first would take four.

The frames that follow are protected by TLS where the settings name a
certificate; without it the network between VMs must be trusted.
"""

import asyncio
import hashlib
import hmac
import secrets

from godwitshunt.exceptions import HandshakeError
from godwitshunt.peer.codec import decode, encode
from godwitshunt.peer.frames import frame, read_frame
from godwitshunt.peer.gen.wire.ttypes import Challenge, Hello, Opening

PROTOCOL_VERSION = 3
NONCE_BYTES = 16
HANDSHAKE_FRAME_BYTES = 512


def prove(key: bytes, role: str, name: str, first: bytes, then: bytes) -> bytes:
    """Return the proof that one side sends to the other."""
    text = b'\0'.join((role.encode(), name.encode(), first, then))
    return hmac.new(key, text, hashlib.sha256).digest()


async def greet(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    key: bytes,
    name: str,
) -> str:
    """Prove the key as the connecting side; return the other side's name.

    Raises
    ------
    HandshakeError
        Where the other side's version or proof is wrong.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    opening = Opening(protocol_version=PROTOCOL_VERSION, nonce=nonce)
    writer.write(frame(encode(opening)))
    challenge = decode(
        Challenge,
        await read_frame(reader, HANDSHAKE_FRAME_BYTES),
    )
    if challenge.protocol_version != PROTOCOL_VERSION:
        raise HandshakeError(f'version {challenge.protocol_version}')
    peer_name = challenge.name or ''
    peer_nonce = challenge.nonce or b''
    expected = prove(key, 'accepting', peer_name, nonce, peer_nonce)
    if not hmac.compare_digest(expected, challenge.proof or b''):
        raise HandshakeError('the accepting side does not know the key')
    proof = prove(key, 'connecting', name, peer_nonce, nonce)
    writer.write(frame(encode(Hello(name=name, proof=proof))))
    await writer.drain()
    return peer_name


async def receive(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    key: bytes,
    name: str,
) -> str:
    """Prove the key as the accepting side; return the other side's name.

    Raises
    ------
    HandshakeError
        Where the other side's version or proof is wrong, or it leaves.
    """
    opening = decode(Opening, await read_frame(reader, HANDSHAKE_FRAME_BYTES))
    if opening.protocol_version != PROTOCOL_VERSION:
        raise HandshakeError(f'version {opening.protocol_version}')
    peer_nonce = opening.nonce or b''
    nonce = secrets.token_bytes(NONCE_BYTES)
    challenge = Challenge(
        protocol_version=PROTOCOL_VERSION,
        name=name,
        nonce=nonce,
        proof=prove(key, 'accepting', name, peer_nonce, nonce),
    )
    writer.write(frame(encode(challenge)))
    try:
        hello = decode(Hello, await read_frame(reader, HANDSHAKE_FRAME_BYTES))
    except (EOFError, OSError):
        raise HandshakeError('left before it proved the key') from None
    peer_name = hello.name or ''
    expected = prove(key, 'connecting', peer_name, nonce, peer_nonce)
    if not peer_name or not hmac.compare_digest(expected, hello.proof or b''):
        raise HandshakeError('the connecting side does not know the key')
    return peer_name
