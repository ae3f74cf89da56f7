"""Budgets that hold over all VMs, however requests are split among them."""

from random import Random

import pytest

from godwitshunt.routing.cold_budget import ColdBounds, ColdBudget
from godwitshunt.routing.retry_window import RetryBounds, RetryWindow

RATE_PER_S = 6.6
FIRST_OR_REPEAT = (True, True, False, False, False)


@pytest.mark.parametrize('seed', range(20))
@pytest.mark.parametrize('vms', [1, 3, 8, 30])
def test_repeats_of_all_vms_stay_below_the_bound(seed, vms):
    """Upstreams fail, and every VM repeats as much as it may.

    More than the bound in any window feeds the overload: users count it.
    """
    random = Random(seed)
    bounds = RetryBounds(share=0.2, allowance=52, window_s=10)
    windows = [RetryWindow(bounds) for _ in range(vms)]
    firsts, repeats = [], []
    now_s = 0.0
    for _ in range(4000):
        now_s += random.expovariate(200)
        window = windows[int(random.random() ** 3 * vms)]
        if random.choice(FIRST_OR_REPEAT):
            window.record_first_try(now_s)
            firsts.append(now_s)
        elif window.spend(now_s, vms):
            repeats.append(now_s)
    for end_s in repeats:
        made = sum(end_s - 10 < one <= end_s for one in repeats)
        asked = sum(end_s - 10 < one <= end_s for one in firsts)
        assert made <= 0.2 * asked + 52


@pytest.mark.parametrize('seed', range(10))
@pytest.mark.parametrize('vms', [1, 3, 5, 12, 30])
def test_cold_upstream_gets_no_more_than_it_bears(seed, vms):
    """A cold upstream is the only one left, and every VM wants to send.

    One request too many in any second crashes it.
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
        within = sum(end_s - 1 < one <= end_s for one in sent)
        assert within <= RATE_PER_S * 1.5 + 3


def test_new_vm_sends_nothing_to_cold_upstreams():
    """The others share the bound without it until they have heard of it."""
    budget = ColdBudget(ColdBounds(1.5, 3), started_s=100)
    assert not budget.spend('i-1', RATE_PER_S, 1, now_s=101)
    assert budget.spend('i-1', RATE_PER_S, 1, now_s=104)
