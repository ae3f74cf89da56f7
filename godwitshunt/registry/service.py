"""The registry of a control VM.

It receives the announcements of upstreams and answers the polls of entry VMs
and other control VMs.
"""

import secrets
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import Self

from godwitshunt.configuration.background import BackgroundTasks
from godwitshunt.grants import GrantNews
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.quarantine import (
    MAX_DELTA_RECORDS,
    QUARANTINE_S,
    SUSPECTED_CRASHES,
    Quarantine,
    SuspectRecord,
    SuspectUpdate,
)
from godwitshunt.registry.control_tables import ControlTables
from godwitshunt.registry.departures import Departures
from godwitshunt.registry.entries import EntryTable
from godwitshunt.registry.free_slots import FreeSlots
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.grant_wire import news_to_wire
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
from godwitshunt.registry.table_updates import (
    ControlLocation,
    Scope,
    own_update,
)
from godwitshunt.registry.upstream_file import UpstreamFile
from godwitshunt.registry.upstream_persistence import UpstreamPersistence
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
# Without any change, a view is checked for expired tables and loads after this
# time only. Each question and each reported attempt reads the view.
VIEW_INTERVAL_S = 0.005
SOURCE_BYTES = 8
MILLISECONDS = 1000
# Called with the entry VM's name and its report, as received and as read.
ReportListener = Callable[[str, ttypes.LoadReport, Report], None]


