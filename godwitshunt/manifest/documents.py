"""Parsing of JSON documents; canonical form and digest of manifests."""

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

MAX_FOUND_CHARACTERS = 80


def parse_document(
    source: str,
    text: str | bytes,
    model: type[Model],
    error: type[DocumentError],
) -> Model:
    """Parse and validate a JSON document.

    Parameters
    ----------
    source : str
        The file or request that the document came from, for the error.
    text : str or bytes
        The JSON text.
    model : type
        The pydantic model to validate against.
    error : type
        The exception class to raise.

    Raises
    ------
    DocumentError
        If the document is invalid. It lists every invalid field with its
        actual and its expected value.
    """
    try:
        return model.model_validate_json(text)
    except ValidationError as validation_error:
        problems = tuple(
            field_problem(details)
            for details in validation_error.errors(include_url=False)
        )
        raise error(source, problems) from None


def field_problem(details: ErrorDetails) -> FieldProblem:
    """Convert a pydantic error to a `FieldProblem`."""
    missing = details['type'] == 'missing'
    return FieldProblem(
        field='.'.join(str(part) for part in details['loc']) or '(whole)',
        found='nothing'
        if missing
        else repr(details['input'])[:MAX_FOUND_CHARACTERS],
        expected='a value' if missing else details['msg'],
    )


def parse_manifest(text: str | bytes, source: str = 'manifest') -> Manifest:
    """Parse a manifest; raise `ManifestError` if it is invalid."""
    return parse_document(source, text, Manifest, ManifestError)


def read_settings(path: Path, model: type[Model]) -> Model:
    """Read a settings file; raise `SettingsError` if it is invalid."""
    try:
        text = path.read_bytes()
    except OSError as os_error:
        problem = FieldProblem(
            '(file)',
            os_error.strerror or 'unreadable',
            'a readable JSON file',
        )
        raise SettingsError(str(path), (problem,)) from None
    return parse_document(str(path), text, model, SettingsError)


def canonical_bytes(manifest: Manifest) -> bytes:
    """Return the canonical JSON encoding, identical for equal manifests.

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
    """Return the SHA-256 of the canonical encoding, in hexadecimal."""
    return hashlib.sha256(canonical_bytes(manifest)).hexdigest()
