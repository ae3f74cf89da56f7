"""Parts of limits, for pickers that don't all hear each other; pure."""

from collections.abc import Collection, Mapping

# Of a region's pickers the first by name is asked by all its entry VMs; the
# others are asked for moments only.
FIRST_SHARE = 0.85


def fixed_shares(
    pickers: Mapping[str, Collection[str]],
) -> dict[str, float]:
    """Return each picker's fixed share of every limit.

    Parameters
    ----------
    pickers : mapping
        Names of each region's pickers; none where a region has none.

    Examples
    --------
    >>> shares = fixed_shares({'kochi': ('a', 'b'), 'tvm': ('c',)})
    >>> {name: round(part, 3) for name, part in shares.items()}
    {'a': 0.425, 'b': 0.075, 'c': 0.5}
    """
    shares = {}
    for names in pickers.values():
        part = 1 / len(pickers)
        ordered = sorted(names)
        rest = max(1, len(ordered) - 1)
        for name in ordered:
            of_region = (1 - FIRST_SHARE) / rest
            if name == ordered[0]:
                of_region = FIRST_SHARE if len(ordered) > 1 else 1.0
            shares[name] = part * of_region
    return shares


def usable_share(
    own: str,
    pickers: Mapping[str, Collection[str]],
    known: Collection[str],
    heard: Collection[str],
) -> float:
    """Return the part of each limit that a picker may admit by.

    That is all but the fixed shares of those that it doesn't hear, and never
    less than its own.

    Parameters
    ----------
    own : str
        Its name.
    pickers : mapping
        Names of each region's pickers, as far as known.
    known : collection of str
        All that there should be, this one among them; some may never have
        been heard, so that nobody knows their region.
    heard : collection of str
        Those that were heard of late, this one among them.

    Examples
    --------
    >>> pickers = {'kochi': ('a',), 'tvm': ('b',), 'pala': ('c',)}
    >>> round(usable_share('a', pickers, 'abc', 'ab'), 3)
    0.667
    >>> round(usable_share('c', pickers, 'abc', 'c'), 3)
    0.333
    """
    shares = fixed_shares(pickers)
    unknown_share = 1 / max(1, len(known))
    silent = set(known) - set(heard)
    left = sum(shares.get(name, unknown_share) for name in silent)
    # Entry VMs of a region without a picker admit that region's share.
    left += sum(1 / len(pickers) for names in pickers.values() if not names)
    return max(shares.get(own, unknown_share), 1 - left)
