"""Who serves: upstreams and entry VMs, heard by control, polled by entries."""

from godwitshunt.registry.entries import EntryTable
from godwitshunt.registry.records import EntryRecord, Load, UpstreamAnnounced
from godwitshunt.registry.service import RegistryService
from godwitshunt.registry.table import Stale, Taken, UpstreamTable
from godwitshunt.registry.views import RegistryView, UpstreamSeen
from godwitshunt.registry.watch import OwnState, RegistryWatch

__all__ = [
    'EntryRecord',
    'EntryTable',
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
