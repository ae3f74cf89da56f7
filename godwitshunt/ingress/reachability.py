"""Which upstreams of its region an entry VM reaches."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from godwitshunt.exchange.upstream_messages import Place
from godwitshunt.exchange.upstream_pool import UpstreamPool
from godwitshunt.ingress.path_monitor import PathMonitor
from godwitshunt.manifest import Service
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import (
    RegistryWatch,
    UpstreamAnnounced,
    UpstreamSeen,
)
from godwitshunt.routing.upstream_paths import ProbeTarget
from godwitshunt.timer import Timer

# Path of the health check of a service that states none. Any answer shows that
# an upstream is reached.
DEFAULT_HEALTH_PATH = '/healthz'


@dataclass
class Reachability:
    """Tells which upstreams this VM reaches, by its own evidence.

    Parameters
    ----------
    region : str
        Region of this VM.
    watch : RegistryWatch
        Knows the upstreams, and is told when the paths to them are lost.
    upstreams : Upstreams
        Failed connections to them.
    pool : UpstreamPool
        Open connections to them.
    path_monitor : PathMonitor
        Whether the paths to all of them are lost.
    services : callable
        Returns the services of the active revision, by name.
    """

    region: str
    watch: RegistryWatch
    upstreams: Upstreams
    pool: UpstreamPool
    path_monitor: PathMonitor
    timer: Timer
    services: Callable[[], Mapping[str, Service]] = dict

    def __post_init__(self) -> None:
        self.path_monitor.targets = self.probe_targets
        self.path_monitor.on_change = self.follow_paths

    def own_upstreams(self) -> list[UpstreamSeen]:
        """Return the upstreams of this region that are not leaving."""
        return [
            upstream
            for upstream in self.watch.view().upstreams.values()
            if upstream.region == self.region
            and not upstream.announcement.draining
        ]

    def probe_targets(self) -> list[ProbeTarget]:
        """Return the upstreams that show whether this VM reaches any."""
        services = self.services()
        upstreams = self.own_upstreams()
        failed = self.upstreams.unreachable(self.timer.now())
        sound = [
            upstream
            for upstream in upstreams
            if not upstream.silent
            and upstream.announcement.incarnation not in failed
        ]
        return [
            ProbeTarget(
                upstream.announcement.incarnation,
                upstream.announcement.address,
                upstream.announcement.failure_domain,
                services[upstream.announcement.service].health_path
                or DEFAULT_HEALTH_PATH,
            )
            for upstream in sound or upstreams
            if upstream.announcement.service in services
        ]

    def unreached(
        self, service: str, *, tries_silent: bool = False
    ) -> frozenset[str]:
        """Return the upstreams of a service that this VM does not reach.

        Parameters
        ----------
        tries_silent : bool
            Whether to include upstreams that may be silent by themselves.
        """
        failed = self.upstreams.unreachable(self.timer.now())
        are_lost = self.path_monitor.are_lost
        if tries_silent:
            are_lost = self.path_monitor.paths.are_refused
        if not (failed or are_lost):
            return frozenset()
        return frozenset(
            upstream.announcement.incarnation
            for upstream in self.own_upstreams()
            if upstream.announcement.service == service
            and (are_lost or upstream.announcement.incarnation in failed)
            and not self.has_connection(upstream.announcement)
        )

    def has_connection(self, announcement: UpstreamAnnounced) -> bool:
        """Tell whether an open connection to an upstream may be used."""
        if not self.path_monitor.paths.keeps_connections:
            return False
        place = Place(announcement.address, announcement.incarnation)
        return self.path_monitor.are_lost and self.pool.has_live(place)

    def reaches_service(self, service: str) -> bool:
        """Tell whether this VM may reach an upstream of a service."""
        unreached = self.unreached(service)
        if not unreached:
            return True
        own = {
            upstream.announcement.incarnation
            for upstream in self.own_upstreams()
            if upstream.announcement.service == service
        }
        return not own <= unreached

    def follow_paths(self) -> None:
        """Apply that this VM's paths to the upstreams are lost or back."""
        if not self.path_monitor.are_lost:
            self.upstreams.clear_connect_failures()
        elif not self.path_monitor.paths.keeps_connections:
            # Kept connections are silent as well.
            self.pool.close_idle()
        self.watch.report_now()
