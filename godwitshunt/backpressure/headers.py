"""Strict reading of headers in the answers of upstreams."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

# No sign, no exponent, no name of a special value: `float` accepts them all,
# and a limit of `nan` or `-1` would stop or free all traffic to an upstream.
DECIMAL = re.compile(rb'\d{1,12}(?:\.\d{1,40})?')
FLAG = b'1'


@dataclass(frozen=True)
class InvalidHeader:
    """A header that does not hold what was expected.

    Parameters
    ----------
    name : bytes
        Name of the header.
    texts : tuple of bytes
        Its content, once for each time that it occurs.
    """

    name: bytes
    texts: tuple[bytes, ...]


def read_decimal(
    headers: Iterable[tuple[bytes, bytes]],
    name: bytes,
) -> Result[float | None, InvalidHeader]:
    """Return the decimal number in a header; None if it is absent.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case, and contents.
    name : bytes
        Name of the header in lower case.

    Examples
    --------
    >>> read_decimal([(b'rate', b'2.5')], b'rate')
    Ok(2.5)
    >>> read_decimal([], b'rate')
    Ok(None)
    >>> read_decimal([(b'rate', b'1e999')], b'rate').is_err()
    True
    """
    texts = tuple(content for found, content in headers if found == name)
    if not texts:
        return Ok(None)
    if len(set(texts)) > 1 or DECIMAL.fullmatch(texts[0]) is None:
        return Err(InvalidHeader(name, texts))
    return Ok(float(texts[0]))


def read_flag(
    headers: Iterable[tuple[bytes, bytes]],
    name: bytes,
) -> Result[bool, InvalidHeader]:
    """Return whether a header is present, with 1 as its content.

    Examples
    --------
    >>> read_flag([(b'leaving', b'1')], b'leaving')
    Ok(True)
    >>> read_flag([], b'leaving')
    Ok(False)
    >>> read_flag([(b'leaving', b'yes')], b'leaving').is_err()
    True
    """
    texts = tuple(content for found, content in headers if found == name)
    if set(texts) - {FLAG}:
        return Err(InvalidHeader(name, texts))
    return Ok(bool(texts))
