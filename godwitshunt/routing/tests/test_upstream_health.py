"""What is learned of an upstream's delay, by few answers and by many."""

from collections import deque

import pytest

from godwitshunt.routing.upstream_health import UpstreamHealth

# A queue of half a second that predictions do not know of.
REAL_S = 0.7
KNOWN_S = 0.2


@pytest.mark.parametrize('answers_per_s', [3, 30, 300])
def test_the_correction_settles_however_many_answers_come(answers_per_s):
    """A picker hears of all of its region's answers, an entry VM of its own.

    Each answer's prediction was made when it was sent, a queue's length ago.
    With the same weight for each of many answers the correction swings: an
    engine that is full looks idle, and half a second later the other way.
    """
    health = UpstreamHealth()
    under_way: deque[tuple[float, float]] = deque()
    seen = []
    for step in range(20 * answers_per_s):
        now_s = step / answers_per_s
        predicted_s = KNOWN_S + health.expected_delay_s(now_s)
        under_way.append((now_s + REAL_S, predicted_s))
        while under_way and under_way[0][0] <= now_s:
            _, was_predicted_s = under_way.popleft()
            health.record_response_time(REAL_S, was_predicted_s, now_s)
        if now_s > 10:
            seen.append(health.expected_delay_s(now_s))
    missing_s = REAL_S - KNOWN_S
    assert max(seen) - min(seen) < missing_s / 2
    assert 0 < sum(seen) / len(seen) < missing_s


def test_a_delay_of_long_ago_says_little():
    """A queue is read in seconds; what it taught must not outlast it."""
    health = UpstreamHealth()
    health.record_response_time(2.0, 0.5, now_s=10.0)
    assert health.expected_delay_s(10.0) == pytest.approx(0.225)
    assert health.expected_delay_s(13.0) < health.expected_delay_s(10.0) / 7
