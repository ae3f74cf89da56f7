"""The control side: hears upstreams, answers the polls of entry VMs."""

import secrets
import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Self

from godwitshunt.configuration.background import BackgroundTasks
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.quarantine import (
    QUARANTINE_S,
    SUSPECTED_CRASHES,
    Quarantine,
    SuspectUpdate,
)
from godwitshunt.registry.control_tables import ControlTables
from godwitshunt.registry.entries import EntryTable
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.keeper import UpstreamKeeper
from godwitshunt.registry.kept_upstreams import KeptUpstreams
from godwitshunt.registry.ledger import LoadLedger, Report, SummedLoads
from godwitshunt.registry.prefixes import CachedPrefix, PrefixTable
from godwitshunt.registry.records import EntryRecord, UpstreamAnnounced
from godwitshunt.registry.suspect_wire import (
    suspects_from_wire,
    suspects_to_wire,
)
from godwitshunt.registry.table import (
    AnnounceOutcome,
    Taken,
    UpstreamEntry,
    UpstreamTable,
)
from godwitshunt.registry.table_updates import ControlLocation, Scope, own_news
from godwitshunt.registry.views import RegistryView
from godwitshunt.registry.wire import (
    admitted_to_wire,
    entry_from_wire,
    loads_to_wire,
    prefixes_from_wire,
    prefixes_to_wire,
    report_from_wire,
)
from godwitshunt.settings import ControlSettings
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Subscription, Timer

TICK_S = 0.25
SOURCE_BYTES = 8
MILLISECONDS = 1000
# Gets the entry VM's name, its report as it came, and what was read of it.
ReportNotice = Callable[[str, ttypes.LoadReport, Report], None]


