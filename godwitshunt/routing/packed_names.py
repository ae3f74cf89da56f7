"""Rendezvous hashing of many names at once.

One name after the other, the owner of a key among 2,500 upstreams takes 1.5
ms. Here all names are mixed together as the lanes of one long integer.
"""

from array import array
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import cached_property
from sys import byteorder
from typing import Self

from godwitshunt.routing.hashing import (
    MULTIPLIER_1,
    MULTIPLIER_2,
    WORD_MASK,
    name_hash,
)

# A lane holds the product of two 64-bit words.
LANE_BYTES = 16


@dataclass(frozen=True)
class PackedNames:
    """Hashes of names, each in a lane of 128 bits.

    Parameters
    ----------
    count : int
        Number of names.
    hashes : int
        Their hashes.
    ones : int
        The number 1 in each lane.

    Examples
    --------
    >>> from godwitshunt.routing.hashing import rank_weight
    >>> packed = PackedNames.from_names(('a', 'b'))
    >>> weights = [rank_weight(7, 'a'), rank_weight(7, 'b')]
    >>> list(packed.weights(7)) == weights
    True
    """

    count: int
    hashes: int
    ones: int

    @classmethod
    def from_names(cls, names: Iterable[str]) -> Self:
        """Pack the hashes of names."""
        lanes = [
            name_hash(name).to_bytes(LANE_BYTES, 'little') for name in names
        ]
        one = (1).to_bytes(LANE_BYTES, 'little')
        return cls(
            len(lanes),
            int.from_bytes(b''.join(lanes), 'little'),
            int.from_bytes(one * len(lanes), 'little'),
        )

    def weights(self, key: int) -> Sequence[int]:
        """Return the weight of each name for a key, as `rank_weight` does."""
        words = self.words
        mixed = self.hashes ^ (self.ones * (key & WORD_MASK))
        # The low bits of the next lane are shifted into this one's upper half,
        # which the mask clears.
        mixed ^= (mixed >> 30) & words
        mixed = (mixed * MULTIPLIER_1) & words
        mixed ^= (mixed >> 27) & words
        mixed = (mixed * MULTIPLIER_2) & words
        mixed ^= (mixed >> 31) & words
        lanes = array('Q')
        lanes.frombytes(mixed.to_bytes(LANE_BYTES * self.count, 'little'))
        if byteorder == 'big':
            lanes.byteswap()
        return lanes[::2]

    @cached_property
    def words(self) -> int:
        """The largest 64-bit word in each lane."""
        return self.ones * WORD_MASK
