"""Conversion of upstreams' limits to and from thrift structs."""

from collections.abc import Iterable

from godwitshunt.backpressure import BrittleNotice, RateLimitNotice
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.wire import age_ms, time_of_age_s


def rate_limits_to_wire(
    notices: Iterable[RateLimitNotice], now_s: float
) -> list[ttypes.RateLimitInfo]:
    """Return notices with a limit as structs, with their ages."""
    return [
        ttypes.RateLimitInfo(
            notice.incarnation, notice.per_s, age_ms(notice.asof_s, now_s)
        )
        for notice in notices
    ]


def rate_limits_from_wire(
    structs: Iterable[ttypes.RateLimitInfo] | None, now_s: float
) -> list[RateLimitNotice]:
    """Read notices; ages become points in time."""
    return [
        RateLimitNotice(
            struct.instance, struct.per_s, time_of_age_s(struct.age_ms, now_s)
        )
        for struct in structs or ()
    ]


def brittle_to_wire(
    notices: Iterable[BrittleNotice], now_s: float
) -> list[ttypes.BrittleInfo] | None:
    """Return notices as structs, with their ages; None if there are none."""
    return [
        ttypes.BrittleInfo(
            notice.service,
            notice.per_s,
            age_ms(notice.asof_s, now_s),
        )
        for notice in notices
    ] or None


def brittle_from_wire(
    structs: Iterable[ttypes.BrittleInfo] | None, now_s: float
) -> list[BrittleNotice]:
    """Read notices; ages become points in time."""
    return [
        BrittleNotice(
            struct.service_name,
            struct.rejections_per_s,
            time_of_age_s(struct.age_ms, now_s),
        )
        for struct in structs or ()
    ]
