"""Frames on a stream: a 4-byte big-endian length, then that many bytes."""

import asyncio
import struct

from godwitshunt.exceptions import FrameError

LENGTH = struct.Struct('>I')


def frame(body: bytes) -> bytes:
    """Return a body with its length before it.

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
        Where the announced length is above the limit. The body is not read,
        so a stranger cannot fill this process's memory.
    asyncio.IncompleteReadError
        Where the stream ends first.
    """
    header = await reader.readexactly(LENGTH.size)
    length = LENGTH.unpack(header)[0]
    if length > limit_bytes:
        raise FrameError(f'{length} bytes announced, {limit_bytes} allowed')
    return await reader.readexactly(length)
