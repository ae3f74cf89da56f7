"""Organisations: their keys, home regions, urgency and limits.

`keys` finds an organisation by its key, `freshness` bounds the time for which
a VM may use its known keys, `binding` combines an organisation's rules with
those of a route, and `limits` enforces an organisation's limit over all VMs.
"""

from godwitshunt.organisations.binding import UrgencyLevels, bind_route
from godwitshunt.organisations.freshness import FreshnessRule
from godwitshunt.organisations.keys import KeyRing, key_digest
from godwitshunt.organisations.limits import (
    AdmissionShare,
    AdmittedTotals,
    LimitPool,
    limits_of,
)
from godwitshunt.organisations.shares import fixed_shares, usable_share

__all__ = [
    'KeyRing',
    'LimitPool',
    'FreshnessRule',
    'AdmissionShare',
    'AdmittedTotals',
    'UrgencyLevels',
    'bind_route',
    'fixed_shares',
    'key_digest',
    'limits_of',
    'usable_share',
]
