"""The control side: accepts manifests and distributes revisions."""

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
from godwitshunt.configuration.heard import HeardVm, HeardVms
from godwitshunt.configuration.history import DocumentRevision, RevisionHistory
from godwitshunt.configuration.news_wire import (
    require_fields,
    vm_from_wire,
    vm_to_wire,
)
from godwitshunt.configuration.numbers import accept_command
from godwitshunt.configuration.replicated_log import ReplicatedLog
from godwitshunt.configuration.revision import (
    Revision,
    RevisionNotice,
    VmRecord,
    VmRole,
)
from godwitshunt.configuration.revision_file import RevisionFile
from godwitshunt.configuration.state import ControlState
from godwitshunt.configuration.state_machine import StateMachine
from godwitshunt.configuration.upkeep import (
    ABSENT_AFTER_S,
    due_commands,
    still_awaited,
)
from godwitshunt.consensus import ProposalFailure
from godwitshunt.exceptions import StorageError
from godwitshunt.manifest import Manifest
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.settings import Address, ControlSettings
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Timer

UPKEEP_PERIOD_S = 0.5
REPORT_PERIOD_S = 1.0
PUSH_DELAY_S = 0.05
BASE_TRIES = 3


class ConfigurationService:
    """Accepts manifests through the log and tells VMs what is in force.

    Parameters
    ----------
    record : VmRecord
        This control replica.
    others : tuple of Address
        Peer addresses of the other control replicas that settings name.
    log : ReplicatedLog
        Where commands are committed.
    links : PeerLinks
        To VMs and to other control replicas.
    timer : Timer
        Gives the periods.
    metrics : Metrics
        Counts heartbeats, news and changes.
    revision_file : RevisionFile or None
        The newest committed revision on disk; None keeps none.
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
        self.named_others = others
        self.log = log
        self.links = links
        self.timer = timer
        self.metrics = metrics
        self.machine = StateMachine(log)
        self.history = RevisionHistory()
        self.heard = HeardVms()
        self.pending_seen_at: dict[int, float] = {}
        self.background = BackgroundTasks()
        self.subscriptions = []
        self.push_due = False
        self.refresh_due = False
        self.freshness = FreshnessTask(self.machine, links, timer)
        self.led_since = timer.now()
        self.subscribers: list[RevisionNotice] = []
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
        """Make the service of a control replica."""
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
        """Know other control replicas from now on, as settings name them."""
        self.named_others = control

    @property
    def others(self) -> tuple[Address, ...]:
        """Peer addresses of the other control replicas, named or listed."""
        vms = self.state.document.section('vms').values()
        listed = [
            Address.model_validate(vm['peer'])
            for vm in vms
            if vm['role'] == VmRole.control.value
        ]
        known = dict.fromkeys((*self.named_others, *listed))
        return tuple(one for one in known if one != self.record.peer)

    @property
    def state(self) -> ControlState:
        """The control state as this replica has applied it."""
        return self.machine.state

    def start(self) -> None:
        """Follow the log, take heartbeats, and begin upkeep."""
        self.take_kept()
        self.machine.subscribe(self.on_state)
        self.machine.start()
        self.links.subscribe(MessageKind.vm_heartbeat, self.on_heartbeat)
        self.links.subscribe(MessageKind.configuration_applied, self.on_reports)
        self.freshness.start()
        self.subscriptions = [
            self.timer.every(UPKEEP_PERIOD_S, self.begin_maintenance),
            self.timer.every(REPORT_PERIOD_S, self.send_reports),
        ]

    async def close(self) -> None:
        """End upkeep; heartbeats are no longer answered."""
        for subscription in self.subscriptions:
            subscription.cancel()
        await self.freshness.close()
        await self.background.close()

    async def accept(
        self,
        manifest: Manifest,
    ) -> Result[ManifestOutcome, ProposalFailure]:
        """Commit a manifest and return what became of it."""
        answer: Result[Outcome, ProposalFailure] = Ok(BaseChanged())
        for _ in range(BASE_TRIES):
            answer = await self.propose(accept_command(self.state, manifest))
            if answer != Ok(BaseChanged()):
                break
        return answer

    async def propose(
        self,
        command: Command,
    ) -> Result[Outcome, ProposalFailure]:
        """Commit a command; count what it came to."""
        answer = await self.machine.propose(command)
        outcome = answer.err() if isinstance(answer, Err) else answer.ok()
        self.metrics.count(
            'configuration_commands_total',
            command=type(command).__name__,
            outcome=type(outcome).__name__,
        )
        return answer

    def route_homes(self, host: str) -> tuple[frozenset[str], ...]:
        """Return the homes of each route of a host that has any."""
        newest = self.history.newest
        document = self.state.document if newest is None else newest.document
        return tuple(
            frozenset(route['homes'])
            for route in document.section('routes').values()
            if route['host'] == host and route['homes']
        )

    def waits_for(self, number: int) -> list[str]:
        """Return the VMs that a pending number's acceptance waits for."""
        now = self.timer.now()
        seen_at = self.pending_seen_at.get(number, now)
        awaited = still_awaited(self.state, number, self.heard, seen_at, now)
        return [vm.name for vm in awaited]

    def on_state(self, state: ControlState) -> None:
        """Note what a committed entry led to.

        The document is made ready once for all entries that come together:
        a replica that restarts replays hundreds, and one revision after the
        other would keep it from answering for long.
        """
        self.note_pending(state)
        if not self.refresh_due:
            self.refresh_due = True
            self.timer.after(0, self.refresh)

    def refresh(self) -> None:
        """Keep the newest document and arrange that VMs are told."""
        self.refresh_due = False
        state = self.state
        newest = self.history.newest
        if newest is not None and newest.revision >= state.revision:
            return
        if not state.highest_number:
            return
        document = state.document.without_origin()
        held = DocumentRevision(state.revision, digest_of(document), document)
        self.history.add(held)
        self.publish(held)
        if self.revision_file is not None:
            self.background.run('keep', self.keep)
        self.metrics.gauge('configuration_revision', held.revision)
        log_change(
            'configuration:revision_committed',
            revision=held.revision,
            number=state.highest_number,
            digest=held.digest,
        )
        if not self.push_due:
            self.push_due = True
            self.timer.after(PUSH_DELAY_S, self.push)

    def take_kept(self) -> None:
        """Tell VMs of the revision on disk until the log says more.

        After a restart of all replicas nothing counts as committed until one
        of them leads; what was committed before then is known to be.
        """
        held = None if self.revision_file is None else self.revision_file.read()
        if held is not None:
            self.history.add(held)
            log_change('configuration:kept_taken', revision=held.revision)

    async def keep(self) -> None:
        """Write the newest revision to the disk; a failure is only logged.

        It is a copy of what the log holds; without it a restart of all
        replicas takes an election longer.
        """
        written = None
        while written is not self.history.newest:
            written = self.history.newest
            try:
                await asyncio.to_thread(self.revision_file.write, written)
            except StorageError as failed:
                self.metrics.count('configuration_keep_failed_total')
                log_change('configuration:keep_failed', reason=failed.reason)
                return

    def subscribe(self, notice: RevisionNotice) -> None:
        """Tell of each revision that this replica applies from now on."""
        self.subscribers.append(notice)

    def publish(self, held: DocumentRevision) -> None:
        """Tell the parts of this process of a newer revision."""
        if not self.subscribers:
            return
        revision = revision_of(held.revision, held.document)
        for notice in self.subscribers:
            notice(revision)

    def newest_revision(self) -> Revision | None:
        """Return the newest committed revision; None before the first.

        After a restart this is the one on disk until the log says more.
        """
        held = self.history.newest
        if held is None:
            return None
        if self.newest is None or self.newest.revision != held.revision:
            self.newest = revision_of(held.revision, held.document)
        return self.newest

    def note_pending(self, state: ControlState) -> None:
        """Remember since when each pending number is seen as committed."""
        now = self.timer.now()
        self.pending_seen_at = {
            number: self.pending_seen_at.get(number, now)
            for number, record in state.numbers.items()
            if record.awaited
        }

    def push(self) -> None:
        """Tell the VMs that speak to this replica of the newest revision."""
        self.push_due = False
        for one in self.heard.direct(self.timer.now()):
            if one.vm.name == self.record.name:
                continue
            news = self.history.make_update(one.revision, float('inf'))
            self.links.notify(
                one.vm.peer,
                MessageKind.configuration_news,
                encode(news),
            )
            self.metrics.count('configuration_pushes_total')

    async def on_heartbeat(self, sender: str, body: bytes) -> bytes:
        """Note a VM's heartbeat and tell it what it lacks."""
        heartbeat = decode(ttypes.VmHeartbeat, body)
        vm = self.heartbeat_vm(heartbeat)
        revision = heartbeat.revision or 0
        if vm is not None:
            self.heard.hear(HeardVm(vm, revision, self.timer.now()))
        self.metrics.count('configuration_heartbeats_total')
        # The proof below covers every entry that is applied; so must the news.
        self.refresh()
        news = self.history.make_update(revision, self.freshness.quorum_age_s())
        news.introduce = vm is None
        return encode(news)

    def heartbeat_vm(self, heartbeat: ttypes.VmHeartbeat) -> VmRecord | None:
        """Return who sent a heartbeat; None for a stranger without record."""
        if heartbeat.vm is not None:
            return vm_from_wire(heartbeat.vm)
        known = self.heard.by_name.get(heartbeat.name)
        if known is None or known.vm.session != heartbeat.session:
            return None
        return known.vm

    def begin_maintenance(self) -> None:
        """Commit what is due, where this replica leads."""
        self.heard.hear(
            HeardVm(self.record, self.state.revision, self.timer.now()),
        )
        now = self.timer.now()
        self.heard.forget(now - ABSENT_AFTER_S)
        if not self.log.leadership().is_leader:
            self.led_since = now
            return
        self.background.run('upkeep', self.upkeep)

    async def upkeep(self) -> None:
        """Commit admissions, claim holders and confirmations."""
        due = due_commands(
            self.state,
            self.heard,
            self.pending_seen_at,
            self.led_since,
            self.timer.now(),
        )
        for command in tuple(due):
            if isinstance(await self.propose(command), Err):
                return

    def send_reports(self) -> None:
        """Tell the other control replicas which VMs were heard here."""
        now = self.timer.now()
        committed = self.state.document.section('vms')
        reports = []
        for one in self.heard.direct(now):
            is_known = committed.get(one.vm.name) == vm_to_entry(one.vm)
            report = ttypes.VmReport(
                name=one.vm.name,
                revision=one.revision,
                age_s=now - one.heard_at,
                vm=None if is_known else vm_to_wire(one.vm),
            )
            reports.append(report)
        body = encode(ttypes.VmReports(reports=reports))
        for address in self.others:
            self.links.notify(address, MessageKind.configuration_applied, body)

    async def on_reports(self, sender: str, body: bytes) -> None:
        """Note what another control replica heard from VMs."""
        now = self.timer.now()
        for report in decode(ttypes.VmReports, body).reports or ():
            require_fields(report, 'name', 'revision', 'age_s')
            vm = self.reported_vm(report)
            if vm is not None:
                heard_at = now - report.age_s
                self.heard.hear(
                    HeardVm(vm, report.revision, heard_at, direct=False),
                )

    def reported_vm(self, report: ttypes.VmReport) -> VmRecord | None:
        """Return the record that a report is about."""
        if report.vm is not None:
            return vm_from_wire(report.vm)
        entry = self.state.document.section('vms').get(report.name)
        return None if entry is None else vm_from_entry(entry)
