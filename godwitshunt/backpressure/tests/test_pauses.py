"""Pauses that upstreams have asked a VM for."""

import pytest

from godwitshunt.backpressure import PauseTable


@pytest.mark.parametrize(
    ('asked', 'now_s', 'remaining_s'),
    [
        ([(5.0, 3.0)], 5.0, 3.0),
        ([(5.0, 3.0)], 8.0, 0.0),
        # A later refusal asks for less: the earlier one still holds.
        ([(5.0, 3.0), (6.0, 0.5)], 7.0, 1.0),
        ([(5.0, 3.0), (7.0, 3.0)], 8.0, 2.0),
        ([(5.0, 0.0)], 5.0, 0.0),
    ],
)
def test_longest_pause_holds(asked, now_s, remaining_s):
    """A pause that ends early because another refusal asked for less."""
    pauses = PauseTable()
    for asked_s, pause_s in asked:
        pauses.record('i-1', pause_s, asked_s)
    assert pauses.remaining_s('i-1', now_s) == pytest.approx(remaining_s)


def test_ended_pauses_are_removed():
    """A table that grows with each upstream that was ever overloaded."""
    pauses = PauseTable()
    pauses.record('i-1', 3.0, 5.0)
    pauses.record('i-2', 9.0, 5.0)
    pauses.expire(8.5)
    assert pauses.until_s.keys() == {'i-2'}
    assert pauses.active(9.0) == {'i-2': pytest.approx(5.0)}
