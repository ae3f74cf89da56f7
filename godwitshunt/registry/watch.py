"""The registry client of an entry VM.

It polls control VMs and merges their tables into one view.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from functools import partial
from math import inf

from result import Err

from godwitshunt.configuration.background import BackgroundTasks
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.quarantine import QUARANTINE_S, Quarantine
from godwitshunt.registry.contacts import Contacts, KnownControl
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.grant_relays import controls_to_poll, is_relay
from godwitshunt.registry.merged_tables import AppliedUpdate, MergedTables
from godwitshunt.registry.poll_messages import (
    PollReport,
    outdated_tables,
    poll_for_other,
    poll_for_preferred,
)
from godwitshunt.registry.prefixes import CachedPrefix, PrefixTable
from godwitshunt.registry.records import (
    EntryRecord,
    Load,
    UpstreamAnnounced,
    incarnation_name,
)
from godwitshunt.registry.suspect_wire import suspects_from_wire
from godwitshunt.registry.views import RegistryView
from godwitshunt.registry.wire import (
    MILLISECONDS,
    loads_from_wire,
    prefixes_from_wire,
)
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Subscription, Timer

# A VM without a picker selects upstreams by polled loads, so it polls often.
POLL_PERIOD_S = 0.35
# With a picker it polls only for departures and for the list of VMs; the bound
# that this must keep is stated at `contacts.STALE_AFTER_S`.
PICKER_POLL_PERIOD_S = 0.7
# Timers fire slightly early or late.
PERIOD_MARGIN_S = 0.1
POLL_TIMEOUT_S = 0.8
# Interval between polls of a control VM that has never answered: without any
# table a VM that has just started cannot serve requests.
INITIAL_RETRY_S = 0.1
# After the start of all VMs they become known one by one. For this long the
# preferred control VM is polled more often, and a request that finds no
# upstream may wait for the next answer.
WARM_UP_S = 2.0
WARM_UP_PERIOD_S = 0.12
# Complete tables are requested from another region's control VM only if none of
# the own region has answered by this time.
LOCAL_ONLY_S = 0.3
# Minimum interval between merges of the view, as each reply changes a part.
VIEW_CACHE_S = 0.1
# Loads of other VMs that are older than this are ignored.
LOADS_TTL_S = 3.0


@dataclass(frozen=True)
class OwnState:
    """What this VM reports with each poll.

    Parameters
    ----------
    record : EntryRecord
        Its own record.
    report : callable
        Returns its load report for a control process, as a struct.
    """

    record: EntryRecord
    report: Callable[[str], ttypes.LoadReport]


@dataclass(frozen=True)
class SentVersions:
    """Versions of this VM's own observations that a poll contains.

    Parameters
    ----------
    prefixes : int
        Version of its cached prefixes.
    suspects : int
        Version of its requests that were lost to upstreams.
    """

    prefixes: int
    suspects: int


class RegistryWatch:
    """Polls control VMs for upstreams and entry VMs.

    Parameters
    ----------
    region : str
        Region of this VM.
    regions : mapping
        Region of each failure domain.
    control_addresses : callable
        Returns the peer addresses of the known control VMs.
    own_state : callable
        Returns what this VM reports about itself.
    links : PeerLinks
        Links to the control VMs.
    timer : Timer
        Monotonic time and periodic calls.
    metrics : Metrics
        Counts polls.
    """

    def __init__(
        self,
        region: str,
        regions: Mapping[str, str],
        control_addresses: Callable[[], tuple[Address, ...]],
        own_state: Callable[[], OwnState],
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> None:
        self.region = region
        self.control_addresses = control_addresses
        self.own_state = own_state
        self.links = links
        self.timer = timer
        self.metrics = metrics
        self.merged = MergedTables(regions)
        self.contacts = Contacts()
        self.own_prefixes = PrefixTable()
        self.prefixes = PrefixTable()
        self.quarantine = Quarantine(QUARANTINE_S, timer.now, metrics)
        self.quarantine.known_vms = self.vm_names
        self.loads: Mapping[str, Load] = {}
        self.loads_received_s = float('-inf')
        self.background = BackgroundTasks()
        self.subscription: Subscription | None = None
        self.started_s = float('-inf')
        self.cached_view = RegistryView()
        self.cached_view_s = float('-inf')
        self.unresponsive: set[str] = set()
        self.last_picker: str | None = None
        # Called with what upstreams have stated to other entry VMs.
        self.on_notices: Callable[[str, ttypes.UpstreamNotices], None] = (
            ignore_notices
        )
        self.named_addresses: tuple[Address, ...] = ()
        self.names: tuple[str, ...] = ()

    def start(self) -> None:
        """Start polling."""
        self.started_s = self.timer.now()
        self.contacts.local_only_until_s = self.started_s + LOCAL_ONLY_S
        self.links.subscribe(MessageKind.suspect_news, self.handle_suspect_news)
        self.subscription = self.timer.every(WARM_UP_PERIOD_S, self.tick)
        self.timer.after(WARM_UP_S, self.end_warm_up)
        self.poll_all()

    def end_warm_up(self) -> None:
        """Check less often whether a poll is due."""
        if self.subscription is not None:
            self.subscription.cancel()
            self.subscription = self.timer.every(POLL_PERIOD_S, self.tick)

    async def close(self) -> None:
        """Stop polling."""
        if self.subscription is not None:
            self.subscription.cancel()
            self.subscription = None
        await self.background.close()

    def view(self) -> RegistryView:
        """Return the merged view, at most `VIEW_CACHE_S` old."""
        now_s = self.timer.now()
        if now_s - self.cached_view_s > VIEW_CACHE_S:
            self.refresh(now_s)
        return self.cached_view

    def age_s(self) -> float:
        """Return the age of the newest table of a control VM, in seconds."""
        asof_s = max(
            (table.asof_s for table in self.merged.tables.values()),
            default=float('-inf'),
        )
        return self.timer.now() - asof_s

    def record_cached_prefix(self, key: int, instance: str) -> None:
        """Record that an upstream has the prefix of a request cached."""
        prefix = CachedPrefix(key, instance, self.timer.now())
        self.own_prefixes.record(prefix)
        self.prefixes.record(prefix)

    def refresh(self, now_s: float) -> None:
        """Merge the tables again."""
        is_expired = now_s - self.loads_received_s > LOADS_TTL_S
        loads = {} if is_expired else self.loads
        self.cached_view = replace(self.merged.view(now_s), loads=loads)
        self.cached_view_s = now_s

    def mark_replaced(self, incarnation: str) -> None:
        """Record that another upstream answers at an incarnation's address."""
        now_s = self.timer.now()
        self.merged.mark_replaced(incarnation, now_s)
        self.refresh(now_s)
        log_change('registry:instance_replaced', instance=incarnation)

    def has_ended(self, announcement: UpstreamAnnounced) -> bool:
        """Return whether an incarnation is known to have ended."""
        return self.merged.has_ended(announcement, self.timer.now())

    def known_controls(self) -> list[KnownControl]:
        """Return the control VMs that may be polled."""
        known = []
        for name in self.control_names():
            table = self.merged.tables.get(name)
            contact = self.contacts.for_control(name)
            # One that has never answered is located by what others relay of it.
            relayed_region = '' if table is None else table.region
            region = contact.region or relayed_region
            is_local = region == self.region
            asof_s = float('-inf') if table is None else table.asof_s
            known.append(KnownControl(name, is_local, asof_s))
        return known

    def control_names(self) -> tuple[str, ...]:
        """Return the names of the known control VMs.

        They are asked for with each request and change rarely.
        """
        addresses = self.control_addresses()
        if addresses is not self.named_addresses:
            self.named_addresses = addresses
            self.names = tuple(map(str, addresses))
        return self.names

    def picker(self) -> Address | None:
        """Return the control VM that assigns destinations here, if any."""
        name = self.contacts.picker(self.known_controls(), self.timer.now())
        if name != self.last_picker:
            log_change('registry:picker', now=name, before=self.last_picker)
            self.last_picker = name
        return None if name is None else self.address_of(name)

    def has_local_control(self) -> bool:
        """Return whether this VM's region is known to have a control VM."""
        contacts = self.contacts.by_name.values()
        return any(contact.region == self.region for contact in contacts)

    def round_trips(self) -> dict[str, float]:
        """Return the known round trip to each region, in seconds."""
        shortest: dict[str, float] = {}
        for contact in self.contacts.by_name.values():
            took_s = contact.round_trip_s
            if contact.region and took_s < shortest.get(contact.region, inf):
                shortest[contact.region] = took_s
        return shortest

    def address_of(self, name: str) -> Address | None:
        """Return a control VM's address."""
        names = self.control_names()
        if name in names:
            return self.named_addresses[names.index(name)]
        return None

    def vm_names(self) -> list[str]:
        """Return the entry VMs that accept requests, with their regions."""
        return [
            f'{entry.region}/{entry.name}'
            for entry in self.view().entries.values()
            if entry.accepting
        ]

    def tick(self) -> None:
        """Send the polls that are due and expire old state."""
        now_s = self.timer.now()
        self.own_prefixes.expire(now_s)
        self.prefixes.expire(now_s)
        self.quarantine.tick()
        due = {
            *self.contacts.due(self.known_controls(), now_s, self.period_s()),
            *self.due_for_grants(now_s),
        }
        for address in self.control_addresses():
            if str(address) in due:
                self.start_poll(address)

    def due_for_grants(self, now_s: float) -> set[str]:
        """Return the control VMs to poll for grants that others miss."""
        if self.relays_grants():
            return controls_to_poll(self.known_controls(), now_s)
        return set()

    def relays_grants(self) -> bool:
        """Return whether this VM relays grants to the preferred control VM."""
        preferred = self.preferred()
        if preferred is None:
            return False
        wants_grants = self.contacts.for_control(preferred).wants_grants
        return wants_grants and is_relay(self.own_state().record, self.view())

    @property
    def is_warming_up(self) -> bool:
        """True for `WARM_UP_S` after the start, while VMs become known."""
        return self.timer.now() - self.started_s < WARM_UP_S

    def poll_all(self) -> None:
        """Poll every control VM, unless a poll is in progress."""
        for address in self.control_addresses():
            self.start_poll(address)

    def report_now(self) -> None:
        """Report this VM's state to the preferred control VM at once."""
        preferred = self.preferred()
        if preferred is not None:
            self.start_poll(self.address_of(preferred))

    def period_s(self) -> float:
        """Return the minimum interval of polls of the preferred control VM."""
        if self.is_warming_up:
            return WARM_UP_PERIOD_S - PERIOD_MARGIN_S
        has_picker = self.last_picker is not None
        period_s = PICKER_POLL_PERIOD_S if has_picker else POLL_PERIOD_S
        return period_s - PERIOD_MARGIN_S

    async def poll(self, address: Address) -> None:
        """Request changes from one control VM."""
        control = str(address)
        sent_s = self.timer.now()
        contact = self.contacts.for_control(control)
        contact.requested_s = sent_s
        sent = self.sent_versions(control)
        reply = await self.links.call(
            address,
            MessageKind.registry_poll,
            encode(self.make_poll(control, sent_s)),
            POLL_TIMEOUT_S,
        )
        if isinstance(reply, Err):
            self.record_failure(control, type(reply.err_value).__name__)
            self.retry_initial_poll(address)
            return
        self.record_recovery(control)
        message = decode(ttypes.PollReply, reply.ok_value)
        self.apply_reply(control, message, sent_s, sent)

        if control == self.preferred() and self.has_unsent_losses(control):
            self.timer.after(0, partial(self.start_poll, address))

    def has_unsent_losses(self, control: str) -> bool:
        """Return whether a control VM lacks losses that this VM observed."""
        sent_version = self.contacts.for_control(control).suspects_sent_version
        return self.quarantine.own.version > sent_version

    async def handle_suspect_news(self, control: str, body: bytes) -> None:
        """Apply a change of what is quarantined.

        Raises
        ------
        FrameError
            If the message is malformed.
        """
        news = decode(ttypes.SuspectNews, body)
        now_s = self.timer.now()
        self.quarantine.join(suspects_from_wire(news.suspects, now_s))

    def retry_initial_poll(self, address: Address) -> None:
        """Poll a control VM that has never answered again, soon."""
        never_answered = not self.contacts.for_control(str(address)).source
        if (
            never_answered
            and self.is_warming_up
            and self.subscription is not None
        ):
            self.timer.after(
                INITIAL_RETRY_S,
                partial(self.start_poll, address),
            )

    def start_poll(self, address: Address) -> None:
        """Poll one control VM, unless a poll of it is in progress."""
        self.background.run(str(address), partial(self.poll, address))

    def make_poll(self, control: str, now_s: float) -> ttypes.Poll:
        """Return the poll for one control VM."""
        known = self.known_controls()
        contact = self.contacts.for_control(control)
        if control != self.contacts.preferred(known, now_s):
            return poll_for_other(contact, self.merged)
        own = self.own_state()
        poll_report = PollReport(
            own.record,
            own.report(contact.source),
            self.own_prefixes.since(contact.prefixes_sent_version),
            self.quarantine.own.delta(contact.suspects_sent_version).records,
            selects_locally=self.contacts.picker(known, now_s) is None,
        )
        return poll_for_preferred(contact, self.merged, poll_report, now_s)

    def apply_reply(
        self,
        control: str,
        message: ttypes.PollReply,
        sent_s: float,
        sent: SentVersions,
    ) -> None:
        """Apply the reply of a control VM.

        If the control VM's process has restarted, the poll contained only what
        was new to the previous process; the next poll contains everything.

        Parameters
        ----------
        sent : SentVersions
            Versions of this VM's own observations that the poll contained.
        """
        now_s = self.timer.now()
        before = self.preferred()
        for update in message.tables or ():
            self.apply_update(control, update, sent_s, now_s)
        contact = self.contacts.for_control(control)
        is_known = message.source == contact.source
        contact.record_answer(message.source, sent_s, now_s)
        contact.picker_active = bool(message.gives_places)
        contact.region = message.region or ''
        contact.wants_grants = bool(message.wants_grants)
        contact.outdated_tables = outdated_tables(message, sent_s)
        self.prefixes.record_all(prefixes_from_wire(message.prefixes, now_s))
        if is_known:
            contact.prefixes_sent_version = sent.prefixes
            contact.suspects_sent_version = sent.suspects
        if is_known and message.prefixes:
            contact.prefixes_version = message.prefixes_version
        self.quarantine.join(suspects_from_wire(message.suspects, now_s))
        if is_known and message.suspects_version is not None:
            contact.suspects_version = message.suspects_version
        if message.notices is not None:
            self.on_notices(control, message.notices)
        if message.loads is not None:
            self.loads = loads_from_wire(message.loads)
            self.loads_received_s = now_s
        self.poll_new_preferred(before)
        if control != before and self.relays_grants():
            self.report_now()

    def sent_versions(self, control: str) -> SentVersions:
        """Return the versions of own observations in a poll to a control VM.

        Only the preferred control VM receives lost requests.
        """
        suspects = self.contacts.for_control(control).suspects_sent_version
        if control == self.preferred():
            suspects = self.quarantine.own.delta(suspects).version
        return SentVersions(self.own_prefixes.version, suspects)

    def preferred(self) -> str | None:
        """Return the control VM that this VM reports to."""
        return self.contacts.preferred(
            self.known_controls(),
            self.timer.now(),
        )

    def poll_new_preferred(self, before: str | None) -> None:
        """Poll the preferred control VM at once if it has changed."""
        preferred = self.preferred()
        if preferred not in {None, before}:
            address = self.address_of(preferred)
            self.timer.after(0, partial(self.start_poll, address))

    def apply_update(
        self,
        sender: str,
        update: ttypes.TableNews,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Apply an update of a control VM's table."""
        applied = self.merged.apply(update, sent_s, now_s)
        if applied is None:
            return
        if applied.ended or update.upstreams or update.gone_entries:
            self.refresh(now_s)
            self.log_update(sender, update, applied)

    def log_update(
        self,
        sender: str,
        update: ttypes.TableNews,
        applied: AppliedUpdate,
    ) -> None:
        """Log the changes that an update contained."""
        upstreams = update.upstreams or ()
        log_change(
            'registry:news',
            control=applied.control,
            teller=sender,
            age_s=update.age_ms / MILLISECONDS,
            version=update.version,
            draining=[
                incarnation.instance
                for incarnation in upstreams
                if incarnation.draining
            ],
            cold=[
                incarnation.instance
                for incarnation in upstreams
                if incarnation.cold_ms
            ],
            silent=[
                incarnation.instance
                for incarnation in upstreams
                if incarnation.silent
            ],
            told=len(upstreams),
            gone=[
                incarnation_name(incarnation.instance, incarnation.born_ms)
                for incarnation in applied.ended
            ],
            gone_entries=list(update.gone_entries or ()),
        )

    def record_failure(self, control: str, reason: str) -> None:
        """Record an unanswered call; log the first of several."""
        self.metrics.count('registry_polls_failed_total')
        self.contacts.for_control(control).record_failure()
        if control not in self.unresponsive:
            self.unresponsive.add(control)
            log_change('registry:control_lost', control=control, reason=reason)

    def record_recovery(self, control: str) -> None:
        """Log that a control VM answers again."""
        if control in self.unresponsive:
            self.unresponsive.discard(control)
            log_change('registry:control_back', control=control)


def ignore_notices(control: str, notices: ttypes.UpstreamNotices) -> None:
    """Ignore notices of upstreams, where no requests are sent."""
