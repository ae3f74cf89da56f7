"""Where a request goes: policy, limits, retry budget, entry directory."""

import lazy_loader

# Loaded when first used: a program starts without the parts that it lacks.
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
