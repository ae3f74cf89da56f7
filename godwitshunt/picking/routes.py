"""Finding the route of a request by host and longest path prefix."""

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
        For each host its routes by path prefix.
    low_urgency : mapping
        For a service and a rank the regions that more urgent routes of the
        service have no home in.
    keys : KeyRing
        Who may send requests of keyed routes.
    levels : UrgencyLevels
        In which order requests go first.
    bound : dict
        Routes as they hold for organisations, once they were asked for.

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
        """Make the table of a manifest's routes."""
        hosts: dict[str, dict[str, Route]] = {}
        for route in manifest.routes:
            hosts.setdefault(route.host, {})[route.path_prefix] = route
        keys = KeyRing.from_manifest(manifest)
        levels = UrgencyLevels.from_manifest(manifest)
        return cls(hosts, low_urgency_regions(manifest), keys, levels)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path."""
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
        """Return a route as it holds for an organisation.

        None where no region may serve it.
        """
        if organisation is None:
            return route
        place = (route.host, route.path_prefix, organisation.name)
        if place not in self.bound:
            self.bound[place] = bind_route(route, organisation)
        return self.bound[place]

    def level(self, route: Route, organisation: Organisation | None) -> int:
        """Return how urgent an organisation's request of a route is."""
        rank = 0 if organisation is None else organisation.rank or 0
        return self.levels.of(rank, route.rank)

    def find(self, host: str, path_prefix: str) -> Route | None:
        """Return the route of a host with exactly this prefix."""
        return self.hosts.get(host, {}).get(path_prefix)


def host_name(header: str | None) -> str:
    """Return the host of a ``Host`` header, without port.

    Examples
    --------
    >>> host_name('Example.org:8080'), host_name(None)
    ('example.org', '')
    """
    return (header or '').rsplit(':', 1)[0].strip().lower()


def pick_service(route: Route, draw: float) -> str:
    """Return the service for a draw from 0 to 1, by weight.

    Parameters
    ----------
    route : Route
        Its weights add up to more than 0.
    draw : float
        At least 0, below 1.
    """
    total = sum(one.weight for one in route.services)
    left = draw * total
    chosen = route.services[0].service
    for one in route.services:
        if not one.weight:
            continue
        chosen = one.service
        left -= one.weight
        if left < 0:
            break
    return chosen


def low_urgency_regions(
    manifest: Manifest,
) -> dict[tuple[str, int], frozenset[str]]:
    """Return for each service and rank where nothing more urgent has a home."""
    regions = frozenset(region.name for region in manifest.regions)
    homes: dict[tuple[str, int], set[str]] = {}
    for route in manifest.routes:
        for one in route.services:
            busy = homes.setdefault((one.service, route.rank), set())
            busy.update(route.homes or regions)
    return {
        (service, rank): regions.difference(
            *(
                busy
                for (other, other_rank), busy in homes.items()
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
