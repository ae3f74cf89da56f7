"""The active revision, indexed for look-ups by each request."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Self

from godwitshunt.configuration.revision import Revision
from godwitshunt.exchange.gen.wire.ttypes import ForwardNote
from godwitshunt.manifest import Organisation, Route, Service
from godwitshunt.picking.routes import RouteTable


@dataclass(frozen=True)
class ActiveRevision:
    """A revision with its routes, services and keys.

    Parameters
    ----------
    table : RouteTable
        Its routes, and which organisations may use them.
    services : mapping
        Its services by name.
    """

    revision: Revision
    table: RouteTable
    services: Mapping[str, Service]

    @classmethod
    def from_revision(cls, revision: Revision) -> Self:
        """Create the tables of a revision."""
        manifest = revision.manifest
        return cls(
            revision,
            RouteTable.from_manifest(manifest),
            {service.name: service for service in manifest.services},
        )

    def low_urgency_regions(
        self, route: Route, service: Service
    ) -> frozenset[str]:
        """Return the regions that are no home of any more urgent route."""
        return self.table.low_urgency.get(
            (service.name, route.rank), frozenset()
        )

    def route_of(
        self,
        note: ForwardNote,
        organisation: Organisation | None,
    ) -> Route | None:
        """Return the route of a forwarded request.

        Parameters
        ----------
        organisation : Organisation or None
            The organisation that sent the request; None where this revision has
            no such organisation.

        Returns
        -------
        Route or None
            None where this revision lacks the route or the organisation.
        """
        route = self.table.find(note.host or '', note.path_prefix or '')
        is_unknown = bool(note.organisation) and organisation is None
        if route is None or is_unknown:
            return None
        return self.table.bind(route, organisation)
