"""Membership: leased upstreams, entry VMs and summaries of other regions."""

import lazy_loader

# Submodules are imported on first use, so that a program only imports those
# that it needs.
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
