"""The signed note that travels with a request to another region."""

import base64
import binascii
import hashlib
import hmac
from dataclasses import dataclass

from result import Err, Ok, Result

from godwitshunt.exceptions import FrameError
from godwitshunt.exchange.gen.wire.ttypes import ForwardNote
from godwitshunt.exchange.requests import HttpRequest
from godwitshunt.peer import decode, encode

FORWARD_HEADER = b'godwitshunt-forward'
SIGNATURE_BYTES = 32
MILLISECONDS = 1000
MAX_HOPS = 1


@dataclass(frozen=True)
class ForwardRefused:
    """A forwarded request that this VM must not take.

    Parameters
    ----------
    reason : str
        One of ``signature``, ``loop``, ``receiver`` and ``digest``.
    """

    reason: str


def request_digest(method: str, target: str, body: bytes) -> bytes:
    """Return the SHA-256 that binds a note or a claim to one request."""
    digest = hashlib.sha256()
    for part in (method.encode(), target.encode('latin-1'), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()


def sign_note(note: ForwardNote, key: bytes) -> bytes:
    """Return the header's content: signature and note in base64url."""
    body = encode(note)
    signature = hmac.new(key, body, hashlib.sha256).digest()
    return base64.urlsafe_b64encode(signature + body)


def read_note(
    content: str,
    key: bytes,
    vm: str,
    request: HttpRequest,
) -> Result[ForwardNote, ForwardRefused]:
    """Check a note: its signature, that it fits, and that it is no loop.

    Parameters
    ----------
    content : str
        The header's content.
    key : bytes
        The cluster key.
    vm : str
        This VM's name.
    request : HttpRequest
        The request that the note came with.
    """
    try:
        signed = base64.urlsafe_b64decode(content.encode('ascii'))
    except (binascii.Error, ValueError):
        return Err(ForwardRefused('signature'))
    signature, body = signed[:SIGNATURE_BYTES], signed[SIGNATURE_BYTES:]
    expected = hmac.new(key, body, hashlib.sha256).digest()
    if not hmac.compare_digest(signature, expected):
        return Err(ForwardRefused('signature'))
    try:
        note = decode(ForwardNote, body)
    except FrameError:
        return Err(ForwardRefused('signature'))
    if vm in note.path or len(note.path) > MAX_HOPS:
        return Err(ForwardRefused('loop'))
    if note.receiver != vm:
        return Err(ForwardRefused('receiver'))
    digest = request_digest(request.method, request.target, request.body)
    if not hmac.compare_digest(digest, note.request_digest or b''):
        return Err(ForwardRefused('digest'))
    return Ok(note)
