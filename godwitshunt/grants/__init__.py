"""Capacity that regions grant to each other for hand-overs; no I/O."""

from godwitshunt.grants.granting import GrantIssuer, Redemption
from godwitshunt.grants.holding import GrantHolder, HeldGrant
from godwitshunt.grants.link_budget import Crossing, LinkBudget
from godwitshunt.grants.records import (
    GRANT_TTL_S,
    Capacity,
    Grant,
    GrantNews,
    GrantUse,
    UnmetDemand,
)
from godwitshunt.grants.region import GrantQuery, RegionGrants

__all__ = [
    'GRANT_TTL_S',
    'Capacity',
    'Crossing',
    'Grant',
    'GrantHolder',
    'GrantIssuer',
    'GrantNews',
    'GrantQuery',
    'GrantUse',
    'HeldGrant',
    'LinkBudget',
    'Redemption',
    'RegionGrants',
    'UnmetDemand',
]
