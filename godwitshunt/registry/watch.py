"""The entry side: asks control VMs and keeps one joined view."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from functools import partial
from math import inf

from result import Err

from godwitshunt.configuration.background import BackgroundTasks
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.quarantine import QUARANTINE_S, Quarantine
from godwitshunt.registry.asking import (
    ToldFirst,
    missed_tables,
    question_to_another,
    question_to_first,
)
from godwitshunt.registry.contacts import Contacts, KnownControl
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.merged_tables import MergedTables, TakenNews
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

# A VM without a picker chooses on what it has heard, so it asks often.
POLL_PERIOD_S = 0.35
# With one, what is asked for is who leaves and which VMs there are: see
# `contacts.STALE_AFTER_S` for the bound that this must keep.
CALM_PERIOD_S = 0.7
# Timers fire a little early or late.
PERIOD_MARGIN_S = 0.1
POLL_TIMEOUT_S = 0.8
# A control VM that has not answered yet is asked again so soon: without any
# table a VM that has just started can serve nobody.
FIRST_RETRY_S = 0.1
# After the start of all VMs each of them hears of the others by and by: for so
# long the first control VM is asked this often, and a request that finds no
# upstream may wait for the next answer.
WARM_UP_S = 2.0
WARM_UP_PERIOD_S = 0.12
# Whole tables are asked of another region's control VM only if none of the own
# region has answered by then.
NEAR_ONLY_S = 0.3
# A view is joined anew at most so often; its parts change with every reply.
VIEW_KEPT_S = 0.1
# Other VMs' requests that were told longer ago than this say nothing.
LOADS_KEPT_S = 3.0


@dataclass(frozen=True)
class OwnState:
    """What this VM tells with each poll.

    Parameters
    ----------
    report : callable
        Returns its requests at upstreams, as a struct, for a control process.
    """

    record: EntryRecord
    report: Callable[[str], ttypes.LoadReport]


@dataclass(frozen=True)
class OwnVersion:
    """Versions of what this VM has observed itself.

    Parameters
    ----------
    prefixes : int
        Of what upstreams have read.
    suspects : int
        Of requests that were lost to upstreams.
    """

    prefixes: int
    suspects: int


class RegistryWatch:
    """Asks control VMs what upstreams and entry VMs there are.

    Parameters
    ----------
    region : str
        Where this VM stands.
    regions : mapping
        Region of each failure domain.
    control : callable
        Returns the peer addresses of the control VMs that are known.
    own : callable
        Returns what this VM tells of itself.
    links : PeerLinks
        To the control VMs.
    timer : Timer
        Monotonic time and the period.
    metrics : Metrics
        Counts polls.
    """

    def __init__(
        self,
        region: str,
        regions: Mapping[str, str],
        control: Callable[[], tuple[Address, ...]],
        own: Callable[[], OwnState],
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> None:
        self.region = region
        self.control = control
        self.own_state = own
        self.links = links
        self.timer = timer
        self.metrics = metrics
        self.merged = MergedTables(regions)
        self.contacts = Contacts()
        self.own_prefixes = PrefixTable()
        self.prefixes = PrefixTable()
        self.quarantine = Quarantine(QUARANTINE_S, timer.now, metrics)
        self.loads: Mapping[str, Load] = {}
        self.loads_asof_s = float('-inf')
        self.background = BackgroundTasks()
        self.subscription: Subscription | None = None
        self.started_s = float('-inf')
        self.cached = RegistryView()
        self.cached_s = float('-inf')
        self.lost: set[str] = set()
        self.told_picker: str | None = None

    def start(self) -> None:
        """Begin to poll."""
        self.started_s = self.timer.now()
        self.contacts.near_only_until_s = self.started_s + NEAR_ONLY_S
        self.subscription = self.timer.every(WARM_UP_PERIOD_S, self.tick)
        self.timer.after(WARM_UP_S, self.grow_up)
        self.poll_all()

    def grow_up(self) -> None:
        """Look less often whether a control VM is to be asked."""
        if self.subscription is not None:
            self.subscription.cancel()
            self.subscription = self.timer.every(POLL_PERIOD_S, self.tick)

    async def close(self) -> None:
        """Poll no more."""
        if self.subscription is not None:
            self.subscription.cancel()
            self.subscription = None
        await self.background.close()

    def view(self) -> RegistryView:
        """Return what the control VMs tell, at most 0.1 s old."""
        now_s = self.timer.now()
        if now_s - self.cached_s > VIEW_KEPT_S:
            self.refresh(now_s)
        return self.cached

    def age_s(self) -> float:
        """Return the age of the newest table of a control VM, in seconds."""
        answered_s = max(
            (table.answered_s for table in self.merged.tables.values()),
            default=float('-inf'),
        )
        return self.timer.now() - answered_s

    def record_cached_prefix(self, key: int, instance: str) -> None:
        """Note that an upstream has read a prefix of this VM's request."""
        read = CachedPrefix(key, instance, self.timer.now())
        self.own_prefixes.record(read)
        self.prefixes.record(read)

    def refresh(self, now_s: float) -> None:
        """Join the tables anew."""
        is_late = now_s - self.loads_asof_s > LOADS_KEPT_S
        loads = {} if is_late else self.loads
        self.cached = replace(self.merged.view(now_s), loads=loads)
        self.cached_s = now_s

    def mark_replaced(self, incarnation: str) -> None:
        """Note that an incarnation is no longer at its address."""
        now_s = self.timer.now()
        self.merged.mark_replaced(incarnation, now_s)
        self.refresh(now_s)
        log_change('registry:instance_replaced', instance=incarnation)

    def has_ended(self, told: UpstreamAnnounced) -> bool:
        """Tell whether this VM knows that a start of an upstream is over."""
        return self.merged.has_ended(told, self.timer.now())

    def known_control(self) -> list[KnownControl]:
        """Return the control VMs that may be asked."""
        known = []
        for address in self.control():
            table = self.merged.tables.get(str(address))
            contact = self.contacts.for_control(str(address))
            is_here = contact.region == self.region
            asof_s = float('-inf') if table is None else table.answered_s
            known.append(KnownControl(str(address), is_here, asof_s))
        return known

    def picker(self) -> Address | None:
        """Return the control VM that gives places here; None for none."""
        name = self.contacts.picker(self.known_control(), self.timer.now())
        if name != self.told_picker:
            log_change('registry:picker', now=name, before=self.told_picker)
            self.told_picker = name
        return None if name is None else self.address_of(name)

    def has_local_control(self) -> bool:
        """Tell whether this VM's region is known to have a control VM."""
        contacts = self.contacts.by_name.values()
        return any(contact.region == self.region for contact in contacts)

    def round_trips(self) -> dict[str, float]:
        """Return the seconds to each region and back, as far as known."""
        found: dict[str, float] = {}
        for contact in self.contacts.by_name.values():
            took_s = contact.round_trip_s
            if contact.region and took_s < found.get(contact.region, inf):
                found[contact.region] = took_s
        return found

    def address_of(self, name: str) -> Address | None:
        """Return a control VM's address."""
        for address in self.control():
            if str(address) == name:
                return address
        return None

    def tick(self) -> None:
        """Ask where it is time; forget what upstreams hold no more."""
        now_s = self.timer.now()
        self.own_prefixes.forget(now_s)
        self.prefixes.forget(now_s)
        self.quarantine.tick()
        due = self.contacts.to_ask(self.known_control(), now_s, self.period_s())
        for address in self.control():
            if str(address) in due:
                self.start_poll(address)

    @property
    def is_warming_up(self) -> bool:
        """True for a while after the start, as long as news is still coming."""
        return self.timer.now() - self.started_s < WARM_UP_S

    def poll_all(self) -> None:
        """Ask every control VM that is not being asked."""
        for address in self.control():
            self.start_poll(address)

    def report_now(self) -> None:
        """Tell the first control VM at once what is new of this VM."""
        first = self.first()
        if first is not None:
            self.start_poll(self.address_of(first))

    def period_s(self) -> float:
        """Return how often the first control VM is asked, at most."""
        if self.is_warming_up:
            return WARM_UP_PERIOD_S - PERIOD_MARGIN_S
        calm = self.told_picker is not None
        period_s = CALM_PERIOD_S if calm else POLL_PERIOD_S
        return period_s - PERIOD_MARGIN_S

    async def poll(self, address: Address) -> None:
        """Ask one control VM for what is new."""
        control = str(address)
        sent_s = self.timer.now()
        contact = self.contacts.for_control(control)
        contact.asked_s = sent_s
        told = self.own_version(control)
        reply = await self.links.call(
            address,
            MessageKind.registry_poll,
            encode(self.make_poll(control, sent_s)),
            POLL_TIMEOUT_S,
        )
        if isinstance(reply, Err):
            self.note_lost(control, type(reply.err_value).__name__)
            self.retry_initial_poll(address)
            return
        self.note_back(control)
        message = decode(ttypes.PollReply, reply.ok_value)
        self.take(control, message, sent_s, told)

    def retry_initial_poll(self, address: Address) -> None:
        """Ask a control VM that never answered again, soon."""
        never = not self.contacts.for_control(str(address)).source
        if never and self.is_warming_up and self.subscription is not None:
            self.timer.after(FIRST_RETRY_S, partial(self.start_poll, address))

    def start_poll(self, address: Address) -> None:
        """Ask one control VM unless it is being asked."""
        self.background.run(str(address), partial(self.poll, address))

    def make_poll(self, control: str, now_s: float) -> ttypes.Poll:
        """Return what one control VM is told and asked."""
        known = self.known_control()
        contact = self.contacts.for_control(control)
        if control != self.contacts.first(known, now_s):
            return question_to_another(contact, self.merged)
        own = self.own_state()
        told = ToldFirst(
            own.record,
            own.report(contact.source),
            self.own_prefixes.since(contact.prefixes_told),
            self.quarantine.own.delta(contact.suspects_told).records,
            chooses=self.contacts.picker(known, now_s) is None,
        )
        return question_to_first(contact, self.merged, told, now_s)

    def take(
        self,
        control: str,
        message: ttypes.PollReply,
        sent_s: float,
        told: OwnVersion,
    ) -> None:
        """Take what a control VM tells.

        A process that has just started was told only what was new to the one
        before it; it is told all again with the next poll.

        Parameters
        ----------
        told : OwnVersion
            What the poll held of this VM's own observations.
        """
        now_s = self.timer.now()
        was_first = self.first()
        for news in message.tables or ():
            self.take_table(control, news, sent_s, now_s)
        contact = self.contacts.for_control(control)
        is_known = message.source == contact.source
        contact.answer(message.source, sent_s, now_s)
        contact.picker_active = bool(message.gives_places)
        contact.region = message.region or ''
        contact.misses = missed_tables(message, sent_s)
        self.prefixes.take(prefixes_from_wire(message.prefixes, now_s))
        if is_known:
            contact.prefixes_told = told.prefixes
            contact.suspects_told = told.suspects
        if is_known and message.prefixes:
            contact.prefixes_version = message.prefixes_version
        self.quarantine.join(suspects_from_wire(message.suspects, now_s))
        if is_known and message.suspects_version is not None:
            contact.suspects_version = message.suspects_version
        if message.loads is not None:
            self.loads = loads_from_wire(message.loads)
            self.loads_asof_s = now_s
        self.follow_first(was_first)

    def own_version(self, control: str) -> OwnVersion:
        """Return what a poll to a control VM holds of own observations.

        Only the first control VM is told of lost requests.
        """
        told = self.contacts.for_control(control).suspects_told
        if control == self.first():
            told = self.quarantine.own.delta(told).version
        return OwnVersion(self.own_prefixes.version, told)

    def first(self) -> str | None:
        """Return the control VM that this VM reports to."""
        return self.contacts.first(self.known_control(), self.timer.now())

    def follow_first(self, before: str | None) -> None:
        """Ask a control VM at once that is the first one since now."""
        first = self.first()
        if first not in {None, before}:
            address = self.address_of(first)
            self.timer.after(0, partial(self.start_poll, address))

    def take_table(
        self,
        control: str,
        news: ttypes.TableNews,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Take what is told of one control VM's table."""
        taken = self.merged.take(news, sent_s, now_s)
        if taken is None:
            return
        if taken.gone or news.upstreams or news.gone_entries:
            self.refresh(now_s)
            self.log_news(control, news, taken)

    def log_news(
        self,
        teller: str,
        news: ttypes.TableNews,
        taken: TakenNews,
    ) -> None:
        """Log what news changed in what this VM believes."""
        upstreams = news.upstreams or ()
        log_change(
            'registry:news',
            control=taken.control,
            teller=teller,
            age_s=news.age_ms / MILLISECONDS,
            version=news.version,
            draining=[one.instance for one in upstreams if one.draining],
            cold=[one.instance for one in upstreams if one.cold_ms],
            silent=[one.instance for one in upstreams if one.silent],
            told=len(upstreams),
            gone=[
                incarnation_name(one.instance, one.born_ms)
                for one in taken.gone
            ],
            gone_entries=list(news.gone_entries or ()),
        )

    def note_lost(self, control: str, reason: str) -> None:
        """Count a call without answer; log the first of several."""
        self.metrics.count('registry_polls_failed_total')
        self.contacts.for_control(control).record_failure()
        if control not in self.lost:
            self.lost.add(control)
            log_change('registry:control_lost', control=control, reason=reason)

    def note_back(self, control: str) -> None:
        """Log that a control VM answers again."""
        if control in self.lost:
            self.lost.discard(control)
            log_change('registry:control_back', control=control)
