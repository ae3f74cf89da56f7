"""Finding the organisation that holds a key, by the key's digest; pure."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Self

from godwitshunt.manifest import Manifest, Organisation


@dataclass(frozen=True)
class KeyRing:
    """Organisations by the digests of their keys, and by their names.

    Examples
    --------
    >>> one = Organisation(name='wards', keys_sha256=(key_digest(b'k-1'),))
    >>> ring = KeyRing.from_organisations((one,))
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
        """Make the ring of some organisations."""
        return cls(
            {
                digest: one
                for one in organisations
                for digest in one.keys_sha256
            },
            {one.name: one for one in organisations},
        )

    @classmethod
    def from_manifest(cls, manifest: Manifest) -> Self:
        """Make the ring of a manifest's organisations."""
        return cls.from_organisations(manifest.organisations)

    def find(self, key: bytes) -> Organisation | None:
        """Return who holds a key; None for nobody.

        The digest is looked up and not the key, so the time that it takes
        tells nothing of keys that are nearly right.
        """
        return self.by_digest.get(key_digest(key))

    def still_holds(self, organisation: Organisation, digest: str) -> bool:
        """Tell whether a key is still one of an organisation's."""
        found = self.by_digest.get(digest)
        return found is not None and found.name == organisation.name


def key_digest(key: bytes) -> str:
    """Return the SHA-256 of a key, in hexadecimal."""
    return hashlib.sha256(key).hexdigest()
