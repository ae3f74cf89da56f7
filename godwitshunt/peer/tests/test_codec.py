"""Frames that do not decode are refused, whatever their bytes."""

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
def test_bytes_that_are_no_struct(body):
    """A broken process sends noise, a part of a message, or deep nesting.

    Only its own message may be lost by it, never this process.
    """
    try:
        message = decode(Envelope, body)
    except FrameError:
        return
    assert message.body is None


def test_mutated_messages_raise_nothing_else():
    """Bits flip on the way, or a sender of another version adds fields."""
    chance = random.Random(7)
    whole = encode(Hello(name='a', proof=b'n' * 16))
    for _ in range(3000):
        body = bytearray(whole)
        for _ in range(chance.randint(1, 4)):
            body[chance.randrange(len(body))] = chance.randrange(256)
        with suppress(FrameError):
            decode(Hello, bytes(body[: chance.randint(0, len(body))]))
