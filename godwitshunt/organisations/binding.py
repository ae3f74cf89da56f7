"""An organisation's rules for requests of a route; pure."""

from godwitshunt.manifest import Organisation, Route


def bind_route(route: Route, organisation: Organisation | None) -> Route | None:
    """Return a route as it holds for an organisation's requests.

    The organisation's rank goes before the route's. Where both have homes,
    both bind.

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
    rank = route.rank if organisation.rank is None else organisation.rank
    if homes == route.homes and rank == route.rank:
        return route
    return route.model_copy(update={'homes': homes, 'rank': rank})
