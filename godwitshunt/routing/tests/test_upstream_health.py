"""Tests of the moving average of an upstream's delay."""

from collections import deque

import pytest

from godwitshunt.routing.upstream_health import UpstreamHealth

# Half a second of queueing is missing from the predictions.
MEASURED_S = 0.7
PREDICTED_S = 0.2


@pytest.mark.parametrize('answers_per_s', [3, 30, 300])
def test_correction_converges_at_any_answer_rate(answers_per_s):
    """A picker records all answers of its region, an entry VM its own.

    Each prediction was made before the request waited in the queue. With a
    constant weight for each of many answers the correction oscillates: a full
    engine looks idle, and half a second later an idle one looks full.
    """
    health = UpstreamHealth()
    in_transit: deque[tuple[float, float]] = deque()
    corrections = []
    for step in range(20 * answers_per_s):
        now_s = step / answers_per_s
        predicted_s = PREDICTED_S + health.expected_delay_s(now_s)
        in_transit.append((now_s + MEASURED_S, predicted_s))
        while in_transit and in_transit[0][0] <= now_s:
            _, sent_predicted_s = in_transit.popleft()
            health.record_response_time(MEASURED_S, sent_predicted_s, now_s)
        if now_s > 10:
            corrections.append(health.expected_delay_s(now_s))
    error_s = MEASURED_S - PREDICTED_S
    assert max(corrections) - min(corrections) < error_s / 2
    assert 0 < sum(corrections) / len(corrections) < error_s


def test_old_delay_decays():
    """A queue lasts seconds, so its delay must decay as fast."""
    health = UpstreamHealth()
    health.record_response_time(2.0, 0.5, now_s=10.0)
    assert health.expected_delay_s(10.0) == pytest.approx(0.225)
    assert health.expected_delay_s(13.0) < health.expected_delay_s(10.0) / 7
