"""Requests under which upstreams crash: told apart, counted, kept back.

An upstream that ends takes with it all that it runs. This slice remembers by
content which requests were lost to which upstreams, finds the one that is lost
wherever it goes, and keeps it back. It is pure but for its log lines; it knows
no socket and no message.
"""

from godwitshunt.quarantine.crash_causes import (
    CONFIRMED_CRASH_TIMES,
    CONFIRMED_CRASHES,
    find_confirmed,
)
from godwitshunt.quarantine.fingerprint import Fingerprint
from godwitshunt.quarantine.records import Loss, SuspectRecord
from godwitshunt.quarantine.state import (
    QUARANTINE_S,
    Assessment,
    Quarantine,
    QuarantineStatus,
)
from godwitshunt.quarantine.table import (
    SUSPECTED_CRASHES,
    LostRequest,
    SuspectTable,
    SuspectUpdate,
)

__all__ = [
    'Fingerprint',
    'Loss',
    'LostRequest',
    'SuspectRecord',
    'SuspectTable',
    'SuspectUpdate',
    'SUSPECTED_CRASHES',
    'CONFIRMED_CRASHES',
    'CONFIRMED_CRASH_TIMES',
    'find_confirmed',
    'Quarantine',
    'QUARANTINE_S',
    'QuarantineStatus',
    'Assessment',
]
