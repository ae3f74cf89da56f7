"""VM side: the active revision and the last proof of a quorum."""

import asyncio
import random
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from typing import Self

from pydantic import ValidationError
from result import Err

from godwitshunt.configuration.background import BackgroundTasks
from godwitshunt.configuration.document import (
    DocumentMalformed,
    revision_of,
)
from godwitshunt.configuration.gen.wire import ttypes
from godwitshunt.configuration.history import DocumentRevision, RevisionHistory
from godwitshunt.configuration.initial_replies import (
    InitialReplies,
    UpdateReply,
)
from godwitshunt.configuration.poll_order import (
    all_control_addresses,
    control_poll_order,
    peer_poll_order,
)
from godwitshunt.configuration.revision import (
    Revision,
    RevisionCallback,
    VmRecord,
)
from godwitshunt.configuration.revision_file import RevisionFile
from godwitshunt.configuration.sync_state import (
    RevisionApplied,
    SyncState,
    UpdateOutcome,
    UpdateRejected,
    apply_update,
)
from godwitshunt.configuration.update_wire import decode_update, vm_to_wire
from godwitshunt.exceptions import FrameError, StorageError
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.settings import Address, NodeSettings
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Timer

HEARTBEAT_PERIOD_S = 1.0
# Without jitter VMs that started together would reach a control replica with
# one burst of heartbeats each second.
HEARTBEAT_JITTER_S = 0.2
CALL_TIMEOUT_S = 0.5
# Shortest interval between polls on demand.
MIN_POLL_INTERVAL_S = 0.05
# A VM without a revision serves no requests, so it polls more often.
STARTUP_POLL_PERIOD_S = 0.1
# A VM that starts unlisted polls all control replicas. Where they answer after
# this time that they have no revision, the whole system has none yet: 80 VMs
# that went on polling five replicas ten times a second would cost more than
# callers do. The first revision is also pushed.
STARTUP_S = 3.0
UNCONFIGURED_POLL_PERIOD_S = 0.5
# If a replica's own proof is older than this, the next replica is polled, since
# it may have contact with the quorum.
MAX_PROOF_AGE_S = 1.5


@dataclass(frozen=True)
class UnlistedStart:
    """Start without being listed, where callers never lose a region.

    Parameters
    ----------
    unproven_after_s : float
        Seconds after its start from which the VM applies a revision without a
        proof of a quorum and without replies from a majority of the control
        replicas. While these are unreachable, serving callers by the newest
        available revision is better than refusing them.
    """

    unproven_after_s: float = 0.5


