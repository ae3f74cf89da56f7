"""Validated models of the operator's manifest.

The manifest is the only source of the desired state. Unknown fields are
errors, so that a misspelt rule is never silently ignored.
"""

from enum import StrEnum
from typing import Self

from pydantic import Field, model_validator

from godwitshunt.manifest.base import Digest, Name, StrictModel
from godwitshunt.manifest.organisations import Organisation, check_keys
from godwitshunt.manifest.routes import ColdStart, Engine, InputLimits, Route


class ServiceKind(StrEnum):
    """Kind of the upstreams of a service."""

    model = 'model'
    plain = 'plain'


class Region(StrictModel):
    """A region, its price and its round trips to other regions.

    Parameters
    ----------
    name : str
        The region's name.
    failure_domains : tuple of str
        Failure domains: parts of the region whose VMs fail together.
    price : float
        Cost of 1,000 generated tokens, in the operator's currency.
    round_trip_ms : dict
        Round-trip times to other regions in milliseconds, where known.
    """

    name: Name
    failure_domains: tuple[Name, ...] = ()
    price: float = Field(default=1.0, ge=0)
    round_trip_ms: dict[Name, float] = Field(default_factory=dict)


class Service(StrictModel):
    """A service that requests are sent to.

    Parameters
    ----------
    name : str
        The service's name; for plain services, the first part of the path.
    kind : ServiceKind
        Whether the upstreams are model engines or plain services.
    non_idempotent_methods : tuple of str
        HTTP methods whose requests may run at most once; such a request needs
        an ``Idempotency-Key``.
    deadline_s : float
        Default deadline in seconds of requests that state none.
    health_path : str or None
        Path of the health check of an upstream; None for no health check.
    connections : int or None
        Connections that an upstream accepts from all VMs together; None for
        no limit.
    cold_start : ColdStart or None
        Load limit of a cold upstream; None for no limit.
    engine : Engine or None
        Capacity of each model engine; None for plain services.
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
        The name that callers state in the field ``model``.
    service : str
        The service whose upstreams serve it.
    regions : tuple of str
        Regions that the model may run in; empty for all.
    adapters : tuple of str
        Adapters that upstreams may load in addition.
    version : str
        The version that upstreams are instructed to load.
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
        Requests of a higher priority are served first.
    deadline_s : float
        Deadline in seconds of requests of this class.
    slot_share : float
        Largest share of an upstream's slots that the class may occupy, 0 to 1.
    queue_limit : int
        Requests of this class that may be queued in one entry VM.
    """

    name: Name
    priority: int = Field(default=0, ge=0, le=9)
    deadline_s: float = Field(default=30.0, gt=0, le=86400)
    slot_share: float = Field(default=1.0, gt=0, le=1)
    queue_limit: int = Field(default=256, ge=0)


class ResidencyRule(StrictModel):
    """Regions that may serve the requests of callers with this rule."""

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
        The default class of its requests.
    residency : str or None
        Name of a residency rule; None to allow every region.
    requests_per_s : float
        Requests per second that the caller may send to the whole
        deployment.
    burst : int
        Requests allowed in a burst beyond that rate.
    """

    name: Name
    key_sha256: Digest
    home: Name
    request_class: Name
    residency: Name | None = None
    requests_per_s: float = Field(default=100.0, gt=0)
    burst: int = Field(default=100, ge=1)


class Objective(StrictModel):
    """Weights of the three terms in the cost of a routing decision.

    Parameters
    ----------
    latency : float
        Weight of each second until the first token.
    cost : float
        Weight of the price of 1,000 tokens.
    share_away : float
        Penalty, in seconds of waiting, for serving a request outside the
        home region.
    """

    latency: float = Field(default=1.0, ge=0)
    cost: float = Field(default=0.0, ge=0)
    share_away: float = Field(default=0.0, ge=0)


class Manifest(StrictModel):
    """Everything that operators declare.

    Parameters
    ----------
    number : int
        Sequence number assigned by the operator's pipeline; it increases
        with each manifest.
    deployment : str
        The deployment's name.
    retry_share : float
        Largest share of retries and hedged requests together, relative to
        first attempts.
    routes : tuple of Route
        Rules for requests that name no model or service.
    organisations : tuple of Organisation
        Organisations that may send requests of keyed routes.
    input_limits : InputLimits
        Size and time limits on requests of routes.
    origin : str
        The unmodified document that the pipeline generated this manifest
        from, returned on request; empty if there is none.
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
        """Reject duplicate names and references to undeclared names."""
        regions = unique_names('regions', self.regions)
        services = unique_names('services', self.services)
        classes = unique_names('classes', self.classes)
        rules = unique_names('residency', self.residency)
        unique_names('models', self.models)
        unique_names('callers', self.callers)
        for model in self.models:
            require_declared(
                'models', model.name, 'service', model.service, services
            )
            for region in model.regions:
                require_declared(
                    'models', model.name, 'regions', region, regions
                )
        for rule in self.residency:
            for region in rule.regions:
                require_declared(
                    'residency', rule.name, 'regions', region, regions
                )
        for caller in self.callers:
            require_declared(
                'callers', caller.name, 'home', caller.home, regions
            )
            require_declared(
                'callers',
                caller.name,
                'request_class',
                caller.request_class,
                classes,
            )
            if caller.residency is not None:
                require_declared(
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
        """Reject shared keys and homes that are undeclared regions."""
        unique_names('organisations', self.organisations)
        check_keys(self.organisations)
        for organisation in self.organisations:
            for home in organisation.homes:
                require_declared(
                    'organisations', organisation.name, 'homes', home, regions
                )

    def check_routes(
        self,
        services: frozenset[str],
        regions: frozenset[str],
    ) -> None:
        """Reject undeclared services and regions, and duplicate routes."""
        unique_names('routes', self.routes)
        matchers = {(route.host, route.path_prefix) for route in self.routes}
        if len(matchers) != len(self.routes):
            raise ValueError('routes: two have the same host and path_prefix')
        for route in self.routes:
            for target in route.services:
                require_declared(
                    'routes', route.name, 'services', target.service, services
                )
            for home in route.homes:
                require_declared('routes', route.name, 'homes', home, regions)


def unique_names(section: str, entries: tuple) -> frozenset[str]:
    """Return the names of a section; raise ValueError on a duplicate."""
    names = [entry.name for entry in entries]
    for name in names:
        if len(names) < 64 and names.count(name) > 1:
            raise ValueError(f'{section}: the name {name} stands twice')
    if len(set(names)) != len(names):
        raise ValueError(f'{section}: a name stands twice')
    return frozenset(names)


def require_declared(
    section: str,
    name: str,
    field: str,
    reference: str,
    declared: frozenset[str],
) -> None:
    """Raise ValueError if a reference is not a declared name."""
    if reference not in declared:
        expected = ', '.join(sorted(declared)) or 'nothing (none is declared)'
        raise ValueError(
            f'{section}.{name}.{field}: found {reference}, '
            f'expected one of: {expected}',
        )
