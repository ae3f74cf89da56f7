"""Rejections by load and at random, in virtual time."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

import pytest

from godwitshunt.routing.rejections import (
    MAX_CONSECUTIVE,
    MIN_ACCEPTED,
    REJECTION_COST_S,
    WINDOW_S,
    RejectionWindow,
)

SLOTS = 8
WORK_S = 0.15
# Delay of a picker's knowledge of what has begun and ended.
REPORT_S = 0.015
PAUSE_S = 0.15
SECONDS = 200.0
# Share of a full upstream's rejections that may be judged wrongly.
WRONG_SHARE = 0.1
# What a retry budget of a fifth makes possible where each upstream rejects 30%,
# and the share of all requests that is to be served then.
POSSIBLE_SHARE = 0.84
SERVED_SHARE = 0.8


@dataclass
class PlayedUpstream:
    """An upstream that runs some requests at once, and its picker.

    Parameters
    ----------
    capacity : int
        Requests that it runs at once.
    rejected_share : float
        Probability that it rejects a request whatever its load.
    """

    capacity: int
    rejected_share: float
    random: Random = field(default_factory=lambda: Random(1))
    window: RejectionWindow = field(default_factory=RejectionWindow)
    running: int = 0
    known: int = 0
    sent: int = 0
    closed: int = 0
    verdicts: list[bool] = field(default_factory=list)
    closed_until_s: float = 0.0
    events: list = field(default_factory=list)

    def play(self, per_s: float) -> None:
        """Send requests at random times; none while it is closed."""
        now_s = 0.0
        self.schedule(now_s, 'arrive')
        while now_s < SECONDS:
            now_s, _, kind = heappop(self.events)
            if kind == 'arrive':
                wait_s = self.random.expovariate(per_s)
                self.schedule(now_s + wait_s, kind)
            self.apply(kind, now_s)

    def apply(self, kind: str, now_s: float) -> None:
        """Apply an event."""
        match kind:
            case 'arrive' if now_s < self.closed_until_s:
                self.closed += 1
            case 'arrive':
                self.send(now_s)
            case 'end':
                self.running -= 1
            case 'answered':
                self.known -= 1
                self.window.record_accepted(self.known, now_s)
            case 'rejected':
                self.known -= 1
                self.reject(now_s)

    def schedule(self, at_s: float, kind: str) -> None:
        """Schedule an event."""
        heappush(self.events, (at_s, len(self.events), kind))

    def send(self, now_s: float) -> None:
        """Send one request, which the picker counts at once."""
        self.sent += 1
        self.known += 1
        is_rejected = self.random.random() < self.rejected_share
        if is_rejected or self.running >= self.capacity:
            self.schedule(now_s + REPORT_S, 'rejected')
            return
        self.running += 1
        self.schedule(now_s + WORK_S, 'end')
        self.schedule(now_s + WORK_S + REPORT_S, 'answered')

    def reject(self, now_s: float) -> None:
        """Judge a rejection; close the upstream where its load explains it."""
        is_unrelated = self.window.record_rejected(self.known, SLOTS, now_s)
        self.verdicts.append(is_unrelated)
        if not is_unrelated:
            self.closed_until_s = now_s + PAUSE_S

    @property
    def closed_share(self) -> float:
        """Share of the requests that came while it was closed."""
        return self.closed / (self.closed + self.sent)

    @property
    def unrelated_share(self) -> float:
        """Share of the rejections that the load did not explain."""
        return sum(self.verdicts) / len(self.verdicts)


@pytest.mark.parametrize('rejected_share', [0.05, 0.1, 0.2, 0.3])
@pytest.mark.parametrize('per_s', [3, 8, 16, 24])
def test_rejections_at_random_are_no_sign_of_load(rejected_share, per_s):
    """Each of them closes an upstream that is all but idle."""
    upstream = PlayedUpstream(SLOTS, rejected_share)
    upstream.play(per_s)
    assert upstream.closed_share <= 1 - SERVED_SHARE / POSSIBLE_SHARE


@pytest.mark.parametrize('capacity', [1, 2, 4, 6, SLOTS])
@pytest.mark.parametrize('times', [1.1, 1.5, 3, 10])
def test_upstream_that_is_full_is_closed(capacity, times):
    """It is sent on what it has to reject, at the cost of the retry budget.

    It may run less than it announces.
    """
    upstream = PlayedUpstream(capacity, 0.0)
    upstream.play(times * capacity / WORK_S)
    assert upstream.unrelated_share <= WRONG_SHARE


def test_upstream_that_rejects_all_requests_is_closed():
    """It accepted requests until a moment ago, and its load is low."""
    window = RejectionWindow()
    for number in range(20):
        window.record_accepted(1, number / 10)
    verdicts = [window.record_rejected(1, SLOTS, 2.0) for _ in range(20)]
    assert sum(verdicts) <= MAX_CONSECUTIVE


def test_upstream_that_was_not_seen_to_accept_requests_is_closed():
    """Nothing is known of a process that has just started."""
    window = RejectionWindow()
    for _ in range(MIN_ACCEPTED - 1):
        window.record_accepted(1, 0.0)
    assert not window.record_rejected(1, SLOTS, 0.0)
    window.record_accepted(1, 0.0)
    assert window.record_rejected(1, SLOTS, 0.0)


def test_old_attempts_explain_nothing():
    """An upstream that was idle a while ago may be full now."""
    window = RejectionWindow()
    for _ in range(MIN_ACCEPTED):
        window.record_accepted(1, 0.0)
    assert not window.record_rejected(1, SLOTS, WINDOW_S + 0.1)


def test_rejecting_upstream_costs_more_until_it_is_tried_again():
    """Others are preferred, but not forever."""
    upstream = PlayedUpstream(SLOTS, 0.3)
    upstream.play(16)
    calm = PlayedUpstream(SLOTS, 0.05)
    calm.play(16)
    assert upstream.window.cost_s(SECONDS) > calm.window.cost_s(SECONDS)
    assert not upstream.window.cost_s(SECONDS + WINDOW_S + 1)


def test_rejections_by_load_cost_nothing():
    """A full upstream is closed already, and predicted by its load."""
    upstream = PlayedUpstream(2, 0.0)
    upstream.play(40)
    last_s = upstream.window.attempts[-1].at_s
    assert upstream.window.cost_s(last_s) <= WRONG_SHARE * REJECTION_COST_S
