"""Validated models of the operator's manifest.

The manifest is the single statement of intent. Unknown fields are errors, so
that a misspelt rule is never silently left out.
"""

from enum import StrEnum
from typing import Self

from pydantic import Field, model_validator

from godwitshunt.manifest.base import Digest, Name, StrictModel
from godwitshunt.manifest.organisations import Organisation, check_keys
from godwitshunt.manifest.routes import ColdStart, Engine, InputLimits, Route


class ServiceKind(StrEnum):
    """What stands behind a service."""

    model = 'model'
    plain = 'plain'


class Region(StrictModel):
    """A region and what reaching it costs.

    Parameters
    ----------
    name : str
        The region's name.
    failure_domains : tuple of str
        Parts of the region that fail together.
    price : float
        Cost of 1,000 generated tokens, in the operator's currency.
    round_trip_ms : dict
        Round trip to other regions in milliseconds, where known.
    """

    name: Name
    failure_domains: tuple[Name, ...] = ()
    price: float = Field(default=1.0, ge=0)
    round_trip_ms: dict[Name, float] = Field(default_factory=dict)


class Service(StrictModel):
    """A service that requests name.

    Parameters
    ----------
    name : str
        The service's name; for plain services, the first part of the path.
    kind : ServiceKind
        Whether model engines or plain services answer.
    non_idempotent_methods : tuple of str
        HTTP methods whose calls may run at most once; such a call needs an
        ``Idempotency-Key``.
    deadline_s : float
        Seconds until a request without a deadline of its own is given up.
    health_path : str or None
        Path that tells whether an upstream is healthy; None where there is
        none.
    connections : int or None
        Connections that an upstream takes from all VMs together; None for
        any number.
    cold_start : ColdStart or None
        What an upstream bears while it is cold; None where that is no matter.
    engine : Engine or None
        What its model engines are made of; None for plain services.
    """

    name: Name
    kind: ServiceKind
    non_idempotent_methods: tuple[str, ...] = ()
    deadline_s: float = Field(default=30.0, gt=0, le=3600)
    health_path: str | None = None
    connections: int | None = Field(default=None, ge=1)
    cold_start: ColdStart | None = None
    engine: Engine | None = None


class ModelDeclaration(StrictModel):
    """A model that a service offers.

    Parameters
    ----------
    name : str
        The name that callers give in ``model``.
    service : str
        The service whose upstreams serve it.
    regions : tuple of str
        Regions that the model may run in; empty for all.
    adapters : tuple of str
        Adapters that upstreams may load beside it.
    version : str
        The version that upstreams are ordered to load.
    """

    name: Name
    service: Name
    regions: tuple[Name, ...] = ()
    adapters: tuple[Name, ...] = ()
    version: str = '1'


class RequestClass(StrictModel):
    """A class of requests that share a priority and limits.

    Parameters
    ----------
    name : str
        The class's name.
    priority : int
        Higher is served first.
    deadline_s : float
        Seconds until a request of this class is given up.
    slot_share : float
        Largest share of an upstream's slots that the class may fill, 0 to 1.
    queue_limit : int
        Requests of this class that may wait in one entry VM.
    """

    name: Name
    priority: int = Field(default=0, ge=0, le=9)
    deadline_s: float = Field(default=30.0, gt=0, le=86400)
    slot_share: float = Field(default=1.0, gt=0, le=1)
    queue_limit: int = Field(default=256, ge=0)


class ResidencyRule(StrictModel):
    """Regions in which requests of the rule's callers may be served."""

    name: Name
    regions: tuple[Name, ...] = Field(min_length=1)


class Caller(StrictModel):
    """An organisation or a system that sends requests.

    Parameters
    ----------
    name : str
        The caller's name.
    key_sha256 : str
        SHA-256 of the caller's key, in hexadecimal; the key itself is never
        in the manifest.
    home : str
        The caller's home region.
    request_class : str
        The class of requests that name none.
    residency : str or None
        A residency rule; None leaves every region open.
    requests_per_s : float
        Requests that the caller may send each second over the whole
        deployment.
    burst : int
        Requests that it may send at once beyond that.
    """

    name: Name
    key_sha256: Digest
    home: Name
    request_class: Name
    residency: Name | None = None
    requests_per_s: float = Field(default=100.0, gt=0)
    burst: int = Field(default=100, ge=1)


