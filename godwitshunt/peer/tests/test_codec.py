"""Decoding of malformed messages."""

import random
from contextlib import suppress

import pytest

from godwitshunt.exceptions import FrameError
from godwitshunt.peer import decode, encode
from godwitshunt.peer.gen.wire.ttypes import Envelope, Hello

ENVELOPE = Envelope(kind=3, call=7, reply=False, body=b'x' * 40)


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'\x00\x00\x00\xff',
        b'\xff' * 64,
        encode(ENVELOPE)[:9],
        b'\x1c' * 200_000,
        b'\x19\x1c' * 200_000,
        b'\x18\xff\xff\xff\xff\x7f',
    ],
)
def test_malformed_bytes_raise_frame_error_only(body):
    """Noise, truncated messages or deep nesting are rejected or skipped.

    Any other exception would end the receiving process.
    """
    try:
        message = decode(Envelope, body)
    except FrameError:
        return
    assert message.body is None


def test_mutated_messages_raise_frame_error_only():
    """Random byte changes and truncation raise no other exception."""
    rng = random.Random(7)
    encoded = encode(Hello(name='a', proof=b'n' * 16))
    for _ in range(3000):
        body = bytearray(encoded)
        for _ in range(rng.randint(1, 4)):
            body[rng.randrange(len(body))] = rng.randrange(256)
        with suppress(FrameError):
            decode(Hello, bytes(body[: rng.randint(0, len(body))]))
