"""Shares of limits for pickers that cannot all reach each other; no I/O."""

from collections.abc import Collection, Mapping

# Share of a region's limit that its first picker by name gets. All entry VMs of
# the region query that picker; the others are queried during fail-over only.
PRIMARY_SHARE = 0.85


def fixed_shares(
    pickers: Mapping[str, Collection[str]],
) -> dict[str, float]:
    """Return each picker's fixed share of every limit.

    Parameters
    ----------
    pickers : mapping
        Names of the pickers of each region; a region may have none.

    Examples
    --------
    >>> shares = fixed_shares({'kochi': ('a', 'b'), 'tvm': ('c',)})
    >>> {name: round(share, 3) for name, share in shares.items()}
    {'a': 0.425, 'b': 0.075, 'c': 0.5}
    """
    shares = {}
    for names in pickers.values():
        region_share = 1 / len(pickers)
        ordered = sorted(names)
        others = max(1, len(ordered) - 1)
        for name in ordered:
            share_in_region = (1 - PRIMARY_SHARE) / others
            if name == ordered[0]:
                share_in_region = PRIMARY_SHARE if len(ordered) > 1 else 1.0
            shares[name] = region_share * share_in_region
    return shares


def usable_share(
    own: str,
    pickers: Mapping[str, Collection[str]],
    known: Collection[str],
    reachable: Collection[str],
) -> float:
    """Return the share of each limit that a picker may admit.

    This is the whole limit without the fixed shares of unreachable pickers,
    and at least the picker's own fixed share.

    Parameters
    ----------
    own : str
        Name of the picker.
    pickers : mapping
        Names of the pickers of each region, as far as known.
    known : collection of str
        All configured pickers including this one. The region of a picker that
        was never reachable is unknown.
    reachable : collection of str
        Pickers that were reachable lately, including this one.

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
    unreachable = set(known) - set(reachable)
    reserved = sum(shares.get(name, unknown_share) for name in unreachable)
    # Entry VMs of a region without a picker admit that region's share.
    reserved += sum(1 / len(pickers) for names in pickers.values() if not names)
    return max(shares.get(own, unknown_share), 1 - reserved)
