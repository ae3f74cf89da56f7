"""Idempotency keys: a key stamp from the directory and the caller's part."""

import re
from dataclasses import dataclass

from result import Err, Ok, Result

from godwitshunt.claims.messages import KeyMalformed

KEY_PATTERN = re.compile(
    r'(?P<region>[a-z0-9][a-z0-9-]{0,62})'
    r'\.(?P<generation>0|[1-9][0-9]{0,17})'
    r'\.(?P<epoch>0|[1-9][0-9]{0,17})'
    r'\.(?P<own>[A-Za-z0-9_-]{8,128})',
)


@dataclass(frozen=True)
class ClaimKey:
    """A parsed idempotency key.

    Parameters
    ----------
    region : str
        The region whose holders decide on the key.
    generation : int
        The committed holder set that the key is permanently bound to.
    epoch : int
        The epoch of those holders when the stamp was issued.
    text : str
        The complete key, which identifies the call.
    """

    region: str
    generation: int
    epoch: int
    text: str


def parse_key(text: str) -> Result[ClaimKey, KeyMalformed]:
    """Parse an idempotency key.

    Examples
    --------
    >>> parse_key('split.2.17.c0ffee00').ok_value.epoch
    17
    >>> parse_key('c0ffee00')
    Err(KeyMalformed())
    """
    match = KEY_PATTERN.fullmatch(text)
    if match is None:
        return Err(KeyMalformed())
    return Ok(
        ClaimKey(
            region=match['region'],
            generation=int(match['generation']),
            epoch=int(match['epoch']),
            text=text,
        ),
    )


def make_stamp(region: str, generation: int, epoch: int) -> str:
    """Return a key stamp: the prefix that callers put before their part.

    Examples
    --------
    >>> make_stamp('split', 2, 17)
    'split.2.17'
    """
    return f'{region}.{generation}.{epoch}'
