"""Headers that go from one side of a request to the other."""

from godwitshunt.exchange.problems import Headers

# Headers that only this system's own VMs may set.
OWN_PREFIX = b'godwitshunt-'

# RFC 9110, section 7.6.1: these belong to one connection and are not passed
# on; the length is told anew, and a caller's key is none of an upstream's
# business.
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'host',
        b'authorization',
        b'expect',
    )
)


def passed_on(
    headers: Headers,
    dropped: frozenset[bytes] = HOP_BY_HOP,
) -> Headers:
    """Return the headers that go from one side to the other.

    Parameters
    ----------
    headers : tuple of (bytes, bytes)
        As they came; those that ``Connection`` names stay behind as well.
    dropped : frozenset of bytes
        Names, in small letters, of what stays behind.
    """
    named = set(dropped)
    for field_name, listed in headers:
        if field_name == b'connection':
            named.update(part.strip().lower() for part in listed.split(b','))
    return tuple(
        (name, content)
        for name, content in headers
        if name not in named and not name.startswith(OWN_PREFIX)
    )


def number(quantity: float) -> bytes:
    """Return a whole number as a header's content."""
    return str(int(quantity)).encode()
