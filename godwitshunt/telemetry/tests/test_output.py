"""Log lines whose reader is slow, or reads nothing at all."""

import json
import os
import time

from godwitshunt.telemetry.budget import LineBudget, LineLimits
from godwitshunt.telemetry.output import LineOutput

LINE = {'message_type': 'ingress:request_ended', 'detail': 'x' * 200}


def test_unread_output_never_blocks_and_is_bounded():
    """Nobody reads the pipe that standard output is.

    A write that waits there would stop every request of the process; lines
    kept for later would fill its memory.
    """
    reading, writing = os.pipe()
    limits = LineLimits(
        ordinary_per_s=10**9,
        lines_per_s=10**9,
        waiting_bytes=200_000,
    )
    output = LineOutput(writing, limits)
    output.start()
    started_s = time.monotonic()
    slowest_s = 0.0
    for _ in range(20_000):
        before_s = time.monotonic()
        output(LINE)
        slowest_s = max(slowest_s, time.monotonic() - before_s)
    took_s = time.monotonic() - started_s
    assert (took_s < 3, slowest_s < 1) == (True, True)
    assert output.waiting_bytes < 250_000
    assert output.budget.dropped > 10_000
    os.close(reading)


def test_lines_come_in_order_and_whole():
    """A reader that keeps up gets every line."""
    reading, writing = os.pipe()
    output = LineOutput(writing)
    output.start()
    for number in range(50):
        output({'message_type': 'a', 'number': number})
    output.close()
    os.close(writing)
    with os.fdopen(reading) as lines:
        numbers = [json.loads(line)['number'] for line in lines]
    assert numbers == list(range(50))


def test_failures_are_kept_when_successes_are_sampled():
    """A burst of requests; someone on call looks for the failed ones."""
    budget = LineBudget(LineLimits(ordinary_per_s=100, lines_per_s=1000))
    endings = ['streamed', 'streamed', 'broken off']
    kept = [
        endings[number % 3]
        for number in range(900)
        if budget.admits(
            {'ending': endings[number % 3], 'request': f'r{number}'},
            5.0,
        )
    ]
    assert kept.count('broken off') == 300
    assert 60 < kept.count('streamed') < 200


def test_two_machines_keep_the_same_requests():
    """A request that two machines had is explained by both their lines."""
    lines = [{'ending': 'streamed', 'request': f'r{one}'} for one in range(99)]
    limits = LineLimits(ordinary_per_s=0, lines_per_s=1000)
    first = [one for one in lines if LineBudget(limits).admits(one, 1.0)]
    second = [one for one in lines if LineBudget(limits).admits(one, 9.0)]
    assert first == second
