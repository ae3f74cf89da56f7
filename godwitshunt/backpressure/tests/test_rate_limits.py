"""Which notice about an upstream's rate limit counts."""

import pytest

from godwitshunt.backpressure import RateLimitNotice, RateLimitTable
from godwitshunt.backpressure.rate_limits import RETENTION_S


def table_of(*notices) -> RateLimitTable:
    """Return a table that received the notices (rate, time) in turn."""
    table = RateLimitTable()
    for per_s, asof_s in notices:
        table.record(RateLimitNotice('i-1', per_s, asof_s))
    return table


@pytest.mark.parametrize(
    ('notices', 'per_s'),
    [
        ([], None),
        ([(None, 1.0)], None),
        ([(2.0, 1.0)], 2.0),
        ([(2.0, 1.0), (3.0, 2.0)], 3.0),
        ([(2.0, 1.0), (None, 1.5)], None),
        # Another VM's older notice, received late.
        ([(3.0, 2.0), (2.0, 1.0)], 3.0),
        ([(2.0, 1.0), (None, 1.5), (2.0, 1.2)], None),
        # An answer to a request that was sent before the limit was stated.
        ([(2.0, 1.0), (None, 0.9)], 2.0),
        ([(0.0, 1.0)], 0.0),
    ],
)
def test_newest_notice_counts(notices, per_s):
    """A limit that ends or comes back by a notice that is out of date."""
    assert table_of(*notices).per_s('i-1') == per_s


@pytest.mark.parametrize(
    ('present', 'later_s', 'per_s'),
    [
        ((), 1.0, 2.0),
        ((), RETENTION_S + 1, None),
        (('i-1',), RETENTION_S + 1, 2.0),
    ],
)
def test_limit_outlives_a_short_absence(present, later_s, per_s):
    """An upstream that is missing from a table for a moment.

    A control VM that has restarted does not list it until its next heartbeat;
    it would then get the usual load.
    """
    table = table_of((2.0, 5.0))
    table.remove_absent(present, 5.0 + later_s)
    assert table.per_s('i-1') == per_s
