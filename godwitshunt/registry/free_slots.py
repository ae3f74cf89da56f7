"""Free slots of upstreams that fail when they reject requests."""

from collections.abc import Callable, Container
from dataclasses import dataclass

from godwitshunt.registry.records import Load
from godwitshunt.registry.views import RegistryView, UpstreamSeen
from godwitshunt.routing.slot_shares import slot_share

NO_LOAD = Load()


@dataclass(frozen=True)
class FreeSlots:
    """Tells a picker whether an upstream has a free slot.

    Entry VMs that do not report to it may choose by themselves, within their
    shares of the slots.

    Parameters
    ----------
    view : callable
        Returns the known upstreams, entry VMs and loads.
    reporting : container of str
        Names of the entry VMs that report to the picker.
    """

    view: Callable[[], RegistryView]
    reporting: Container[str]

    def has_slot(self, upstream: UpstreamSeen) -> bool:
        """Return whether a slot is free beside the shares of others."""
        announcement = upstream.announcement
        view = self.view()
        in_flight = view.loads.get(announcement.incarnation, NO_LOAD).in_flight
        names = [
            entry.name
            for entry in view.entries.values()
            if entry.region == upstream.region
        ]
        kept = sum(
            slot_share(
                announcement.incarnation, announcement.slots, name, names
            )
            for name in names
            if name not in self.reporting
        )
        return in_flight + kept < announcement.slots
