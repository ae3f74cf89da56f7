"""The tables of all control VMs, as one of them holds them.

Control VMs ask each other a few times a second for what is new. Each tells
its own table, and what it knows of the others'; so news passes around a cut
between two of them.
"""

from collections.abc import Iterable, Iterator, Mapping
from functools import partial

from result import Err

from godwitshunt.configuration.background import BackgroundTasks
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.quarantine import Quarantine
from godwitshunt.registry.contacts import ControlContact
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.ledger import SummedLoads
from godwitshunt.registry.merged_tables import MergedTables
from godwitshunt.registry.prefixes import PrefixTable
from godwitshunt.registry.records import Load
from godwitshunt.registry.suspect_wire import suspects_from_wire
from godwitshunt.registry.table_updates import (
    ControlLocation,
    Scope,
    relayed_news,
)
from godwitshunt.registry.views import RegistryView
from godwitshunt.registry.wire import (
    address_of,
    prefixes_from_wire,
)
from godwitshunt.settings import Address
from godwitshunt.telemetry import log_change
from godwitshunt.timer import Subscription, Timer

# The requests of other regions are as old as this and the way; a picker sends
# long prompts there by them.
PEER_POLL_PERIOD_S = 0.2
TIMEOUT_S = 0.8
# A control VM whose table has not come from itself for so long is asked for
# at the others, too: three periods and the way between two regions.
RELAY_POLL_AFTER_S = 0.75
# An entry VM of the region needs no longer than this to tell a table.
LONGEST_WAY_S = 0.1
# Requests at upstreams that were told longer ago than this say nothing.
LOADS_KEPT_S = 3.0
# Where another control VM of the own region falls silent, its entry VMs report
# here: counted with what it told last, they would be counted twice, and the
# region's upstreams be taken for full. So that counts no longer than it takes
# them to move: a question without answer and a poll.
LOCAL_LOADS_TTL_S = 0.6


