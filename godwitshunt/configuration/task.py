"""The VM side: keeps the newest revision and the proof of a quorum."""

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
from godwitshunt.configuration.first_replies import FirstReplies, Told
from godwitshunt.configuration.gen.wire import ttypes
from godwitshunt.configuration.history import DocumentRevision, RevisionHistory
from godwitshunt.configuration.news_wire import decode_news, vm_to_wire
from godwitshunt.configuration.poll_order import (
    all_control_addresses,
    control_order,
    peer_order,
)
from godwitshunt.configuration.revision import (
    Revision,
    RevisionNotice,
    VmRecord,
)
from godwitshunt.configuration.revision_file import RevisionFile
from godwitshunt.configuration.sync_state import (
    NewsOutcome,
    NewsRefused,
    RevisionApplied,
    SyncState,
    apply_update,
)
from godwitshunt.exceptions import FrameError, StorageError
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.settings import Address, NodeSettings
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Timer

HEARTBEAT_PERIOD_S = 1.0
# Without jitter the heartbeats of VMs that started together would stay
# together and reach a control replica as one burst each second.
HEARTBEAT_JITTER_S = 0.2
CALL_TIMEOUT_S = 0.5
# Newer news is asked for out of turn so often at most.
ASK_AGAIN_S = 0.05
# Until it has a revision a VM serves nobody, so it asks more often.
FIRST_PERIOD_S = 0.1
# A replica whose own proof is older than this is asked no further: another
# one may be in touch with the quorum.
FRESH_PROOF_S = 1.5


@dataclass(frozen=True)
class UnlistedStart:
    """How a VM starts whose deployment has no callers that a region may lose.

    Parameters
    ----------
    unproven_after_s : float
        Seconds after its start from which it takes a revision that no quorum
        vouches for and no majority of control replicas has told. While these
        are away, callers are better served by the newest revision that can be
        had than refused.
    """

    unproven_after_s: float = 0.5


