"""Where a request goes: policy, limits, retry budget, entry directory."""

from godwitshunt.routing.admission import AdmissionQueue, Queued, Ticket
from godwitshunt.routing.directory import order_entries
from godwitshunt.routing.limits import (
    Admission,
    Admitted,
    CallerLimits,
    CallerQuota,
    Limited,
)
from godwitshunt.routing.messages import (
    Decision,
    Forward,
    RefusalReason,
    Refuse,
    RouteRequest,
    Serve,
    Wait,
)
from godwitshunt.routing.outliers import Answered, Failed, OutlierDetector
from godwitshunt.routing.policy import choose
from godwitshunt.routing.quotas import LimitPlan
from godwitshunt.routing.ramp import ColdRamp
from godwitshunt.routing.retry_budget import RetryBudget
from godwitshunt.routing.router import Router

__all__ = [
    'Admission',
    'AdmissionQueue',
    'Admitted',
    'Answered',
    'CallerLimits',
    'CallerQuota',
    'ColdRamp',
    'Decision',
    'Failed',
    'Forward',
    'LimitPlan',
    'Limited',
    'OutlierDetector',
    'Queued',
    'RefusalReason',
    'Refuse',
    'RetryBudget',
    'RouteRequest',
    'Router',
    'Serve',
    'Ticket',
    'Wait',
    'choose',
    'order_entries',
]
