"""Models, digest and residency rules of the operator's manifest."""

from godwitshunt.manifest.documents import (
    canonical_bytes,
    manifest_digest,
    parse_manifest,
)
from godwitshunt.manifest.models import (
    Caller,
    Manifest,
    ModelDeclaration,
    Objective,
    Region,
    RequestClass,
    ResidencyRule,
    Service,
    ServiceKind,
)
from godwitshunt.manifest.organisations import (
    LimitUnit,
    Organisation,
    OrganisationLimit,
)
from godwitshunt.manifest.residency import (
    ResidencyRefusal,
    allowed_regions,
)
from godwitshunt.manifest.routes import (
    ColdStart,
    Engine,
    InputLimits,
    Route,
    RouteKind,
    WeightedService,
)

__all__ = [
    'Caller',
    'ColdStart',
    'Engine',
    'InputLimits',
    'LimitUnit',
    'Organisation',
    'OrganisationLimit',
    'Route',
    'RouteKind',
    'WeightedService',
    'Manifest',
    'ModelDeclaration',
    'Objective',
    'Region',
    'RequestClass',
    'ResidencyRule',
    'Service',
    'ServiceKind',
    'ResidencyRefusal',
    'allowed_regions',
    'canonical_bytes',
    'manifest_digest',
    'parse_manifest',
]
