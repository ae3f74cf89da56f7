"""From a request's id to its cause: one request's lines of many logs."""

from godwitshunt.tracing.lines import LogLine, read_logs
from godwitshunt.tracing.losses import LossRow, tabulate
from godwitshunt.tracing.stages import StageTimes, tabulate_stages
from godwitshunt.tracing.timeline import RequestStory, tell

__all__ = [
    'LogLine',
    'LossRow',
    'RequestStory',
    'StageTimes',
    'read_logs',
    'tabulate',
    'tabulate_stages',
    'tell',
]
