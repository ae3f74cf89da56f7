"""The configuration as one document, with its digest and wire format.

A manifest of 1,100 organisations is about 300 kB of JSON, while most changes
affect one entry. Sections are therefore indexed by entry name, and a delta
carries the changed entries and the digest of the document that it builds on.
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
MALFORMED_ERRORS = (LookupError, TypeError, AttributeError, ValueError)
EMPTY: Mapping[str, Any] = MappingProxyType({})


@dataclass(frozen=True)
class DocumentMalformed:
    """The bytes are not a valid document or delta."""

    reason: str


@dataclass(frozen=True)
class DigestMismatch:
    """The delta builds on another document, or its result differs."""

    expected: str
    found: str


DocumentFault = DocumentMalformed | DigestMismatch


@dataclass(frozen=True)
class Document:
    """One configuration, its sections indexed by entry name.

    Parameters
    ----------
    scalars : mapping
        Fields of the manifest that are not sections.
    sections : mapping
        Entries of each section by name, in the order of the manifest.
    """

    scalars: Mapping[str, Any] = field(default_factory=dict)
    sections: Mapping[str, Section] = field(default_factory=dict)

    def section(self, name: str) -> Section:
        """Return a section, empty if the document does not have it."""
        return self.sections.get(name, EMPTY)

    def with_section(self, name: str, entries: Section) -> 'Document':
        """Return the document with one section replaced."""
        return replace(self, sections={**self.sections, name: entries})

    def without_origin(self) -> 'Document':
        """Return the document for VMs, without the pipeline's source text.

        The source text is as long as the rest of the document. It holds keys
        of callers, which VMs do not need and which must not be sent between
        regions.
        """
        scalars = {**self.scalars, ORIGIN: ''}
        return replace(self, scalars=scalars)

    def manifest_fields(self) -> dict[str, Any]:
        """Return the fields of the manifest part."""
        return {
            **self.scalars,
            **{
                name: list(self.section(name).values())
                for name in MANIFEST_SECTIONS
            },
        }


def entry_name(section: str, entry: Entry) -> str:
    """Return the name of an entry, unique within its section."""
    if section == 'holders':
        return f'{entry["region"]}.{entry["generation"]}'
    return entry['name']


def index_by_name(section: str, entries: Iterable[Entry]) -> Section:
    """Return entries indexed by name, in the same order."""
    return {entry_name(section, entry): entry for entry in entries}


def document_of(manifest: Manifest) -> Document:
    """Return the document of a manifest, without VMs and claim holders."""
    fields = manifest.model_dump(mode='json')
    sections = {
        name: index_by_name(name, fields.pop(name))
        for name in MANIFEST_SECTIONS
    }
    return Document(fields, sections)


def canonical_json(fields: Any) -> bytes:
    """Return canonical JSON: equal fields give equal bytes."""
    return json.dumps(fields, sort_keys=True, separators=(',', ':')).encode()


def digest_of(document: Document) -> str:
    """Return the SHA-256 of the full document, in hexadecimal."""
    return hashlib.sha256(
        canonical_json(document_to_plain(document))
    ).hexdigest()


def manifest_digest_of(document: Document) -> str:
    """Return the digest of the manifest part.

    It equals `godwitshunt.manifest.manifest_digest` of the same manifest, but
    skips the model validation, which makes it cheap to check a delta.
    """
    return hashlib.sha256(
        canonical_json(document.manifest_fields())
    ).hexdigest()


def document_to_plain(document: Document) -> dict[str, Any]:
    """Return the JSON fields of the document."""
    return {
        'scalars': dict(document.scalars),
        'sections': {
            name: list(document.section(name).values()) for name in SECTIONS
        },
    }


def pack(fields: Any) -> bytes:
    """Return compressed JSON."""
    return zlib.compress(canonical_json(fields))


def unpack(body: bytes) -> Result[Any, DocumentMalformed]:
    """Read compressed JSON of at most `MAX_DOCUMENT_BYTES`."""
    stream = zlib.decompressobj()
    try:
        fields = json.loads(stream.decompress(body, MAX_DOCUMENT_BYTES))
    except (ValueError, zlib.error, RecursionError) as error:
        return Err(DocumentMalformed(repr(error)))
    if not isinstance(fields, dict):
        return Err(DocumentMalformed('not an object'))
    return Ok(fields)


def pack_document(document: Document) -> bytes:
    """Return the full document in its wire format."""
    return pack(document_to_plain(document))


def unpack_document(body: bytes) -> Result[Document, DocumentMalformed]:
    """Read a full document from its wire format."""
    match unpack(body):
        case Err(fault):
            return Err(fault)
        case Ok(fields):
            return document_from_plain(fields)


def document_from_plain(
    fields: dict[str, Any],
) -> Result[Document, DocumentMalformed]:
    """Read a document from its JSON fields."""
    try:
        sections = {
            name: index_by_name(name, fields['sections'].get(name, ()))
            for name in SECTIONS
        }
        return Ok(Document(fields['scalars'], sections))
    except MALFORMED_ERRORS as error:
        return Err(DocumentMalformed(repr(error)))


def revision_of(revision: int, document: Document) -> Revision:
    """Return the validated revision of a document.

    Raises
    ------
    pydantic.ValidationError
        If the manifest part is not a valid manifest.
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
    """Return the record of a VM from its document entry."""
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
    """Return the document entry of a VM."""
    return {
        'name': vm.name,
        'region': vm.region,
        'failure_domain': vm.failure_domain,
        'role': vm.role.value,
        'http': vm.http.model_dump(),
        'peer': vm.peer.model_dump(),
        'session': vm.session,
    }
