"""Identification of the requests and prompt parts that crash upstreams.

A crash loses all requests that the upstream runs, and one of them is the
cause, by its content or by a part of its prompt. The cause is lost at each
upstream that runs it, while the others are answered elsewhere.
"""

from collections.abc import Container, Iterable

from godwitshunt.quarantine.fingerprint import Fingerprint
from godwitshunt.quarantine.records import SuspectRecord

# Crashes under a request or part, without an answer in between, from which on
# it is suspected.
SUSPECTED_CRASHES = 2
# Crashes until it is confirmed as the cause.
CONFIRMED_CRASHES = 3
# Distinct times of these crashes. A failed rack crashes several upstreams at
# one time, and with them copies of a request that many callers send.
CONFIRMED_CRASH_TIMES = 2
# Distinct times of crashes that no other confirmed or suspected one explains.
# A second cause that was lost together with the first one each time is
# confirmed by its next two crashes.
UNEXPLAINED_CRASH_TIMES = 2
# Crashes, and distinct times of them, that confirm a part although it was
# answered whole shortly before, or other suspected parts may explain some. A
# request that was answered whole shortly before is tried early until then.
STRONG_CRASHES = 5
STRONG_CRASH_TIMES = 3


def find_confirmed(
    records: Iterable[SuspectRecord],
) -> dict[Fingerprint, int]:
    """Return what crashes upstreams, with the numbers of crashes.

    Once a request or part is confirmed, its crashes no longer count against
    others: requests that were merely running each time are not confirmed with
    it. The more specific one is confirmed first, the content of a request
    before the parts of its prompt and later parts before earlier ones: if it
    is the wrong one, crashes continue without it and are explained by what
    they have in common with the ones before. A part that many requests share
    is confirmed only by crashes that no suspected later part explains.
    """
    suspects = sorted(filter(is_suspect, records), key=suspicion_key)
    later_parts = [
        record
        for record in suspects
        if record.part is not None and not record.is_proven
    ]
    confirmed: dict[Fingerprint, SuspectRecord] = {}
    explained: set[str] = set()
    for record in suspects:
        if is_cause(record, explained, later_parts):
            confirmed[record.fingerprint] = record
            explained.update(crashed_incarnations(record))
    causes = confirmed.values()
    return {
        cause.fingerprint: len(cause.counted_losses())
        for cause in causes
        if not is_explained_by_another(cause, causes)
    }


def is_suspect(record: SuspectRecord) -> bool:
    """Tell whether a request or part has enough crashes to be suspected."""
    return len(record.counted_losses()) >= SUSPECTED_CRASHES


def is_cause(
    record: SuspectRecord,
    explained: set[str],
    later_parts: Iterable[SuspectRecord],
) -> bool:
    """Tell whether a request or part has enough crashes of its own.

    Parameters
    ----------
    explained : set of str
        Incarnations whose crashes a confirmed cause explains.
    later_parts : iterable of SuspectRecord
        Suspected parts that were not answered.
    """
    if len(record.counted_losses()) < CONFIRMED_CRASHES:
        return False
    if record.count_crash_times() < CONFIRMED_CRASH_TIMES:
        return False
    if record.part is None:
        times = record.count_crash_times(explained)
        return times >= UNEXPLAINED_CRASH_TIMES
    if has_strong_evidence(record, explained):
        return True
    if record.is_proven:
        return False
    explainable = explained.union(
        *(
            crashed_incarnations(other)
            for other in later_parts
            if other.part.position > record.part.position
        )
    )
    return record.count_crash_times(explainable) >= UNEXPLAINED_CRASH_TIMES


def has_strong_evidence(record: SuspectRecord, explained: set[str]) -> bool:
    """Tell whether many crashes of a part are left without a cause."""
    unexplained = crashed_incarnations(record) - explained
    if len(unexplained) < STRONG_CRASHES:
        return False
    return record.count_crash_times(explained) >= STRONG_CRASH_TIMES


def is_explained_by_another(
    record: SuspectRecord, confirmed: Iterable[SuspectRecord]
) -> bool:
    """Tell whether a confirmed cause explains more than this one."""
    crashes = crashed_incarnations(record)
    return any(crashes < crashed_incarnations(other) for other in confirmed)


def is_doubtful(record: SuspectRecord) -> bool:
    """Tell whether a confirmed request may have been lost by chance.

    A request that many callers send alike is lost in each crash of an outage,
    although it was answered until then.
    """
    return (
        record.part is None
        and record.was_answered_before
        and not has_strong_evidence(record, set())
    )


def is_contested(
    record: SuspectRecord,
    records: Iterable[SuspectRecord],
    companions: Container[Fingerprint],
) -> bool:
    """Tell whether parts that a prompt lacks may be the cause instead.

    Parameters
    ----------
    record : SuspectRecord
        A request or part that is confirmed as the cause.
    companions : container of Fingerprint
        All parts of the prompt.
    """
    explained: set[str] = set()
    for other in records:
        is_alternative = (
            other.part is not None
            and other.fingerprint not in companions
            and is_suspect(other)
            and not other.is_proven
        )
        if is_alternative:
            explained.update(crashed_incarnations(other))
    return record.count_crash_times(explained) < UNEXPLAINED_CRASH_TIMES


def crashed_incarnations(record: SuspectRecord) -> set[str]:
    """Return the incarnations of the counted losses."""
    return {loss.incarnation for loss in record.counted_losses()}


def suspicion_key(
    record: SuspectRecord,
) -> tuple[bool, float, int, float, bytes]:
    """Return a sort key that puts the first to be confirmed first.

    Of equally specific ones the one with the most crashes is first, and of
    those the one with the shortest exposure, as the cause crashes upstreams
    soon while others are running by chance.
    """
    position = float('inf') if record.part is None else record.part.position
    return (
        record.is_proven,
        -position,
        -len(record.counted_losses()),
        record.total_exposure_s(),
        record.fingerprint.digest,
    )
