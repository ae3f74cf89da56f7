"""Duration and end of a quarantine."""

import pytest

from godwitshunt.quarantine import (
    SUSPECTED_CRASHES,
    Fingerprint,
    Loss,
    LostRequest,
    Quarantine,
    QuarantineStatus,
)
from godwitshunt.telemetry import Metrics

CRASHING = Fingerprint(bytes(16))
LENGTH_S = 100.0


class Clock:
    """Monotonic seconds that a test sets."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    """Return a clock."""
    return Clock()


@pytest.fixture
def quarantine(clock):
    """Return a quarantine with a request that crashed three upstreams."""
    crashed = Quarantine(LENGTH_S, clock, Metrics())
    for number in range(3):
        clock.now_s = number - 2.0
        lose(crashed, f'i-{number}')
    return crashed


def lose(quarantine, incarnation):
    """Record a crash under the request."""
    loss = Loss(incarnation, quarantine.now(), 0.1)
    quarantine.record_loss(LostRequest(CRASHING, '', 5, loss))


def status(quarantine, **fields):
    """Return the status of the request."""
    return quarantine.assessment(CRASHING, **fields).status


def test_quarantine_begins_again_with_one_more_crash(
    clock,
    quarantine,
):
    """Otherwise the request would crash three more upstreams each time."""
    assert status(quarantine) is QuarantineStatus.quarantined
    assert quarantine.assessment(CRASHING).wait_s == LENGTH_S
    clock.now_s = LENGTH_S + 1
    quarantine.tick()
    assert status(quarantine) is QuarantineStatus.on_probation
    lose(quarantine, 'i-4')
    assert status(quarantine) is QuarantineStatus.quarantined


def test_one_at_a_time_is_tried_on_probation(clock, quarantine):
    """Otherwise many repeats would be sent at the end of a quarantine."""
    clock.now_s = LENGTH_S + 1
    quarantine.begin_probe(CRASHING)
    assert status(quarantine) is QuarantineStatus.quarantined
    assert status(quarantine, is_probe=True) is QuarantineStatus.on_probation
    quarantine.end_probe(CRASHING)
    assert status(quarantine) is QuarantineStatus.on_probation


def test_clearance_ends_a_quarantine(clock, quarantine):
    """The request is sent again once its cause has been fixed."""
    clock.now_s += 1.0
    assert quarantine.clear(CRASHING)
    assert status(quarantine) is QuarantineStatus.clear
    assert not quarantine.clear(CRASHING)
    others = Quarantine(LENGTH_S, clock, Metrics())
    others.join(quarantine.own.since(0))
    assert status(others) is QuarantineStatus.clear


def test_old_losses_expire(clock, quarantine):
    """Memory must not grow with each request that was ever lost."""
    clock.now_s = 10 * LENGTH_S
    quarantine.tick()
    assert status(quarantine) is QuarantineStatus.clear
    assert not quarantine.table.records
    assert not quarantine.own.records
    assert not quarantine.logged


def test_requests_of_other_lengths_are_not_hashed(quarantine):
    """Only bodies with the length of a suspected one need a fingerprint."""
    assert quarantine.has_suspected_length(5)
    assert not quarantine.has_suspected_length(6)


def test_answers_are_hashed_from_the_first_loss_to_the_next_answer(clock):
    """A lost request must not cost a hash of each answer for an hour."""
    quarantine = Quarantine(LENGTH_S, clock, Metrics())
    lose(quarantine, 'i-0')
    assert quarantine.has_lost_length(5)
    assert not quarantine.has_lost_length(6)
    assert not quarantine.has_suspected_length(5)
    assert quarantine.clear(CRASHING)
    assert not quarantine.has_lost_length(5)


def test_entry_vms_are_not_told_of_single_losses(clock):
    """The requests that each crash loses are retried and answered."""
    quarantine = Quarantine(LENGTH_S, clock, Metrics())
    lose(quarantine, 'i-0')
    assert not quarantine.table.since(0, SUSPECTED_CRASHES)
    quarantine.clear(CRASHING)
    assert not quarantine.table.since(0, SUSPECTED_CRASHES)
    assert quarantine.table.since(0)
