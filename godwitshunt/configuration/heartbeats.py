"""Last heartbeats of VMs, as control replicas know them; no I/O."""

from dataclasses import dataclass, field

from godwitshunt.configuration.revision import VmRecord

HEARTBEAT_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class HeartbeatRecord:
    """The last heartbeat of a VM.

    Parameters
    ----------
    vm : VmRecord
        Record that the VM sent of itself.
    revision : int
        The latest revision on the VM.
    received_at : float
        When it was received, in monotonic seconds of this process.
    direct : bool
        True if the VM sent it to this replica, False if another replica
        reported it.
    """

    vm: VmRecord
    revision: int
    received_at: float
    direct: bool = True


@dataclass
class HeartbeatTable:
    """The last heartbeat of each VM by name.

    Parameters
    ----------
    sent : dict
        Session of each VM's process and the last revision sent to it.
    """

    by_name: dict[str, HeartbeatRecord] = field(default_factory=dict)
    sent: dict[str, tuple[str, int]] = field(default_factory=dict)

    def record(self, heartbeat: HeartbeatRecord) -> None:
        """Store a heartbeat unless a later one is known."""
        previous = self.by_name.get(heartbeat.vm.name)
        if previous is None or heartbeat.received_at >= previous.received_at:
            self.by_name[heartbeat.vm.name] = heartbeat

    def record_sent(self, vm: VmRecord, revision: int) -> None:
        """Record that an update to a revision was sent to a VM."""
        self.sent[vm.name] = (vm.session, revision)

    def expected_revision(self, heartbeat: HeartbeatRecord) -> int:
        """Return the revision that a VM holds unless an update was lost.

        Heartbeats arrive once a second, so the last one is older than the
        updates that were sent since. A VM that lacks one of them requests it
        when a delta does not apply.
        """
        session, revision = self.sent.get(heartbeat.vm.name, ('', 0))
        if session != heartbeat.vm.session:
            return heartbeat.revision
        return max(heartbeat.revision, revision)

    def has_applied(self, name: str, revision: int) -> bool:
        """Return whether a VM has reported a revision as applied."""
        heartbeat = self.by_name.get(name)
        return heartbeat is not None and heartbeat.revision >= revision

    def is_live(self, name: str, now: float) -> bool:
        """Return whether a VM was last seen within `HEARTBEAT_TIMEOUT_S`."""
        heartbeat = self.by_name.get(name)
        return (
            heartbeat is not None
            and now - heartbeat.received_at <= HEARTBEAT_TIMEOUT_S
        )

    def live(self, now: float) -> tuple[HeartbeatRecord, ...]:
        """Return the heartbeats of all live VMs."""
        return tuple(
            heartbeat
            for name, heartbeat in self.by_name.items()
            if self.is_live(name, now)
        )

    def direct(self, now: float) -> tuple[HeartbeatRecord, ...]:
        """Return those of live VMs that send them to this replica."""
        return tuple(
            heartbeat for heartbeat in self.live(now) if heartbeat.direct
        )

    def received_at(self, name: str) -> float:
        """Return when a VM was last seen; minus infinity for never."""
        heartbeat = self.by_name.get(name)
        return float('-inf') if heartbeat is None else heartbeat.received_at

    def expire(self, before: float) -> None:
        """Remove the VMs that were last seen before a time."""
        for name in tuple(self.by_name):
            if self.received_at(name) < before:
                self.by_name.pop(name)
                self.sent.pop(name, None)
