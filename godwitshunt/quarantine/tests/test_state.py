"""How long a request is kept back, and what lets it go."""

import pytest

from godwitshunt.quarantine import (
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
    """Return a quarantine with one request that ended three upstreams."""
    made = Quarantine(LENGTH_S, clock, Metrics())
    for number in range(3):
        clock.now_s = number - 2.0
        lose(made, f'i-{number}')
    return made


def lose(quarantine, incarnation):
    """Let an upstream end under the request."""
    loss = Loss(incarnation, quarantine.now(), 0.1)
    quarantine.record_loss(LostRequest(CRASHING, '', 5, loss))


def status(quarantine, **fields):
    """Return what is held against the request."""
    return quarantine.assessment(CRASHING, **fields).status


def test_quarantine_ends_and_begins_again_with_one_more_end(
    clock,
    quarantine,
):
    """A request that ends three more upstreams after each quarantine."""
    assert status(quarantine) is QuarantineStatus.quarantined
    assert quarantine.assessment(CRASHING).wait_s == LENGTH_S
    clock.now_s = LENGTH_S + 1
    quarantine.tick()
    assert status(quarantine) is QuarantineStatus.on_probation
    lose(quarantine, 'i-4')
    assert status(quarantine) is QuarantineStatus.quarantined


def test_one_at_a_time_is_tried_on_probation(clock, quarantine):
    """Many repeats that are let through at the end of a quarantine."""
    clock.now_s = LENGTH_S + 1
    quarantine.begin_probe(CRASHING)
    assert status(quarantine) is QuarantineStatus.quarantined
    assert status(quarantine, is_probe=True) is QuarantineStatus.on_probation
    quarantine.end_probe(CRASHING)
    assert status(quarantine) is QuarantineStatus.on_probation


def test_whole_answer_or_pardon_ends_a_quarantine(clock, quarantine):
    """A request that is kept back though its cause was mended."""
    clock.now_s += 1.0
    assert quarantine.clear(CRASHING)
    assert status(quarantine) is QuarantineStatus.clear
    assert not quarantine.clear(CRASHING)
    others = Quarantine(LENGTH_S, clock, Metrics())
    others.join(quarantine.own.since(0))
    assert status(others) is QuarantineStatus.clear


def test_all_is_forgotten_in_the_end(clock, quarantine):
    """Memory that grows with each request that was ever lost."""
    clock.now_s = 10 * LENGTH_S
    quarantine.tick()
    assert status(quarantine) is QuarantineStatus.clear
    assert not quarantine.table.records
    assert not quarantine.own.records
    assert not quarantine.logged


def test_nothing_is_asked_of_requests_of_other_lengths(quarantine):
    """Bodies that are hashed though no suspected one has their length."""
    assert quarantine.has_suspected_length(5)
    assert not quarantine.has_suspected_length(6)
