"""The retry limit over all VMs, whatever happens to them; no network."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitshunt.routing.allowance_lease import (
    ESTABLISHED_SHARE,
    LEASE_S,
    NEW_SHARE,
    AllowanceLease,
)
from tests.retry_fleet import BOUNDS, VMS, Event, Fleet

PLAYED_S = 45.0
SECONDS = st.floats(0, PLAYED_S)
EVENTS = st.builds(
    Event,
    at_s=SECONDS,
    kind=st.sampled_from(['kill', 'cut', 'isolate', 'fail', 'shift']),
    where=st.sampled_from(['', *VMS]),
    for_s=SECONDS,
)
FAILS = Event(0.5, 'fail')
RESTARTS = [Event(at_s, 'kill') for at_s in (6, 8, 10, 12, 14)]
CUT = Event(3, 'cut', for_s=16)


def play(events, seed=1):
    """Return the window closest to the limit; None without a retry."""
    fleet = Fleet(Random(seed), [FAILS, *events])
    fleet.run(PLAYED_S)
    return fleet.closest_window()


@pytest.mark.parametrize(
    'events',
    [RESTARTS, [CUT, *RESTARTS], [CUT, Event(6, 'kill'), Event(10, 'kill')]],
)
@pytest.mark.parametrize('seed', range(5))
def test_restarts_and_cuts_grant_no_further_allowance(events, seed):
    """New processes, and VMs in sight of few, spent an allowance each."""
    window = play(events, seed)
    assert window.use <= 1, window


@settings(max_examples=60, deadline=None, derandomize=True)
@given(events=st.lists(EVENTS, max_size=12), seed=st.integers(0, 1000))
def test_any_window_is_within_the_limit(events, seed):
    """Restarts, cuts, isolated VMs and moving traffic in any order."""
    window = play(events, seed)
    assert window is None or window.use <= 1, window


def test_a_first_process_has_its_part_soon():
    """Requests of a new deployment were not repeated for 15 s."""
    lease = AllowanceLease(BOUNDS.window_s, 0.0, is_first=True)
    later = AllowanceLease(BOUNDS.window_s, 0.0)
    for each in (lease, later):
        each.renew(LEASE_S)
    assert lease.part(LEASE_S, 9) == ESTABLISHED_SHARE / 9
    assert later.part(LEASE_S, 9) < NEW_SHARE / 9
