"""What stays the same when a request is sent once more; pure."""

import hashlib
from dataclasses import dataclass
from typing import Self

DIGEST_BYTES = 16
LENGTH_BYTES = 8


@dataclass(frozen=True)
class Fingerprint:
    """Names a request by its content, the same on all VMs.

    A repeat has an id of its own; method, host, path, organisation and body
    are what stays. One byte of the body makes another request. A request of
    another organisation has another fingerprint, so that nobody's requests
    are kept back for what someone else sent.

    Parameters
    ----------
    digest : bytes
        16 bytes of BLAKE2b (RFC 7693).

    Examples
    --------
    >>> ask = Fingerprint.from_parts('POST', b'a.example', b'/x', '', b'hi')
    >>> ask == Fingerprint.from_parts('POST', b'A.example', b'/x', '', b'hi')
    True
    >>> ask == Fingerprint.from_parts('POST', b'a.example', b'/x', '', b'hj')
    False
    >>> len(str(ask))
    32
    """

    digest: bytes

    @classmethod
    def from_parts(
        cls,
        method: str,
        host: bytes,
        target: bytes,
        organisation: str,
        body: bytes,
    ) -> Self:
        """Return the fingerprint of a request.

        Parameters
        ----------
        host : bytes
            As the caller sent it; its case does not matter.
        target : bytes
            Path and query.
        organisation : str
            Whose request it is; empty for nobody's.
        """
        made = hashlib.blake2b(digest_size=DIGEST_BYTES)
        parts = (
            method.encode(),
            host.lower(),
            target,
            organisation.encode(),
            body,
        )
        for part in parts:
            made.update(len(part).to_bytes(LENGTH_BYTES, 'big'))
            made.update(part)
        return cls(made.digest())

    def __str__(self) -> str:
        return self.digest.hex()
