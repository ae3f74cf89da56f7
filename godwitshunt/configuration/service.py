"""Control replica side: acceptance of manifests and distribution."""

import asyncio
from typing import Self

from result import Err, Ok, Result

from godwitshunt.configuration.background import BackgroundTasks
from godwitshunt.configuration.commands import (
    BaseChanged,
    Command,
    ManifestOutcome,
    Outcome,
)
from godwitshunt.configuration.document import (
    digest_of,
    revision_of,
    vm_from_entry,
    vm_to_entry,
)
from godwitshunt.configuration.freshness_task import FreshnessTask
from godwitshunt.configuration.gen.wire import ttypes
from godwitshunt.configuration.heartbeats import HeartbeatRecord, HeartbeatTable
from godwitshunt.configuration.history import DocumentRevision, RevisionHistory
from godwitshunt.configuration.maintenance import (
    ABSENT_AFTER_S,
    due_commands,
    still_awaited,
)
from godwitshunt.configuration.manifest_numbers import accept_command
from godwitshunt.configuration.replicated_log import ReplicatedLog
from godwitshunt.configuration.revision import (
    Revision,
    RevisionCallback,
    VmRecord,
    VmRole,
)
from godwitshunt.configuration.revision_file import RevisionFile
from godwitshunt.configuration.state import ControlState
from godwitshunt.configuration.state_machine import StateMachine
from godwitshunt.configuration.update_wire import (
    require_fields,
    vm_from_wire,
    vm_to_wire,
)
from godwitshunt.consensus import ProposalFailure
from godwitshunt.exceptions import StorageError
from godwitshunt.manifest import Manifest
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.settings import Address, ControlSettings
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Timer

MAINTENANCE_PERIOD_S = 0.5
REPORT_PERIOD_S = 1.0
PUSH_DELAY_S = 0.05
MAX_ACCEPT_ATTEMPTS = 3


