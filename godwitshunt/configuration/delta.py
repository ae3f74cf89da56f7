"""Deltas between two documents: changed entries by section and name."""

from collections.abc import Sequence
from typing import Any

from result import Err, Ok, Result

from godwitshunt.configuration.document import (
    MALFORMED,
    SECTIONS,
    Document,
    DocumentMalformed,
    Section,
    entry_name,
    index_by_name,
)


def diff(base: Document, target: Document) -> dict[str, Any]:
    """Return what turns one document into another, as plain JSON fields.

    Examples
    --------
    >>> base = Document({'number': 1}, {'regions': {'a': {'name': 'a'}}})
    >>> target = Document({'number': 2}, base.sections)
    >>> diff(base, target)
    {'scalars': {'number': 2}, 'sections': {}}
    """
    changes = {
        name: diff_section(base.section(name), target.section(name))
        for name in SECTIONS
        if base.section(name) != target.section(name)
    }
    scalars = {
        key: scalar
        for key, scalar in target.scalars.items()
        if key not in base.scalars or base.scalars[key] != scalar
    }
    return {'scalars': scalars, 'sections': changes}


def diff_section(before: Section, after: Section) -> dict[str, Any]:
    """Return the change of one section.

    The order of entries is part of the digest. New entries carry their place;
    where entries that stay have changed their order, the whole section goes.
    """
    kept_before = [name for name in before if name in after]
    kept_after = [name for name in after if name in before]
    if kept_before != kept_after:
        return {'whole': list(after.values())}
    places = enumerate(after.items())
    return {
        'removed': [name for name in before if name not in after],
        'changed': [
            after[name] for name in kept_after if after[name] != before[name]
        ],
        'added': [
            [place, entry]
            for place, (name, entry) in places
            if name not in before
        ],
    }


def patch(
    base: Document,
    delta: dict[str, Any],
) -> Result[Document, DocumentMalformed]:
    """Apply a delta; the caller checks the digests around it."""
    try:
        sections = {
            name: patch_section(name, base.section(name), change)
            for name, change in delta['sections'].items()
        }
        return Ok(
            Document(
                {**base.scalars, **delta['scalars']},
                {**base.sections, **sections},
            ),
        )
    except MALFORMED as bad:
        return Err(DocumentMalformed(repr(bad)))


def patch_section(
    name: str,
    before: Section,
    change: dict[str, Any],
) -> Section:
    """Return a section after its change."""
    whole = change.get('whole')
    if whole is not None:
        return index_by_name(name, whole)
    removed = frozenset(change['removed'])
    entries = {
        key: entry for key, entry in before.items() if key not in removed
    }
    for entry in change['changed']:
        entries[entry_name(name, entry)] = entry
    if not change['added']:
        return entries
    return index_by_name(
        name, insert_all(list(entries.values()), change['added'])
    )


def insert_all(entries: list, added: Sequence) -> list:
    """Insert entries at their places, lowest place first."""
    for place, entry in added:
        entries.insert(place, entry)
    return entries
