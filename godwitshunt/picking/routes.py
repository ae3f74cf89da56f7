"""Lookup of a request's route by host and longest path prefix."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Self

from godwitshunt.manifest import Manifest, Organisation, Route
from godwitshunt.organisations import KeyRing, UrgencyLevels, bind_route

SLASH = '/'


@dataclass(frozen=True)
class RouteTable:
    """Routes by host and path prefix.

    Parameters
    ----------
    hosts : mapping
        Routes of each host by path prefix.
    low_urgency : mapping
        By service and rank, the regions in which no more urgent route of the
        service has a home.
    keys : KeyRing
        Organisations that may use keyed routes, by key.
    levels : UrgencyLevels
        Urgency of requests.
    bound : dict
        Cache of routes with the rules of an organisation applied.

    Examples
    --------
    >>> RouteTable().match('example.org', '/a/b') is None
    True
    """

    hosts: Mapping[str, Mapping[str, Route]] = field(default_factory=dict)
    low_urgency: Mapping[tuple[str, int], frozenset[str]] = field(
        default_factory=dict,
    )
    keys: KeyRing = field(default_factory=KeyRing)
    levels: UrgencyLevels = field(default_factory=UrgencyLevels)
    bound: dict[tuple[str, str, str], Route | None] = field(
        default_factory=dict,
    )

    @classmethod
    def from_manifest(cls, manifest: Manifest) -> Self:
        """Create the table of a manifest's routes."""
        hosts: dict[str, dict[str, Route]] = {}
        for route in manifest.routes:
            hosts.setdefault(route.host, {})[route.path_prefix] = route
        keys = KeyRing.from_manifest(manifest)
        levels = UrgencyLevels.from_manifest(manifest)
        return cls(hosts, low_urgency_regions(manifest), keys, levels)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        prefixes = self.hosts.get(host)
        if prefixes is None:
            return None
        end = path.rfind(SLASH)
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(SLASH, 0, end)
        return None

    def bind(
        self,
        route: Route,
        organisation: Organisation | None,
    ) -> Route | None:
        """Return a route with the rules of an organisation applied.

        None if no region may serve it.
        """
        if organisation is None:
            return route
        key = (route.host, route.path_prefix, organisation.name)
        if key not in self.bound:
            self.bound[key] = bind_route(route, organisation)
        return self.bound[key]

    def level(self, route: Route, organisation: Organisation | None) -> int:
        """Return the urgency level of an organisation's request."""
        rank = 0 if organisation is None else organisation.rank or 0
        return self.levels.of(rank, route.rank)

    def find(self, host: str, path_prefix: str) -> Route | None:
        """Return the route of a host with exactly this path prefix."""
        return self.hosts.get(host, {}).get(path_prefix)


def host_name(header: str | None) -> str:
    """Return the host name of a ``Host`` header without the port.

    Examples
    --------
    >>> host_name('Example.org:8080'), host_name(None)
    ('example.org', '')
    """
    return (header or '').rsplit(':', 1)[0].strip().lower()


def pick_service(route: Route, draw: float) -> str:
    """Return the service for a random draw, by the weights of the route.

    Parameters
    ----------
    route : Route
        The sum of its weights is greater than 0.
    draw : float
        At least 0, below 1.
    """
    total = sum(weighted.weight for weighted in route.services)
    left = draw * total
    chosen = route.services[0].service
    for weighted in route.services:
        if not weighted.weight:
            continue
        chosen = weighted.service
        left -= weighted.weight
        if left < 0:
            break
    return chosen


def low_urgency_regions(
    manifest: Manifest,
) -> dict[tuple[str, int], frozenset[str]]:
    """Return the regions without homes of more urgent routes.

    The keys are the services and ranks of routes.
    """
    regions = frozenset(region.name for region in manifest.regions)
    homes: dict[tuple[str, int], set[str]] = {}
    for route in manifest.routes:
        for weighted in route.services:
            used = homes.setdefault((weighted.service, route.rank), set())
            used.update(route.homes or regions)
    return {
        (service, rank): regions.difference(
            *(
                used
                for (other, other_rank), used in homes.items()
                if other == service and other_rank < rank
            ),
        )
        if any(
            other == service and other_rank < rank
            for other, other_rank in homes
        )
        else frozenset()
        for service, rank in homes
    }