class ConfigurationService:
    """Accepts manifests through the log and sends revisions to VMs.

    Parameters
    ----------
    record : VmRecord
        Record of this control replica.
    others : tuple of Address
        Peer addresses of the other control replicas in the settings.
    log : ReplicatedLog
        Log in which commands are committed.
    links : PeerLinks
        Links to VMs and to other control replicas.
    timer : Timer
        Schedules periodic work.
    metrics : Metrics
        Counts heartbeats, updates and commands.
    revision_file : RevisionFile or None
        File for the newest committed revision; None to persist none.
    """

    def __init__(
        self,
        record: VmRecord,
        others: tuple[Address, ...],
        log: ReplicatedLog,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
        revision_file: RevisionFile | None = None,
    ) -> None:
        self.revision_file = revision_file
        self.record = record
        self.configured_others = others
        self.log = log
        self.links = links
        self.timer = timer
        self.metrics = metrics
        self.machine = StateMachine(log)
        self.history = RevisionHistory()
        self.heartbeats = HeartbeatTable()
        self.pending_seen_at: dict[int, float] = {}
        self.background = BackgroundTasks()
        self.subscriptions = []
        self.push_scheduled = False
        self.refresh_scheduled = False
        self.freshness = FreshnessTask(self.machine, links, timer)
        self.leading_since = timer.now()
        self.subscribers: list[RevisionCallback] = []
        self.newest: Revision | None = None

    @classmethod
    def from_config(
        cls,
        settings: ControlSettings,
        record: VmRecord,
        log: ReplicatedLog,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> Self:
        """Create the service of a control replica from its settings."""
        others = tuple(
            address
            for address in settings.control
            if address != settings.peer_endpoint
        )
        revision_file = None
        if settings.keeps_revision:
            revision_file = RevisionFile(settings.data_folder)
        return cls(record, others, log, links, timer, metrics, revision_file)

    def set_control_addresses(self, control: tuple[Address, ...]) -> None:
        """Replace the configured addresses of the other control replicas."""
        self.configured_others = control

    @property
    def others(self) -> tuple[Address, ...]:
        """Peer addresses of the other control replicas.

        They come from the settings and from the committed list of VMs.
        """
        vms = self.state.document.section('vms').values()
        listed = [
            Address.model_validate(vm['peer'])
            for vm in vms
            if vm['role'] == VmRole.control.value
        ]
        known = dict.fromkeys((*self.configured_others, *listed))
        return tuple(
            address for address in known if address != self.record.peer
        )

    @property
    def state(self) -> ControlState:
        """Control state that this replica has applied."""
        return self.machine.state

    def start(self) -> None:
        """Restore the revision on disk, and start to follow the log and VMs."""
        self.restore_revision()
        self.machine.subscribe(self.on_state)
        self.machine.start()
        self.links.subscribe(MessageKind.vm_heartbeat, self.on_heartbeat)
        self.links.subscribe(MessageKind.configuration_applied, self.on_reports)
        self.freshness.start()
        self.subscriptions = [
            self.timer.every(MAINTENANCE_PERIOD_S, self.begin_maintenance),
            self.timer.every(REPORT_PERIOD_S, self.send_reports),
        ]

    async def close(self) -> None:
        """Stop the periodic work."""
        for subscription in self.subscriptions:
            subscription.cancel()
        await self.freshness.close()
        await self.background.close()

    async def accept(
        self,
        manifest: Manifest,
    ) -> Result[ManifestOutcome, ProposalFailure]:
        """Commit a manifest and return its outcome."""
        answer: Result[Outcome, ProposalFailure] = Ok(BaseChanged())
        for _ in range(MAX_ACCEPT_ATTEMPTS):
            answer = await self.propose(accept_command(self.state, manifest))
            if answer != Ok(BaseChanged()):
                break
        return answer

    async def propose(
        self,
        command: Command,
    ) -> Result[Outcome, ProposalFailure]:
        """Commit a command and count its outcome."""
        answer = await self.machine.propose(command)
        outcome = answer.err() if isinstance(answer, Err) else answer.ok()
        self.metrics.count(
            'configuration_commands_total',
            command=type(command).__name__,
            outcome=type(outcome).__name__,
        )
        return answer

    def route_homes(self, host: str) -> tuple[frozenset[str], ...]:
        """Return the homes of each route of a host that has homes."""
        newest = self.history.newest
        document = self.state.document if newest is None else newest.document
        return tuple(
            frozenset(route['homes'])
            for route in document.section('routes').values()
            if route['host'] == host and route['homes']
        )

    def waits_for(self, number: int) -> list[str]:
        """Return the names of the VMs that a pending number waits for."""
        now = self.timer.now()
        seen_at = self.pending_seen_at.get(number, now)
        awaited = still_awaited(
            self.state, number, self.heartbeats, seen_at, now
        )
        return [vm.name for vm in awaited]

    def on_state(self, state: ControlState) -> None:
        """Schedule a refresh for the state after a committed entry.

        One refresh covers all entries that are applied together: a restarting
        replica replays hundreds, and a refresh for each would block it for
        long.
        """
        self.record_pending(state)
        if not self.refresh_scheduled:
            self.refresh_scheduled = True
            self.timer.after(0, self.refresh)

    def refresh(self) -> None:
        """Add the newest document to the history and schedule a push."""
        self.refresh_scheduled = False
        state = self.state
        newest = self.history.newest
        if newest is not None and newest.revision >= state.revision:
            return
        if not state.highest_number:
            return
        document = state.document.without_origin()
        committed = DocumentRevision(
            state.revision, digest_of(document), document
        )
        self.history.add(committed)
        self.publish(committed)
        if self.revision_file is not None:
            self.background.run('keep', self.persist)
        self.metrics.gauge('configuration_revision', committed.revision)
        log_change(
            'configuration:revision_committed',
            revision=committed.revision,
            number=state.highest_number,
            digest=committed.digest,
        )
        if not self.push_scheduled:
            self.push_scheduled = True
            self.timer.after(PUSH_DELAY_S, self.push)

    def restore_revision(self) -> None:
        """Serve the revision on disk until the log has a newer one.

        After a restart of all replicas the log counts no entry as committed
        until one of them leads; the revision on disk was committed before.
        """
        committed = (
            None if self.revision_file is None else self.revision_file.read()
        )
        if committed is not None:
            self.history.add(committed)
            log_change('configuration:kept_taken', revision=committed.revision)

    async def persist(self) -> None:
        """Write the newest revision to disk; a failure is only logged.

        The log also holds it; without the file a restart of all replicas
        takes one election longer.
        """
        written = None
        while written is not self.history.newest:
            written = self.history.newest
            try:
                await asyncio.to_thread(self.revision_file.write, written)
            except StorageError as error:
                self.metrics.count('configuration_keep_failed_total')
                log_change('configuration:keep_failed', reason=error.reason)
                return

    def subscribe(self, callback: RevisionCallback) -> None:
        """Call back for each revision that this replica applies from now on."""
        self.subscribers.append(callback)

    def publish(self, committed: DocumentRevision) -> None:
        """Pass a newer revision to the subscribers in this process."""
        if not self.subscribers:
            return
        revision = revision_of(committed.revision, committed.document)
        for callback in self.subscribers:
            callback(revision)

    def newest_revision(self) -> Revision | None:
        """Return the newest committed revision; None before the first.

        After a restart it is the one on disk until the log has a newer one.
        """
        committed = self.history.newest
        if committed is None:
            return None
        if self.newest is None or self.newest.revision != committed.revision:
            self.newest = revision_of(committed.revision, committed.document)
        return self.newest

    def record_pending(self, state: ControlState) -> None:
        """Record when each pending number was first seen as committed."""
        now = self.timer.now()
        self.pending_seen_at = {
            number: self.pending_seen_at.get(number, now)
            for number, record in state.numbers.items()
            if record.awaited
        }

    def push(self) -> None:
        """Push the newest revision to the VMs that poll this replica."""
        self.push_scheduled = False
        for heartbeat in self.heartbeats.direct(self.timer.now()):
            if heartbeat.vm.name == self.record.name:
                continue
            update = self.history.make_update(
                self.heartbeats.expected_revision(heartbeat), float('inf')
            )
            self.heartbeats.record_sent(heartbeat.vm, update.revision)
            self.links.notify(
                heartbeat.vm.peer,
                MessageKind.configuration_news,
                encode(update),
            )
            self.metrics.count('configuration_pushes_total')

    async def on_heartbeat(self, sender: str, body: bytes) -> bytes:
        """Record a VM's heartbeat and answer with the update that it needs."""
        heartbeat = decode(ttypes.VmHeartbeat, body)
        vm = self.heartbeat_vm(heartbeat)
        revision = heartbeat.revision or 0
        if vm is not None:
            self.heartbeats.record(
                HeartbeatRecord(vm, revision, self.timer.now())
            )
        self.metrics.count('configuration_heartbeats_total')
        # The proof below covers every applied entry, so the update must too.
        self.refresh()
        update = self.history.make_update(
            revision, self.freshness.quorum_age_s()
        )
        update.introduce = vm is None
        if vm is not None:
            self.heartbeats.record_sent(vm, update.revision)
        return encode(update)

    def heartbeat_vm(self, heartbeat: ttypes.VmHeartbeat) -> VmRecord | None:
        """Return the sender of a heartbeat; None if its record is unknown."""
        if heartbeat.vm is not None:
            return vm_from_wire(heartbeat.vm)
        known = self.heartbeats.by_name.get(heartbeat.name)
        if known is None or known.vm.session != heartbeat.session:
            return None
        return known.vm

    def begin_maintenance(self) -> None:
        """Start the maintenance if this replica is the leader."""
        self.heartbeats.record(
            HeartbeatRecord(self.record, self.state.revision, self.timer.now()),
        )
        now = self.timer.now()
        self.heartbeats.expire(now - ABSENT_AFTER_S)
        if not self.log.leadership().is_leader:
            self.leading_since = now
            return
        self.background.run('upkeep', self.run_maintenance)

    async def run_maintenance(self) -> None:
        """Commit due admissions, claim holders and confirmations."""
        commands = due_commands(
            self.state,
            self.heartbeats,
            self.pending_seen_at,
            self.leading_since,
            self.timer.now(),
        )
        for command in tuple(commands):
            if isinstance(await self.propose(command), Err):
                return

    def send_reports(self) -> None:
        """Report direct heartbeats to the other control replicas."""
        now = self.timer.now()
        committed = self.state.document.section('vms')
        reports = []
        for heartbeat in self.heartbeats.direct(now):
            is_known = committed.get(heartbeat.vm.name) == vm_to_entry(
                heartbeat.vm
            )
            report = ttypes.VmReport(
                name=heartbeat.vm.name,
                revision=heartbeat.revision,
                age_s=now - heartbeat.received_at,
                vm=None if is_known else vm_to_wire(heartbeat.vm),
            )
            reports.append(report)
        body = encode(ttypes.VmReports(reports=reports))
        for address in self.others:
            self.links.notify(address, MessageKind.configuration_applied, body)

    async def on_reports(self, sender: str, body: bytes) -> None:
        """Record heartbeats that another control replica received."""
        now = self.timer.now()
        for report in decode(ttypes.VmReports, body).reports or ():
            require_fields(report, 'name', 'revision', 'age_s')
            vm = self.reported_vm(report)
            if vm is not None:
                received_at = now - report.age_s
                self.heartbeats.record(
                    HeartbeatRecord(
                        vm, report.revision, received_at, direct=False
                    ),
                )

    def reported_vm(self, report: ttypes.VmReport) -> VmRecord | None:
        """Return the record of the VM in a report, None if it is unknown."""
        if report.vm is not None:
            return vm_from_wire(report.vm)
        entry = self.state.document.section('vms').get(report.name)
        return None if entry is None else vm_from_entry(entry)