class ConfigurationTask:
    """What is in force on a VM.

    Parameters
    ----------
    record : VmRecord
        This VM.
    control : tuple of Address
        Peer addresses of the control replicas.
    peers : tuple of Address
        Peer addresses of VMs of the region that settings name.
    links : PeerLinks
        To control replicas and peers.
    timer : Timer
        Gives the periods.
    metrics : Metrics
        Counts heartbeats and applied revisions.
    revision_file : RevisionFile or None
        The newest revision on disk; None where the VM has no disk.
    unlisted : UnlistedStart or None
        How a VM starts that no acceptance ever waits for; None for one that
        serves only once it is listed.

    Attributes
    ----------
    current : Revision or None
        In force on this VM; None before the first that lists the VM. Its
        revision only rises.
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
        self.subscribers: list[RevisionNotice] = []
        self.first = FirstReplies()
        self.background = BackgroundTasks()
        self.closed = False
        self.lock = asyncio.Lock()
        self.preferred: Address | None = None
        self.peer_turn = 0
        self.sends_record = True
        self.asked_s = float('-inf')
        # Spreads heartbeats over time; nothing is decided by it.
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
        """Make the task of a VM."""
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
        """Take up the kept revision and begin to ask for newer ones.

        Raises
        ------
        StorageError
            Where the data folder cannot be read.
        """
        self.sync_state = replace(self.sync_state, started_at=self.timer.now())
        if self.unlisted is not None:
            self.sync_state = replace(
                self.sync_state,
                unproven_after_s=self.unlisted.unproven_after_s,
            )
        if self.revision_file is not None:
            self.take_kept(self.revision_file)
        self.links.subscribe(MessageKind.configuration_news, self.on_news)
        self.links.subscribe(MessageKind.configuration_fetch, self.on_fetch)
        self.begin_heartbeat()

    async def close(self) -> None:
        """Ask no more; the revision stays in force."""
        self.closed = True
        await self.background.close()

    def subscribe(self, notice: RevisionNotice) -> None:
        """Tell of each revision that comes into force from now on."""
        self.subscribers.append(notice)

    def set_control_addresses(self, control: tuple[Address, ...]) -> None:
        """Ask other control replicas from now on, as settings name them."""
        self.control = control

    def quorum_age_s(self) -> float:
        """Return the seconds since the last proof of a live quorum.

        Infinite where there was none since the process started.
        """
        return self.timer.now() - self.sync_state.proof_at

    @property
    def is_admitted(self) -> bool:
        """True where the revision in force lists this VM."""
        return self.current is not None and self.record in self.current.vms

    def take_kept(self, revision_file: RevisionFile) -> None:
        """Put the revision on disk in force, without proof of a quorum."""
        latest = revision_file.read()
        if latest is None:
            return
        self.sync_state = replace(self.sync_state, latest=latest)
        revision = revision_of(latest.revision, latest.document)
        if self.is_listed(revision):
            self.publish(revision)

    def begin_heartbeat(self) -> None:
        """Ask once and arrange for the next time."""
        if self.closed:
            return
        if self.current is None and self.unlisted is not None:
            self.ask_all()
        else:
            self.background.run('heartbeat', self.ask)
        spread = self.jitter.uniform(-HEARTBEAT_JITTER_S, HEARTBEAT_JITTER_S)
        period_s = HEARTBEAT_PERIOD_S + spread
        if self.current is None:
            period_s = FIRST_PERIOD_S
        self.timer.after(period_s, self.begin_heartbeat)

    async def poll_now(self) -> None:
        """Ask for newer news, and wait for it.

        Where that is under way already, that answer is waited for. Callers
        with wrong keys must not make this VM ask without end.
        """
        if self.timer.now() - self.asked_s > ASK_AGAIN_S:
            self.background.run('heartbeat', self.ask)
        await self.background.wait('heartbeat')

    async def ask(self) -> None:
        """Ask control replicas until one proves a quorum, else a peer."""
        self.asked_s = self.timer.now()
        for address in control_order(
            self.current,
            self.record,
            all_control_addresses(self.current, self.control),
            self.preferred,
        ):
            if await self.poll_one(address, MessageKind.vm_heartbeat):
                self.preferred = address
                return
        self.preferred = None
        self.peer_turn += 1
        for peer in peer_order(
            self.current,
            self.record,
            self.peers,
            self.peer_turn,
        ):
            if await self.poll_one(peer, MessageKind.configuration_fetch):
                return

    def ask_all(self) -> None:
        """Ask every control replica at once, for the first revision.

        After all machines were dark, replicas start with the VMs and are
        silent at first: asked in turn, each of them costs its callers half a
        second in which nobody is served.
        """
        for address in all_control_addresses(None, self.control):
            self.background.run(
                f'first from {address}',
                partial(self.ask_first, address),
            )

    async def ask_first(self, address: Address) -> None:
        """Ask one control replica for the first revision."""
        told = await self.call(address, MessageKind.vm_heartbeat)
        if told is None or self.current is not None:
            return
        self.first.note(address, told)
        if self.first.has_majority(
            len(all_control_addresses(None, self.control))
        ):
            self.sync_state = replace(self.sync_state, unproven_after_s=0.0)
        newest = self.first.newest()
        await self.take(newest.news, newest.asked_at)

    async def poll_one(self, address: Address, kind: MessageKind) -> bool:
        """Send one heartbeat; True where the reply proved a live quorum."""
        told = await self.call(address, kind)
        if told is None:
            return False
        from_peer = kind is MessageKind.configuration_fetch
        outcome = await self.take(
            told.news,
            told.asked_at,
            from_peer=from_peer,
        )
        if isinstance(outcome, NewsRefused):
            return False
        return 0 <= told.news.quorum_age_s <= FRESH_PROOF_S

    async def call(self, address: Address, kind: MessageKind) -> Told | None:
        """Send one heartbeat; return the news, None where none came."""
        asked_at = self.timer.now()
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
            news = decode_news(reply.ok_value)
        except FrameError:
            self.metrics.count('configuration_news_malformed_total')
            return None
        self.sends_record = bool(news.introduce)
        return Told(news, asked_at)

    def heartbeat(self) -> ttypes.VmHeartbeat:
        """Return what this VM tells of itself."""
        return ttypes.VmHeartbeat(
            name=self.record.name,
            session=self.record.session,
            revision=self.sync_state.base_revision,
            vm=vm_to_wire(self.record) if self.sends_record else None,
        )

    async def on_news(self, sender: str, body: bytes) -> None:
        """Take a push; ask at once where its delta does not fit."""
        news = decode_news(body)
        outcome = await self.take(news, None)
        if isinstance(outcome, NewsRefused):
            self.background.run('heartbeat', self.ask)

    async def on_fetch(self, sender: str, body: bytes) -> bytes:
        """Tell a peer what this VM holds, with the age of its proof."""
        heartbeat = decode(ttypes.VmHeartbeat, body)
        news = self.history.make_update(
            heartbeat.revision or 0,
            self.quorum_age_s(),
        )
        return encode(news)

    async def take(
        self,
        news: ttypes.ConfigurationNews,
        asked_at: float | None,
        *,
        from_peer: bool = False,
    ) -> NewsOutcome:
        """Apply news and tell the subscribers of a newer revision.

        A newer revision is on the disk before it is in force: a VM that
        crashed in between and restarted while isolated would else serve by
        the older one after it had said that the newer one is in force.
        """
        async with self.lock:
            sync_state, outcome = apply_update(
                self.sync_state,
                news,
                asked_at,
                from_peer=from_peer,
            )
            if isinstance(outcome, RevisionApplied):
                return await self.put_in_force(sync_state, outcome)
            self.sync_state = sync_state
            if isinstance(outcome, NewsRefused):
                self.note_refused(outcome)
            return outcome

    async def put_in_force(
        self,
        sync_state: SyncState,
        outcome: RevisionApplied,
    ) -> NewsOutcome:
        """Check, keep and publish a newer revision."""
        latest = outcome.latest
        try:
            revision = revision_of(latest.revision, latest.document)
        except ValidationError as bad:
            refused = NewsRefused(DocumentMalformed(str(bad)))
            self.sync_state = replace(self.sync_state, needs_full_document=True)
            self.note_refused(refused)
            return refused
        if self.revision_file is not None:
            await self.keep(self.revision_file, latest)
        self.sync_state = sync_state
        if self.current is not None or self.is_listed(revision):
            self.publish(revision)
        return outcome

    def is_listed(self, revision: Revision) -> bool:
        """Tell whether a revision lists this VM, perhaps before a restart.

        A VM that is not listed is not waited for where its region loses a
        caller; so it does not begin to serve.
        """
        if self.unlisted is not None:
            return True
        return any(vm.name == self.record.name for vm in revision.vms)

    async def keep(
        self, revision_file: RevisionFile, latest: DocumentRevision
    ) -> None:
        """Write a revision to the disk; a failure is counted and logged.

        Serving by an older revision until the disk is repaired would be
        worse than losing the newer one at the next restart.
        """
        try:
            await asyncio.to_thread(revision_file.write, latest)
        except StorageError as failed:
            self.metrics.count('configuration_keep_failed_total')
            log_change('configuration:keep_failed', reason=failed.reason)

    def publish(self, revision: Revision) -> None:
        """Put a revision in force at once and tell the subscribers."""
        self.current = revision
        if self.sync_state.latest is not None:
            self.history.add(self.sync_state.latest)
        self.metrics.gauge('configuration_revision', revision.revision)
        log_change(
            'configuration:revision_in_force',
            revision=revision.revision,
            number=revision.manifest.number,
        )
        for notice in self.subscribers:
            notice(revision)

    def note_refused(self, refused: NewsRefused) -> None:
        """Count and log news that could not be applied."""
        self.metrics.count('configuration_news_refused_total')
        log_change('configuration:news_refused', fault=repr(refused.fault))
