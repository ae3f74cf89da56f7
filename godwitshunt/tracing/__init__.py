"""From a request's id to its cause: one request's lines of many logs."""

from godwitshunt.tracing.lines import LogLine, read_logs
from godwitshunt.tracing.losses import LossRow, tabulate
from godwitshunt.tracing.story import RequestStory, tell

__all__ = [
    'LogLine',
    'LossRow',
    'RequestStory',
    'read_logs',
    'tabulate',
    'tell',
]
