"""The entry side: polls every control VM and keeps one joined view."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial

from result import Err

from godwitshunt.configuration.background import Background
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.joined import JoinedTables
from godwitshunt.registry.prefixes import PrefixRead, PrefixTable
from godwitshunt.registry.records import (
    EntryRecord,
    Load,
    incarnation_name,
)
from godwitshunt.registry.starts import EndedStart
from godwitshunt.registry.views import ControlTable, RegistryView
from godwitshunt.registry.wire import (
    entry_to_wire,
    loads_to_wire,
    prefixes_from_wire,
    prefixes_to_wire,
)
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Subscription, Timer

# An upstream that leaves must get nothing 3 s after any control VM has
# acknowledged it, so the news has to be here well before.
POLL_PERIOD_S = 0.35
# Where entry VMs are many, each asks less often, so that a control VM answers
# about so many polls a second; never less often than this, for the same bound.
POLLS_A_SECOND = 125
LONGEST_PERIOD_S = 0.7
POLL_TIMEOUT_S = 0.8
# A control VM that has not answered yet is asked again so soon: without any
# table a VM that has just started can serve nobody.
FIRST_RETRY_S = 0.1
# After the start of all VMs each of them hears of the others by and by: for so
# long the nearest control VM is asked this often, and a request that finds no
# upstream may wait for the next answer.
YOUNG_S = 2.0
YOUNG_PERIOD_S = 0.12
# A view is joined anew at most so often; its parts change with every reply.
VIEW_KEPT_S = 0.1
# Held prefixes are asked of the nearest control VM alone: every one hears of
# all, and their bytes between regions would be paid several times.
NOT_ASKED = -1
# Timers fire a little early or late.
PERIOD_MARGIN_S = 0.1


@dataclass(frozen=True)
class OwnState:
    """What this VM tells with each poll."""

    record: EntryRecord
    loads: Mapping[str, Load]


class RegistryWatch:
    """Polls control VMs and tells what upstreams and entry VMs there are.

    Parameters
    ----------
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
        regions: Mapping[str, str],
        control: Callable[[], tuple[Address, ...]],
        own: Callable[[], OwnState],
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> None:
        self.control = control
        self.own = own
        self.links = links
        self.timer = timer
        self.metrics = metrics
        self.joined = JoinedTables(regions)
        self.own_prefixes = PrefixTable()
        self.prefixes = PrefixTable()
        self.background = Background()
        self.subscription: Subscription | None = None
        self.young: Subscription | None = None
        self.started_s = float('-inf')
        self.cached = RegistryView()
        self.cached_s = float('-inf')
        self.polled_s = float('-inf')
        self.lost: set[str] = set()

    def start(self) -> None:
        """Begin to poll."""
        self.started_s = self.timer.now()
        self.subscription = self.timer.every(POLL_PERIOD_S, self.tick)
        self.young = self.timer.every(YOUNG_PERIOD_S, self.poll_nearest)
        self.poll_all()

    async def close(self) -> None:
        """Poll no more."""
        if self.subscription is not None:
            self.subscription.cancel()
            self.subscription = None
            self.young.cancel()
        await self.background.close()

    def view(self) -> RegistryView:
        """Return what the control VMs tell, at most 0.1 s old."""
        now_s = self.timer.now()
        if now_s - self.cached_s > VIEW_KEPT_S:
            self.refresh(now_s)
        return self.cached

    def age_s(self) -> float:
        """Return the age of the newest answer of a control VM, in seconds."""
        answered_s = max(
            (table.answered_s for table in self.joined.tables.values()),
            default=float('-inf'),
        )
        return self.timer.now() - answered_s

    def note_read(self, key: int, instance: str) -> None:
        """Note that an upstream has read a prefix of this VM's request."""
        read = PrefixRead(key, instance, self.timer.now())
        self.own_prefixes.note(read)
        self.prefixes.note(read)

    def refresh(self, now_s: float) -> None:
        """Join the tables anew."""
        self.cached = self.joined.view(now_s)
        self.cached_s = now_s

    def leave(self, incarnation: str) -> None:
        """Note that an incarnation is no longer at its address."""
        now_s = self.timer.now()
        self.joined.leave(incarnation, now_s)
        self.refresh(now_s)
        log_change('registry:instance_replaced', instance=incarnation)

    def tick(self) -> None:
        """Ask again where it is time; forget what upstreams hold no more."""
        now_s = self.timer.now()
        self.own_prefixes.forget(now_s)
        self.prefixes.forget(now_s)
        if now_s - self.polled_s >= self.period_s() - PERIOD_MARGIN_S:
            self.poll_all()

    @property
    def is_young(self) -> bool:
        """True for a while after the start, as long as news is still coming."""
        return self.timer.now() - self.started_s < YOUNG_S

    def poll_nearest(self) -> None:
        """Ask the nearest control VM, while this VM is young."""
        if not self.is_young:
            self.young.cancel()
            return
        nearest = self.joined.nearest(self.timer.now())
        for address in self.control():
            if str(address) == nearest:
                self.begin(address)

    def poll_all(self) -> None:
        """Ask every control VM that is not being asked."""
        self.polled_s = self.timer.now()
        for address in self.control():
            self.begin(address)

    def period_s(self) -> float:
        """Return how often control VMs are asked."""
        wanted_s = len(self.cached.entries) / POLLS_A_SECOND
        return min(LONGEST_PERIOD_S, max(POLL_PERIOD_S, wanted_s))

    async def poll(self, address: Address) -> None:
        """Ask one control VM for what is new."""
        control = str(address)
        sent_s = self.timer.now()
        told = self.own_prefixes.version
        reply = await self.links.call(
            address,
            MessageKind.registry_poll,
            encode(self.message_to(control, sent_s)),
            POLL_TIMEOUT_S,
        )
        if isinstance(reply, Err):
            self.note_lost(control, type(reply.err_value).__name__)
            self.retry_first(address)
            return
        self.note_back(control)
        now_s = self.timer.now()
        message = decode(ttypes.PollReply, reply.ok_value)
        self.take(control, message, sent_s, now_s)
        self.take_prefixes(control, message, told, now_s)

    def retry_first(self, address: Address) -> None:
        """Ask a control VM that never answered again, soon."""
        if self.subscription is not None and (
            str(address) not in self.joined.tables
        ):
            self.timer.after(FIRST_RETRY_S, partial(self.begin, address))

    def begin(self, address: Address) -> None:
        """Ask one control VM unless it is being asked."""
        self.background.run(str(address), partial(self.poll, address))

    def message_to(self, control: str, now_s: float) -> ttypes.Poll:
        """Return what one control VM is told and asked."""
        table = self.joined.tables.get(control, ControlTable())
        own = self.own()
        asks = control == self.joined.nearest(now_s)
        return ttypes.Poll(
            entry=entry_to_wire(own.record),
            source=table.source,
            version=table.version,
            entries_version=table.entries_version,
            loads=loads_to_wire(own.loads.items()),
            prefixes=prefixes_to_wire(
                self.own_prefixes.since(table.prefixes_told),
                now_s,
            ),
            prefixes_version=table.prefixes_version if asks else NOT_ASKED,
        )

    def take(
        self,
        control: str,
        message: ttypes.PollReply,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Take what a control VM tells of upstreams and entry VMs."""
        gone = self.joined.take(control, message, sent_s, now_s)
        if gone or message.upstreams or message.gone_entries:
            self.refresh(now_s)
            self.log_news(control, message, gone)

    def take_prefixes(
        self,
        control: str,
        message: ttypes.PollReply,
        told: int,
        now_s: float,
    ) -> None:
        """Take what a control VM tells of prefixes that upstreams hold.

        One that has just started was told only what was new to the one
        before it; it is told all again with the next poll.
        """
        table = self.joined.tables[control]
        if not message.whole:
            table.prefixes_told = told
        self.prefixes.take(prefixes_from_wire(message.prefixes, now_s))
        if message.prefixes:
            table.prefixes_version = message.prefixes_version

    def log_news(
        self,
        control: str,
        message: ttypes.PollReply,
        gone: tuple[EndedStart, ...],
    ) -> None:
        """Log what a reply changed in what this VM believes."""
        log_change(
            'registry:news',
            control=control,
            version=message.version,
            draining=[
                one.instance for one in message.upstreams if one.draining
            ],
            cold=[one.instance for one in message.upstreams if one.cold_ms],
            silent=[one.instance for one in message.upstreams if one.silent],
            told=len(message.upstreams),
            gone=[incarnation_name(one.instance, one.born_ms) for one in gone],
            gone_entries=list(message.gone_entries),
        )

    def note_lost(self, control: str, reason: str) -> None:
        """Count a poll without answer; log the first of several."""
        self.metrics.count('registry_polls_failed_total')
        if control not in self.lost:
            self.lost.add(control)
            log_change('registry:control_lost', control=control, reason=reason)

    def note_back(self, control: str) -> None:
        """Log that a control VM answers again."""
        if control in self.lost:
            self.lost.discard(control)
            log_change('registry:control_back', control=control)
