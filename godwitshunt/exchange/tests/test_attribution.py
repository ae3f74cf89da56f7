"""Bytes of upstreams that belong to no waiting request."""

from dataclasses import replace

import eliot
import pytest

from godwitshunt.exchange.attribution import (
    LINES_PER_S,
    StrayBytes,
    StrayKind,
    StrayLog,
)
from godwitshunt.exchange.upstream_messages import Place
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics

PLACE = Place(Address(host='127.0.0.1', port=1), 'i-1')
STRAY = StrayBytes(StrayKind.idle, PLACE, 'r-1', b'r-0', 100, 1.0, 2)


async def test_logged_lines_are_bounded_and_all_are_counted(captured_lines):
    """An upstream that repeats every answer would fill the log."""
    metrics = Metrics()
    log = StrayLog(metrics)
    for _ in range(5 * LINES_PER_S):
        log.record(STRAY)
    log.record(replace(STRAY, kind=StrayKind.unnamed))
    kinds = [line['kind'] for line in captured_lines]
    assert kinds.count('idle') == LINES_PER_S
    assert kinds[LINES_PER_S:] == ['unnamed']
    line = captured_lines[0]
    assert (line['instance'], line['request'], line['named']) == (
        'i-1',
        'r-1',
        'r-0',
    )
    counted = f'upstream_stray_bytes_total{{kind="idle"}} {5 * LINES_PER_S}'
    assert counted.encode() in metrics.render()


@pytest.fixture
def captured_lines():
    """Return the lines that are logged."""
    lines = []
    eliot.add_destinations(lines.append)
    # The first destination receives what was logged before.
    lines.clear()
    yield lines
    eliot.remove_destination(lines.append)
