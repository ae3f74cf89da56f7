"""What every request of a route is served with."""

from collections.abc import Callable
from dataclasses import dataclass

from godwitshunt.configuration.revision import Revision
from godwitshunt.exchange.upstream_pool import (
    UpstreamPool,
)
from godwitshunt.ingress.choosing import (
    Chooser,
)
from godwitshunt.ingress.header_names import HeaderNames
from godwitshunt.ingress.neighbours import Neighbours
from godwitshunt.ingress.upstreams import Upstreams
from godwitshunt.registry import RegistryWatch
from godwitshunt.routing.cold_budget import ColdBudget
from godwitshunt.routing.retry_window import RetryBounds, RetryWindow
from godwitshunt.settings import NodeSettings
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import Timer


@dataclass
class Budgets:
    """What all VMs together may repeat, and send to cold upstreams."""

    bounds: RetryBounds
    cold: ColdBudget
    retries: dict[str, RetryWindow]

    def retry_window(self, service: str) -> RetryWindow:
        """Return the repeats of one service."""
        known = self.retries.get(service)
        if known is None:
            known = RetryWindow(self.bounds)
            self.retries[service] = known
        return known


@dataclass
class IngressParts:
    """What every request is served with.

    Parameters
    ----------
    revision : callable
        Returns the revision in force; None before the first.
    pool : UpstreamPool
        Connections to upstreams of this region.
    hops : UpstreamPool
        Connections to entry VMs of other regions.
    """

    settings: NodeSettings
    names: HeaderNames
    cluster_key: bytes
    revision: Callable[[], Revision | None]
    watch: RegistryWatch
    upstreams: Upstreams
    neighbours: Neighbours
    chooser: Chooser
    budgets: Budgets
    pool: UpstreamPool
    hops: UpstreamPool
    timer: Timer
    metrics: Metrics
