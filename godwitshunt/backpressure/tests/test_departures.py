"""Upstreams that are leaving by their own answers."""

import pytest

from godwitshunt.backpressure import DepartureTable
from godwitshunt.backpressure.departures import RETENTION_S


def test_only_new_departures_are_told():
    """A log line for each answer of an upstream that is leaving."""
    departures = DepartureTable()
    assert departures.record_all(['i-1', 'i-2'], 5.0) == ['i-1', 'i-2']
    assert departures.record_all(['i-2', 'i-3'], 6.0) == ['i-3']


@pytest.mark.parametrize(
    ('present', 'later_s', 'is_known'),
    [
        ((), 1.0, True),
        ((), RETENTION_S + 1, False),
        (('i-1',), RETENTION_S + 1, True),
    ],
)
def test_departure_outlives_a_short_absence(present, later_s, is_known):
    """An upstream that is missing from a table for a moment gets requests."""
    departures = DepartureTable()
    departures.record('i-1', 5.0)
    departures.remove_absent(present, 5.0 + later_s)
    assert ('i-1' in departures) is is_known
