"""Length-prefixed frames: a 4-byte big-endian length and the body."""

import asyncio
import struct

from godwitshunt.exceptions import FrameError

LENGTH = struct.Struct('>I')


def frame(body: bytes) -> bytes:
    """Prefix a body with its length.

    Examples
    --------
    >>> frame(b'ab').hex()
    '000000026162'
    """
    return LENGTH.pack(len(body)) + body


async def read_frame(reader: asyncio.StreamReader, limit_bytes: int) -> bytes:
    """Read one frame.

    Raises
    ------
    FrameError
        If the length prefix exceeds `limit_bytes`. The body is not read, so
        that an untrusted client cannot exhaust this process's memory.
    asyncio.IncompleteReadError
        If the stream ends before the frame is complete.
    """
    header = await reader.readexactly(LENGTH.size)
    length = LENGTH.unpack(header)[0]
    if length > limit_bytes:
        raise FrameError(
            f'frame of {length} bytes exceeds the limit of {limit_bytes}'
        )
    return await reader.readexactly(length)
