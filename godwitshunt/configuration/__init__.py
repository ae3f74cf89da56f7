"""Accepting, distributing and applying configuration."""

from godwitshunt.configuration.replicated_log import (
    ReplicatedLog,
    SingleLog,
)
from godwitshunt.configuration.revision import (
    HolderSet,
    Revision,
    VmRecord,
    VmRole,
)
from godwitshunt.configuration.service import ConfigurationService
from godwitshunt.configuration.state import ControlState
from godwitshunt.configuration.task import ConfigurationTask
from godwitshunt.configuration.transitions import apply_command

__all__ = [
    'ConfigurationService',
    'ConfigurationTask',
    'ControlState',
    'HolderSet',
    'ReplicatedLog',
    'Revision',
    'SingleLog',
    'VmRecord',
    'VmRole',
    'apply_command',
]
