"""What control replicas heard from VMs; pure."""

from dataclasses import dataclass, field

from godwitshunt.configuration.revision import VmRecord

HEARTBEAT_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class HeartbeatRecord:
    """The last heartbeat of a VM.

    Parameters
    ----------
    vm : VmRecord
        As the VM describes itself.
    revision : int
        The revision in force there.
    received_at : float
        When, in monotonic seconds of this process.
    direct : bool
        True where the VM spoke to this replica itself.
    """

    vm: VmRecord
    revision: int
    received_at: float
    direct: bool = True


@dataclass
class HeartbeatTable:
    """The last heartbeat of each VM."""

    by_name: dict[str, HeartbeatRecord] = field(default_factory=dict)

    def record(self, heartbeat: HeartbeatRecord) -> None:
        """Note a heartbeat; a report of an older one changes nothing."""
        previous = self.by_name.get(heartbeat.vm.name)
        if previous is None or heartbeat.received_at >= previous.received_at:
            self.by_name[heartbeat.vm.name] = heartbeat

    def has_applied(self, name: str, revision: int) -> bool:
        """Tell whether a VM has said that a revision is in force there."""
        heartbeat = self.by_name.get(name)
        return heartbeat is not None and heartbeat.revision >= revision

    def is_live(self, name: str, now: float) -> bool:
        """Tell whether a VM was heard within `HEARTBEAT_TIMEOUT_S`."""
        heartbeat = self.by_name.get(name)
        return (
            heartbeat is not None
            and now - heartbeat.received_at <= HEARTBEAT_TIMEOUT_S
        )

    def live(self, now: float) -> tuple[HeartbeatRecord, ...]:
        """Return the VMs that are not silent."""
        return tuple(
            heartbeat
            for name, heartbeat in self.by_name.items()
            if self.is_live(name, now)
        )

    def direct(self, now: float) -> tuple[HeartbeatRecord, ...]:
        """Return the live VMs that speak to this replica itself."""
        return tuple(
            heartbeat for heartbeat in self.live(now) if heartbeat.direct
        )

    def received_at(self, name: str) -> float:
        """Return when a VM was last heard; minus infinity for never."""
        heartbeat = self.by_name.get(name)
        return float('-inf') if heartbeat is None else heartbeat.received_at

    def expire(self, before: float) -> None:
        """Forget the VMs that were last heard before a time."""
        for name in tuple(self.by_name):
            if self.received_at(name) < before:
                self.by_name.pop(name)