class ConfigurationTask:
    """Keeps the active revision of a VM up to date.

    Parameters
    ----------
    record : VmRecord
        Record of this VM.
    control : tuple of Address
        Peer addresses of the control replicas.
    peers : tuple of Address
        Peer addresses of VMs of the region in the settings.
    links : PeerLinks
        Links to control replicas and peers.
    timer : Timer
        Schedules heartbeats.
    metrics : Metrics
        Counts heartbeats and applied revisions.
    revision_file : RevisionFile or None
        File for the newest revision; None if the VM has no disk.
    unlisted : UnlistedStart or None
        How to start a VM that no acceptance ever waits for; None for a VM
        that serves only once a revision lists it.

    Attributes
    ----------
    current : Revision or None
        The active revision; None before the first that lists the VM. Its
        number only rises.
    """

    def __init__(
        self,
        record: VmRecord,
        control: tuple[Address, ...],
        peers: tuple[Address, ...],
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
        revision_file: RevisionFile | None,
        unlisted: UnlistedStart | None = None,
    ) -> None:
        self.unlisted = unlisted
        self.record = record
        self.control = control
        self.peers = peers
        self.links = links
        self.timer = timer
        self.metrics = metrics
        self.revision_file = revision_file
        self.sync_state = SyncState()
        self.current: Revision | None = None
        self.history = RevisionHistory()
        self.subscribers: list[RevisionCallback] = []
        self.initial_replies = InitialReplies()
        # Whether a control replica has answered that it has no revision.
        self.is_unconfigured = False
        self.background = BackgroundTasks()
        self.closed = False
        self.lock = asyncio.Lock()
        self.last_good: Address | None = None
        self.peer_round = 0
        self.sends_record = True
        self.polled_at_s = float('-inf')
        # Only spreads heartbeats over time.
        self.jitter = random.Random(record.name)

    @classmethod
    def from_config(
        cls,
        settings: NodeSettings,
        record: VmRecord,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
        unlisted: UnlistedStart | None = None,
    ) -> Self:
        """Create the task of a VM from its settings."""
        revision_file = None
        if settings.data_folder is not None:
            revision_file = RevisionFile(Path(settings.data_folder))
        return cls(
            record,
            settings.control,
            settings.peers,
            links,
            timer,
            metrics,
            revision_file,
            unlisted,
        )

    def start(self) -> None:
        """Restore the persisted revision and start to poll for newer ones.

        Raises
        ------
        StorageError
            If the data folder cannot be read.
        """
        self.sync_state = replace(self.sync_state, started_at=self.timer.now())
        if self.unlisted is not None:
            self.sync_state = replace(
                self.sync_state,
                unproven_after_s=self.unlisted.unproven_after_s,
            )
        if self.revision_file is not None:
            self.restore_revision(self.revision_file)
        self.links.subscribe(MessageKind.configuration_news, self.on_update)
        self.links.subscribe(MessageKind.configuration_fetch, self.on_fetch)
        self.begin_heartbeat()

    async def close(self) -> None:
        """Stop polling; the revision stays active."""
        self.closed = True
        await self.background.close()

    def subscribe(self, callback: RevisionCallback) -> None:
        """Call back for each revision that becomes active from now on."""
        self.subscribers.append(callback)

    def set_control_addresses(self, control: tuple[Address, ...]) -> None:
        """Replace the configured addresses of the control replicas."""
        self.control = control

    def quorum_age_s(self) -> float:
        """Return the seconds since the last proof of a live quorum.

        Infinite if there was none since the process started.
        """
        return self.timer.now() - self.sync_state.proof_at

    @property
    def is_admitted(self) -> bool:
        """Whether the active revision lists this VM."""
        return self.current is not None and self.record in self.current.vms

    def restore_revision(self, revision_file: RevisionFile) -> None:
        """Activate the revision on disk, without a proof of a quorum."""
        latest = revision_file.read()
        if latest is None:
            return
        self.sync_state = replace(self.sync_state, latest=latest)
        revision = revision_of(latest.revision, latest.document)
        if self.is_listed(revision):
            self.publish(revision)

    def begin_heartbeat(self) -> None:
        """Start one poll and schedule the next."""
        if self.closed:
            return
        if self.current is None and self.unlisted is not None:
            self.poll_all_control()
        else:
            self.background.run('heartbeat', self.poll)
        self.timer.after(self.poll_period_s(), self.begin_heartbeat)

    def poll_period_s(self) -> float:
        """Return the time until the next poll."""
        if self.current is not None:
            jitter_s = self.jitter.uniform(
                -HEARTBEAT_JITTER_S, HEARTBEAT_JITTER_S
            )
            return HEARTBEAT_PERIOD_S + jitter_s
        age_s = self.timer.now() - self.sync_state.started_at
        if self.is_unconfigured and age_s > STARTUP_S:
            return UNCONFIGURED_POLL_PERIOD_S
        return STARTUP_POLL_PERIOD_S

    async def poll_now(self) -> None:
        """Poll for a newer revision and wait for the answer.

        A poll that is already running is awaited instead. Callers with wrong
        keys must not be able to make this VM poll without limit.
        """
        if self.timer.now() - self.polled_at_s > MIN_POLL_INTERVAL_S:
            self.background.run('heartbeat', self.poll)
        await self.background.wait('heartbeat')

    async def poll(self) -> None:
        """Poll control replicas until one proves a quorum, else peers."""
        self.polled_at_s = self.timer.now()
        for address in control_poll_order(
            self.current,
            self.record,
            all_control_addresses(self.current, self.control),
            self.last_good,
        ):
            if await self.poll_one(address, MessageKind.vm_heartbeat):
                self.last_good = address
                return
        self.last_good = None
        self.peer_round += 1
        for peer in peer_poll_order(
            self.current,
            self.record,
            self.peers,
            self.peer_round,
        ):
            if await self.poll_one(peer, MessageKind.configuration_fetch):
                return

    def poll_all_control(self) -> None:
        """Poll all control replicas at once for the first revision.

        After an outage of all machines the replicas start together with the
        VMs and do not answer at first. Polled in turn, each would cost a
        timeout of half a second during which no caller is served.
        """
        for address in all_control_addresses(None, self.control):
            self.background.run(
                f'first from {address}',
                partial(self.poll_first_revision, address),
            )

    async def poll_first_revision(self, address: Address) -> None:
        """Poll one control replica for the first revision."""
        reply = await self.request_update(address, MessageKind.vm_heartbeat)
        if reply is None or self.current is not None:
            return
        self.initial_replies.record(address, reply)
        if self.initial_replies.has_majority(
            len(all_control_addresses(None, self.control))
        ):
            self.sync_state = replace(self.sync_state, unproven_after_s=0.0)
        newest = self.initial_replies.newest()
        await self.receive_update(newest.update, newest.requested_at)
        self.is_unconfigured = self.current is None

    async def poll_one(self, address: Address, kind: MessageKind) -> bool:
        """Send a heartbeat; return whether the reply proved a live quorum."""
        reply = await self.request_update(address, kind)
        if reply is None:
            return False
        from_peer = kind is MessageKind.configuration_fetch
        outcome = await self.receive_update(
            reply.update,
            reply.requested_at,
            from_peer=from_peer,
        )
        if isinstance(outcome, UpdateRejected):
            return False
        return 0 <= reply.update.quorum_age_s <= MAX_PROOF_AGE_S

    async def request_update(
        self, address: Address, kind: MessageKind
    ) -> UpdateReply | None:
        """Send a heartbeat; return the update, None if none arrived."""
        requested_at = self.timer.now()
        reply = await self.links.call(
            address,
            kind,
            encode(self.heartbeat()),
            CALL_TIMEOUT_S,
        )
        if isinstance(reply, Err):
            self.metrics.count('configuration_asks_failed_total')
            return None
        try:
            update = decode_update(reply.ok_value)
        except FrameError:
            self.metrics.count('configuration_news_malformed_total')
            return None
        self.sends_record = bool(update.introduce)
        return UpdateReply(update, requested_at)

    def heartbeat(self) -> ttypes.VmHeartbeat:
        """Return the heartbeat of this VM."""
        return ttypes.VmHeartbeat(
            name=self.record.name,
            session=self.record.session,
            revision=self.sync_state.base_revision,
            vm=vm_to_wire(self.record) if self.sends_record else None,
        )

    async def on_update(self, sender: str, body: bytes) -> None:
        """Apply a push; poll at once if its delta cannot be applied."""
        update = decode_update(body)
        outcome = await self.receive_update(update, None)
        if isinstance(outcome, UpdateRejected):
            self.background.run('heartbeat', self.poll)

    async def on_fetch(self, sender: str, body: bytes) -> bytes:
        """Answer a peer with an update and the age of the last proof."""
        heartbeat = decode(ttypes.VmHeartbeat, body)
        update = self.history.make_update(
            heartbeat.revision or 0,
            self.quorum_age_s(),
        )
        return encode(update)

    async def receive_update(
        self,
        update: ttypes.ConfigurationNews,
        requested_at: float | None,
        *,
        from_peer: bool = False,
    ) -> UpdateOutcome:
        """Apply an update and activate a newer revision.

        A newer revision is persisted before it becomes active. Otherwise a VM
        that crashed in between and restarted while isolated would serve by
        the older revision after it had reported the newer one as applied.
        """
        async with self.lock:
            sync_state, outcome = apply_update(
                self.sync_state,
                update,
                requested_at,
                from_peer=from_peer,
            )
            if isinstance(outcome, RevisionApplied):
                return await self.activate(sync_state, outcome)
            self.sync_state = sync_state
            if isinstance(outcome, UpdateRejected):
                self.record_rejected(outcome)
            return outcome

    async def activate(
        self,
        sync_state: SyncState,
        outcome: RevisionApplied,
    ) -> UpdateOutcome:
        """Validate, persist and publish a newer revision."""
        latest = outcome.latest
        try:
            revision = revision_of(latest.revision, latest.document)
        except ValidationError as error:
            rejected = UpdateRejected(DocumentMalformed(str(error)))
            self.sync_state = replace(self.sync_state, needs_full_document=True)
            self.record_rejected(rejected)
            return rejected
        if self.revision_file is not None:
            await self.persist(self.revision_file, latest)
        self.sync_state = sync_state
        if self.current is not None or self.is_listed(revision):
            self.publish(revision)
        return outcome

    def is_listed(self, revision: Revision) -> bool:
        """Return whether a revision lists this VM, in any session.

        No acceptance waits for an unlisted VM when its region is removed from
        a caller, so such a VM does not start to serve.
        """
        if self.unlisted is not None:
            return True
        return any(vm.name == self.record.name for vm in revision.vms)

    async def persist(
        self, revision_file: RevisionFile, latest: DocumentRevision
    ) -> None:
        """Write a revision to disk; a failure is counted and logged.

        Serving by an older revision until the disk is repaired would be
        worse than losing the newer one at the next restart.
        """
        try:
            await asyncio.to_thread(revision_file.write, latest)
        except StorageError as error:
            self.metrics.count('configuration_keep_failed_total')
            log_change('configuration:keep_failed', reason=error.reason)

    def publish(self, revision: Revision) -> None:
        """Make a revision active and pass it to the subscribers."""
        self.current = revision
        if self.sync_state.latest is not None:
            self.history.add(self.sync_state.latest)
        self.metrics.gauge('configuration_revision', revision.revision)
        log_change(
            'configuration:revision_in_force',
            revision=revision.revision,
            number=revision.manifest.number,
        )
        for callback in self.subscribers:
            callback(revision)

    def record_rejected(self, rejected: UpdateRejected) -> None:
        """Count and log an update that could not be applied."""
        self.metrics.count('configuration_news_refused_total')
        log_change('configuration:news_refused', fault=repr(rejected.fault))
