"""At-most-once execution of non-idempotent calls."""

import lazy_loader

# Loaded when first used: a program starts without the parts that it lacks.
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
