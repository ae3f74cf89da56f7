"""Registry of upstreams and entry VMs.

Control VMs receive announcements and polls; entry VMs poll control VMs for
changes.
"""

from godwitshunt.registry.entries import EntryTable
from godwitshunt.registry.records import EntryRecord, Load, UpstreamAnnounced
from godwitshunt.registry.service import RegistryService
from godwitshunt.registry.table import (
    Foreign,
    Stale,
    Taken,
    UpstreamTable,
)
from godwitshunt.registry.views import RegistryView, UpstreamSeen
from godwitshunt.registry.watch import OwnState, RegistryWatch

__all__ = [
    'EntryRecord',
    'EntryTable',
    'Foreign',
    'Load',
    'OwnState',
    'RegistryService',
    'RegistryView',
    'RegistryWatch',
    'Stale',
    'Taken',
    'UpstreamAnnounced',
    'UpstreamSeen',
    'UpstreamTable',
]
