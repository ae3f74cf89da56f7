"""Who is there: entry VMs, upstreams with leases, other regions in sum."""

from godwitshunt.membership.announcements import (
    AnnounceAccepted,
    AnnounceRefused,
    StaleAnnouncement,
    TableFull,
    UpstreamAnnouncement,
)
from godwitshunt.membership.isolation import may_serve_isolated
from godwitshunt.membership.table import UpstreamTable
from godwitshunt.membership.task import MembershipTask
from godwitshunt.membership.views import (
    RegionSummary,
    RegionView,
    UpstreamRole,
    UpstreamView,
)

__all__ = [
    'AnnounceAccepted',
    'AnnounceRefused',
    'MembershipTask',
    'RegionSummary',
    'RegionView',
    'StaleAnnouncement',
    'TableFull',
    'UpstreamAnnouncement',
    'UpstreamRole',
    'UpstreamTable',
    'UpstreamView',
    'may_serve_isolated',
]
