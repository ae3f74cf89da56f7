"""Division of free capacity among regions and among a region's pickers.

Answers the load of several regions that overflow at once into one that has
room: each gets a part by what it cannot serve at home. No I/O.
"""

from collections.abc import Collection, Mapping
from math import ceil, floor

# Share of a region's capacity that its first picker by name grants or spends
# while others are queried, too; the others divide the rest. The same as for
# the budgets of cold upstreams.
PRIMARY_SHARE = 0.7
# Part of the capacity that no region demands which is granted all the same, in
# equal parts: a peak moves to another region within seconds, and its first
# requests would otherwise wait half a second for demand and grant to travel.
# With half of it, regions lacked what they had granted when the peak reached
# them, and more requests were refused.
UNDEMANDED_SHARE = 0.1
# A region gets at least this many slots without demand, if they are at most a
# quarter of its part. A tenth of two engines' slots was one slot, and six of
# the first seven requests of a region without engines were refused.
MIN_UNDEMANDED = 4
MIN_UNDEMANDED_SHARE = 0.25


def picker_share(own: str, active: Collection[str]) -> float:
    """Return a picker's share of its region's capacity.

    Parameters
    ----------
    own : str
        This picker.
    active : collection of str
        The region's pickers that entry VMs query or may query.

    Examples
    --------
    >>> picker_share('a', {'a'}), picker_share('a', {'a', 'b'})
    (1.0, 0.7)
    """
    others = set(active) - {own}
    if not others:
        return 1.0
    if own < min(others):
        return PRIMARY_SHARE
    return (1 - PRIMARY_SHARE) / len(others)


def slots_of_picker(slots: int, own: str, active: Collection[str]) -> range:
    """Return the indexes of a grant's slots that one picker may use.

    The first picker's part is rounded up, so that a grant of one slot is used
    by the picker that nearly all requests reach.

    Examples
    --------
    >>> slots_of_picker(4, 'a', {'a', 'b'}), slots_of_picker(4, 'b', {'a', 'b'})
    (range(0, 3), range(3, 4))
    """
    names = sorted({own, *active})
    if len(names) == 1:
        return range(slots)
    first = ceil(PRIMARY_SHARE * slots)
    if own == names[0]:
        return range(first)
    rank = names.index(own) - 1
    others = len(names) - 1
    rest = slots - first
    return range(
        first + rank * rest // others,
        first + (rank + 1) * rest // others,
    )


def divide(
    slots: int,
    demands: Mapping[str, int],
    turn: int = 0,
) -> dict[str, int]:
    """Divide slots among regions by demand; none gets more than it demands.

    Parameters
    ----------
    turn : int
        Which of several regions with the same claim to the last slots gets
        one; a caller counts it up.

    Examples
    --------
    >>> divide(10, {'a': 3, 'b': 4}), divide(6, {'a': 3, 'b': 6})
    ({'a': 3, 'b': 4}, {'a': 2, 'b': 4})
    """
    total = sum(demands.values())
    if total <= slots:
        return dict(demands)
    parts = {
        region: floor(slots * demand / total)
        for region, demand in demands.items()
    }
    names = sorted(demands)
    first = turn % max(1, len(names))
    wanting = [
        region
        for region in names[first:] + names[:first]
        if parts[region] < demands[region]
    ]
    for region in wanting[: slots - sum(parts.values())]:
        parts[region] += 1
    return parts


def divide_room(
    slots: int,
    demands: Mapping[str, int],
    regions: Collection[str],
    turn: int = 0,
) -> dict[str, int]:
    """Divide free slots by demand, and part of the rest equally.

    Parameters
    ----------
    regions : collection of str
        All regions that may receive a grant.

    Examples
    --------
    >>> divide_room(48, {'a': 8}, ('a', 'b'))
    {'a': 12, 'b': 4}
    """
    demanded = {region: demands.get(region, 0) for region in regions}
    parts = divide(slots, demanded, turn)
    if not parts:
        return parts
    rest = (slots - sum(parts.values())) / len(parts)
    least = min(MIN_UNDEMANDED, floor(MIN_UNDEMANDED_SHARE * rest))
    equal = max(least, floor(UNDEMANDED_SHARE * rest))
    return {region: part + equal for region, part in parts.items()}
