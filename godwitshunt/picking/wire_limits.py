"""Conversion of upstreams' rate limits to and from thrift structs."""

from collections.abc import Iterable

from godwitshunt.backpressure import RateLimitNotice
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
