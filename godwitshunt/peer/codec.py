"""Thrift compact encoding of the messages between processes."""

from typing import TypeVar

from thrift.protocol.TCompactProtocol import (
    TCompactProtocolAcceleratedFactory,
)
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from godwitshunt.exceptions import FrameError

Struct = TypeVar('Struct')

MAX_CONTAINER = 65536
MAX_STRING_BYTES = 8 * 1024 * 1024
MALFORMED = (
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
    container_length_limit=MAX_CONTAINER,
    fallback=True,
)


def encode(struct: object) -> bytes:
    """Return the compact encoding of a generated thrift struct."""
    buffer = TMemoryBuffer()
    struct.write(factory.getProtocol(buffer))
    return buffer.getvalue()


def decode(kind: type[Struct], body: bytes) -> Struct:
    """Read a generated thrift struct.

    Raises
    ------
    FrameError
        Where the bytes are not a whole, bounded encoding of `kind`.
    """
    message = kind()
    try:
        message.read(factory.getProtocol(TMemoryBuffer(body)))
    # Malformed input surfaces from the library as many exception types; all
    # of them mean the same to the sender: the frame cannot be decoded.
    except MALFORMED as bad:
        raise FrameError(f'{kind.__name__}: {bad!r}') from None
    return message
