"""Request routing: policy, caller limits, retry budgets, entry directory."""

import lazy_loader

# Submodules are loaded on first use, so that a program only imports the ones
# that it needs.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        'admission': [
            'AdmissionQueue',
            'Queued',
            'Ticket',
        ],
        'directory': [
            'order_entries',
        ],
        'limits': [
            'Admission',
            'Admitted',
            'CallerLimits',
            'CallerQuota',
            'Limited',
        ],
        'messages': [
            'Decision',
            'Forward',
            'RefusalReason',
            'Refuse',
            'RouteRequest',
            'Serve',
            'Wait',
        ],
        'outliers': [
            'Answered',
            'Failed',
            'OutlierDetector',
        ],
        'policy': [
            'choose',
        ],
        'quotas': [
            'LimitPlan',
        ],
        'ramp': [
            'ColdRamp',
        ],
        'retry_budget': [
            'RetryBudget',
        ],
        'router': [
            'Router',
        ],
    },
)
