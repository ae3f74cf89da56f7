"""Engines and services of any speed are learned from what they show."""

from random import Random
from statistics import median

import pytest

from godwitshunt.picking.learned_speed import LearnedSpeed

ANSWERS = 60


def learned(tokens_per_s, first_s, seed, busy=0.2, wrong=0.1):
    """Return what is believed after some answers of an engine.

    Parameters
    ----------
    busy : float
        Share of answers that waited for what other VMs had sent.
    wrong : float
        Share of prompts of which the engine kept more than was believed.
    """
    random = Random(seed)
    speed = LearnedSpeed.of_engine()
    for _ in range(ANSWERS):
        tokens = round(random.choice((random.uniform(100, 900), 8000)))
        took_s = first_s + tokens / tokens_per_s * random.uniform(0.95, 1.1)
        if random.random() < busy:
            took_s += random.uniform(0.02, 0.4)
        elif random.random() < wrong:
            took_s = first_s + 0.5 * tokens / tokens_per_s
        speed.record_first_event(took_s, tokens)
    return speed.service_speed()


@pytest.mark.parametrize('tokens_per_s', [20_000, 51_000, 112_000, 200_000])
@pytest.mark.parametrize('first_s', [0.02, 0.047, 0.12])
def test_a_first_event_is_predicted_within_a_quarter(tokens_per_s, first_s):
    """A customer's engines read four times as fast as the ones before.

    Reckoned by those, its engines look full while they are half empty, and
    callers are refused or sent to another region.
    """
    errors = []
    for seed in range(20):
        speed = learned(tokens_per_s, first_s, seed)
        predicted_s = speed.first_s + speed.reading_s(6000)
        true_s = first_s + 6000 / tokens_per_s
        errors.append(abs(predicted_s - true_s) / true_s)
    assert pytest.approx(0.0, abs=0.25) == median(errors)


def test_one_absurd_answer_changes_little():
    """An engine stood still for half a minute, and answered after all."""
    speed = LearnedSpeed.of_engine()
    before_s = speed.service_speed().reading_s(1000)
    speed.record_first_event(30.0, 5000)
    assert speed.service_speed().reading_s(1000) < 2 * before_s


def test_a_plain_service_has_nothing_to_read():
    """Its work is what its answers take."""
    speed = LearnedSpeed.of_plain()
    for _ in range(100):
        speed.record_answer(0.09, 0.09)
    told = speed.service_speed()
    assert told.first_s == pytest.approx(0.09, rel=0.1)
    assert told.tokens_per_s == pytest.approx(0.0)