class RegistryService:
    """The upstreams that announce themselves here and the entry VMs that poll.

    Control VMs exchange their tables, and an entry VM polls one of them for
    all tables. Each table is sent with its age; an entry VM that finds a table
    too old polls its control VM directly. So an upstream's departure becomes
    known to every entry VM that can reach the control VM which acknowledged
    it, whether or not the control VMs can reach each other.

    Parameters
    ----------
    location : ControlLocation
        Address and region of this control VM, and the other control VMs.
    links : PeerLinks
        Links to the other VMs.
    timer : Timer
        Monotonic time.
    metrics : Metrics
        Counts announcements and polls.
    upstream_file : UpstreamFile or None
        Where the table of upstreams is stored; None disables persistence.
    """

    def __init__(
        self,
        location: ControlLocation,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
        upstream_file: UpstreamFile | None = None,
    ) -> None:
        self.location = location
        self.viewed = (-1, -1, -1, -1)
        self.viewed_s = float('-inf')
        self.background = BackgroundTasks()
        self.links = links
        self.timer = timer
        self.metrics = metrics
        self.source = secrets.token_hex(SOURCE_BYTES)
        self.upstreams = UpstreamTable()
        self.quarantine = Quarantine(QUARANTINE_S, timer.now, metrics)
        self.quarantine.on_status_changed = self.push_suspects
        self.persistence = UpstreamPersistence(
            upstream_file,
            self.upstreams,
            self.quarantine.table,
            timer,
            metrics,
        )
        self.departures = Departures(
            location, self.upstreams, self.flush, links, timer
        )
        self.entries = EntryTable()
        self.ledger = LoadLedger()
        self.free_slots = FreeSlots(self.view, self.ledger.entries)
        # Prefixes that entry VMs reported here, and those together with the
        # ones received from other control VMs. Only the first are sent to
        # other control VMs: a prefix sent back and forth would lose the network
        # delay from its age each time and never expire.
        self.reported_prefixes = PrefixTable()
        self.prefixes = PrefixTable()
        self.picker_active = False
        # Units that the picker of this process has admitted, by organisation.
        self.admitted: Mapping[str, float] = {}
        # Returns the grants and demand of this process's picker at a time.
        self.make_grants: Callable[[float], GrantNews | None] = no_grants
        # Returns what upstreams have stated to entry VMs that report here.
        self.make_notices: Callable[[float], ttypes.UpstreamNotices | None] = (
            no_notices
        )
        self.report_listeners: list[ReportListener] = []
        self.tables = ControlTables(
            location,
            self.prefixes,
            self.quarantine,
            links,
            timer,
        )
        self.loads = SummedLoads((self.ledger.totals, self.tables.summed))
        self.merged_view = RegistryView()
        self.full_view = replace(self.merged_view, loads=self.loads)
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
        """Create the registry of a control VM from its settings."""
        upstream_file = None
        if settings.keeps_upstreams:
            upstream_file = UpstreamFile(settings.data_folder)
        registry = cls(location, links, timer, metrics, upstream_file)
        registry.quarantine.length_s = settings.bounds.quarantine_s
        return registry

    def start(self) -> None:
        """Restore the stored tables and start answering polls.

        Raises
        ------
        StorageError
            If the data folder cannot be read.
        """
        self.persistence.restore()
        self.links.subscribe(MessageKind.registry_poll, self.on_poll)
        self.subscription = self.timer.every(TICK_S, self.tick)
        self.departures.start()
        self.tables.start()

    async def close(self) -> None:
        """Stop the periodic work and the polls of other control VMs."""
        if self.subscription is not None:
            self.subscription.cancel()
        await self.tables.close()
        await self.departures.close()
        await self.background.close()

    async def flush(self) -> bool:
        """Wait until the current state is on disk; False if that failed."""
        return await self.persistence.flush()

    async def keep_departure(self, instance: str) -> bool:
        """Wait until a departure outlasts lost disks; False if it does not.

        An upstream's departure is acknowledged only afterwards: restored as
        ready after a loss of power, or forgotten with a disk, it would
        receive requests again.
        """
        return await self.departures.keep(instance)

    def announce(self, announcement: UpstreamAnnounced) -> AnnounceOutcome:
        """Apply an upstream's announcement."""
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
        """Log an announcement that is the first or that changed the table.

        `known` is the table's entry before the announcement, the same object
        as afterwards if the entry was updated; its version shows a change.
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
        """Apply an upstream's departure."""
        now_ms = time.time() * MILLISECONDS
        self.upstreams.withdraw(instance, self.timer.now(), now_ms)
        self.metrics.count('registry_withdrawals_total')
        log_change(
            'registry:upstream_withdrawn',
            instance=instance,
            version=self.upstreams.version,
        )

    def accepting(self) -> tuple[EntryRecord, ...]:
        """Return the entry VMs that accept requests from callers now."""
        self.tick()
        entries = self.view().entries.values()
        return tuple(entry for entry in entries if entry.accepting)

    def view(self) -> RegistryView:
        """Return the view merged from all control VMs, with all loads.

        The loads of entry VMs that report here are exact, those of others as
        recent as the last update from their control VM. The view is the same
        object until upstreams or entry VMs change; its loads are always
        current.
        """
        now_s = self.timer.now()
        inputs = self.view_inputs()
        if inputs == self.viewed and now_s - self.viewed_s < VIEW_INTERVAL_S:
            return self.full_view
        if inputs[:2] != self.viewed[:2]:
            self.tables.apply_own(
                self.own_update(self.tables.held_own_version(), now_s),
            )
        self.viewed = self.view_inputs()
        self.viewed_s = now_s
        self.tables.loads(now_s)
        merged = self.tables.view()
        if merged is not self.merged_view:
            self.merged_view = merged
            self.full_view = replace(merged, loads=self.loads)
        return self.full_view

    def view_inputs(self) -> tuple[int, int, int, int]:
        """Return the versions of everything that a view is made from."""
        return (
            self.upstreams.version,
            self.entries.version,
            self.tables.update_count,
            self.tables.merged.changes,
        )

    def mark_replaced(self, incarnation: str) -> None:
        """Record that another upstream answers at an incarnation's address."""
        self.tables.mark_replaced(incarnation)

    def tick(self) -> None:
        """Update silent and absent VMs, expire old state, persist changes."""
        now_s = self.timer.now()
        self.upstreams.tick(now_s)
        self.quarantine.tick()
        if self.persistence.is_due:
            self.background.run('keep', self.persistence.write)
        self.reported_prefixes.expire(now_s)
        self.prefixes.expire(now_s)
        for name in self.entries.tick(now_s):
            self.ledger.remove_entry(name)
            log_change('registry:entry_absent', entry=name)
        for name in self.ledger.remove_silent(now_s):
            log_change('registry:reports_ended', entry=name)
        for reservation in self.ledger.tick(now_s):
            self.metrics.count('registry_places_expired_total')
            log_change(
                'registry:place_expired',
                number=reservation.number,
                instance=reservation.instance,
            )
        self.metrics.gauge('registry_upstreams', len(self.upstreams.entries))
        self.metrics.gauge('registry_entries', len(self.entries.entries))

    async def on_poll(self, sender: str, body: bytes) -> bytes:
        """Answer the poll of an entry VM or another control VM."""
        poll = decode(ttypes.Poll, body)
        self.apply_poll(poll, self.timer.now())
        self.metrics.count(
            'registry_polls_total',
            role='control' if poll.from_control else 'entry',
        )
        return encode(self.reply(poll))

    def apply_poll(self, poll: ttypes.Poll, now_s: float) -> None:
        """Apply what an entry VM reports with its poll."""
        self.tables.apply_newer(poll.newer or ())
        if poll.entry is None:
            return
        record = entry_from_wire(poll.entry)
        if record.name not in self.entries.entries:
            log_change('registry:entry_heard', entry=record.name)
        self.entries.record_poll(record, now_s)
        self.record_prefixes(poll.prefixes, now_s)
        self.quarantine.join(suspects_from_wire(poll.suspects, now_s))
        if poll.report is None:
            self.ledger.remove_entry(record.name)
        else:
            self.apply_report(record.name, poll.report)

    def apply_report(self, name: str, report: ttypes.LoadReport) -> bool:
        """Apply an entry VM's report; False if a later one was applied."""
        now_s = self.timer.now()
        self.record_prefixes(report.prefixes, now_s)
        self.quarantine.join(suspects_from_wire(report.suspects, now_s))
        parsed = report_from_wire(report, self.source, now_s)
        if not self.ledger.apply_report(name, parsed):
            return False
        for listener in self.report_listeners:
            listener(name, report, parsed)
        return True

    def subscribe(self, listener: ReportListener) -> None:
        """Call a listener with each report that is applied from now on."""
        self.report_listeners.append(listener)

    def record_prefixes(
        self,
        structs: list[ttypes.PrefixInfo] | None,
        now_s: float,
    ) -> None:
        """Record the cached prefixes that an entry VM reports."""
        for prefix in prefixes_from_wire(structs, now_s):
            self.reported_prefixes.record(prefix)
            self.prefixes.record(prefix)

    def reply(self, poll: ttypes.Poll) -> ttypes.PollReply:
        """Return the changes after the versions stated in a poll."""
        now_s = self.timer.now()
        held = {table.source: table for table in poll.held or ()}
        prefixes = self.prefixes
        if poll.from_control:
            prefixes = self.reported_prefixes
        suspects = self.suspects_for(poll)
        return ttypes.PollReply(
            source=self.source,
            tables=self.updates_for(poll, held, now_s),
            region=self.location.region,
            loads=self.loads_for(poll, now_s),
            misses_tables=self.tables.has_stale_table(now_s),
            prefixes=prefixes_to_wire(
                prefixes_after(prefixes, poll.prefixes_version),
                now_s,
            ),
            prefixes_version=prefixes.version,
            gives_places=self.picker_active,
            suspects=suspects_to_wire(suspects.records, now_s),
            suspects_version=suspects.version,
            wants_grants=self.tables.misses_grants(now_s) or None,
            notices=None if poll.from_control else self.make_notices(now_s),
        )

    def suspects_for(self, poll: ttypes.Poll) -> SuspectUpdate:
        """Return the suspected requests that changed after a poll's version.

        Entry VMs receive those that may soon be quarantined; control VMs
        receive all, since a quarantine may depend on losses known to several
        of them.
        """
        version = poll.suspects_version
        if version is None or version < 0:
            return SuspectUpdate((), None)
        min_losses = 0 if poll.from_control else SUSPECTED_CRASHES
        return self.quarantine.table.delta(version, min_losses)

    def push_suspects(self, records: Sequence[SuspectRecord]) -> None:
        """Send changes of what is quarantined to the entry VMs at once.

        Their polls repeat them. Each crash under a cause costs an upstream, so
        they do not wait for the next poll.
        """
        suspects = suspects_to_wire(
            records[:MAX_DELTA_RECORDS], self.timer.now()
        )
        body = encode(ttypes.SuspectNews(suspects))
        for name in self.entries.entries:
            self.links.push(name, MessageKind.suspect_news, body)

    def own_update(
        self,
        held: ttypes.TableHeld | None,
        now_s: float,
    ) -> ttypes.TableNews:
        """Return the changes in this control VM's own table."""
        return own_update(
            self.source,
            self.location,
            self.upstreams,
            self.entries,
            held,
            now_s,
        )

    def updates_for(
        self,
        poll: ttypes.Poll,
        held: Mapping[str, ttypes.TableHeld],
        now_s: float,
    ) -> list[ttypes.TableNews]:
        """Return the changes in the requested tables."""
        if poll.scope == Scope.none:
            return []
        own = self.own_update(held.get(self.source), now_s)
        is_report = poll.entry is not None
        if poll.wants_loads and not is_report:
            own.loads = loads_to_wire(self.ledger.totals.items())
            own.admitted = admitted_to_wire(self.admitted)
            own.grants = news_to_wire(self.make_grants(now_s), now_s)
        if poll.scope == Scope.own:
            return [own]
        with_loads = poll.from_control
        return [
            own,
            *self.tables.updates(held, now_s, with_loads=with_loads),
        ]

    def loads_for(
        self,
        poll: ttypes.Poll,
        now_s: float,
    ) -> list[ttypes.UpstreamLoad] | None:
        """Return the loads by other entry VMs; None if not requested."""
        if poll.entry is None or not poll.wants_loads:
            return None
        reported_here = dict(self.ledger.totals_without(poll.entry.name))
        summed = SummedLoads((reported_here, self.tables.loads(now_s)))
        return loads_to_wire(summed.items())


def no_grants(now_s: float) -> None:
    """Return no grants, where no picker runs."""


def no_notices(now_s: float) -> None:
    """Return no notices of upstreams, where no picker runs."""


def prefixes_after(
    prefixes: PrefixTable,
    version: int | None,
) -> tuple[CachedPrefix, ...]:
    """Return the prefixes recorded after a version; none if not requested."""
    if version is None or version < 0:
        return ()
    return prefixes.since(version)
