"""Deltas between two documents, by section and entry name."""

from collections.abc import Sequence
from typing import Any

from result import Err, Ok, Result

from godwitshunt.configuration.document import (
    MALFORMED_ERRORS,
    SECTIONS,
    Document,
    DocumentMalformed,
    Section,
    entry_name,
    index_by_name,
)


def diff(base: Document, target: Document) -> dict[str, Any]:
    """Return the delta from one document to another as JSON fields.

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
        if not is_same(base.section(name), target.section(name))
    }
    scalars = {
        key: scalar
        for key, scalar in target.scalars.items()
        if key not in base.scalars or base.scalars[key] != scalar
    }
    return {'scalars': scalars, 'sections': changes}


def is_same(before: Section, after: Section) -> bool:
    """Tell whether two sections have the same entries in the same order."""
    return before == after and list(before) == list(after)


def diff_section(before: Section, after: Section) -> dict[str, Any]:
    """Return the delta of one section.

    The order of entries is part of the digest. New entries carry their
    position; if the remaining entries change their order, the delta holds the
    full section.
    """
    common_before = [name for name in before if name in after]
    common_after = [name for name in after if name in before]
    if common_before != common_after:
        return {'whole': list(after.values())}
    positions = enumerate(after.items())
    return {
        'removed': [name for name in before if name not in after],
        'changed': [
            after[name] for name in common_after if after[name] != before[name]
        ],
        'added': [
            [position, entry]
            for position, (name, entry) in positions
            if name not in before
        ],
    }


def patch(
    base: Document,
    delta: dict[str, Any],
) -> Result[Document, DocumentMalformed]:
    """Apply a delta; the caller checks the digests before and after."""
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
    except MALFORMED_ERRORS as error:
        return Err(DocumentMalformed(repr(error)))


def patch_section(
    name: str,
    before: Section,
    change: dict[str, Any],
) -> Section:
    """Return a section with its delta applied."""
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
    """Insert entries at their positions, which must be in rising order."""
    for position, entry in added:
        entries.insert(position, entry)
    return entries
