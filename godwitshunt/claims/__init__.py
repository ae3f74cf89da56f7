"""At-most-once execution of non-idempotent calls."""

import lazy_loader

# Submodules are loaded on first use, so that a program imports only what it
# needs.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        'holder_task': [
            'ClaimHolderTask',
        ],
        'messages': [
            'AlreadyAnswered',
            'ClaimOutcome',
            'Granted',
            'InProgress',
            'StoredAnswer',
            'KeyExpired',
            'KeyMalformed',
            'KeyReused',
            'NoMajority',
            'RunUnknown',
        ],
        'task': [
            'ClaimsTask',
        ],
    },
)
