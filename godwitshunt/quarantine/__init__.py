"""Detection and quarantine of what crashes upstreams.

A crash of an upstream loses all requests that it runs. This package records
which requests, by content, and which parts of their prompts were lost to which
upstreams, identifies the request or part that is lost wherever it is sent, and
quarantines it. Except for its log lines it performs no I/O.
"""

from godwitshunt.quarantine.fingerprint import Fingerprint
from godwitshunt.quarantine.records import Loss, SuspectPart, SuspectRecord
from godwitshunt.quarantine.state import (
    CLEAR,
    QUARANTINE_S,
    Assessment,
    Quarantine,
    QuarantineStatus,
)
from godwitshunt.quarantine.table import (
    MAX_DELTA_RECORDS,
    LostRequest,
    SuspectTable,
    SuspectUpdate,
)
from godwitshunt.quarantine.verdicts import (
    CONFIRMED_CRASH_TIMES,
    CONFIRMED_CRASHES,
    SUSPECTED_CRASHES,
    find_confirmed,
)

__all__ = [
    'MAX_DELTA_RECORDS',
    'Fingerprint',
    'Loss',
    'LostRequest',
    'SuspectPart',
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
    'CLEAR',
]
