"""The last documents, and what a VM that holds one of them still needs."""

from collections import OrderedDict
from dataclasses import dataclass, field

from godwitshunt.configuration.delta import diff
from godwitshunt.configuration.document import (
    Document,
    pack,
    pack_document,
)
from godwitshunt.configuration.gen.wire.ttypes import ConfigurationNews

KEPT_DOCUMENTS = 64
UNKNOWN_AGE_S = -1.0


@dataclass(frozen=True)
class Held:
    """A revision of the document with its digest."""

    revision: int
    digest: str
    document: Document


@dataclass
class RevisionHistory:
    """The newest document and the ones that a delta can build on.

    Documents share the entries that they have in common, so keeping the last
    `KEPT_DOCUMENTS` costs little more than keeping one.
    """

    held: OrderedDict[str, Held] = field(default_factory=OrderedDict)
    newest: Held | None = None
    bodies: dict[str, bytes] = field(default_factory=dict)

    def add(self, newest: Held) -> None:
        """Keep a newer document."""
        self.newest = newest
        self.bodies.clear()
        self.held[newest.digest] = newest
        self.held.move_to_end(newest.digest)
        while len(self.held) > KEPT_DOCUMENTS:
            self.held.popitem(last=False)

    def of_revision(self, revision: int) -> Held | None:
        """Return a kept document by its revision."""
        for held in self.held.values():
            if held.revision == revision:
                return held
        return None

    def news_for(self, digest: str, quorum_age_s: float) -> ConfigurationNews:
        """Return what a VM with the document of this digest is to be told.

        Parameters
        ----------
        digest : str
            Of the VM's document; empty where it has none.
        quorum_age_s : float
            Seconds since the last proof of a quorum; infinite for none.
        """
        age_s = quorum_age_s if quorum_age_s < float('inf') else UNKNOWN_AGE_S
        if self.newest is None:
            return ConfigurationNews(0, '', '', b'', age_s)
        base = self.held.get(digest)
        return ConfigurationNews(
            revision=self.newest.revision,
            digest=self.newest.digest,
            base_digest='' if base is None else digest,
            body=self.body_for(base),
            quorum_age_s=age_s,
        )

    def body_for(self, base: Held | None) -> bytes:
        """Return the delta or the whole document, made once for each base."""
        if base is self.newest:
            return b''
        key = '' if base is None else base.digest
        if key not in self.bodies:
            self.bodies[key] = (
                pack_document(self.newest.document)
                if base is None
                else pack(diff(base.document, self.newest.document))
            )
        return self.bodies[key]