class RegistryService:
    """Upstreams that announce themselves here, and entry VMs that poll.

    Control VMs tell each other their tables, and an entry VM asks one for all
    of them. Each table is told with its age; an entry VM that finds one too
    old asks its control VM itself. So the news that an upstream leaves
    reaches every entry VM that reaches the control VM which acknowledged it,
    whether the control VMs hear each other or not.

    Parameters
    ----------
    location : ControlLocation
        Where this control VM stands, and which others there are.
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
        location: ControlLocation,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
        kept: KeptUpstreams | None = None,
    ) -> None:
        self.location = location
        self.shown = (-1, -1)
        self.background = BackgroundTasks()
        self.links = links
        self.timer = timer
        self.metrics = metrics
        self.source = secrets.token_hex(SOURCE_BYTES)
        self.upstreams = UpstreamTable()
        self.quarantine = Quarantine(QUARANTINE_S, timer.now, metrics)
        self.keeper = UpstreamKeeper(
            kept,
            self.upstreams,
            self.quarantine.table,
            timer,
            metrics,
        )
        self.entries = EntryTable()
        self.ledger = LoadLedger()
        # What entry VMs told here, and that with what other control VMs were
        # told. Only the first is told to those: a read that went back and
        # forth would age by less than its way each time, and live for ever.
        self.heard_prefixes = PrefixTable()
        self.prefixes = PrefixTable()
        self.picker_active = False
        # What the picker beside this registry has admitted, by organisation.
        self.admitted: Mapping[str, float] = {}
        self.report_notices: list[ReportNotice] = []
        self.tables = ControlTables(
            location,
            self.prefixes,
            self.quarantine,
            links,
            timer,
        )
        self.subscription: Subscription | None = None

    @classmethod
    def from_config(
        cls,
        location: ControlLocation,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
        settings: ControlSettings,
    ) -> Self:
        """Make the registry of a control VM."""
        kept = None
        if settings.keeps_upstreams:
            kept = KeptUpstreams(settings.data_folder)
        made = cls(location, links, timer, metrics, kept)
        made.quarantine.length_s = settings.bounds.quarantine_s
        return made

    def start(self) -> None:
        """Take up what is kept, and answer polls.

        Raises
        ------
        StorageError
            Where the data folder cannot be read.
        """
        self.keeper.restore()
        self.links.subscribe(MessageKind.registry_poll, self.on_poll)
        self.subscription = self.timer.every(TICK_S, self.tick)
        self.tables.start()

    async def close(self) -> None:
        """Watch over silences no more."""
        if self.subscription is not None:
            self.subscription.cancel()
        await self.tables.close()
        await self.background.close()

    async def flush(self) -> bool:
        """Wait until what is known now is on disk; False where it failed.

        That an upstream leaves is acknowledged only then: after a loss of
        power it would else get work from those who remember it as ready.
        """
        return await self.keeper.flush()

    def announce(self, announcement: UpstreamAnnounced) -> AnnounceOutcome:
        """Take an upstream's announcement."""
        known = self.upstreams.entries.get(announcement.instance)
        outcome = self.upstreams.announce(announcement, self.timer.now())
        self.metrics.count(
            'registry_announcements_total',
            outcome=type(outcome).__name__,
        )
        if isinstance(outcome, Taken):
            self.log_announced(known, announcement)
        return outcome

    def log_announced(
        self,
        known: UpstreamEntry | None,
        announcement: UpstreamAnnounced,
    ) -> None:
        """Log an upstream that is new here or begins to drain.

        The entry in the table is the same object before and after; only a
        new one, or a first word of draining, is a change of what we believe.
        """
        now_known = self.upstreams.entries.get(announcement.instance)
        changed = now_known is not None and (
            now_known.version == self.upstreams.version
        )
        if known is None or changed:
            log_change(
                'registry:upstream_announced',
                instance=announcement.instance,
                service=announcement.service,
                address=str(announcement.address),
                failure_domain=announcement.failure_domain,
                draining=announcement.draining,
                cold_s=announcement.cold_s,
                sequence=announcement.sequence,
                born_ms=announcement.born_ms,
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
        entries = self.view().entries.values()
        return tuple(one for one in entries if one.accepting)

    def view(self) -> RegistryView:
        """Return what all control VMs together tell, with all requests.

        The entry VMs that report here are counted to the millisecond, those
        that report elsewhere as their control VM told last.
        """
        now_s = self.timer.now()
        if self.shown != (self.upstreams.version, self.entries.version):
            self.shown = (self.upstreams.version, self.entries.version)
            self.tables.take_own(self.own_news(self.tables.held_own(), now_s))
        loads = SummedLoads((self.ledger.totals, self.tables.loads(now_s)))
        return replace(self.tables.view(), loads=loads)

    def mark_replaced(self, incarnation: str) -> None:
        """Note that an incarnation is no longer at its address."""
        self.tables.mark_replaced(incarnation)

    def tick(self) -> None:
        """Note who has fallen silent."""
        now_s = self.timer.now()
        self.upstreams.tick(now_s)
        self.quarantine.tick()
        if self.keeper.is_due:
            self.background.run('keep', self.keeper.keep)
        self.heard_prefixes.forget(now_s)
        self.prefixes.forget(now_s)
        for name in self.entries.tick(now_s):
            self.ledger.forget(name)
            log_change('registry:entry_absent', entry=name)
        for location in self.ledger.tick(now_s):
            self.metrics.count('registry_places_expired_total')
            log_change(
                'registry:place_expired',
                number=location.number,
                instance=location.instance,
            )
        self.metrics.gauge('registry_upstreams', len(self.upstreams.entries))
        self.metrics.gauge('registry_entries', len(self.entries.entries))

    async def on_poll(self, sender: str, body: bytes) -> bytes:
        """Answer an entry VM, or a control VM, with what is new to it."""
        poll = decode(ttypes.Poll, body)
        self.hear(poll, self.timer.now())
        self.metrics.count(
            'registry_polls_total',
            role='control' if poll.from_control else 'entry',
        )
        return encode(self.reply(poll))

    def hear(self, poll: ttypes.Poll, now_s: float) -> None:
        """Take what an entry VM tells."""
        self.tables.take_newer(poll.newer or ())
        if poll.entry is None:
            return
        record = entry_from_wire(poll.entry)
        if record.name not in self.entries.entries:
            log_change('registry:entry_heard', entry=record.name)
        self.entries.hear(record, now_s)
        self.take_prefixes(poll.prefixes, now_s)
        self.quarantine.join(suspects_from_wire(poll.suspects, now_s))
        if poll.report is None:
            self.ledger.forget(record.name)
        else:
            self.apply_report(record.name, poll.report)

    def apply_report(self, name: str, report: ttypes.LoadReport) -> bool:
        """Take an entry VM's requests; False where later ones are known."""
        now_s = self.timer.now()
        self.take_prefixes(report.prefixes, now_s)
        self.quarantine.join(suspects_from_wire(report.suspects, now_s))
        read = report_from_wire(report, self.source, now_s)
        if not self.ledger.report(name, read):
            return False
        for notice in self.report_notices:
            notice(name, report, read)
        return True

    def subscribe(self, notice: ReportNotice) -> None:
        """Tell of each report that is taken from now on."""
        self.report_notices.append(notice)

    def take_prefixes(
        self,
        announcement: list[ttypes.PrefixInfo] | None,
        now_s: float,
    ) -> None:
        """Take what an entry VM's requests have shown of kept prompts."""
        for read in prefixes_from_wire(announcement, now_s):
            self.heard_prefixes.record(read)
            self.prefixes.record(read)

    def reply(self, poll: ttypes.Poll) -> ttypes.PollReply:
        """Return what is newer than what whoever asks holds."""
        now_s = self.timer.now()
        held = {one.source: one for one in poll.held or ()}
        prefixes = self.prefixes
        if poll.from_control:
            prefixes = self.heard_prefixes
        suspects = self.suspects_for(poll)
        return ttypes.PollReply(
            source=self.source,
            tables=self.news_for(poll, held, now_s),
            region=self.location.region,
            loads=self.loads_for(poll, now_s),
            misses_tables=self.tables.misses_any(now_s),
            prefixes=prefixes_to_wire(
                prefixes_after(prefixes, poll.prefixes_version),
                now_s,
            ),
            prefixes_version=prefixes.version,
            gives_places=self.picker_active,
            suspects=suspects_to_wire(suspects.records, now_s),
            suspects_version=suspects.version,
        )

    def suspects_for(self, poll: ttypes.Poll) -> SuspectUpdate:
        """Return the suspected requests that are new to whoever asks.

        Entry VMs hear of those that may soon be kept back; control VMs of
        all, since only together they may know that.
        """
        version = poll.suspects_version
        if version is None or version < 0:
            return SuspectUpdate((), None)
        least = 0 if poll.from_control else SUSPECTED_CRASHES
        return self.quarantine.table.delta(version, least)

    def own_news(
        self,
        held: ttypes.TableHeld | None,
        now_s: float,
    ) -> ttypes.TableNews:
        """Return what is new in this control VM's own table."""
        return own_news(
            self.source,
            self.location,
            self.upstreams,
            self.entries,
            held,
            now_s,
        )

    def news_for(
        self,
        poll: ttypes.Poll,
        held: Mapping[str, ttypes.TableHeld],
        now_s: float,
    ) -> list[ttypes.TableNews]:
        """Return what is new in the tables that are asked for."""
        if poll.scope == Scope.none:
            return []
        own = self.own_news(held.get(self.source), now_s)
        is_report = poll.entry is not None
        if poll.wants_loads and not is_report:
            own.loads = loads_to_wire(self.ledger.totals.items())
            own.admitted = admitted_to_wire(self.admitted)
        if poll.scope == Scope.own:
            return [own]
        loads = poll.from_control
        return [own, *self.tables.news(held, now_s, with_loads=loads)]

    def loads_for(
        self,
        poll: ttypes.Poll,
        now_s: float,
    ) -> list[ttypes.UpstreamLoad] | None:
        """Return the requests of others; None where they are not asked for."""
        if poll.entry is None or not poll.wants_loads:
            return None
        mine = dict(self.ledger.totals_without(poll.entry.name))
        summed = SummedLoads((mine, self.tables.loads(now_s)))
        return loads_to_wire(summed.items())


def prefixes_after(
    prefixes: PrefixTable,
    version: int | None,
) -> tuple[CachedPrefix, ...]:
    """Return what was read after a version; nothing where not asked."""
    if version is None or version < 0:
        return ()
    return prefixes.since(version)
