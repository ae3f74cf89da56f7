"""Backpressure: what upstreams state about their load in answers.

An upstream limits the requests that it is sent by headers of its answers. This
package reads such headers and keeps what each upstream has stated. It performs
no I/O.
"""

from godwitshunt.backpressure.headers import InvalidHeader, read_decimal
from godwitshunt.backpressure.rate_limits import (
    RateLimitNotice,
    RateLimitTable,
)

__all__ = [
    'InvalidHeader',
    'RateLimitNotice',
    'RateLimitTable',
    'read_decimal',
]
