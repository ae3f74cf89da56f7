"""Which upstreams read long prompts; pure.

An engine reads one prompt after the other, and shows nothing of those behind
it meanwhile: a prompt of 57,000 tokens holds up every request that is sent
there after it for 1.6 s, however urgent, and slows the streams that run. News
of it reaches the other VMs only with their next poll. So long prompts keep to
a part of each region's upstreams, which all VMs work out alike from the list
of upstreams, and short ones to the rest while that has room.
"""

from collections.abc import Collection, Iterable, Mapping
from math import ceil

from godwitshunt.routing.hashing import rank_weight

# The part of a region's upstreams that reads long prompts, rounded up. On the
# users' sheets long prompts are half to two thirds of all tokens to read.
READER_SHARE = 0.4
# Upstreams are ranked alike on all VMs by this key.
READER_KEY = 0


def long_readers(
    regions: Mapping[str, Collection[str]],
    quiet_regions: Collection[str],
) -> frozenset[str]:
    """Return the upstreams that read long prompts.

    Parameters
    ----------
    regions : mapping
        Names of the upstreams of each region.
    quiet_regions : collection of str
        Regions that short, more urgent requests have no home in: all of their
        upstreams read long prompts.

    Examples
    --------
    >>> regions = {'a': ['a-1', 'a-2', 'a-3', 'a-4', 'a-5'], 'b': ['b-1']}
    >>> len(long_readers(regions, ())), len(long_readers(regions, ('a',)))
    (3, 6)
    """
    chosen: list[str] = []
    for region, names in regions.items():
        share = 1.0 if region in quiet_regions else READER_SHARE
        chosen.extend(first_ranked(names, share))
    return frozenset(chosen)


def first_ranked(names: Iterable[str], share: float) -> list[str]:
    """Return a share of names, rounded up, the highest ranked ones."""
    ranked = sorted(
        names,
        key=lambda name: rank_weight(READER_KEY, name),
        reverse=True,
    )
    return ranked[: ceil(len(ranked) * share)]
