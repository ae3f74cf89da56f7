"""Shares of a rate limit, and the token buckets that keep them."""

from collections.abc import Iterable
from math import inf

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitshunt.backpressure import (
    RateLimiter,
    RateLimitNotice,
    RateShare,
    entry_share,
    picker_share,
)
from godwitshunt.backpressure.rate_limiter import MAX_QUEUE_S
from godwitshunt.backpressure.rate_shares import (
    ALLOWANCE,
    ENTRY_VMS,
    ENTRY_VMS_ALONE,
    FIRST_PICKER,
    NO_SHARE,
    OTHER_PICKERS,
    RATE_FACTOR,
    WINDOW_S,
)

RATES = st.floats(0, 200)
# Steps of one process: how long it waits before it tries to send.
STEPS = st.lists(st.floats(0, 3), min_size=1, max_size=40)


def limiter_of(
    share: RateShare, per_s: float, now_s: float = 0.0
) -> RateLimiter:
    """Return a limiter that knows one limited upstream."""
    limiter = RateLimiter(share=share)
    limiter.table.record(RateLimitNotice('i-1', per_s, now_s))
    return limiter


def sent_at(limiter: RateLimiter, steps: Iterable[float]) -> list[float]:
    """Return when a process sends that tries after each step."""
    now_s = 0.0
    sent = []
    for step_s in steps:
        now_s += step_s
        if not limiter.wait_s('i-1', now_s):
            limiter.spend('i-1', now_s)
            sent.append(now_s)
    return sent


def most_in_a_window(times: list[float]) -> int:
    """Return the most requests in any window."""
    return max(
        (
            sum(first_s <= at_s < first_s + WINDOW_S for at_s in times)
            for first_s in times
        ),
        default=0,
    )


@settings(max_examples=60, deadline=None)
@given(
    per_s=RATES,
    pickers=st.integers(0, 3),
    entries=st.integers(1, 5),
    steps=st.lists(STEPS, min_size=8, max_size=8),
)
def test_processes_without_contact_keep_the_limit_together(
    per_s, pickers, entries, steps
):
    """Processes that cannot hear each other, each with its own bucket.

    Every one of them sends whenever its own share permits it; an upstream
    would be sent several times its limit if each took the whole.
    """
    names = [f'p-{number}' for number in range(pickers)]
    shares = [picker_share(name, names, unlocated=0) for name in names]
    shares.extend(
        entry_share(has_pickers=bool(pickers), count=entries)
        for _ in range(entries)
    )
    times = sorted(
        at_s
        for share, tries in zip(shares, steps, strict=False)
        for at_s in sent_at(limiter_of(share, per_s), tries)
    )
    assert most_in_a_window(times) <= RATE_FACTOR * per_s * WINDOW_S + ALLOWANCE


@pytest.mark.parametrize(
    'shares', [(FIRST_PICKER, OTHER_PICKERS, ENTRY_VMS), (ENTRY_VMS_ALONE,)]
)
@pytest.mark.parametrize('per_s', [0.1, 1.0, 3.0, 500.0])
def test_shares_add_up_to_no_more_than_is_tolerated(shares, per_s):
    """Shares that were changed one by one and exceed the whole together."""
    most = sum(
        share.rate * per_s * WINDOW_S + share.capacity(per_s)
        for share in shares
    )
    assert most <= RATE_FACTOR * per_s * WINDOW_S + ALLOWANCE


@pytest.mark.parametrize(
    ('own', 'pickers', 'unlocated', 'rate'),
    [
        ('a', ['a'], 0, 0.9),
        ('a', ['a', 'b'], 0, 0.9),
        ('b', ['a', 'b'], 0, 0.3),
        ('c', ['a', 'b', 'c'], 0, 0.15),
        # Not in the table yet, and before the others by name.
        ('a', [], 0, 0.9),
        # One that is not heard from may be the first picker.
        ('a', ['a'], 1, 0.3),
        ('b', ['a', 'b'], 2, 0.1),
    ],
)
def test_only_one_picker_has_the_largest_share(own, pickers, unlocated, rate):
    """Two pickers that each believe to be the first of their region."""
    share = picker_share(own, pickers, unlocated)
    assert share.rate == pytest.approx(rate)


def test_limit_is_used_by_a_steady_demand():
    """An upstream that gets far less than it could serve."""
    limiter = limiter_of(FIRST_PICKER, 2.0)
    times = sent_at(limiter, (0.025 for _ in range(800)))
    assert 0.85 * 2 <= len(times) / 20 <= 2


@pytest.mark.parametrize('per_s', [0.0, 0.01])
def test_upstream_with_a_tiny_limit_is_still_tried(per_s):
    """An upstream without requests, whose recovery nobody would notice."""
    times = sent_at(limiter_of(FIRST_PICKER, per_s), (0.5 for _ in range(100)))
    assert 2 <= len(times) <= ALLOWANCE


def test_limit_that_ends_is_lifted_at_once():
    """Requests that are held back although the upstream has recovered."""
    limiter = limiter_of(FIRST_PICKER, 0.5)
    assert limiter.wait_s('i-1', 0.1)
    limiter.table.record(RateLimitNotice('i-1', None, 0.2))
    assert not limiter.wait_s('i-1', 0.3)


def test_limit_that_returns_grants_no_saved_burst():
    """Tokens saved while there was no limit."""
    limiter = limiter_of(FIRST_PICKER, 2.0)
    limiter.table.record(RateLimitNotice('i-1', None, 1.0))
    limiter.wait_s('i-1', 1.1)
    limiter.table.record(RateLimitNotice('i-1', 2.0, 60.0))
    assert limiter.wait_s('i-1', 60.0)


def test_process_without_a_share_never_sends():
    """A VM that does not know yet how many others divide the limit."""
    assert limiter_of(NO_SHARE, 2.0).wait_s('i-1', 100.0) == inf
    many = entry_share(has_pickers=True, count=65)
    assert limiter_of(many, 2.0).wait_s('i-1', 100.0) == inf


def test_each_refused_caller_is_told_a_later_time():
    """Callers that come back together for one token."""
    limiter = limiter_of(FIRST_PICKER, 2.0)
    waits = []
    for _ in range(4):
        wait_s = limiter.retry_wait_s('i-1', 1.0)
        limiter.record_retry('i-1', 1.0 + wait_s)
        waits.append(wait_s)
    interval_s = 1 / (0.9 * 2)
    expected = [(place + 1) * interval_s for place in range(4)]
    assert waits == pytest.approx(expected)


def test_told_times_are_bounded():
    """A crowd of refused callers, the last of which is told an hour."""
    limiter = limiter_of(FIRST_PICKER, 2.0)
    for _ in range(100):
        wait_s = limiter.retry_wait_s('i-1', 1.0)
        limiter.record_retry('i-1', 1.0 + wait_s)
    assert limiter.retry_wait_s('i-1', 1.0) <= MAX_QUEUE_S


def test_process_that_loses_its_share_has_no_time_to_tell():
    """More VMs join until a share is too small, and callers are told a time."""
    limiter = limiter_of(FIRST_PICKER, 2.0)
    limiter.wait_s('i-1', 1.0)
    limiter.share = NO_SHARE
    assert limiter.retry_wait_s('i-1', 2.0) == inf
