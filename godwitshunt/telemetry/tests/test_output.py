"""Log output with slow or stopped readers, and sampling of log lines."""

import json
import os
import select
import time

from godwitshunt.telemetry import output as output_module
from godwitshunt.telemetry.budget import LineBudget, LineLimits
from godwitshunt.telemetry.output import LineOutput

LINE = {'message_type': 'ingress:request_ended', 'detail': 'x' * 200}


def test_unread_output_never_blocks_and_is_bounded():
    """Standard output is a pipe whose reader has stopped.

    A blocking write would stall every request of the process, and an
    unbounded queue would exhaust its memory.
    """
    read_fd, write_fd = os.pipe()
    limits = LineLimits(
        sampling_threshold_per_s=10**9,
        max_lines_per_s=10**9,
        max_queued_bytes=200_000,
    )
    output = LineOutput(write_fd, limits)
    output.start()
    started_s = time.monotonic()
    slowest_s = 0.0
    for _ in range(20_000):
        before_s = time.monotonic()
        output(LINE)
        slowest_s = max(slowest_s, time.monotonic() - before_s)
    took_s = time.monotonic() - started_s
    assert (took_s < 3, slowest_s < 1) == (True, True)
    assert output.queued_bytes < 250_000
    assert output.budget.dropped > 10_000
    os.close(read_fd)


def test_lines_are_complete_and_in_order():
    """A reader that keeps up receives every line."""
    read_fd, write_fd = os.pipe()
    output = LineOutput(write_fd)
    output.start()
    for number in range(50):
        output({'message_type': 'a', 'number': number})
    output.close()
    os.close(write_fd)
    with os.fdopen(read_fd) as lines:
        numbers = [json.loads(line)['number'] for line in lines]
    assert numbers == list(range(50))


def test_failures_are_written_when_successes_are_sampled():
    """A burst of requests; operators need the lines of all failed ones."""
    budget = LineBudget(
        LineLimits(sampling_threshold_per_s=100, max_lines_per_s=1000),
    )
    endings = ['streamed', 'streamed', 'broken off']
    written = [
        endings[number % 3]
        for number in range(900)
        if budget.admit(
            {'ending': endings[number % 3], 'request': f'r{number}'},
            5.0,
        )
    ]
    assert written.count('broken off') == 300
    assert 60 < written.count('streamed') < 200


def test_two_vms_sample_the_same_requests():
    """A request that two VMs handled has either both lines or none."""
    lines = [
        {'ending': 'streamed', 'request': f'r{line}'} for line in range(99)
    ]
    limits = LineLimits(sampling_threshold_per_s=0, max_lines_per_s=1000)
    first = [line for line in lines if LineBudget(limits).admit(line, 1.0)]
    second = [line for line in lines if LineBudget(limits).admit(line, 9.0)]
    assert first == second


def test_rare_lines_are_written_at_once(monkeypatch):
    """A process that is killed takes its last decisions with it."""
    monkeypatch.setattr(output_module, 'FLUSH_INTERVAL_S', 60.0)
    read_fd, write_fd = os.pipe()
    output = LineOutput(write_fd)
    output.start()
    output({'message_type': 'registry:picker', 'number': 1})
    assert select.select([read_fd], [], [], 30)[0]
    assert json.loads(os.read(read_fd, 1000))['number'] == 1
    output({'message_type': 'registry:picker', 'number': 2})
    assert not select.select([read_fd], [], [], 0.2)[0]
    output({'message_type': 'ingress:upstream_leaving', 'number': 3})
    assert select.select([read_fd], [], [], 30)[0]
    lines = os.read(read_fd, 1000).splitlines()
    assert [json.loads(line)['number'] for line in lines] == [2, 3]
    output.close()
    os.close(write_fd)
    os.close(read_fd)
