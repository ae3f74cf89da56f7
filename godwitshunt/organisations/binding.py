"""An organisation's rules for requests of a route; pure."""

from dataclasses import dataclass
from typing import Self

from godwitshunt.manifest import Manifest, Organisation, Route

# Upstreams' queues tell so many levels apart.
LEVELS = 7


def bind_route(route: Route, organisation: Organisation | None) -> Route | None:
    """Return a route as it holds for an organisation's requests.

    Where both have homes, both bind.

    Parameters
    ----------
    organisation : Organisation or None
        None for a request of nobody's.

    Returns
    -------
    Route or None
        None where no region may serve it: the homes have none in common.
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
    """The order in which requests go first: by organisation, then by route.

    With the organisation's rank alone, all requests of equal organisations
    would wait alike, short questions behind long prompts.

    Parameters
    ----------
    organisations, routes : tuple of int
        Ranks that there are, the most urgent first.

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
        """Make the levels of a manifest's organisations and routes."""
        ranks = {one.rank or 0 for one in manifest.organisations}
        of_routes = {route.rank for route in manifest.routes}
        return cls(
            tuple(sorted(ranks or {0})),
            tuple(sorted(of_routes or {0})),
        )

    def of(self, organisation: int, route: int) -> int:
        """Return the level of a request; 0 goes first.

        Where there are more than `LEVELS`, neighbours share one.

        Parameters
        ----------
        organisation, route : int
            Their ranks; one that is not listed counts as the next one.
        """
        place = place_of(self.organisations, organisation)
        level = place * len(self.routes) + place_of(self.routes, route)
        count = len(self.organisations) * len(self.routes)
        return level if count <= LEVELS else level * LEVELS // count


def place_of(ranks: tuple[int, ...], rank: int) -> int:
    """Return how many ranks go before one."""
    before = sum(one < rank for one in ranks)
    return min(before, len(ranks) - 1)
