"""Requests under which upstreams crash: told apart, counted, kept back.

An upstream that ends takes with it all that it runs. This slice remembers by
content which requests were lost to which upstreams, finds the one that is lost
wherever it goes, and keeps it back. It is pure but for its log lines; it knows
no socket and no message.
"""

from godwitshunt.quarantine.fingerprint import Fingerprint
from godwitshunt.quarantine.records import Loss, SuspectRecord
from godwitshunt.quarantine.standing import (
    QUARANTINE_S,
    Believed,
    Quarantine,
    Standing,
)
from godwitshunt.quarantine.table import (
    SUSPECTED_PLACES,
    LostRequest,
    SuspectNews,
    SuspectTable,
)
from godwitshunt.quarantine.verdicts import (
    GUILTY_MOMENTS,
    GUILTY_PLACES,
    find_guilty,
)

__all__ = [
    'Fingerprint',
    'Loss',
    'LostRequest',
    'SuspectRecord',
    'SuspectTable',
    'SuspectNews',
    'SUSPECTED_PLACES',
    'GUILTY_PLACES',
    'GUILTY_MOMENTS',
    'find_guilty',
    'Quarantine',
    'QUARANTINE_S',
    'Standing',
    'Believed',
]
