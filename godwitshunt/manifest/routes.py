"""Routes by host and path prefix, and what services behind them bear."""

from enum import StrEnum
from typing import Self

from pydantic import Field, model_validator

from godwitshunt.manifest.base import Name, StrictModel


class RouteKind(StrEnum):
    """What may be repeated of a route's requests.

    `idempotent` requests may run more than once, `non_idempotent` ones at
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
    """Requests by host and path prefix, of an organisation or of anybody.

    Parameters
    ----------
    name : str
        The operator's name for it, in logs.
    host : str
        Host of the request, small letters, without port.
    path_prefix : str
        Begins and ends with a slash; the longest that fits a path is used.
    kind : RouteKind
        What may be repeated.
    services : tuple of WeightedService
        Who answers, by weight.
    timeout_s : float
        Seconds after which a request is given up.
    objective_s : float
        Seconds within which an answer, or a stream's first event, is on time.
    rank : int
        Urgency; 0 goes first.
    attempts : int
        Upstreams that may run one request, at most.
    homes : tuple of str
        Regions whose upstreams may serve it; empty for all.
    resumable : bool
        True where a stream that broke may go on at another upstream.
    longest_gap_s : float or None
        Longest pause between events for which a stream is on time.
    by_prompt : bool
        True where requests tell the parts of their prompt, which upstreams
        cache.
    keyed : bool
        True where a request must come with an organisation's key.
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
        """True where running a request twice does no harm."""
        if self.kind is RouteKind.stream:
            return self.resumable
        return self.kind is RouteKind.idempotent

    @model_validator(mode='after')
    def check_weights(self) -> Self:
        """Refuse a route that gives no service anything."""
        if not sum(one.weight for one in self.services):
            raise ValueError(f'routes.{self.name}: the weights add up to 0')
        return self


class ColdStart(StrictModel):
    """What an upstream of a service bears while it is cold.

    Parameters
    ----------
    duration_s : float
        Seconds for which it is cold after it starts.
    requests_per_s : float
        Requests that it bears each second while cold.
    """

    duration_s: float = Field(ge=0)
    requests_per_s: float = Field(gt=0)


class Engine(StrictModel):
    """What the model engines of a service are made of.

    Parameters
    ----------
    slots : int
        Requests that one runs at once.
    memory_tokens : int
        Tokens of running requests and cached prompt parts that it holds.
    tokens_per_event : int
        Tokens in one event of a stream.
    """

    slots: int = Field(ge=1)
    memory_tokens: int = Field(ge=1)
    tokens_per_event: int = Field(default=1, ge=1)


class InputLimits(StrictModel):
    """What callers of routes may send, and how long they may take."""

    header_bytes: int = Field(default=16384, ge=1)
    body_bytes: int = Field(default=4194304, ge=0)
    header_timeout_s: float = Field(default=3.0, gt=0)
    idle_timeout_s: float = Field(default=15.0, gt=0)
