"""Mutual proof of the cluster key before the first message.

Each side proves the key over both nonces, so that a recorded handshake cannot
be played back. The frames that follow are protected by TLS where the settings
name a certificate; without it the network between VMs must be trusted.
"""

import asyncio
import hashlib
import hmac
import secrets

from godwitshunt.exceptions import HandshakeError
from godwitshunt.peer.codec import decode, encode
from godwitshunt.peer.frames import frame, read_frame
from godwitshunt.peer.gen.wire.ttypes import Challenge, Hello, Welcome

PROTOCOL_VERSION = 1
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
    challenge = decode(
        Challenge,
        await read_frame(reader, HANDSHAKE_FRAME_BYTES),
    )
    if challenge.protocol_version != PROTOCOL_VERSION:
        raise HandshakeError(f'version {challenge.protocol_version}')
    nonce = secrets.token_bytes(NONCE_BYTES)
    hello = Hello(
        protocol_version=PROTOCOL_VERSION,
        name=name,
        nonce=nonce,
        proof=prove(key, 'connecting', name, challenge.nonce or b'', nonce),
    )
    writer.write(frame(encode(hello)))
    await writer.drain()
    welcome = decode(Welcome, await read_frame(reader, HANDSHAKE_FRAME_BYTES))
    peer_name = welcome.name or ''
    expected = prove(
        key,
        'accepting',
        peer_name,
        nonce,
        challenge.nonce or b'',
    )
    if not hmac.compare_digest(expected, welcome.proof or b''):
        raise HandshakeError('the accepting side does not know the key')
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
        Where the other side's version or proof is wrong.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    challenge = Challenge(protocol_version=PROTOCOL_VERSION, nonce=nonce)
    writer.write(frame(encode(challenge)))
    await writer.drain()
    hello = decode(Hello, await read_frame(reader, HANDSHAKE_FRAME_BYTES))
    if hello.protocol_version != PROTOCOL_VERSION:
        raise HandshakeError(f'version {hello.protocol_version}')
    peer_name = hello.name or ''
    peer_nonce = hello.nonce or b''
    expected = prove(key, 'connecting', peer_name, nonce, peer_nonce)
    if not peer_name or not hmac.compare_digest(expected, hello.proof or b''):
        raise HandshakeError('the connecting side does not know the key')
    proof = prove(key, 'accepting', name, peer_nonce, nonce)
    writer.write(frame(encode(Welcome(name=name, proof=proof))))
    await writer.drain()
    return peer_name
