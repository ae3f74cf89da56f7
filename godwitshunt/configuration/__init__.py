"""Acceptance, distribution and application of configuration revisions."""

import lazy_loader

# Loaded on first use, so that a program starts without modules that it does
# not need or have installed.
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
