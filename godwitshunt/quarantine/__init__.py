"""Detection and quarantine of requests that crash upstreams.

A crash of an upstream loses all requests that it runs. This package records by
content which requests were lost to which upstreams, identifies the request
that is lost wherever it is sent, and quarantines it. Except for its log lines
it performs no I/O.
"""

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
from godwitshunt.quarantine.verdicts import (
    CONFIRMED_CRASH_TIMES,
    CONFIRMED_CRASHES,
    find_confirmed,
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
