"""The control side: hears upstreams, answers the polls of entry VMs."""

import asyncio
import secrets
import time
from typing import Self

from godwitshunt.configuration.background import Background
from godwitshunt.exceptions import StorageError
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.registry.entries import EntryTable
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.kept_upstreams import KeptUpstreams
from godwitshunt.registry.prefixes import PrefixRead, PrefixTable
from godwitshunt.registry.records import EntryRecord, UpstreamAnnounced
from godwitshunt.registry.table import (
    AnnounceOutcome,
    Taken,
    UpstreamEntry,
    UpstreamTable,
)
from godwitshunt.registry.wire import (
    ends_to_wire,
    entry_from_wire,
    entry_to_wire,
    loads_from_wire,
    loads_to_wire,
    prefixes_from_wire,
    prefixes_to_wire,
    upstream_to_wire,
)
from godwitshunt.settings import ControlSettings
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Subscription, Timer

TICK_S = 0.25
SOURCE_BYTES = 8
MILLISECONDS = 1000


class RegistryService:
    """Upstreams that announce themselves here, and entry VMs that poll.

    Nothing passes between control VMs: every entry VM polls all of them and
    joins what they say. So the news that an upstream leaves reaches every
    entry VM that reaches the control VM which acknowledged it, whether the
    control VMs hear each other or not.

    Parameters
    ----------
    links : PeerLinks
        Carry the polls.
    timer : Timer
        Monotonic time.
    metrics : Metrics
        Counts announcements and polls.
    kept : KeptUpstreams or None
        What was last known of upstreams on disk; None keeps nothing.
    """

    def __init__(
        self,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
        kept: KeptUpstreams | None = None,
    ) -> None:
        self.kept = kept
        self.written_version = 0
        self.writing = asyncio.Lock()
        self.disk_fault = ''
        self.background = Background()
        self.links = links
        self.timer = timer
        self.metrics = metrics
        self.source = secrets.token_hex(SOURCE_BYTES)
        self.upstreams = UpstreamTable()
        self.entries = EntryTable()
        self.prefixes = PrefixTable()
        self.subscription: Subscription | None = None

    @classmethod
    def from_config(
        cls,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
        settings: ControlSettings,
    ) -> Self:
        """Make the registry of a control VM."""
        kept = None
        if settings.keeps_upstreams:
            kept = KeptUpstreams(settings.data_folder)
        return cls(links, timer, metrics, kept)

    def start(self) -> None:
        """Take up what is kept, and answer polls.

        Raises
        ------
        StorageError
            Where the data folder cannot be read.
        """
        self.restore()
        self.links.subscribe(MessageKind.registry_poll, self.on_poll)
        self.subscription = self.timer.every(TICK_S, self.tick)

    def restore(self) -> None:
        """Take up what this VM knew before its process ended."""
        now_s = self.timer.now()
        if self.kept is not None and self.kept.restore(self.upstreams, now_s):
            self.written_version = self.upstreams.version
            log_change(
                'registry:kept_taken',
                upstreams=sorted(self.upstreams.entries),
                gone=len(self.upstreams.gone),
            )

    async def close(self) -> None:
        """Watch over silences no more."""
        if self.subscription is not None:
            self.subscription.cancel()
        await self.background.close()

    async def settle(self) -> bool:
        """Wait until what is known now is on disk; False where it failed.

        That an upstream leaves is acknowledged only then: after a loss of
        power it would else get work from those who remember it as ready.
        """
        if self.kept is None:
            return True
        version = self.upstreams.version
        if self.written_version < version:
            await self.keep()
        return self.written_version >= version

    async def keep(self) -> None:
        """Write what is known of upstreams; a failure is counted."""
        async with self.writing:
            if self.written_version >= self.upstreams.version:
                return
            record = self.kept.render(self.upstreams, self.timer.now())
            try:
                await asyncio.to_thread(self.kept.file.write, record)
            except StorageError as failed:
                self.metrics.count('registry_keep_failed_total')
                self.note_disk(failed.reason)
                return
            self.written_version = record.number
            self.note_disk('')

    def note_disk(self, reason: str) -> None:
        """Log where the disk fails and where it is well again, once each."""
        if reason and not self.disk_fault:
            log_change('registry:keep_failed', reason=reason)
        if self.disk_fault and not reason:
            log_change('registry:keep_recovered', reason=self.disk_fault)
        self.disk_fault = reason

    def announce(self, told: UpstreamAnnounced) -> AnnounceOutcome:
        """Take an upstream's announcement."""
        known = self.upstreams.entries.get(told.instance)
        outcome = self.upstreams.announce(told, self.timer.now())
        self.metrics.count(
            'registry_announcements_total',
            outcome=type(outcome).__name__,
        )
        if isinstance(outcome, Taken):
            self.log_announced(known, told)
        return outcome

    def log_announced(
        self,
        known: UpstreamEntry | None,
        told: UpstreamAnnounced,
    ) -> None:
        """Log an upstream that is new here or begins to drain.

        The entry in the table is the same object before and after; only a
        new one, or a first word of draining, is a change of what we believe.
        """
        now_known = self.upstreams.entries.get(told.instance)
        changed = now_known is not None and (
            now_known.version == self.upstreams.version
        )
        if known is None or changed:
            log_change(
                'registry:upstream_announced',
                instance=told.instance,
                service=told.service,
                address=str(told.address),
                failure_domain=told.failure_domain,
                draining=told.draining,
                cold_s=told.cold_s,
                sequence=told.sequence,
                born_ms=told.born_ms,
                version=self.upstreams.version,
            )

    def withdraw(self, instance: str) -> None:
        """Take an upstream's departure."""
        now_ms = time.time() * MILLISECONDS
        self.upstreams.withdraw(instance, self.timer.now(), now_ms)
        self.metrics.count('registry_withdrawals_total')
        log_change(
            'registry:upstream_withdrawn',
            instance=instance,
            version=self.upstreams.version,
        )

    def accepting(self) -> tuple[EntryRecord, ...]:
        """Return the entry VMs that take requests of callers now."""
        self.tick()
        return self.entries.accepting()

    def tick(self) -> None:
        """Note who has fallen silent."""
        now_s = self.timer.now()
        self.upstreams.tick(now_s)
        if self.kept is not None and (
            self.written_version < self.upstreams.version
        ):
            self.background.run('keep', self.keep)
        self.prefixes.forget(now_s)
        for name in self.entries.tick(now_s):
            log_change('registry:entry_absent', entry=name)
        self.metrics.gauge('registry_upstreams', len(self.upstreams.entries))
        self.metrics.gauge('registry_entries', len(self.entries.entries))

    async def on_poll(self, sender: str, body: bytes) -> bytes:
        """Answer an entry VM with what is new to it."""
        poll = decode(ttypes.Poll, body)
        self.hear(poll, self.timer.now())
        self.metrics.count('registry_polls_total')
        return encode(self.reply(poll.entry.name, poll))

    def hear(self, poll: ttypes.Poll, now_s: float) -> None:
        """Take what an entry VM tells."""
        record = entry_from_wire(poll.entry)
        if record.name not in self.entries.entries:
            log_change('registry:entry_heard', entry=record.name)
        self.entries.hear(record, loads_from_wire(poll.loads), now_s)
        self.prefixes.take(prefixes_from_wire(poll.prefixes, now_s))

    def reply(self, name: str, poll: ttypes.Poll) -> ttypes.PollReply:
        """Return what is newer than what an entry VM holds."""
        now_s = self.timer.now()
        upstreams = self.upstreams
        whole = poll.source != self.source
        known = 0 if whole else poll.version
        known_entries = 0 if whole else poll.entries_version
        return ttypes.PollReply(
            source=self.source,
            version=upstreams.version,
            whole=whole,
            upstreams=[
                upstream_to_wire(each, now_s)
                for each in upstreams.changed_since(known)
            ],
            gone=ends_to_wire(upstreams.gone_since(known)),
            entries=[
                entry_to_wire(each)
                for each in self.entries.changed_since(known_entries)
            ],
            gone_entries=list(self.entries.gone_since(known_entries)),
            loads=loads_to_wire(self.entries.loads_without(name)),
            entries_version=self.entries.version,
            prefixes=prefixes_to_wire(
                self.prefixes_after(poll.prefixes_version, whole=whole),
                now_s,
            ),
            prefixes_version=self.prefixes.version,
        )

    def prefixes_after(
        self,
        version: int | None,
        *,
        whole: bool,
    ) -> tuple[PrefixRead, ...]:
        """Return what was read after a version; nothing where not asked."""
        if version is None or version < 0:
            return ()
        return self.prefixes.since(0 if whole else version)
