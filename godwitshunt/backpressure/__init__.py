"""Backpressure: what upstreams state about their load in answers.

An upstream limits the requests that it is sent by headers of its answers. This
package reads such headers, keeps what each upstream has stated, and divides its
limit among the processes that send to it. It performs no I/O.
"""

from godwitshunt.backpressure.brittleness import BrittleNotice, BrittleTable
from godwitshunt.backpressure.departures import DepartureTable
from godwitshunt.backpressure.headers import (
    InvalidHeader,
    read_decimal,
    read_flag,
)
from godwitshunt.backpressure.pauses import PauseTable
from godwitshunt.backpressure.rate_limiter import RateLimiter
from godwitshunt.backpressure.rate_limits import (
    RateLimitNotice,
    RateLimitTable,
)
from godwitshunt.backpressure.rate_shares import (
    NO_SHARE,
    RateShare,
    entry_share,
    picker_share,
)

__all__ = [
    'BrittleNotice',
    'BrittleTable',
    'DepartureTable',
    'InvalidHeader',
    'NO_SHARE',
    'PauseTable',
    'RateLimitNotice',
    'RateLimitTable',
    'RateLimiter',
    'RateShare',
    'entry_share',
    'picker_share',
    'read_decimal',
    'read_flag',
]
