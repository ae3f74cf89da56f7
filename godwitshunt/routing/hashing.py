"""Rendezvous hashing: each key ranks all names.

Adding or removing a name only moves the keys that rank it first.

References
----------
Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking, 1998.
"""

from functools import lru_cache
from hashlib import blake2b

WORD_MASK = (1 << 64) - 1
MULTIPLIER_1 = 0xBF58476D1CE4E5B9
MULTIPLIER_2 = 0x94D049BB133111EB
NAME_CACHE_SIZE = 8192


@lru_cache(maxsize=NAME_CACHE_SIZE)
def name_hash(name: str) -> int:
    """Return a 64-bit hash of a name that is the same in every process.

    Python's built-in hash of strings differs between processes, and VMs must
    agree on the owner of a key.
    """
    digest = blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def rank_weight(key: int, name: str) -> int:
    """Return a name's weight for a key; the highest weight owns the key.

    Uses the mixing steps of the splitmix64 generator.

    Examples
    --------
    >>> rank_weight(1, 'a') == rank_weight(1, 'a')
    True
    >>> rank_weight(1, 'a') == rank_weight(2, 'a')
    False
    """
    mixed = (key ^ name_hash(name)) & WORD_MASK
    mixed = ((mixed ^ (mixed >> 30)) * MULTIPLIER_1) & WORD_MASK
    mixed = ((mixed ^ (mixed >> 27)) * MULTIPLIER_2) & WORD_MASK
    return mixed ^ (mixed >> 31)


def rank_names(key: int, names: tuple[str, ...]) -> tuple[str, ...]:
    """Return names by descending weight for a key.

    Examples
    --------
    >>> ranked = rank_names(7, ('a', 'b', 'c'))
    >>> without = rank_names(7, tuple(n for n in 'abc' if n != ranked[0]))
    >>> without == ranked[1:]
    True
    """
    weighted = sorted((rank_weight(key, name), name) for name in names)
    return tuple(name for _, name in reversed(weighted))
