"""Estimates of the speed of engines and services from their answers."""

from random import Random
from statistics import median

import pytest

from godwitshunt.picking.learned_speed import LearnedSpeed

ANSWERS = 60


def estimate_speed(
    tokens_per_s, first_s, seed, waiting_share=0.2, cached_share=0.1
):
    """Return the estimate after some answers of an engine.

    Parameters
    ----------
    waiting_share : float
        Share of answers that waited for requests of other VMs.
    cached_share : float
        Share of prompts of which more was cached than expected.
    """
    random = Random(seed)
    speed = LearnedSpeed.for_engine()
    for _ in range(ANSWERS):
        tokens = round(random.choice((random.uniform(100, 900), 8000)))
        took_s = first_s + tokens / tokens_per_s * random.uniform(0.95, 1.1)
        if random.random() < waiting_share:
            took_s += random.uniform(0.02, 0.4)
        elif random.random() < cached_share:
            took_s = first_s + 0.5 * tokens / tokens_per_s
        speed.record_first_event(took_s, tokens)
    return speed.service_speed()


@pytest.mark.parametrize('tokens_per_s', [20_000, 51_000, 112_000, 200_000])
@pytest.mark.parametrize('first_s', [0.02, 0.047, 0.12])
def test_a_first_event_is_predicted_within_a_quarter(tokens_per_s, first_s):
    """The prefill of a customer's engines is four times as fast as before.

    If their speed were assumed, the engines would look full while they are
    half empty, and requests would be refused or handed over.
    """
    errors = []
    for seed in range(20):
        speed = estimate_speed(tokens_per_s, first_s, seed)
        predicted_s = speed.first_s + speed.prefill_s(6000)
        true_s = first_s + 6000 / tokens_per_s
        errors.append(abs(predicted_s - true_s) / true_s)
    assert pytest.approx(0.0, abs=0.25) == median(errors)


def test_one_outlier_changes_the_estimate_little():
    """An engine hung for half a minute before it answered."""
    speed = LearnedSpeed.for_engine()
    before_s = speed.service_speed().prefill_s(1000)
    speed.record_first_event(30.0, 5000)
    assert speed.service_speed().prefill_s(1000) < 2 * before_s


def test_a_plain_service_has_no_prompt_to_read():
    """Its speed is the duration of its answers."""
    speed = LearnedSpeed.for_plain()
    for _ in range(100):
        speed.record_answer(0.09, 0.09)
    estimate = speed.service_speed()
    assert estimate.first_s == pytest.approx(0.09, rel=0.1)
    assert estimate.tokens_per_s == pytest.approx(0.0)
