"""From a request's id to its cause: one request's lines of many logs."""

from godwitshunt.tracing.lines import LogLine, read_logs
from godwitshunt.tracing.story import RequestStory, tell

__all__ = ['LogLine', 'RequestStory', 'read_logs', 'tell']
