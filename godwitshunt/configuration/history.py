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

MAX_DOCUMENTS = 64
UNKNOWN_AGE_S = -1.0


@dataclass(frozen=True)
class DocumentRevision:
    """A revision of the document with its digest."""

    revision: int
    digest: str
    document: Document


@dataclass
class RevisionHistory:
    """The newest document and the ones that a delta can build on.

    Documents share the entries that they have in common, so keeping the last
    `MAX_DOCUMENTS` costs little more than keeping one.
    """

    documents: OrderedDict[int, DocumentRevision] = field(
        default_factory=OrderedDict
    )
    newest: DocumentRevision | None = None
    bodies: dict[int, bytes] = field(default_factory=dict)

    def add(self, newest: DocumentRevision) -> None:
        """Keep a newer document."""
        self.newest = newest
        self.bodies.clear()
        self.documents[newest.revision] = newest
        while len(self.documents) > MAX_DOCUMENTS:
            self.documents.popitem(last=False)

    def make_update(
        self,
        revision: int,
        quorum_age_s: float,
    ) -> ConfigurationNews:
        """Return what a VM with a revision is to be told.

        Parameters
        ----------
        revision : int
            In force on the VM; 0 asks for the whole document.
        quorum_age_s : float
            Seconds since the last proof of a quorum; infinite for none.
        """
        age_s = quorum_age_s if quorum_age_s < float('inf') else UNKNOWN_AGE_S
        if self.newest is None:
            # A proof is worth nothing without the revision that it covers.
            return ConfigurationNews(0, '', '', b'', UNKNOWN_AGE_S, False)
        if self.newest.revision <= revision:
            known = self.newest.revision
            return ConfigurationNews(known, '', '', b'', age_s, False)
        base = self.documents.get(revision)
        return ConfigurationNews(
            revision=self.newest.revision,
            digest=self.newest.digest,
            base_digest='' if base is None else base.digest,
            body=self.body_for(base),
            quorum_age_s=age_s,
            introduce=False,
        )

    def body_for(self, base: DocumentRevision | None) -> bytes:
        """Return the delta or the whole document, made once for each base."""
        key = 0 if base is None else base.revision
        if key not in self.bodies:
            self.bodies[key] = (
                pack_document(self.newest.document)
                if base is None
                else pack(diff(base.document, self.newest.document))
            )
        return self.bodies[key]