class Objective(StrictModel):
    """Weights of the three measures in a routing decision.

    Parameters
    ----------
    latency : float
        Weight of a second until the first token.
    cost : float
        Weight of the price of 1,000 tokens.
    share_away : float
        Weight of leaving the home region, in seconds of waiting that staying
        home is worth.
    """

    latency: float = Field(default=1.0, ge=0)
    cost: float = Field(default=0.0, ge=0)
    share_away: float = Field(default=0.0, ge=0)


class Manifest(StrictModel):
    """Everything that operators declare.

    Parameters
    ----------
    number : int
        The pipeline's number of this manifest; a later one is higher.
    deployment : str
        The deployment's name.
    retry_share : float
        Retries and hedges together, as a share of first tries.
    routes : tuple of Route
        Requests that name no model or service, by host and path prefix.
    organisations : tuple of Organisation
        Who may send requests of keyed routes.
    input_limits : InputLimits
        What callers of routes may send.
    origin : str
        The document that the pipeline made this manifest from, kept as it is
        for whoever asks; empty where there is none.
    """

    number: int = Field(ge=1, lt=2**63)
    deployment: Name
    regions: tuple[Region, ...] = Field(min_length=1)
    services: tuple[Service, ...] = Field(min_length=1)
    models: tuple[ModelDeclaration, ...] = ()
    classes: tuple[RequestClass, ...] = Field(min_length=1)
    residency: tuple[ResidencyRule, ...] = ()
    callers: tuple[Caller, ...] = ()
    objective: Objective = Objective()
    retry_share: float = Field(default=0.1, ge=0, le=1)
    routes: tuple[Route, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    input_limits: InputLimits = InputLimits()
    origin: str = ''

    @model_validator(mode='after')
    def check_references(self) -> Self:
        """Refuse names that stand twice and references to nothing."""
        regions = unique_names('regions', self.regions)
        services = unique_names('services', self.services)
        classes = unique_names('classes', self.classes)
        rules = unique_names('residency', self.residency)
        unique_names('models', self.models)
        unique_names('callers', self.callers)
        for model in self.models:
            require('models', model.name, 'service', model.service, services)
            for region in model.regions:
                require('models', model.name, 'regions', region, regions)
        for rule in self.residency:
            for region in rule.regions:
                require('residency', rule.name, 'regions', region, regions)
        for caller in self.callers:
            require('callers', caller.name, 'home', caller.home, regions)
            require(
                'callers',
                caller.name,
                'request_class',
                caller.request_class,
                classes,
            )
            if caller.residency is not None:
                require(
                    'callers',
                    caller.name,
                    'residency',
                    caller.residency,
                    rules,
                )
        self.check_routes(services, regions)
        self.check_organisations(regions)
        return self

    def check_organisations(self, regions: frozenset[str]) -> None:
        """Refuse shared keys, and homes that are no regions."""
        unique_names('organisations', self.organisations)
        check_keys(self.organisations)
        for one in self.organisations:
            for home in one.homes:
                require('organisations', one.name, 'homes', home, regions)

    def check_routes(
        self,
        services: frozenset[str],
        regions: frozenset[str],
    ) -> None:
        """Refuse routes to nothing, and two routes for one place."""
        unique_names('routes', self.routes)
        places = {(route.host, route.path_prefix) for route in self.routes}
        if len(places) != len(self.routes):
            raise ValueError('routes: two have the same host and path_prefix')
        for route in self.routes:
            for one in route.services:
                require('routes', route.name, 'services', one.service, services)
            for home in route.homes:
                require('routes', route.name, 'homes', home, regions)


def unique_names(section: str, entries: tuple) -> frozenset[str]:
    """Return the names of a section; raise ValueError where one repeats."""
    names = [entry.name for entry in entries]
    for name in names:
        if len(names) < 64 and names.count(name) > 1:
            raise ValueError(f'{section}: the name {name} stands twice')
    if len(set(names)) != len(names):
        raise ValueError(f'{section}: a name stands twice')
    return frozenset(names)


def require(
    section: str,
    name: str,
    field: str,
    reference: str,
    known: frozenset[str],
) -> None:
    """Raise ValueError where a reference names nothing that is declared."""
    if reference not in known:
        expected = ', '.join(sorted(known)) or 'nothing (none is declared)'
        raise ValueError(
            f'{section}.{name}.{field}: found {reference}, '
            f'expected one of: {expected}',
        )
