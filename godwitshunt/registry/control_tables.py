"""A control VM's copies of the tables of all control VMs.

Control VMs poll each other a few times a second. Each sends changes of its own
table and of its copies of the others', so that updates are relayed around a
network failure between two of them.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from functools import cached_property, partial

from result import Err

from godwitshunt.configuration.background import BackgroundTasks
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.quarantine import Quarantine
from godwitshunt.registry.contacts import ControlContact
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.grant_relays import misses_grants
from godwitshunt.registry.ledger import SummedLoads
from godwitshunt.registry.load_table import LoadTable
from godwitshunt.registry.merged_tables import MergedTables
from godwitshunt.registry.prefixes import PrefixTable
from godwitshunt.registry.records import Load
from godwitshunt.registry.suspect_wire import suspects_from_wire
from godwitshunt.registry.table_updates import (
    ControlLocation,
    Scope,
    relayed_update,
)
from godwitshunt.registry.views import ControlTable, RegistryView
from godwitshunt.registry.wire import (
    address_from_wire,
    prefixes_from_wire,
)
from godwitshunt.settings import Address
from godwitshunt.telemetry import log_change
from godwitshunt.timer import Subscription, Timer

# The loads of other regions are as old as this period and the network delay; a
# picker forwards long prompts to other regions by them.
PEER_POLL_PERIOD_S = 0.2
PEER_POLL_TIMEOUT_S = 0.8
# If a control VM has not sent its own table for this long, three periods and
# the delay between two regions, the other control VMs are polled for it, too.
RELAY_POLL_AFTER_S = 0.75
# Upper bound of the delay of a table that an entry VM of the region sends.
MAX_ENTRY_DELAY_S = 0.1
# Loads of upstreams that are older than this are ignored.
LOADS_TTL_S = 3.0
# If another control VM of the same region stops answering, its entry VMs report
# here. Its last loads would then be counted twice and make the region's
# upstreams appear full, so they are used only for as long as the entry VMs need
# to move: an unanswered request to the picker and a poll.
LOCAL_LOADS_TTL_S = 0.6


class ControlTables:
    """Polls the other control VMs and merges their tables with the own one.

    Parameters
    ----------
    location : ControlLocation
        Address and region of this control VM, and the other control VMs.
    prefixes : PrefixTable
        Receives the cached prefixes that entry VMs reported to the others.
    quarantine : Quarantine
        Receives the suspected requests known to the others.
    links : PeerLinks
        Links to the other control VMs.
    timer : Timer
        Monotonic time and periodic calls.
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
        self.summed = LoadTable()
        self.summed_inputs: tuple[tuple[str, float], ...] = ()
        # Called with each control VM and its table when new grants arrive.
        self.on_grants: Callable[[str, ControlTable], None] = ignore_grants
        self.update_count = 0
        self.background = BackgroundTasks()
        self.subscription: Subscription | None = None

    def start(self) -> None:
        """Start polling."""
        self.subscription = self.timer.every(PEER_POLL_PERIOD_S, self.poll_all)
        self.poll_all()

    async def close(self) -> None:
        """Stop polling."""
        if self.subscription is not None:
            self.subscription.cancel()
        await self.background.close()

    @cached_property
    def own_name(self) -> str:
        """Key of this control VM's own table."""
        return str(self.location.address)

    def poll_all(self) -> None:
        """Poll every other control VM, unless a poll is in progress."""
        for address in self.location.others():
            if address != self.location.address:
                self.background.run(str(address), partial(self.poll, address))

    async def poll(self, address: Address) -> None:
        """Request changes from one control VM."""
        control = str(address)
        contact = self.contacts.setdefault(control, ControlContact())
        sent_s = self.timer.now()
        poll = ttypes.Poll(
            held=self.merged.held_versions(),
            prefixes=[],
            newer=[],
            prefixes_version=contact.prefixes_version,
            wants_loads=True,
            scope=Scope.all if self.has_stale_table(sent_s) else Scope.own,
            from_control=True,
            suspects=[],
            suspects_version=contact.suspects_version,
        )
        reply = await self.links.call(
            address,
            MessageKind.registry_poll,
            encode(poll),
            PEER_POLL_TIMEOUT_S,
        )
        if isinstance(reply, Err):
            self.record_failure(
                control,
                contact,
                type(reply.err_value).__name__,
            )
            return
        if contact.is_failing:
            log_change('registry:peer_control_back', control=control)
        self.apply_reply(
            control,
            decode(ttypes.PollReply, reply.ok_value),
            sent_s,
        )

    def has_stale_table(self, now_s: float) -> bool:
        """Return whether the copy of a control VM's table is stale.

        That control VM is unreachable from here or down; the others may hold a
        newer copy. Otherwise each table is requested only from its own control
        VM: requested from all, the changes of 195 entry VMs crossed between
        regions four times.
        """
        return any(
            now_s - table.asof_s > RELAY_POLL_AFTER_S
            for control, table in self.merged.tables.items()
            if control != self.own_name
        )

    def misses_grants(self, now_s: float) -> bool:
        """Return whether grants of an unreachable control VM are wanted."""
        others = {
            control: table
            for control, table in self.merged.tables.items()
            if table.region != self.location.region
        }
        return misses_grants(others, self.contacts, now_s)

    def record_failure(
        self,
        control: str,
        contact: ControlContact,
        reason: str,
    ) -> None:
        """Record an unanswered call; log the first of several."""
        if not contact.is_failing:
            log_change(
                'registry:peer_control_lost',
                control=control,
                reason=reason,
            )
        contact.record_failure()

    def apply_reply(
        self,
        control: str,
        message: ttypes.PollReply,
        sent_s: float,
    ) -> None:
        """Apply the reply of a control VM."""
        now_s = self.timer.now()
        contact = self.contacts.setdefault(control, ControlContact())
        is_known = message.source == contact.source
        contact.record_answer(message.source, sent_s, now_s)
        for update in message.tables or ():
            self.apply_update(update, sent_s, now_s)
        self.prefixes.record_all(prefixes_from_wire(message.prefixes, now_s))
        self.quarantine.join(suspects_from_wire(message.suspects, now_s))
        if is_known:
            contact.prefixes_version = message.prefixes_version
            contact.suspects_version = message.suspects_version or 0

    def apply_update(
        self,
        update: ttypes.TableNews,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Apply an update, unless it is of this control VM's own table."""
        self.update_count += 1
        control = self.merged.control_of_source(update.source)
        if update.control is not None:
            control = str(address_from_wire(update.control))
        if control == self.own_name:
            return
        applied = self.merged.apply(update, sent_s, now_s)
        if applied is not None and update.grants is not None:
            table = self.merged.tables[applied.control]
            self.on_grants(applied.control, table)

    def apply_newer(self, updates: Iterable[ttypes.TableNews]) -> None:
        """Apply updates of tables that are newer at an entry VM.

        Control VMs may be unable to reach one another while entry VMs reach
        all of them. A picker that knows no entry VM of another region cannot
        forward requests to it and would reject those that only that region may
        serve.
        """
        now_s = self.timer.now()
        for update in updates:
            self.apply_update(update, now_s - MAX_ENTRY_DELAY_S, now_s)

    def held_own_version(self) -> ttypes.TableHeld | None:
        """Return the version of the own table in the merged tables."""
        table = self.merged.tables.get(self.own_name)
        if table is None:
            return None
        return ttypes.TableHeld(
            table.source,
            table.version,
            table.entries_version,
        )

    def apply_own(self, update: ttypes.TableNews) -> None:
        """Apply an update of the own table."""
        now_s = self.timer.now()
        self.merged.apply(update, now_s, now_s)

    def updates(
        self,
        held: Mapping[str, ttypes.TableHeld],
        now_s: float,
        *,
        with_loads: bool,
    ) -> Iterator[ttypes.TableNews]:
        """Yield the changes in the other control VMs' tables.

        Parameters
        ----------
        held : mapping
            Versions that the receiver holds, by the control VM's process.
        with_loads : bool
            True to include the loads of upstreams.
        """
        for control, table in self.merged.tables.items():
            if control != self.own_name and table.source:
                yield relayed_update(
                    table,
                    held.get(table.source),
                    now_s,
                    with_loads=with_loads,
                )

    def loads(self, now_s: float) -> Mapping[str, Load]:
        """Return the sum of the other control VMs' recent loads.

        The mapping is always the same; it is updated with each call.
        """
        recent = {
            control: table
            for control, table in self.merged.tables.items()
            if control != self.own_name
            and now_s - table.loads_asof_s <= self.loads_ttl_s(control)
        }
        inputs = tuple(
            (control, recent_table.loads_asof_s)
            for control, recent_table in recent.items()
        )
        if inputs != self.summed_inputs:
            self.summed_inputs = inputs
            parts = tuple(table.loads for table in recent.values())
            self.summed.replace_all(dict(SummedLoads(parts)))
        return self.summed

    def loads_ttl_s(self, control: str) -> float:
        """Return how long the loads of a control VM are used."""
        is_local = self.region_of(control) == self.location.region
        return LOCAL_LOADS_TTL_S if is_local else LOADS_TTL_S

    def region_loads_asof_s(self, region: str) -> float:
        """Return when a region's newest loads were current."""
        return max(
            (
                table.loads_asof_s
                for table in self.merged.tables.values()
                if table.region == region
            ),
            default=float('-inf'),
        )

    def round_trip_s(self, region: str) -> float | None:
        """Return the round trip to a region's control VMs; None if unknown."""
        return min(
            (
                contact.round_trip_s
                for control, contact in self.contacts.items()
                if self.region_of(control) == region
            ),
            default=None,
        )

    def region_of(self, control: str) -> str:
        """Return the region of a control VM; empty if unknown."""
        table = self.merged.tables.get(control)
        return '' if table is None else table.region

    def controls_in_region(self, region: str) -> list[str]:
        """Return the control VMs of a region."""
        return [
            control
            for control, table in self.merged.tables.items()
            if table.region == region
        ]

    def count_unlocated(self) -> int:
        """Return how many of the other control VMs are of unknown region."""
        others = {str(address) for address in self.location.others()}
        others.discard(self.own_name)
        return sum(not self.region_of(control) for control in others)

    def view(self) -> RegistryView:
        """Return the merged view; the own table is always current."""
        now_s = self.timer.now()
        own = self.merged.tables.get(self.own_name)
        if own is not None:
            own.asof_s = now_s
        return self.merged.view(now_s)

    def mark_replaced(self, incarnation: str) -> None:
        """Record that another upstream answers at an incarnation's address."""
        self.merged.mark_replaced(incarnation, self.timer.now())


def ignore_grants(control: str, table: ControlTable) -> None:
    """Ignore grants, where no picker runs."""
