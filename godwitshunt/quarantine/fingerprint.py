"""Fingerprints that are equal for all repeats of a request."""

import hashlib
from dataclasses import dataclass
from typing import Self

DIGEST_BYTES = 16
LENGTH_BYTES = 8


@dataclass(frozen=True)
class Fingerprint:
    """Identifies a request by its content, equally on all VMs.

    A repeat has a new id but the same method, host, path, organisation and
    body. Requests that differ in one byte have different fingerprints.
    The organisation is included so that no organisation's requests are
    quarantined because of another's.

    Parameters
    ----------
    digest : bytes
        16 bytes of BLAKE2b (RFC 7693).

    Examples
    --------
    >>> first = Fingerprint.from_parts('POST', b'a.example', b'/x', '', b'hi')
    >>> first == Fingerprint.from_parts('POST', b'A.example', b'/x', '', b'hi')
    True
    >>> first == Fingerprint.from_parts('POST', b'a.example', b'/x', '', b'hj')
    False
    >>> len(str(first))
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
            As the caller sent it; case is ignored.
        target : bytes
            Path and query.
        organisation : str
            The organisation that sent the request; empty for none.
        """
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        parts = (
            method.encode(),
            host.lower(),
            target,
            organisation.encode(),
            body,
        )
        for part in parts:
            digest.update(len(part).to_bytes(LENGTH_BYTES, 'big'))
            digest.update(part)
        return cls(digest.digest())

    def __str__(self) -> str:
        return self.digest.hex()
