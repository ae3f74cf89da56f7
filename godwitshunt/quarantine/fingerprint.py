"""Fingerprints that are equal for all repeats of a request or prompt part."""

import hashlib
from dataclasses import dataclass
from functools import lru_cache
from typing import Self

DIGEST_BYTES = 16
LENGTH_BYTES = 8
# Distinguishes parts of prompts from contents of requests.
PART_TAG = b'part of a prompt'
CACHED_PARTS = 8192


@dataclass(frozen=True)
class Fingerprint:
    """Identifies a request, or a part of prompts, equally on all VMs.

    A request is identified by its content. A repeat has a new id but the same
    method, host, path, organisation and body. Requests that differ in one byte
    have different fingerprints. The organisation is included so that no
    organisation's requests are quarantined because of another's.

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
        return cls(
            digest_of(
                method.encode(),
                host.lower(),
                target,
                organisation.encode(),
                body,
            )
        )

    @classmethod
    @lru_cache(maxsize=CACHED_PARTS)
    def from_prompt_part(
        cls, service: str, organisation: str, key: int
    ) -> Self:
        """Return the fingerprint of a part of prompts.

        A part may crash the upstreams of one service and be answered by those
        of another. The organisation is included for the same reason as for
        requests.

        Parameters
        ----------
        key : int
            Identifies the tokens of the part.
        """
        return cls(
            digest_of(
                PART_TAG, service.encode(), organisation.encode(), b'%x' % key
            )
        )

    def __str__(self) -> str:
        return self.digest.hex()


def digest_of(*fields: bytes) -> bytes:
    """Return a digest of several fields, whose borders count."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for each in fields:
        digest.update(len(each).to_bytes(LENGTH_BYTES, 'big'))
        digest.update(each)
    return digest.digest()
