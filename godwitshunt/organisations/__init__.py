"""Who may send requests of keyed routes, where, and how much.

`keys` finds an organisation by its key, `proofs` says how long what is known
of keys holds, `binding` joins an organisation's rules with a route's, and
`limits` keeps an organisation's limit over all VMs.
"""

from godwitshunt.organisations.binding import UrgencyLevels, bind_route
from godwitshunt.organisations.freshness import FreshnessRule
from godwitshunt.organisations.keys import KeyRing, key_digest
from godwitshunt.organisations.limits import (
    AdmissionShare,
    LimitPool,
    Sums,
    limits_of,
)
from godwitshunt.organisations.shares import fixed_shares, usable_share

__all__ = [
    'KeyRing',
    'LimitPool',
    'FreshnessRule',
    'AdmissionShare',
    'Sums',
    'UrgencyLevels',
    'bind_route',
    'fixed_shares',
    'key_digest',
    'limits_of',
    'usable_share',
]
