"""Thrift compact encoding of messages between processes."""

from typing import TypeVar

from thrift.protocol.TCompactProtocol import (
    TCompactProtocolAcceleratedFactory,
)
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from godwitshunt.exceptions import FrameError

Struct = TypeVar('Struct')

MAX_CONTAINER_ITEMS = 65536
MAX_STRING_BYTES = 8 * 1024 * 1024
DECODE_ERRORS = (
    TException,
    ArithmeticError,
    EOFError,
    LookupError,
    MemoryError,
    RecursionError,
    TypeError,
    ValueError,
)

factory = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_STRING_BYTES,
    container_length_limit=MAX_CONTAINER_ITEMS,
    fallback=True,
)


def encode(struct: object) -> bytes:
    """Encode a generated thrift struct with the compact protocol."""
    buffer = TMemoryBuffer()
    struct.write(factory.getProtocol(buffer))
    return buffer.getvalue()


def decode(kind: type[Struct], body: bytes) -> Struct:
    """Decode a generated thrift struct.

    Raises
    ------
    FrameError
        If `body` is truncated, malformed or exceeds the size limits.
    """
    message = kind()
    try:
        message.read(factory.getProtocol(TMemoryBuffer(body)))
    # The thrift library raises many exception types for malformed input.
    except DECODE_ERRORS as error:
        raise FrameError(f'{kind.__name__}: {error!r}') from None
    return message
