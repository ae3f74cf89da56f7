"""What control replicas heard from VMs; pure."""

from dataclasses import dataclass, field

from godwitshunt.configuration.revision import VmRecord

SILENT_AFTER_S = 5.0


@dataclass(frozen=True)
class HeardVm:
    """The last heartbeat of a VM.

    Parameters
    ----------
    vm : VmRecord
        As the VM describes itself.
    revision : int
        The revision in force there.
    heard_at : float
        When, in monotonic seconds of this process.
    direct : bool
        True where the VM spoke to this replica itself.
    """

    vm: VmRecord
    revision: int
    heard_at: float
    direct: bool = True


@dataclass
class HeardVms:
    """The last heartbeat of each VM."""

    by_name: dict[str, HeardVm] = field(default_factory=dict)

    def hear(self, heard: HeardVm) -> None:
        """Note a heartbeat; a report of an older one changes nothing."""
        known = self.by_name.get(heard.vm.name)
        if known is None or heard.heard_at >= known.heard_at:
            self.by_name[heard.vm.name] = heard

    def has_applied(self, name: str, revision: int) -> bool:
        """Tell whether a VM has said that a revision is in force there."""
        heard = self.by_name.get(name)
        return heard is not None and heard.revision >= revision

    def is_live(self, name: str, now: float) -> bool:
        """Tell whether a VM was heard within `SILENT_AFTER_S`."""
        heard = self.by_name.get(name)
        return heard is not None and now - heard.heard_at <= SILENT_AFTER_S

    def live(self, now: float) -> tuple[HeardVm, ...]:
        """Return the VMs that are not silent."""
        return tuple(
            heard
            for name, heard in self.by_name.items()
            if self.is_live(name, now)
        )

    def direct(self, now: float) -> tuple[HeardVm, ...]:
        """Return the live VMs that speak to this replica itself."""
        return tuple(heard for heard in self.live(now) if heard.direct)

    def heard_at(self, name: str) -> float:
        """Return when a VM was last heard; minus infinity for never."""
        heard = self.by_name.get(name)
        return float('-inf') if heard is None else heard.heard_at

    def forget(self, before: float) -> None:
        """Forget the VMs that were last heard before a time."""
        for name in tuple(self.by_name):
            if self.heard_at(name) < before:
                self.by_name.pop(name)
