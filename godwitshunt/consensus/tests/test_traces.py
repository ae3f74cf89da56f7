"""Recorded schedules, replayed against the outcomes that they state."""

import json
from pathlib import Path

import pytest

from godwitshunt.consensus.tests.cluster import Cluster

TRACES = sorted(Path(__file__).parent.joinpath('traces').glob('*.json'))


@pytest.mark.parametrize('path', TRACES, ids=lambda path: path.stem)
def test_trace_ends_as_stated(path):
    """Replay the faults of one file; its `about` tells how they come."""
    trace = json.loads(path.read_text())
    cluster = Cluster.started(
        trace['voters'],
        trace['others'],
        seed=trace['seed'],
        rates=trace['rates'],
    )
    cluster.run(trace['steps'])
    outcome = trace['outcome']
    assert cluster.payloads() == outcome['committed']
    assert cluster.leader() == outcome['leader']
    cluster.recover()
    after = outcome['after_repair']
    assert cluster.leader() is not None or not after['voters']
    assert cluster.payloads() == after['committed']
    if after['voters']:
        assert sorted(cluster.voters()) == after['voters']
