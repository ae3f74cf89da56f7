"""Routes by host and path prefix, and capacities of their services."""

from enum import StrEnum
from typing import Self

from pydantic import Field, model_validator

from godwitshunt.manifest.base import Name, StrictModel


class RouteKind(StrEnum):
    """How often a request of a route may run.

    An `idempotent` request may run more than once, a `non_idempotent` one at
    most once, and a `stream` at most once unless its route is resumable.
    """

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    stream = 'stream'


class WeightedService(StrictModel):
    """A service that gets a share of a route's requests."""

    service: Name
    weight: float = Field(default=1.0, ge=0)


class Route(StrictModel):
    """A rule that maps requests by host and path prefix to services.

    Parameters
    ----------
    name : str
        The route's name in logs.
    host : str
        Host of the request in lower case, without the port.
    path_prefix : str
        Begins and ends with a slash; the longest matching prefix applies.
    kind : RouteKind
        How often a request may run.
    services : tuple of WeightedService
        Services that answer, with their weights.
    timeout_s : float
        Seconds after which a request times out.
    objective_s : float
        Latency objective in seconds for an answer or a stream's first event.
    rank : int
        Priority; 0 is served first.
    attempts : int
        Largest number of upstreams that may run a request.
    homes : tuple of str
        Regions whose upstreams may serve requests; empty for all.
    resumable : bool
        Whether an interrupted stream may resume on another upstream.
    longest_gap_s : float or None
        Objective in seconds for the longest pause between a stream's events;
        None for no objective.
    by_prompt : bool
        Whether requests state the parts of their prompt, which upstreams
        cache.
    keyed : bool
        Whether a request requires an organisation's key.
    """

    name: str = Field(min_length=1, max_length=256)
    host: str = Field(min_length=1, max_length=256)
    path_prefix: str = Field(pattern='^/(.*/)?$')
    kind: RouteKind
    services: tuple[WeightedService, ...] = Field(min_length=1)
    timeout_s: float = Field(gt=0, le=86400)
    objective_s: float = Field(default=1.0, gt=0)
    rank: int = Field(default=0, ge=0)
    attempts: int = Field(default=1, ge=1)
    homes: tuple[Name, ...] = ()
    resumable: bool = False
    longest_gap_s: float | None = None
    by_prompt: bool = False
    keyed: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may safely run more than once."""
        if self.kind is RouteKind.stream:
            return self.resumable
        return self.kind is RouteKind.idempotent

    @model_validator(mode='after')
    def check_weights(self) -> Self:
        """Reject a route whose weights are all 0."""
        if not sum(service.weight for service in self.services):
            raise ValueError(f'routes.{self.name}: the weights add up to 0')
        return self


class ColdStart(StrictModel):
    """Load limit of an upstream while it is cold.

    Parameters
    ----------
    duration_s : float
        Seconds after its start for which an upstream is cold.
    requests_per_s : float
        Requests per second that a cold upstream can serve.
    """

    duration_s: float = Field(ge=0)
    requests_per_s: float = Field(gt=0)


class Engine(StrictModel):
    """Capacity of each model engine of a service.

    Parameters
    ----------
    slots : int
        Requests that an engine runs concurrently.
    memory_tokens : int
        Capacity in tokens for running requests and cached prompt parts
        together.
    tokens_per_event : int
        Tokens per event of a stream.
    """

    slots: int = Field(ge=1)
    memory_tokens: int = Field(ge=1)
    tokens_per_event: int = Field(default=1, ge=1)


class InputLimits(StrictModel):
    """Size and time limits on requests of routes."""

    header_bytes: int = Field(default=16384, ge=1)
    body_bytes: int = Field(default=4194304, ge=0)
    header_timeout_s: float = Field(default=3.0, gt=0)
    idle_timeout_s: float = Field(default=15.0, gt=0)
