"""Metrics, and structured log lines for changes of state."""

from godwitshunt.telemetry.metrics import Metrics
from godwitshunt.telemetry.records import (
    log_change,
    open_log,
    open_standard_output,
)

__all__ = ['Metrics', 'log_change', 'open_log', 'open_standard_output']
