"""Which probes show that a VM has lost its paths to upstreams."""

from random import Random

import pytest

from godwitshunt.routing.upstream_paths import (
    PROBED_UPSTREAMS,
    ProbeResult,
    ProbeTarget,
    Suspicion,
    UpstreamPaths,
    choose_targets,
)
from godwitshunt.settings import Address

SILENT, REFUSED, ACCEPTED, ANSWERED = ProbeResult
CONNECTION, SILENCE = Suspicion


def target(name: str, domain: str) -> ProbeTarget:
    """Return an upstream that may be probed."""
    return ProbeTarget(name, Address(host='::1', port=1), domain, '/healthz')


@pytest.mark.parametrize(
    ('suspicion', 'results', 'lost'),
    [
        (CONNECTION, [SILENT, SILENT, SILENT], True),
        (CONNECTION, [SILENT, ANSWERED, SILENT], False),
        (CONNECTION, [SILENT, ACCEPTED, SILENT], False),
        (SILENCE, [SILENT, ACCEPTED, ACCEPTED], True),
        (SILENCE, [ANSWERED, SILENT, ACCEPTED], False),
        (CONNECTION, [], False),
        (SILENCE, [], False),
    ],
)
def test_paths_are_lost_if_no_other_upstream_is_reached(
    suspicion, results, lost
):
    """A VM that takes one upstream's crash for its own fault serves nobody."""
    paths = UpstreamPaths()
    assert paths.record_check(suspicion, results, 1.0) is lost
    assert paths.are_lost is lost
    assert paths.are_refused is (lost and suspicion is CONNECTION)


@pytest.mark.parametrize(
    ('rounds', 'back'),
    [
        ([ANSWERED], False),
        ([ANSWERED, ANSWERED], True),
        ([ANSWERED, SILENT, ANSWERED], False),
        ([ANSWERED, SILENT, ANSWERED, ACCEPTED], True),
    ],
)
def test_paths_are_back_after_two_rounds_that_reach_one(rounds, back):
    """A link that fails now and then would move all requests each time."""
    paths = UpstreamPaths()
    paths.record_check(CONNECTION, [SILENT], 1.0)
    for probe_result in rounds:
        paths.record_round([SILENT, probe_result], 2.0)
    assert paths.are_lost is not back


def test_silent_paths_are_not_back_while_nothing_is_answered():
    """Connections that are accepted and never answered serve nobody."""
    paths = UpstreamPaths()
    paths.record_check(SILENCE, [ACCEPTED], 1.0)
    for _ in range(4):
        paths.record_round([ACCEPTED, ACCEPTED], 2.0)
    assert paths.are_lost


def test_probes_reach_different_failure_domains():
    """One failure domain that is down is no proof of lost paths."""
    targets = [target(f'a-{number}', 'a') for number in range(9)]
    targets.append(target('b-0', 'b'))
    for seed in range(20):
        chosen = choose_targets(targets, 'a-0', Random(seed))
        assert len(chosen) == PROBED_UPSTREAMS
        assert {one.failure_domain for one in chosen} == {'a', 'b'}
        assert 'a-0' not in {one.instance for one in chosen}


@pytest.mark.parametrize(
    ('suspicion', 'results', 'keeps'),
    [
        (CONNECTION, [REFUSED, REFUSED, SILENT], True),
        (CONNECTION, [SILENT, SILENT, SILENT], False),
        (SILENCE, [REFUSED, SILENT, ACCEPTED], False),
    ],
)
def test_refused_connections_leave_open_ones(suspicion, results, keeps):
    """Upstreams with as many connections as they accept refuse new ones.

    The open ones were closed, and all requests went to other regions.
    """
    paths = UpstreamPaths()
    paths.record_check(suspicion, results, 1.0)
    assert paths.keeps_connections is keeps
