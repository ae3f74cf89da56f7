"""What every request's task works with."""

import random
from dataclasses import dataclass, field

from godwitshunt.exchange.admission import CallerIndex
from godwitshunt.exchange.ports import Ports
from godwitshunt.exchange.upstream_pool import (
    UpstreamPool,
)
from godwitshunt.settings import EntrySettings
from godwitshunt.telemetry import Metrics


@dataclass
class RequestParts:
    """What every request's task works with.

    Parameters
    ----------
    settings : EntrySettings
        The VM's name, region and bounds.
    cluster_key : bytes
        Signs forward notes.
    ports : Ports
        The other slices.
    pool : UpstreamPool
        Connections to upstreams.
    vms : UpstreamPool
        Connections to other VMs, which talk TLS where the settings say so.
    metrics : Metrics
        Counts attempts, refusals and durations.
    callers : CallerIndex
        Callers of the revision in force.
    chance : random.Random
        Chance for routing decisions.
    """

    settings: EntrySettings
    cluster_key: bytes
    ports: Ports
    pool: UpstreamPool
    vms: UpstreamPool
    metrics: Metrics
    callers: CallerIndex = field(default_factory=CallerIndex)
    chance: random.Random = field(default_factory=random.Random)
