"""Validated models of the settings files."""

from godwitshunt.settings.models import (
    Address,
    BoundSettings,
    ControlSettings,
    EntrySettings,
    FirstVoterSettings,
    IngressSettings,
    LimitSettings,
    LogSettings,
    NodeSettings,
    SchedulingSettings,
    TlsSettings,
)

__all__ = [
    'Address',
    'BoundSettings',
    'ControlSettings',
    'EntrySettings',
    'FirstVoterSettings',
    'IngressSettings',
    'LimitSettings',
    'LogSettings',
    'NodeSettings',
    'SchedulingSettings',
    'TlsSettings',
]
