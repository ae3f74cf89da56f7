"""The whole configuration as one document: digest, delta and wire form.

A manifest of 1,100 organisations is some 300 kB of JSON, while a change mostly
touches one entry. Sections are therefore kept by name, and what travels is the
changed entries over the digest of the document that they build on.
"""

import hashlib
import json
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Any

from result import Err, Ok, Result

from godwitshunt.configuration.revision import (
    HolderSet,
    Revision,
    VmRecord,
    VmRole,
)
from godwitshunt.manifest import Manifest
from godwitshunt.settings import Address

Entry = Mapping[str, Any]
Section = Mapping[str, Entry]

MANIFEST_SECTIONS = (
    'regions',
    'services',
    'models',
    'classes',
    'residency',
    'callers',
    'routes',
    'organisations',
)
EVACUATIONS = 'evacuations'
ORIGIN = 'origin'
SYSTEM_SECTIONS = ('vms', 'holders', EVACUATIONS)
SECTIONS = MANIFEST_SECTIONS + SYSTEM_SECTIONS
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
MALFORMED = (LookupError, TypeError, AttributeError, ValueError)
EMPTY: Mapping[str, Any] = MappingProxyType({})


@dataclass(frozen=True)
class DocumentMalformed:
    """Bytes that are no document or delta."""

    reason: str


@dataclass(frozen=True)
class DigestMismatch:
    """A delta that builds on another document, or gives another result."""

    expected: str
    found: str


DocumentFault = DocumentMalformed | DigestMismatch


@dataclass(frozen=True)
class Document:
    """One configuration, its sections kept by entry name.

    Parameters
    ----------
    scalars : mapping
        The manifest's fields that are no sections.
    sections : mapping
        For each section its entries by name, in the operator's order.
    """

    scalars: Mapping[str, Any] = field(default_factory=dict)
    sections: Mapping[str, Section] = field(default_factory=dict)

    def section(self, name: str) -> Section:
        """Return a section; empty where the document has none."""
        return self.sections.get(name, EMPTY)

    def with_section(self, name: str, entries: Section) -> 'Document':
        """Return the document with one section replaced."""
        return replace(self, sections={**self.sections, name: entries})

    def without_origin(self) -> 'Document':
        """Return the document as VMs need it, without the pipeline's own.

        That is as long as all the rest, and holds keys of callers, which
        no VM needs and no message between regions is to show.
        """
        scalars = {**self.scalars, ORIGIN: ''}
        return replace(self, scalars=scalars)

    def manifest_fields(self) -> dict[str, Any]:
        """Return the manifest's part as plain fields."""
        return {
            **self.scalars,
            **{
                name: list(self.section(name).values())
                for name in MANIFEST_SECTIONS
            },
        }


def entry_name(section: str, entry: Entry) -> str:
    """Return the name that an entry has within its section."""
    if section == 'holders':
        return f'{entry["region"]}.{entry["generation"]}'
    return entry['name']


def index_by_name(section: str, entries: Iterable[Entry]) -> Section:
    """Return entries by their names, in order."""
    return {entry_name(section, entry): entry for entry in entries}


def document_of(manifest: Manifest) -> Document:
    """Return the document of a manifest, without VMs and holders."""
    fields = manifest.model_dump(mode='json')
    sections = {
        name: index_by_name(name, fields.pop(name))
        for name in MANIFEST_SECTIONS
    }
    return Document(fields, sections)


def canonical(fields: Any) -> bytes:
    """Return the one byte form that equal values share."""
    return json.dumps(fields, sort_keys=True, separators=(',', ':')).encode()


def digest_of(document: Document) -> str:
    """Return the SHA-256 of the whole document, in hexadecimal."""
    return hashlib.sha256(canonical(plain(document))).hexdigest()


def manifest_digest_of(document: Document) -> str:
    """Return the digest of the manifest's part.

    It equals `godwitshunt.manifest.manifest_digest` of the same manifest and
    needs no validation, so that replicas check a delta cheaply.
    """
    return hashlib.sha256(canonical(document.manifest_fields())).hexdigest()


def plain(document: Document) -> dict[str, Any]:
    """Return the document as plain JSON fields."""
    return {
        'scalars': dict(document.scalars),
        'sections': {
            name: list(document.section(name).values()) for name in SECTIONS
        },
    }


def pack(fields: Any) -> bytes:
    """Return compressed JSON."""
    return zlib.compress(canonical(fields))


def unpack(body: bytes) -> Result[Any, DocumentMalformed]:
    """Read compressed JSON, never growing beyond `MAX_DOCUMENT_BYTES`."""
    stream = zlib.decompressobj()
    try:
        fields = json.loads(stream.decompress(body, MAX_DOCUMENT_BYTES))
    except (ValueError, zlib.error, RecursionError) as bad:
        return Err(DocumentMalformed(repr(bad)))
    if not isinstance(fields, dict):
        return Err(DocumentMalformed('not an object'))
    return Ok(fields)


def pack_document(document: Document) -> bytes:
    """Return the whole document in its wire form."""
    return pack(plain(document))


def unpack_document(body: bytes) -> Result[Document, DocumentMalformed]:
    """Read a whole document."""
    match unpack(body):
        case Err(fault):
            return Err(fault)
        case Ok(fields):
            return read_plain(fields)


def read_plain(fields: dict[str, Any]) -> Result[Document, DocumentMalformed]:
    """Read a document from plain JSON fields."""
    try:
        sections = {
            name: index_by_name(name, fields['sections'].get(name, ()))
            for name in SECTIONS
        }
        return Ok(Document(fields['scalars'], sections))
    except MALFORMED as bad:
        return Err(DocumentMalformed(repr(bad)))


def revision_of(revision: int, document: Document) -> Revision:
    """Return the revision that the parts of an entry VM use.

    Raises
    ------
    pydantic.ValidationError
        Where the manifest's part is none.
    """
    return Revision(
        revision=revision,
        digest=manifest_digest_of(document),
        manifest=Manifest.model_validate(document.manifest_fields()),
        vms=tuple(
            vm_from_entry(entry) for entry in document.section('vms').values()
        ),
        holders=tuple(
            HolderSet(
                entry['region'],
                entry['generation'],
                tuple(entry['names']),
                tuple(entry['sessions']),
            )
            for entry in document.section('holders').values()
        ),
        evacuated=frozenset(document.section(EVACUATIONS)),
    )


def vm_from_entry(entry: Entry) -> VmRecord:
    """Return a VM's record from its entry."""
    return VmRecord(
        name=entry['name'],
        region=entry['region'],
        failure_domain=entry['failure_domain'],
        role=VmRole(entry['role']),
        http=Address.model_validate(entry['http']),
        peer=Address.model_validate(entry['peer']),
        session=entry['session'],
    )


def vm_to_entry(vm: VmRecord) -> Entry:
    """Return a VM's entry for the document."""
    return {
        'name': vm.name,
        'region': vm.region,
        'failure_domain': vm.failure_domain,
        'role': vm.role.value,
        'http': vm.http.model_dump(),
        'peer': vm.peer.model_dump(),
        'session': vm.session,
    }
