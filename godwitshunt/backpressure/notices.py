"""Newest statements of upstreams about a number."""

from typing import Protocol, TypeVar


class Notice(Protocol):
    """A statement of one answer.

    Parameters
    ----------
    per_s : float or None
        The stated number per second; None if the answer states none.
    asof_s : float
        When it was true, in monotonic seconds.
    """

    per_s: float | None
    asof_s: float


NoticeType = TypeVar('NoticeType', bound=Notice)


def record_newest(
    notices: dict[str, NoticeType], name: str, notice: NoticeType
) -> bool:
    """Record a notice that is newer than the known one.

    Returns
    -------
    bool
        True if the stated number has changed.
    """
    known = notices.get(name)
    if known is None and notice.per_s is None:
        return False
    if known is not None and notice.asof_s <= known.asof_s:
        return False
    notices[name] = notice
    return known is None or known.per_s != notice.per_s
