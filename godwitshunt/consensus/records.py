"""Records in a file, each with its length and checksums.

A record is a header of three little-endian 32-bit numbers (length of the
body, crc32c of the body, crc32c of the two numbers before) and the body. The
checksum of the header keeps a damaged length from passing for a short last
record, which would silently cut all records after it.

References
----------
Alagappan et al., "Protocol-Aware Recovery for Consensus-Based Storage", 2018.
"""

import struct
from dataclasses import dataclass

from crc32c import crc32c

PREFIX = struct.Struct('<II')
CHECKSUM = struct.Struct('<I')
HEADER_BYTES = PREFIX.size + CHECKSUM.size


@dataclass(frozen=True)
class Scan:
    """What the bytes of a file hold.

    Parameters
    ----------
    bodies : tuple of bytes
        Bodies of the whole records, in their order.
    good_bytes : int
        Bytes up to the end of the last whole record.
    corrupt_at : int or None
        Offset in bytes of a record whose checksum is wrong.
    """

    bodies: tuple[bytes, ...]
    good_bytes: int
    corrupt_at: int | None = None


def pack_record(body: bytes) -> bytes:
    """Return a body with its header before it.

    Examples
    --------
    >>> scan_records(pack_record(b'one') + b'torn').bodies
    (b'one',)
    """
    prefix = PREFIX.pack(len(body), crc32c(body))
    return b''.join((prefix, CHECKSUM.pack(crc32c(prefix)), body))


def scan_records(blob: bytes) -> Scan:
    """Read whole records until the end, a short record, or a corrupt one.

    A short last record was being written when the process or its VM stopped;
    it was never synced, so nobody was told of it. A whole record with a wrong
    checksum was changed after it was written, and may have been synced.
    """
    bodies: list[bytes] = []
    offset = 0
    while offset + HEADER_BYTES <= len(blob):
        length, checksum = PREFIX.unpack_from(blob, offset)
        start = offset + HEADER_BYTES
        if not is_header_whole(blob, offset):
            return Scan(tuple(bodies), offset, corrupt_at=offset)
        body = blob[start : start + length]
        if len(body) < length:
            break
        if crc32c(body) != checksum:
            return Scan(tuple(bodies), offset, corrupt_at=offset)
        bodies.append(body)
        offset = start + length
    return Scan(tuple(bodies), offset)


def is_header_whole(blob: bytes, offset: int) -> bool:
    """Tell whether the checksum of a record's header is right."""
    prefix = blob[offset : offset + PREFIX.size]
    return CHECKSUM.unpack_from(blob, offset + PREFIX.size)[0] == crc32c(prefix)
