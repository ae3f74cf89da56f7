"""Table of stage durations, from the log lines of entry VMs."""

from godwitshunt.tracing import LogLine, tabulate_stages
from godwitshunt.tracing.stages import percentile
from godwitshunt.tracing.timeline import ENDED_KIND

REACHED_MS = {
    'admitted': 1.0,
    'placed': 4.0,
    'connected': 5.0,
    'sent': 5.5,
    'heard': 65.5,
}


def make_line(**changes):
    """Return the log line of a request, with some fields changed."""
    fields = {
        'route': 'short',
        'objective_s': 0.8,
        'handed_over': False,
        'stages': REACHED_MS,
        **changes,
    }
    return LogLine('e-1', ENDED_KIND, 0.0, fields)


def test_stages_are_measured_from_the_previous_stage():
    """Each duration is the time since the previous stage was reached."""
    times = tabulate_stages([make_line()])['short']
    assert {
        stage: durations[0] for stage, durations in times.took_ms.items()
    } == {
        'admitted': 1.0,
        'placed': 3.0,
        'connected': 1.0,
        'sent': 0.5,
        'heard': 60.0,
    }


def test_requests_sent_late_are_counted():
    """Requests sent after a tenth and after half of their objective."""
    late_stages = {**REACHED_MS, 'sent': 100.0, 'heard': 160.0}
    very_late_stages = {**REACHED_MS, 'sent': 500.0, 'heard': 700.0}
    times = tabulate_stages(
        [
            make_line(),
            make_line(stages=late_stages),
            make_line(stages=very_late_stages),
        ],
    )['short']
    assert (times.requests, times.late, times.very_late) == (3, 2, 1)


def test_forwarded_requests_and_lines_without_stages_are_ignored():
    """The VM that a request was forwarded to logs its own stages."""
    lines = [
        make_line(handed_over=True),
        make_line(stages=None),
        make_line(objective_s=None),
    ]
    assert tabulate_stages(lines) == {}


def test_percentile_of_few_samples():
    """The 99th percentile of three samples is the largest."""
    assert percentile([5, 1, 3], 0.99) == 5
    assert percentile([5], 0.5) == 5
