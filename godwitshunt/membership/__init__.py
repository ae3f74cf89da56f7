"""Who is there: entry VMs, upstreams with leases, other regions in sum."""

import lazy_loader

# Loaded when first used: a program starts without the parts that it lacks.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        'announcements': [
            'AnnounceAccepted',
            'AnnounceRefused',
            'StaleAnnouncement',
            'TableFull',
            'UpstreamAnnouncement',
        ],
        'isolation': [
            'may_serve_isolated',
        ],
        'table': [
            'UpstreamTable',
        ],
        'task': [
            'MembershipTask',
        ],
        'views': [
            'RegionSummary',
            'RegionView',
            'UpstreamRole',
            'UpstreamView',
        ],
    },
)
