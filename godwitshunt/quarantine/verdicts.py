"""Identification of the requests that crash upstreams.

A crash loses all requests that the upstream runs, and one of them is the
cause. The cause is lost at each upstream that runs it, while the others are
answered elsewhere.
"""

from collections.abc import Iterable

from godwitshunt.quarantine.fingerprint import Fingerprint
from godwitshunt.quarantine.records import SuspectRecord

# Crashes under a request, without an answer in between, until it is confirmed
# as the cause.
CONFIRMED_CRASHES = 3
# Distinct times of these crashes. A failed rack crashes several upstreams at
# one time, and with them copies of a request that many callers send.
CONFIRMED_CRASH_TIMES = 2
# Distinct times of crashes that no other confirmed request explains. A second
# cause that was lost together with the first one each time is confirmed by its
# next two crashes.
UNEXPLAINED_CRASH_TIMES = 2


def find_confirmed(
    records: Iterable[SuspectRecord],
) -> dict[Fingerprint, int]:
    """Return the requests that crash upstreams, with their numbers of crashes.

    The request with the most crashes is confirmed first, and its crashes no
    longer count against others: requests that were merely running each time
    are not confirmed with it. Of requests with equal crashes, the one with the
    shorter exposure is first, as the cause crashes upstreams soon while others
    are running by chance.
    """
    suspects = [entry for entry in records if is_suspect(entry)]
    suspects.sort(key=suspicion_key)
    confirmed: dict[Fingerprint, int] = {}
    explained_incarnations: set[str] = set()
    for record in suspects:
        if (
            record.count_crash_times(explained_incarnations)
            >= UNEXPLAINED_CRASH_TIMES
        ):
            confirmed[record.fingerprint] = len(record.counted_losses())
            explained_incarnations.update(
                entry.incarnation for entry in record.counted_losses()
            )
    return confirmed


def is_suspect(record: SuspectRecord) -> bool:
    """Tell whether a request has enough crashes of its own."""
    if len(record.counted_losses()) < CONFIRMED_CRASHES:
        return False
    return record.count_crash_times() >= CONFIRMED_CRASH_TIMES


def suspicion_key(record: SuspectRecord) -> tuple[int, float, bytes]:
    """Return a sort key that puts the strongest suspect first."""
    digest = record.fingerprint.digest
    return (-len(record.counted_losses()), record.total_exposure_s(), digest)
