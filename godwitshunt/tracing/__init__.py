"""Analysis of the request log lines of many processes."""

from godwitshunt.tracing.lines import LogLine, read_logs
from godwitshunt.tracing.losses import LossRow, tabulate_losses
from godwitshunt.tracing.stages import StageTimes, tabulate_stages
from godwitshunt.tracing.timeline import RequestTimeline, build_timeline

__all__ = [
    'LogLine',
    'LossRow',
    'RequestTimeline',
    'StageTimes',
    'read_logs',
    'tabulate_losses',
    'tabulate_stages',
    'build_timeline',
]
