"""Settings files of the programs, as validated models."""

from godwitshunt.settings.models import (
    Address,
    ControlSettings,
    EntrySettings,
    LimitSettings,
    LogSettings,
    NodeSettings,
    TlsSettings,
)

__all__ = [
    'Address',
    'ControlSettings',
    'EntrySettings',
    'LimitSettings',
    'LogSettings',
    'NodeSettings',
    'TlsSettings',
]
