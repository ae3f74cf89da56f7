"""The table of stages, from log lines as entry VMs write them."""

from godwitshunt.tracing import LogLine, tabulate_stages
from godwitshunt.tracing.stages import percentile
from godwitshunt.tracing.timeline import ENDED

REACHED = {
    'admitted': 1.0,
    'placed': 4.0,
    'connected': 5.0,
    'sent': 5.5,
    'heard': 65.5,
}


def line(**changes):
    """Return the line of a request, with some fields changed."""
    told = {
        'route': 'short',
        'objective_s': 0.8,
        'handed_over': False,
        'stages': REACHED,
        **changes,
    }
    return LogLine('e-1', ENDED, 0.0, told)


def test_each_stage_counts_from_the_one_before():
    """A request waits for its place and then for its upstream's answer."""
    times = tabulate_stages([line()])['short']
    assert {stage: took[0] for stage, took in times.took_ms.items()} == {
        'admitted': 1.0,
        'placed': 3.0,
        'connected': 1.0,
        'sent': 0.5,
        'heard': 60.0,
    }


def test_requests_that_are_sent_late_are_counted():
    """An operator asks how many had little time left for their upstream."""
    slow = {**REACHED, 'sent': 100.0, 'heard': 160.0}
    lost = {**REACHED, 'sent': 500.0, 'heard': 700.0}
    times = tabulate_stages(
        [line(), line(stages=slow), line(stages=lost)],
    )['short']
    assert (times.requests, times.late, times.very_late) == (3, 2, 1)


def test_hops_and_lines_without_stages_are_left_out():
    """The VM that took a request over logs its own part of it."""
    lines = [line(handed_over=True), line(stages=None), line(objective_s=None)]
    assert tabulate_stages(lines) == {}


def test_percentile_of_few_figures():
    """The largest of three is their 99th percentile."""
    assert percentile([5, 1, 3], 0.99) == 5
    assert percentile([5], 0.5) == 5
