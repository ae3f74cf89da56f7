"""Tests of budgets that hold over all VMs for any split of requests."""

from random import Random

import pytest

from godwitshunt.routing.cold_budget import ColdBounds, ColdBudget
from godwitshunt.routing.retry_window import RetryBounds, RetryWindow

RATE_PER_S = 6.6
FIRST_TRY_CHOICES = (True, True, False, False, False)


@pytest.mark.parametrize('seed', range(20))
@pytest.mark.parametrize('vms', [1, 3, 8, 30])
def test_retries_of_all_vms_stay_within_limit(seed, vms):
    """Upstreams fail, and every VM retries as much as its budget allows.

    More retries than the limit in any window would amplify an overload.
    """
    random = Random(seed)
    bounds = RetryBounds(share=0.2, allowance=52, window_s=10)
    windows = [RetryWindow(bounds) for _ in range(vms)]
    first_tries, retries = [], []
    now_s = 0.0
    for _ in range(4000):
        now_s += random.expovariate(200)
        window = windows[int(random.random() ** 3 * vms)]
        if random.choice(FIRST_TRY_CHOICES):
            window.record_first_try(now_s)
            first_tries.append(now_s)
        elif window.spend(now_s, 1 / vms).is_allowed:
            retries.append(now_s)
    for end_s in retries:
        retries_in_window = sum(
            end_s - 10 < sent_s <= end_s for sent_s in retries
        )
        first_tries_in_window = sum(
            end_s - 10 < sent_s <= end_s for sent_s in first_tries
        )
        assert retries_in_window <= 0.2 * first_tries_in_window + 52


@pytest.mark.parametrize('moves_s', [3, 5, 8, 10])
def test_retries_stay_within_limit_while_traffic_moves(moves_s):
    """The VM that gets the traffic next earns retries for the same window."""
    bounds = RetryBounds(share=0.2, allowance=0, window_s=10)
    before, after = RetryWindow(bounds), RetryWindow(bounds)
    first_tries = [number * 0.01 for number in range(3000)]
    moved_s = 10 + moves_s
    retries = []
    for sent_s in first_tries:
        window = before if sent_s < moved_s else after
        window.record_first_try(sent_s)
        is_failing = sent_s > moved_s - 0.5
        while is_failing and window.spend(sent_s, part=1).is_allowed:
            retries.append(sent_s)
    assert retries
    for start_s in retries:
        retries_in_window = sum(
            start_s <= retried_s <= start_s + 10 for retried_s in retries
        )
        assert retries_in_window <= 0.2 * 1000


@pytest.mark.parametrize('seed', range(10))
@pytest.mark.parametrize('vms', [1, 3, 5, 12, 30])
def test_requests_to_cold_upstream_stay_within_limit(seed, vms):
    """A cold upstream is the only one left, and every VM sends to it.

    More requests per second than its limit would crash it.
    """
    random = Random(seed)
    bounds = ColdBounds(factor=1.5, allowance=3)
    budgets = [ColdBudget(bounds, started_s=0) for _ in range(vms)]
    sent = []
    now_s = 5.0
    for _ in range(3000):
        now_s += random.expovariate(400)
        budget = random.choice(budgets)
        if budget.spend('i-1', RATE_PER_S, 1 / vms, now_s):
            sent.append(now_s)
    assert sent or vms > 12
    for end_s in sent:
        sent_in_window = sum(end_s - 1 < sent_s <= end_s for sent_s in sent)
        assert sent_in_window <= RATE_PER_S * 1.5 + 3


def test_new_vm_sends_nothing_to_cold_upstreams():
    """Other VMs divide the limit without it until they know of it."""
    budget = ColdBudget(ColdBounds(1.5, 3), started_s=100)
    assert not budget.spend('i-1', RATE_PER_S, 1, now_s=101)
    assert budget.spend('i-1', RATE_PER_S, 1, now_s=104)
