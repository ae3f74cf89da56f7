"""Reading, canonical form and digest of manifests and other documents."""

import hashlib
import json
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from godwitshunt.exceptions import (
    DocumentError,
    FieldProblem,
    ManifestError,
    SettingsError,
)
from godwitshunt.manifest.models import Manifest

Model = TypeVar('Model', bound=BaseModel)

SHOWN_CHARACTERS = 80


def parse_document(
    source: str,
    text: str | bytes,
    model: type[Model],
    error: type[DocumentError],
) -> Model:
    """Read a JSON document into its model.

    Parameters
    ----------
    source : str
        Where the document came from, for the error.
    text : str or bytes
        The JSON text.
    model : type
        The pydantic model to fill.
    error : type
        The exception class to raise.

    Raises
    ------
    DocumentError
        With every wrong field, what was found and what was expected.
    """
    try:
        return model.model_validate_json(text)
    except ValidationError as invalid:
        problems = tuple(
            field_problem(fault) for fault in invalid.errors(include_url=False)
        )
        raise error(source, problems) from None


def field_problem(fault: ErrorDetails) -> FieldProblem:
    """Return a wrong field as its model tells it."""
    missing = fault['type'] == 'missing'
    return FieldProblem(
        field='.'.join(str(part) for part in fault['loc']) or '(whole)',
        found='nothing' if missing else repr(fault['input'])[:SHOWN_CHARACTERS],
        expected='a value' if missing else fault['msg'],
    )


def parse_manifest(text: str | bytes, source: str = 'manifest') -> Manifest:
    """Read a manifest; raise `ManifestError` where it does not fit."""
    return parse_document(source, text, Manifest, ManifestError)


def read_settings(path: Path, model: type[Model]) -> Model:
    """Read a settings file; raise `SettingsError` where it does not fit."""
    try:
        text = path.read_bytes()
    except OSError as failed:
        problem = FieldProblem(
            '(file)',
            failed.strerror or 'unreadable',
            'a readable JSON file',
        )
        raise SettingsError(str(path), (problem,)) from None
    return parse_document(str(path), text, model, SettingsError)


def canonical_bytes(manifest: Manifest) -> bytes:
    """Return the one byte form that equal manifests share.

    Examples
    --------
    >>> from godwitshunt.manifest.models import Objective
    >>> canonical_bytes(Objective(latency=2))
    b'{"cost":0.0,"latency":2.0,"share_away":0.0}'
    """
    return json.dumps(
        manifest.model_dump(mode='json'),
        sort_keys=True,
        separators=(',', ':'),
    ).encode()


def manifest_digest(manifest: Manifest) -> str:
    """Return the SHA-256 of the canonical form, in hexadecimal."""
    return hashlib.sha256(canonical_bytes(manifest)).hexdigest()
