"""Accepting, distributing and applying configuration."""

from godwitshunt.configuration.replicated_log import (
    Leadership,
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
from godwitshunt.configuration.state import ControlState, apply_command
from godwitshunt.configuration.task import ConfigurationTask

__all__ = [
    'ConfigurationService',
    'ConfigurationTask',
    'ControlState',
    'HolderSet',
    'Leadership',
    'ReplicatedLog',
    'Revision',
    'SingleLog',
    'VmRecord',
    'VmRole',
    'apply_command',
]
