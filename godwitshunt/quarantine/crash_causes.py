"""Which of several lost requests crashes upstreams; pure.

An upstream that ends takes with it all that it runs. Each of those requests
was lost there, one of them is the cause. What tells them apart: the cause is
lost at each upstream that runs it, and others are answered elsewhere.
"""

from collections.abc import Iterable

from godwitshunt.quarantine.fingerprint import Fingerprint
from godwitshunt.quarantine.records import SuspectRecord

# Upstreams that end under a request, with no answer in between, until it is
# held to be the cause.
CONFIRMED_CRASHES = 3
# They must have ended at so many moments: a lost rack ends several at one, and
# with them a request that many callers send alike.
CONFIRMED_CRASH_TIMES = 2
# At so many moments no other cause must explain the ends: a second cause that
# was lost beside the first one each time is found by its next two.
UNEXPLAINED_MOMENTS = 2


def find_confirmed(
    records: Iterable[SuspectRecord],
) -> dict[Fingerprint, int]:
    """Return the requests that crash upstreams, with the ends under each.

    The one with the most ends goes first, and what ended under it speaks
    against no other request any more: who merely stood by each time is not
    held guilty with it. Among equals it is the one that upstreams had for the
    shorter time, since the cause ends them soon and a bystander is there by
    chance.
    """
    suspects = [one for one in records if is_suspect(one)]
    suspects.sort(key=strength)
    confirmed: dict[Fingerprint, int] = {}
    explained: set[str] = set()
    for record in suspects:
        if record.moments(explained) >= UNEXPLAINED_MOMENTS:
            confirmed[record.fingerprint] = len(record.held())
            explained.update(one.incarnation for one in record.held())
    return confirmed


def is_suspect(record: SuspectRecord) -> bool:
    """Tell whether a request may be a cause, whatever else was lost."""
    if len(record.held()) < CONFIRMED_CRASHES:
        return False
    return record.moments() >= CONFIRMED_CRASH_TIMES


def strength(record: SuspectRecord) -> tuple[int, float, bytes]:
    """Return a key that sorts the strongest suspect first."""
    digest = record.fingerprint.digest
    return (-len(record.held()), record.exposure_s(), digest)
