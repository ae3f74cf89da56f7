"""Accepting, distributing and applying configuration."""

import lazy_loader

# Loaded when first used: a program starts without the parts that it lacks.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        'replicated_log': [
            'ReplicatedLog',
            'SingleLog',
        ],
        'revision': [
            'HolderSet',
            'Revision',
            'VmRecord',
            'VmRole',
        ],
        'service': [
            'ConfigurationService',
        ],
        'state': [
            'ControlState',
        ],
        'task': [
            'ConfigurationTask',
        ],
        'transitions': [
            'apply_command',
        ],
    },
)
