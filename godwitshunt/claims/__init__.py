"""At-most-once execution of non-idempotent calls."""

from godwitshunt.claims.holder_task import ClaimHolderTask
from godwitshunt.claims.messages import (
    AlreadyAnswered,
    ClaimOutcome,
    Granted,
    InProgress,
    KeptAnswer,
    KeyExpired,
    KeyMalformed,
    KeyReused,
    NoMajority,
    RunUnknown,
)
from godwitshunt.claims.task import ClaimsTask

__all__ = [
    'AlreadyAnswered',
    'ClaimHolderTask',
    'ClaimOutcome',
    'ClaimsTask',
    'Granted',
    'InProgress',
    'KeptAnswer',
    'KeyExpired',
    'KeyMalformed',
    'KeyReused',
    'NoMajority',
    'RunUnknown',
]
