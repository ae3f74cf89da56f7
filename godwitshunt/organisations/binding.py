"""Rules of an organisation for requests of a route; no I/O."""

from dataclasses import dataclass
from typing import Self

from godwitshunt.manifest import Manifest, Organisation, Route

# Number of urgency levels that upstreams' queues distinguish.
MAX_LEVELS = 7


def bind_route(route: Route, organisation: Organisation | None) -> Route | None:
    """Return a route with the rules of an organisation applied.

    If both have homes, a region must be a home of both.

    Parameters
    ----------
    organisation : Organisation or None
        None for a request without an organisation.

    Returns
    -------
    Route or None
        None if the two have no home in common, so that no region may serve
        the request.
    """
    if organisation is None:
        return route
    homes = organisation.homes or route.homes
    if organisation.homes and route.homes:
        homes = tuple(
            home for home in route.homes if home in organisation.homes
        )
        if not homes:
            return None
    if homes == route.homes:
        return route
    return route.model_copy(update={'homes': homes})


@dataclass(frozen=True)
class UrgencyLevels:
    """Urgency levels, ordered by organisation and then by route.

    If only the organisation's rank counted, all requests of organisations with
    equal rank would have the same level, and short requests would wait behind
    long prompts.

    Parameters
    ----------
    organisations, routes : tuple of int
        Ranks in use, the most urgent first.

    Examples
    --------
    >>> levels = UrgencyLevels(organisations=(0, 1), routes=(0, 2))
    >>> [levels.of(*ranks) for ranks in ((0, 0), (0, 2), (1, 0), (1, 2))]
    [0, 1, 2, 3]
    """

    organisations: tuple[int, ...] = (0,)
    routes: tuple[int, ...] = (0,)

    @classmethod
    def from_manifest(cls, manifest: Manifest) -> Self:
        """Create the levels of a manifest's organisations and routes."""
        ranks = {
            organisation.rank or 0 for organisation in manifest.organisations
        }
        route_ranks = {route.rank for route in manifest.routes}
        return cls(
            tuple(sorted(ranks or {0})),
            tuple(sorted(route_ranks or {0})),
        )

    def of(self, organisation: int, route: int) -> int:
        """Return the level of a request; 0 is the most urgent.

        If there are more than `MAX_LEVELS`, adjacent levels are merged.

        Parameters
        ----------
        organisation, route : int
            Ranks of the two. A rank that is not in use counts as the next
            less urgent one.
        """
        index = rank_index(self.organisations, organisation)
        level = index * len(self.routes) + rank_index(self.routes, route)
        count = len(self.organisations) * len(self.routes)
        return level if count <= MAX_LEVELS else level * MAX_LEVELS // count


def rank_index(ranks: tuple[int, ...], rank: int) -> int:
    """Return the number of ranks that are more urgent than a rank."""
    before = sum(listed < rank for listed in ranks)
    return min(before, len(ranks) - 1)
