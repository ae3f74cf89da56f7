"""Lookup of an organisation by the digest of its key; no I/O."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Self

from godwitshunt.manifest import Manifest, Organisation


@dataclass(frozen=True)
class KeyRing:
    """Organisations by the digests of their keys and by name.

    Examples
    --------
    >>> wards = Organisation(name='wards', keys_sha256=(key_digest(b'k-1'),))
    >>> ring = KeyRing.from_organisations((wards,))
    >>> ring.find(b'k-1').name, ring.find(b'k-2')
    ('wards', None)
    """

    by_digest: Mapping[str, Organisation] = field(default_factory=dict)
    by_name: Mapping[str, Organisation] = field(default_factory=dict)

    @classmethod
    def from_organisations(
        cls,
        organisations: tuple[Organisation, ...],
    ) -> Self:
        """Create the key ring of some organisations."""
        return cls(
            {
                digest: organisation
                for organisation in organisations
                for digest in organisation.keys_sha256
            },
            {organisation.name: organisation for organisation in organisations},
        )

    @classmethod
    def from_manifest(cls, manifest: Manifest) -> Self:
        """Create the key ring of a manifest's organisations."""
        return cls.from_organisations(manifest.organisations)

    def find(self, key: bytes) -> Organisation | None:
        """Return the organisation that has a key; None if there is none.

        The digest is looked up instead of the key, so that the duration
        reveals nothing about keys that are almost correct.
        """
        return self.by_digest.get(key_digest(key))

    def still_holds(self, organisation: Organisation, digest: str) -> bool:
        """Return whether a key still belongs to an organisation."""
        found = self.by_digest.get(digest)
        return found is not None and found.name == organisation.name


def key_digest(key: bytes) -> str:
    """Return the SHA-256 of a key, in hexadecimal."""
    return hashlib.sha256(key).hexdigest()