class ControlTables:
    """Asks the other control VMs and keeps their tables beside the own one.

    Parameters
    ----------
    location : ControlLocation
        Where this control VM stands, and which others there are.
    prefixes : PrefixTable
        Takes what others were told of kept prompts by entry VMs.
    quarantine : Quarantine
        Takes what others know of suspected requests.
    links : PeerLinks
        To the other control VMs.
    timer : Timer
        Monotonic time and the period.
    """

    def __init__(
        self,
        location: ControlLocation,
        prefixes: PrefixTable,
        quarantine: Quarantine,
        links: PeerLinks,
        timer: Timer,
    ) -> None:
        self.location = location
        self.prefixes = prefixes
        self.quarantine = quarantine
        self.links = links
        self.timer = timer
        self.merged = MergedTables(location.regions)
        self.contacts: dict[str, ControlContact] = {}
        self.summed: Mapping[str, Load] = {}
        self.summed_of: tuple[tuple[str, float], ...] = ()
        self.background = BackgroundTasks()
        self.subscription: Subscription | None = None

    def start(self) -> None:
        """Begin to ask."""
        self.subscription = self.timer.every(PEER_POLL_PERIOD_S, self.ask_all)
        self.ask_all()

    async def close(self) -> None:
        """Ask no more."""
        if self.subscription is not None:
            self.subscription.cancel()
        await self.background.close()

    @property
    def own_name(self) -> str:
        """Name of this control VM among the tables."""
        return str(self.location.address)

    def ask_all(self) -> None:
        """Ask every other control VM that is not being asked."""
        for address in self.location.others():
            if address != self.location.address:
                self.background.run(str(address), partial(self.ask, address))

    async def ask(self, address: Address) -> None:
        """Ask one control VM for what is new."""
        control = str(address)
        contact = self.contacts.setdefault(control, ControlContact())
        sent_s = self.timer.now()
        poll = ttypes.Poll(
            held=self.merged.held(),
            prefixes=[],
            newer=[],
            prefixes_version=contact.prefixes_version,
            wants_loads=True,
            scope=Scope.all if self.misses_any(sent_s) else Scope.own,
            from_control=True,
            suspects=[],
            suspects_version=contact.suspects_version,
        )
        reply = await self.links.call(
            address,
            MessageKind.registry_poll,
            encode(poll),
            TIMEOUT_S,
        )
        if isinstance(reply, Err):
            self.note_lost(control, contact, type(reply.err_value).__name__)
            return
        if contact.fails:
            log_change('registry:peer_control_back', control=control)
        self.take(control, decode(ttypes.PollReply, reply.ok_value), sent_s)

    def misses_any(self, now_s: float) -> bool:
        """Tell whether a control VM's table is old here.

        Its own way here is cut, or it is gone; the others may know more. In
        calm each table comes from its control VM alone: asked of all, news
        of 195 entry VMs crossed between regions four times.
        """
        return any(
            now_s - table.answered_s > RELAY_POLL_AFTER_S
            for control, table in self.merged.tables.items()
            if control != self.own_name
        )

    def note_lost(
        self,
        control: str,
        contact: ControlContact,
        reason: str,
    ) -> None:
        """Log the first of several calls without answer."""
        if not contact.fails:
            log_change(
                'registry:peer_control_lost',
                control=control,
                reason=reason,
            )
        contact.record_failure()

    def take(
        self,
        control: str,
        message: ttypes.PollReply,
        sent_s: float,
    ) -> None:
        """Take what a control VM tells."""
        now_s = self.timer.now()
        contact = self.contacts.setdefault(control, ControlContact())
        is_known = message.source == contact.source
        contact.answer(message.source, sent_s, now_s)
        for news in message.tables or ():
            self.take_table(news, sent_s, now_s)
        self.prefixes.take(prefixes_from_wire(message.prefixes, now_s))
        self.quarantine.join(suspects_from_wire(message.suspects, now_s))
        if is_known:
            contact.prefixes_version = message.prefixes_version
            contact.suspects_version = message.suspects_version or 0

    def take_table(
        self,
        news: ttypes.TableNews,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Take what is told of one control VM's table, but of the own one."""
        whose = self.merged.of_source(news.source)
        if news.control is not None:
            whose = str(address_of(news.control))
        if whose != self.own_name:
            self.merged.take(news, sent_s, now_s)

    def take_newer(self, told: Iterable[ttypes.TableNews]) -> None:
        """Take tables that an entry VM holds as newer ones.

        Control VMs may be cut off from one another while entry VMs reach all
        of them. A region's picker that knows no entry VM of another region
        has no door to it, and refuses what only that region may serve.
        """
        now_s = self.timer.now()
        for news in told:
            self.take_table(news, now_s - LONGEST_WAY_S, now_s)

    def held_own(self) -> ttypes.TableHeld | None:
        """Return which version of the own table stands beside the others."""
        table = self.merged.tables.get(self.own_name)
        if table is None:
            return None
        return ttypes.TableHeld(
            table.source,
            table.version,
            table.entries_version,
        )

    def take_own(self, news: ttypes.TableNews) -> None:
        """Put news of the own table beside the others'."""
        now_s = self.timer.now()
        self.merged.take(news, now_s, now_s)

    def news(
        self,
        held: Mapping[str, ttypes.TableHeld],
        now_s: float,
        *,
        with_loads: bool,
    ) -> Iterator[ttypes.TableNews]:
        """Give what is new in the other control VMs' tables.

        Parameters
        ----------
        held : mapping
            What whoever asks holds, by the control VM's process.
        with_loads : bool
            True where requests at upstreams are told as well.
        """
        for control, table in self.merged.tables.items():
            if control != self.own_name and table.source:
                yield relayed_news(
                    table,
                    held.get(table.source),
                    now_s,
                    with_loads=with_loads,
                )

    def loads(self, now_s: float) -> Mapping[str, Load]:
        """Return what other control VMs told of requests, of late, in sum."""
        telling = {
            control: table
            for control, table in self.merged.tables.items()
            if control != self.own_name
            and now_s - table.loads_asof_s <= self.kept_s(control)
        }
        of = tuple(
            (control, one.loads_asof_s) for control, one in telling.items()
        )
        if of != self.summed_of:
            self.summed_of = of
            parts = tuple(table.loads for table in telling.values())
            self.summed = dict(SummedLoads(parts))
        return self.summed

    def kept_s(self, control: str) -> float:
        """Return for how long the requests that one told count."""
        is_here = self.region_of(control) == self.location.region
        return LOCAL_LOADS_TTL_S if is_here else LOADS_KEPT_S

    def region_loads_asof_s(self, region: str) -> float:
        """Return what time a region's requests were told as of."""
        return max(
            (
                table.loads_asof_s
                for table in self.merged.tables.values()
                if table.region == region
            ),
            default=float('-inf'),
        )

    def round_trip_s(self, region: str) -> float | None:
        """Return the seconds to a region's control VMs; None if not known."""
        return min(
            (
                contact.round_trip_s
                for control, contact in self.contacts.items()
                if self.region_of(control) == region
            ),
            default=None,
        )

    def region_of(self, control: str) -> str:
        """Return where a control VM stands; empty where that is not known."""
        table = self.merged.tables.get(control)
        return '' if table is None else table.region

    def controls_in_region(self, region: str) -> list[str]:
        """Return the control VMs that stand in a region."""
        return [
            control
            for control, table in self.merged.tables.items()
            if table.region == region
        ]

    def view(self) -> RegistryView:
        """Return the joined view; the own table is always as of now."""
        now_s = self.timer.now()
        own_name = self.merged.tables.get(self.own_name)
        if own_name is not None:
            own_name.answered_s = now_s
        return self.merged.view(now_s)

    def mark_replaced(self, incarnation: str) -> None:
        """Note that another upstream answers at an incarnation's address."""
        self.merged.mark_replaced(incarnation, self.timer.now())
