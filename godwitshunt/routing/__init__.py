"""Where a request goes: policy, limits, retry budget, entry directory."""

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
from godwitshunt.routing.policy import choose
from godwitshunt.routing.quotas import caller_quotas
from godwitshunt.routing.retry_budget import RetryBudget

__all__ = [
    'Admission',
    'Admitted',
    'CallerLimits',
    'CallerQuota',
    'Decision',
    'Forward',
    'Limited',
    'RefusalReason',
    'Refuse',
    'RetryBudget',
    'RouteRequest',
    'Serve',
    'Wait',
    'caller_quotas',
    'choose',
    'order_entries',
]
